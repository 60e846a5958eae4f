//! Record of a cell in the platform's service: its leader and its members.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::control::blackboard::Incarnation;
use crate::name::{CellName, VmName};

/// Value of `cells/CELL`, in JSON; written by compare-and-swap only and never deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRecord {
    /// Number of leadership changes of the cell; each new leader has a greater epoch.
    pub epoch: u64,
    /// The leader, which grants the home leases.
    pub lead: VmName,
    /// Incarnation of the leader's process.
    pub incarnation: Incarnation,
    /// VMs that may hold home leases.
    pub members: BTreeSet<VmName>,
    /// Number of writes by which the leader changed the members or renewed its leadership.
    pub renewed: u64,
}

impl CellRecord {
    /// Returns the number of members that form a majority; their promises keep the leader's
    /// leadership valid.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the smallest number of members without which the others can't form a majority.
    pub fn blocking(&self) -> usize {
        self.members.len().div_ceil(2).max(1)
    }

    /// Parses the value of the record's key; `None` when the value is no valid record.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Returns the value of the record's key.
    pub fn encode(&self) -> Vec<u8> {
        // A record contains only values that JSON can represent.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns the key of a cell's record below the fleet's prefix.
pub fn record_key(cell: &CellName) -> String {
    format!("cells/{cell}")
}
