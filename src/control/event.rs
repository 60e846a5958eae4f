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

/// Event from outside the control code.
#[derive(Debug, Clone)]
pub enum Event {
    /// The control interval has passed.
    Tick,
    /// A message came from another VM.
    Peer {
        /// Sender.
        from: VmName,
        /// Incarnation of the sender's process.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// Outcome of a call to the platform's service, or a change that it reports.
    Platform(PlatformEvent),
    /// Report of a database instance, or the lack of one.
    Instance(InstanceEvent),
    /// Report of the traffic threads.
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

/// Response of the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformResponse {
    /// The keys read, and the revision at which they were read.
    Found {
        /// The keys found, in order.
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
        /// The key as it is stored now; `None` when it doesn't exist.
        current: Option<KeyValue>,
    },
    /// A lease was granted or kept alive.
    Lease {
        /// Identifier of the lease.
        lease: u64,
        /// Time until it expires, counted from when the call was sent.
        ttl: Duration,
    },
    /// The lease has expired or was revoked.
    LeaseLapsed,
}

/// Failure of a call to the platform's service.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlatformFailure {
    /// No response arrived in time; a write may have taken effect.
    #[snafu(display("the platform's service gave no answer; check its address and health"))]
    NoAnswer,
    /// The service could not be reached, so nothing took effect.
    #[snafu(display("the platform's service can't be reached; check its address and health"))]
    Unreachable,
    /// The service refused the call.
    #[snafu(display("the platform's service refused the call: {reason}"))]
    Refused {
        /// The service's error message.
        reason: String,
    },
}

/// Event of the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformEvent {
    /// A call completed or failed.
    Ended {
        /// The call.
        call: CallId,
        /// When the call was sent.
        sent_at: Timestamp,
        /// The response or the failure.
        result: Result<PlatformResponse, PlatformFailure>,
    },
    /// A watch received changes, in the order of their revisions.
    Changed {
        /// The call that started the watch.
        watch: CallId,
        /// Changed keys.
        keys: Vec<KeyValue>,
        /// Revision up to which the watch has received every change.
        revision: Revision,
    },
    /// A watch ended and must be restarted.
    WatchLost {
        /// The call that started the watch.
        watch: CallId,
    },
}

/// State of an instance as it reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceReport {
    /// Highest term that the instance has adopted.
    pub adopted: Term,
    /// Whether it is the primary of that term.
    pub is_primary: bool,
    /// Position of the last entry of its log, with the term in which the entry was written.
    pub last: LogPosition,
}

/// Event of a database instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceEvent {
    /// The instance reported its state.
    Reported {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
        /// The report.
        report: InstanceReport,
        /// When the request was sent, or when an unsolicited report arrived; the report was true at
        /// that time or later.
        requested_at: Timestamp,
    },
    /// A request or a caller's statement timed out, or this VM is not connected to the instance.
    NoResponse {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
        /// When the request was sent, or when the last message of the statement was sent or
        /// received.
        requested_at: Timestamp,
    },
    /// The connection was refused or closed.
    Closed {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
    },
    /// A command that concerns the term completed or failed.
    CommandEnded {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
        /// The command.
        request: InstanceRequest,
        /// State that the instance reports afterwards; `None` when it did not respond.
        report: Option<InstanceReport>,
    },
}

impl InstanceEvent {
    /// Returns the database and the instance that the event concerns.
    pub const fn subject(&self) -> (&DatabaseName, &InstanceName) {
        match self {
            Self::Reported {
                database, instance, ..
            }
            | Self::NoResponse {
                database, instance, ..
            }
            | Self::Closed { database, instance }
            | Self::CommandEnded {
                database, instance, ..
            } => (database, instance),
        }
    }
}

/// Event of the traffic threads.
#[derive(Debug, Clone, PartialEq)]
pub enum TrafficEvent {
    /// A home requests tokens from other homes because its bucket for a workspace runs low.
    TokensRequested {
        /// Database of the home.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Number of tokens to request.
        tokens: f64,
    },
    /// Tokens were deducted from a home's bucket, to be sent to another home.
    TokensWithdrawn {
        /// Transfer that requested them.
        transfer: u64,
        /// Database of the home.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Tokens deducted; may be fewer than were requested.
        tokens: f64,
    },
    /// A home that is being released has no running work left.
    HomeReleased {
        /// Database of the home.
        database: DatabaseName,
        /// Epoch of the home.
        epoch: u64,
    },
    /// No transaction that may write is running, and none starts, because
    /// `DatabaseView::writes_paused` is set.
    WritesEnded {
        /// Database of the home.
        database: DatabaseName,
        /// Epoch of the home lease.
        epoch: u64,
    },
    /// All work of a draining VM has ended.
    Drained,
}
