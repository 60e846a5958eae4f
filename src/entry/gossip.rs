//! Messages between VMs.

use serde::{Deserialize, Serialize};

use super::record::PrimaryRecord;
use crate::name::{DatabaseName, VmName, WorkspaceName};

/// Largest datagram: fits one packet of every link with room for tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Datagram between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Tells a VM's demand and how far it has followed the store.
    Status {
        /// Sender.
        vm: VmName,
        /// Version of the sender's configuration.
        version: u64,
        /// Revision of the latest change of a shared key that the sender knows.
        shared_change: u64,
        /// Revision of the latest change of an announcement that the sender knows.
        directory_change: u64,
        /// Operations per second by workspace.
        demand: Vec<(WorkspaceName, f32)>,
    },
    /// Asks for a proof, because the sender can't renew its own.
    ProofWanted {
        /// Tells answers to different questions apart.
        nonce: u64,
        /// Version of the configuration that the sender has.
        version: u64,
    },
    /// Lends a proof.
    Proof {
        /// Nonce of the question.
        nonce: u64,
        /// How long the proof holds, counted from when the question was sent.
        holds_ms: u32,
        /// Version of the configuration that the sender has.
        version: u64,
        /// Records that the proof covers.
        records: Vec<ProvenRecord>,
    },
}

/// Record of a primary in a proof.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvenRecord {
    /// The database.
    pub database: DatabaseName,
    /// Its record.
    pub record: PrimaryRecord,
    /// Revision of the record.
    pub revision: u64,
}
