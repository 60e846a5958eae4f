//! Datagrams between VMs, and the queue of those to be sent.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::record::PrimaryRecord;
use crate::name::{DatabaseName, VmName, WorkspaceName, ZoneName};

/// Largest datagram: fits one packet on common links, with room for the headers of tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Datagram between VMs. Encoded by position: the order of variants and fields must not change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Announces a VM's demand and the latest changes of the store that it knows.
    Status {
        /// VM that sends the datagram.
        vm: VmName,
        /// Version of the sender's configuration.
        version: u64,
        /// Revision of the latest change of a shared key that the sender knows.
        shared_change: u64,
        /// Revision of the latest change of an announcement that the sender knows.
        directory_change: u64,
        /// Operations per second by workspace; may be split over several datagrams.
        demand: Vec<(WorkspaceName, f32)>,
        /// Whether the demand continues that of the previous datagram instead of replacing it.
        continued: bool,
    },
    /// Requests the version of a gateway's configuration.
    VersionRequest {
        /// Version of the sender's configuration.
        version: u64,
    },
    /// Announces what the sender knows, to a VM that isn't a gateway.
    Version {
        /// Version of the sender's configuration.
        version: u64,
        /// Store revision up to which the sender knows every change of the gateways.
        gateways_revision: u64,
    },
    /// Requests tokens that the receiver can spare.
    TokenRequest {
        /// Workspace whose tokens are requested.
        workspace: WorkspaceName,
        /// Matches the response to this request.
        nonce: u64,
    },
    /// Transfers tokens, which the sender has already deducted from its own.
    TokenGrant {
        /// Nonce of the request.
        nonce: u64,
        /// Tokens transferred; zero when none can be spared.
        tokens: f64,
    },
    /// Sends a record of a primary, as the store holds it.
    Record(RecordUpdate),
    /// Confirms to the holder of the failover lease that the sender has stopped using a former
    /// primary.
    Confirmation {
        /// VM that sends the datagram.
        vm: VmName,
        /// Database whose primary is replaced.
        database: DatabaseName,
        /// Generation of the holder's failover lease.
        generation: u64,
    },
    /// Acknowledges a `Confirmation`.
    ConfirmationAck {
        /// Database whose primary is replaced.
        database: DatabaseName,
        /// Generation of the holder's failover lease.
        generation: u64,
    },
    /// Requests a sublease, because the sender can't renew its own lease at the store.
    SubleaseRequest {
        /// Matches the response to this request.
        nonce: u64,
    },
    /// Grants a sublease.
    Sublease {
        /// Nonce of the request.
        nonce: u64,
        /// Validity of the sublease in milliseconds, counted from when the request was sent.
        valid_ms: u32,
        /// Version of the sender's configuration. The receiver fetches it if it is newer.
        version: u64,
        /// Records that the receiver may rely on.
        records: Vec<RecordUpdate>,
    },
    /// Names the evacuated zones to a VM that was granted a sublease.
    EvacuatedZones {
        /// Store revision up to which the sender knows every change of them.
        revision: u64,
        /// Zones, with the milliseconds after which the sender sends nothing more there.
        zones: Vec<(ZoneName, u32)>,
    },
}

/// Record of a database's primary, as sent to other VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordUpdate {
    /// Database that the record belongs to.
    pub database: DatabaseName,
    /// Content of the record.
    pub record: PrimaryRecord,
    /// Store revision of the record.
    pub revision: u64,
}

/// Maximum number of datagrams waiting to be sent. Beyond it the oldest are dropped, as on any
/// full link.
const MAX_WAITING: usize = 1_024;

/// Queue of datagrams to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: RefCell<VecDeque<(SocketAddr, Datagram)>>,
    added: Notify,
}

impl Outbox {
    /// Queues a datagram; drops the oldest one if the queue is full.
    pub fn send(&self, to: SocketAddr, datagram: Datagram) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() == MAX_WAITING {
            waiting.pop_front();
        }
        waiting.push_back((to, datagram));
        self.added.notify_one();
    }

    /// Removes the oldest datagram; waits until there is one.
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
