//! Record of a cell in the platform's service: who leads it, and who its members are.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::control::blackboard::Incarnation;
use crate::name::{CellName, VmName};

/// Value of `cells/CELL`, in JSON; written by compare-and-swap only and never deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRecord {
    /// Count of leads of the cell.
    pub epoch: u64,
    /// VM that grants the home leases.
    pub lead: VmName,
    /// Start count of the lead's process.
    pub incarnation: Incarnation,
    /// VMs that may hold home leases.
    pub members: BTreeSet<VmName>,
    /// Count of renewals, for a lead that lacks a majority.
    pub renewed: u64,
}

impl CellRecord {
    /// Returns the members whose promises keep the lead in office.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the members without whom no majority can promise.
    pub fn blocking(&self) -> usize {
        self.members.len().div_ceil(2).max(1)
    }

    /// Parses the value of the record's key; `None` when it isn't one.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Returns the value of the record's key.
    pub fn encode(&self) -> Vec<u8> {
        // A record holds nothing that JSON can't express.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns the key of a cell's record below the fleet's prefix.
pub fn record_key(cell: &CellName) -> String {
    format!("cells/{cell}")
}
