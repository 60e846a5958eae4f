//! Messages about homes between the VMs of a cell.

use serde::{Deserialize, Serialize};

use crate::configuration::Revision;
use crate::control::blackboard::Incarnation;
use crate::name::{DatabaseName, VmName};
use crate::time::Timestamp;

/// Entries that fit into one datagram of 1,200 bytes.
pub const MAX_ENTRIES: usize = 20;

/// Home lease by database and epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holding {
    /// The database.
    pub database: DatabaseName,
    /// Epoch of its home.
    pub epoch: u64,
}

/// Home of one database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableEntry {
    /// The database.
    pub database: DatabaseName,
    /// Its home.
    pub vm: VmName,
    /// Epoch of the home.
    pub epoch: u64,
}

/// Sign of life of a member, to the lead that it follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Epoch of the lead.
    pub epoch: u64,
    /// Count of heartbeats of the sender's process.
    pub sequence: u64,
    /// Lead's time in the last answer; the sender follows no other lead for a promise's length
    /// after it received that answer.
    pub echo: Timestamp,
    /// Whether the sender is bound by no promise to an earlier lead.
    pub is_free: bool,
    /// Whether the sender is shutting down.
    pub is_draining: bool,
    /// Digest of all homes that the sender holds.
    pub holdings_digest: u64,
    /// Homes that the sender holds, as many as fit; empty while the lead knows them.
    pub holdings: Vec<Holding>,
    /// Homes that the sender has given up.
    pub released: Vec<Holding>,
    /// Digest of the homes that the sender knows.
    pub table_digest: u64,
    /// Digest of the list of VMs that the sender knows.
    pub vms_digest: u64,
    /// Digest of who shares each workspace's limits, as the sender's configuration has it.
    pub shares_digest: u64,
    /// Configuration revision of the sender.
    pub revision: Revision,
}

/// Answer of the lead; leases count from when the heartbeat was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// Epoch of the lead.
    pub epoch: u64,
    /// Heartbeat that is answered.
    pub sequence: u64,
    /// Time by the lead's clock.
    pub lead_time: Timestamp,
    /// Revision of the cell's record.
    pub record_revision: Revision,
    /// Renews every home of the receiver, if its holdings have this digest.
    pub renews_digest: Option<u64>,
    /// Homes that are granted or renewed one by one.
    pub grants: Vec<Holding>,
    /// Homes that the receiver should give up.
    pub give_up: Vec<DatabaseName>,
    /// Whether every home of the cell has the digest of shares that the heartbeat carried.
    pub shares_agreed: bool,
    /// Configuration revision that every follower of the lead has.
    pub adopted: Revision,
}

/// Tells who leads the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadNotice {
    /// Epoch of the lead.
    pub epoch: u64,
    /// The lead.
    pub lead: VmName,
    /// Start count of the lead's process.
    pub incarnation: Incarnation,
    /// Revision of the cell's record.
    pub record_revision: Revision,
    /// Whether the sender led before and has ended its office, so that promises to it are void.
    pub is_handover: bool,
}

/// Messages about homes between VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeMessage {
    /// From a member to its lead.
    Heartbeat(Heartbeat),
    /// From the lead to a member.
    Answer(HeartbeatAnswer),
    /// Homes of some databases; the greatest epoch of each wins.
    Table(Vec<TableEntry>),
    /// The sender hears nothing of the lead and asks whether others do.
    LeadLost {
        /// Epoch of the lead.
        epoch: u64,
    },
    /// Answers `LeadLost`.
    LeadLostReply {
        /// Epoch of the lead.
        epoch: u64,
        /// Whether the sender has lost it too.
        lost: bool,
    },
    /// A new lead, or the old one on its way out, tells who leads.
    Lead(LeadNotice),
}
