//! Snapshot for the traffic threads: an immutable copy of the parts of the blackboard that they
//! need.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use strum::Display;

use super::blackboard::{Incarnation, LocalVm};
use super::bucket::Share;
use crate::configuration::{Configuration, Revision};
use crate::name::{DatabaseName, InstanceName, VmName, WorkspaceName, ZoneName};
use crate::position::{LogPosition, Term};
use crate::time::Timestamp;

/// Whether this VM accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Has no configuration yet.
    Starting,
    /// Accepts new work.
    Serving,
    /// Has had no contact with the platform's service or with most of its cell for longer than the
    /// isolation limit, so its state may be out of date.
    Isolated,
    /// Is shutting down: lets running work end and accepts no new work.
    Draining,
}

/// Home of a database, as far as this VM knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeView {
    /// VM that is the home.
    pub vm: VmName,
    /// Epoch of the home; a greater epoch replaces a smaller one.
    pub epoch: u64,
}

/// Lease under which this VM is the home of a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeLease {
    /// Epoch of the lease.
    pub epoch: u64,
    /// Time until which the lease is valid.
    pub valid_until: Timestamp,
}

/// One instance of a database that this VM is the home of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceView {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address of the instance.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub availability_zone: ZoneName,
    /// Statements that this VM may run on the instance at once.
    pub slots: u32,
    /// Connections that this VM may hold to the instance.
    pub connections: u32,
    /// Whether the instance may be given new work.
    pub accepts_work: bool,
    /// Whether the instance has responded recently.
    pub reachable: bool,
    /// Whether the instance is known to replicate from the primary of the current term, so that its
    /// log contains nothing that the primary lacks. Other replicas must not serve reads.
    pub follows: bool,
}

/// One database that this VM is the home of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatabaseView {
    /// Name of the database.
    pub name: DatabaseName,
    /// Lease under which this VM is the home.
    pub lease: HomeLease,
    /// Latest known term; `None` until an instance has reported.
    pub term: Option<Term>,
    /// Primary of that term; `None` while a promotion is in progress.
    pub primary: Option<InstanceName>,
    /// Whether new transactions that may write wait in the queue because a planned switchover is in
    /// progress; running transactions continue to their end.
    pub writes_paused: bool,
    /// Low-water mark: log position that includes every save acknowledged before this VM became the
    /// home; `None` until it is known.
    pub low_water_mark: Option<LogPosition>,
    /// Instances of the group.
    pub instances: Vec<InstanceView>,
}

/// VM of the platform's list, in the form that the traffic threads use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// Address for streams and datagrams.
    pub address: SocketAddr,
    /// Incarnation of the peer's process; `None` until a message of the peer has arrived.
    pub incarnation: Option<Incarnation>,
    /// Availability zone of the peer.
    pub availability_zone: ZoneName,
}

/// Shares of the workspaces that may use a database.
pub type ShareTable = BTreeMap<WorkspaceName, Share>;

/// Snapshot that the traffic threads read; always replaced as a whole.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// When the snapshot was taken.
    pub taken_at: Timestamp,
    /// Identity of this VM.
    pub local: LocalVm,
    /// Whether this VM accepts new work.
    pub standing: Standing,
    /// The operators' configuration.
    pub configuration: Arc<Configuration>,
    /// Configuration revision that every VM of the cell is known to have.
    pub revision_everywhere: Revision,
    /// Homes by database.
    pub homes: Arc<BTreeMap<DatabaseName, HomeView>>,
    /// Databases that this VM is the home of.
    pub databases: BTreeMap<DatabaseName, Arc<DatabaseView>>,
    /// Share of each workspace's limits at the databases that this VM is the home of.
    pub shares: Arc<BTreeMap<DatabaseName, Arc<ShareTable>>>,
    /// VMs of the platform's list by name, including this VM once it is listed.
    pub peers: Arc<BTreeMap<VmName, PeerView>>,
}
