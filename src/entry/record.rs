//! Record of the primary of a database, kept in the store.

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::configuration::Revision;
use crate::name::{InstanceName, VmName, ZoneName};

/// Whether the primary of a database is being replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The primary takes statements.
    Steady,
    /// The primary is being replaced; no VM may send it new work.
    Moving {
        /// VM that replaces it.
        holder: VmName,
        /// Generation of that VM's duty.
        generation: u64,
    },
    /// The primary was promoted, but not every VM has left the former one: reads are served, for
    /// nothing was saved since; saves wait.
    Settling {
        /// VM that replaced the former primary.
        holder: VmName,
        /// Generation of that VM's duty.
        generation: u64,
    },
}

impl Phase {
    /// Returns the holder and the generation of the replacement that is under way.
    pub fn replacement(&self) -> Option<(&VmName, u64)> {
        match self {
            Self::Steady => None,
            Self::Moving { holder, generation } | Self::Settling { holder, generation } => {
                Some((holder, *generation))
            }
        }
    }
}

/// Primary of a database as all VMs agree on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// The primary.
    pub primary: InstanceName,
    /// Term in which it is the primary.
    pub term: u64,
    /// Whether it is being replaced.
    pub phase: Phase,
    /// Instances that the database had when the record was written.
    pub instances: usize,
}

/// Record with the revision at which it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRecord {
    /// The record.
    pub record: PrimaryRecord,
    /// Revision of its last write.
    pub revision: Revision,
}

/// Registration of a VM, kept in the store under its lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Lease that carries the registration.
    pub lease: u64,
    /// Address on which the VM hears other VMs.
    pub peer_address: std::net::SocketAddr,
    /// Availability zone that the VM runs in.
    pub availability_zone: ZoneName,
    /// Part of a core that the VM has.
    pub cpu_share: f64,
}

/// Holder of the duty to replace primaries, kept in the store under a lease of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// VM that holds it.
    pub holder: VmName,
    /// Lease of this holding; tells it from the holder's next one.
    pub lease: u64,
}
