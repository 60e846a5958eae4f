//! Messages about homes between the VMs of a cell.

use serde::{Deserialize, Serialize};

use crate::configuration::Revision;
use crate::control::blackboard::Incarnation;
use crate::name::{DatabaseName, VmName};
use crate::time::Timestamp;

/// Maximum number of entries per message, so that it fits into one datagram of 1,200 bytes.
pub const MAX_ENTRIES: usize = 20;

/// Home lease, identified by its database and epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holding {
    /// The database.
    pub database: DatabaseName,
    /// Epoch of the home.
    pub epoch: u64,
}

/// Home of one database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableEntry {
    /// The database.
    pub database: DatabaseName,
    /// VM that is the home.
    pub vm: VmName,
    /// Epoch of the home.
    pub epoch: u64,
}

/// Heartbeat of a member to the leader that it follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Sequence number, counted by the sender's process.
    pub sequence: u64,
    /// Leader's time in the last reply. The sender follows no other leader for the duration of a
    /// promise after it received that reply.
    pub echo: Timestamp,
    /// Whether no promise to an earlier leader binds the sender.
    pub is_free: bool,
    /// Whether the sender is shutting down.
    pub is_draining: bool,
    /// Digest of all homes that the sender holds.
    pub holdings_digest: u64,
    /// Homes that the sender holds, as many as fit; empty while the leader knows all of them.
    pub holdings: Vec<Holding>,
    /// Homes that the sender has released and that the leader may not know of yet.
    pub released: Vec<Holding>,
    /// Digest of the sender's table of homes.
    pub table_digest: u64,
    /// Digest of the sender's list of VMs.
    pub vms_digest: u64,
    /// Digest of the databases among which the sender's configuration divides each workspace's
    /// limits.
    pub shares_digest: u64,
    /// Configuration revision of the sender.
    pub revision: Revision,
}

/// Reply of the leader to a heartbeat; leases run from the time at which the heartbeat was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Sequence number of the heartbeat that this replies to.
    pub sequence: u64,
    /// Time of the leader's clock.
    pub leader_time: Timestamp,
    /// Revision of the cell's record.
    pub record_revision: Revision,
    /// Renews every home of the receiver if the receiver's holdings have this digest; `None` renews
    /// none.
    pub renews_digest: Option<u64>,
    /// Homes that are granted or renewed individually.
    pub grants: Vec<Holding>,
    /// Homes that the receiver has to release.
    pub to_release: Vec<DatabaseName>,
    /// Whether every home of the cell has the same `shares_digest` as the heartbeat.
    pub shares_match: bool,
    /// Configuration revision that every follower of the leader has.
    pub common_revision: Revision,
}

/// Notice of who leads the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderNotice {
    /// Epoch of the leader.
    pub epoch: u64,
    /// The leader.
    pub leader: VmName,
    /// Incarnation of the leader's process.
    pub incarnation: Incarnation,
    /// Revision of the cell's record.
    pub record_revision: Revision,
    /// Whether the sender was the leader and has handed over, which releases members from their
    /// promises to it.
    pub is_handover: bool,
}

/// Messages about homes between VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeMessage {
    /// From a member to its leader.
    Heartbeat(Heartbeat),
    /// From the leader to a member.
    HeartbeatReply(HeartbeatReply),
    /// Homes of some databases; for each database the greatest epoch wins.
    Table(Vec<TableEntry>),
    /// Query to the other members: the sender has lost contact with the leader and asks whether
    /// they have too.
    LeaderLost {
        /// Epoch of the leader.
        epoch: u64,
    },
    /// Reply to `LeaderLost`.
    LeaderLostReply {
        /// Epoch of the leader.
        epoch: u64,
        /// Whether the sender has lost contact with the leader too.
        lost: bool,
    },
    /// From a new leader, from one that hands over, or from a member that knows a newer leader.
    Leader(LeaderNotice),
}
