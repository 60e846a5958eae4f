//! Events that the controllers handle.

use std::time::Duration;

use snafu::Snafu;

use super::blackboard::{CallId, Incarnation};
use super::command::InstanceRequest;
use crate::configuration::Revision;
use crate::name::{DatabaseName, InstanceName, VmName, WorkspaceName};
use crate::peer::PeerMessage;
use crate::position::{LogPosition, Term};
use crate::time::Timestamp;

/// Something that happened outside the control code.
#[derive(Debug, Clone)]
pub enum Event {
    /// The control interval has passed.
    Tick,
    /// A message came from another VM.
    Peer {
        /// Sender.
        from: VmName,
        /// Start count of the sender's process.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// The platform's service answered, or did not.
    Platform(PlatformEvent),
    /// A database instance reported, or did not.
    Instance(InstanceEvent),
    /// The traffic threads report.
    Traffic(TrafficEvent),
    /// The process was asked to stop.
    Shutdown,
}

/// One key of the platform's service with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Key, with its prefix.
    pub key: String,
    /// Value; `None` when the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the last write to the key.
    pub revision: Revision,
}

/// Answer of the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// Keys found, and the revision at which they were read.
    Found {
        /// Keys in order.
        keys: Vec<KeyValue>,
        /// Revision of the read.
        revision: Revision,
    },
    /// The compare-and-swap took effect.
    Swapped {
        /// Revision of the write.
        revision: Revision,
    },
    /// The compare-and-swap found another revision and wrote nothing.
    Conflict {
        /// The key as it stands; `None` when it doesn't exist.
        current: Option<KeyValue>,
    },
    /// A lease was granted or kept alive.
    Lease {
        /// Identifier of the lease.
        lease: u64,
        /// Time until it lapses, counted from when the call was sent.
        ttl: Duration,
    },
    /// The lease has lapsed or was revoked.
    LeaseLapsed,
}

/// Why a call to the platform's service has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlatformFailure {
    /// No answer came; a write may have taken effect.
    #[snafu(display("the platform's service gave no answer; check its address and health"))]
    NoAnswer,
    /// The service could not be reached, so that nothing took effect.
    #[snafu(display("the platform's service can't be reached; check its address and health"))]
    Unreachable,
    /// The service refused the call.
    #[snafu(display("the platform's service refused the call: {reason}"))]
    Refused {
        /// The service's own words.
        reason: String,
    },
}

/// Something that the platform's service said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformEvent {
    /// A call ended.
    Ended {
        /// The call.
        call: CallId,
        /// When the call was sent.
        sent_at: Timestamp,
        /// The answer.
        result: Result<PlatformAnswer, PlatformFailure>,
    },
    /// A watch saw changes, in the order of their revisions.
    Changed {
        /// The call that started the watch.
        watch: CallId,
        /// Changed keys.
        keys: Vec<KeyValue>,
        /// Revision up to which the watch has seen everything.
        revision: Revision,
    },
    /// A watch ended and must be started anew.
    WatchLost {
        /// The call that started the watch.
        watch: CallId,
    },
}

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceReport {
    /// Highest term that the instance has adopted.
    pub adopted: Term,
    /// Whether it is the primary of that term.
    pub is_primary: bool,
    /// Last entry of its log, with the term in which the entry was written.
    pub last: LogPosition,
}

/// Something learned of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceEvent {
    /// The instance reported.
    Reported {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
        /// What it said.
        report: InstanceReport,
        /// When the question was sent, or the pushed report arrived; the report was true then or
        /// later.
        asked_at: Timestamp,
    },
    /// A question, or a statement of a caller, got no answer in time.
    Silent {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
        /// When the question was sent.
        asked_at: Timestamp,
    },
    /// The connection was refused or closed.
    Closed {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
    },
    /// A term command ended.
    CommandEnded {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
        /// The command.
        request: InstanceRequest,
        /// What the instance says afterwards; `None` when it gave no answer.
        report: Option<InstanceReport>,
    },
}

impl InstanceEvent {
    /// Returns the database and the instance that the event is about.
    pub const fn subject(&self) -> (&DatabaseName, &InstanceName) {
        match self {
            Self::Reported {
                database, instance, ..
            }
            | Self::Silent {
                database, instance, ..
            }
            | Self::Closed { database, instance }
            | Self::CommandEnded {
                database, instance, ..
            } => (database, instance),
        }
    }
}

/// Something that the traffic threads report.
#[derive(Debug, Clone, PartialEq)]
pub enum TrafficEvent {
    /// A home can't admit requests of a workspace for want of tokens.
    TokensWanted {
        /// Database of the home.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Tokens that waiting requests need.
        tokens: f64,
    },
    /// A home gave up tokens so that they can be sent to another home.
    TokensWithdrawn {
        /// Transfer that asked for them.
        transfer: u64,
        /// Database of the home.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Tokens deducted; may be less than was asked.
        tokens: f64,
    },
    /// A home that was to be released runs nothing any more.
    HomeReleased {
        /// Database of the home.
        database: DatabaseName,
        /// Epoch of the home.
        epoch: u64,
    },
    /// No transaction that may write runs any more, and none starts, because
    /// `DatabaseView::writes_paused` is set.
    WritesEnded {
        /// Database of the home.
        database: DatabaseName,
        /// Epoch of the home lease.
        epoch: u64,
    },
    /// All running work of a draining VM has ended.
    Drained,
}
