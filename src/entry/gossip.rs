//! Messages between VMs.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

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
        /// Whether the demand adds to that of the datagram before.
        continued: bool,
    },
    /// Asks a gateway for its version of the configuration.
    VersionWanted {
        /// Version of the sender's configuration.
        version: u64,
    },
    /// Tells the version of the sender's configuration.
    Version {
        /// The version.
        version: u64,
    },
    /// Asks for tokens that the receiver can spare.
    TokensWanted {
        /// Workspace that they are for.
        workspace: WorkspaceName,
        /// Tells answers to different questions apart.
        nonce: u64,
    },
    /// Gives tokens, which the sender has deducted.
    Tokens {
        /// Nonce of the question.
        nonce: u64,
        /// Tokens given; zero when none can be spared.
        tokens: f64,
    },
    /// Tells a record as the store holds it.
    Record(ProvenRecord),
    /// Confirms to the holder of the duty that the sender has left a former primary.
    Left {
        /// Sender.
        vm: VmName,
        /// The database.
        database: DatabaseName,
        /// Generation of the holder's duty.
        generation: u64,
    },
    /// Acknowledges `Left`.
    LeftNoted {
        /// The database.
        database: DatabaseName,
        /// Generation of the holder's duty.
        generation: u64,
    },
    /// Asks for a proof, because the sender can't renew its own.
    ProofWanted {
        /// Tells answers to different questions apart.
        nonce: u64,
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

/// Record of a primary with its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvenRecord {
    /// The database.
    pub database: DatabaseName,
    /// Its record.
    pub record: PrimaryRecord,
    /// Revision of the record.
    pub revision: u64,
}

/// Datagrams that may wait to be sent; older ones are dropped, as on any full link.
const MAX_WAITING: usize = 1_024;

/// Datagrams to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: RefCell<VecDeque<(SocketAddr, Datagram)>>,
    added: Notify,
}

impl Outbox {
    /// Adds a datagram.
    pub fn send(&self, to: SocketAddr, datagram: Datagram) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() == MAX_WAITING {
            waiting.pop_front();
        }
        waiting.push_back((to, datagram));
        self.added.notify_one();
    }

    /// Takes the oldest datagram; waits for one.
    pub async fn next(&self) -> (SocketAddr, Datagram) {
        loop {
            let added = self.added.notified();
            let next = self.waiting.borrow_mut().pop_front();
            if let Some(next) = next {
                return next;
            }
            added.await;
        }
    }
}
