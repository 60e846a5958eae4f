//! Commands that the controllers return for the surrounding shell to execute.

use std::time::Duration;

use super::blackboard::CallId;
use crate::configuration::Revision;
use crate::name::{DatabaseName, InstanceName, VmName, WorkspaceName};
use crate::peer::PeerMessage;
use crate::position::Term;
use crate::time::Timestamp;

/// Action to be executed outside the control code.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Sends a message to another VM; it may be lost.
    Send {
        /// Receiver.
        to: VmName,
        /// The message.
        message: PeerMessage,
    },
    /// Calls the platform's service; the response arrives as a `PlatformEvent`.
    Platform {
        /// Identifier of the call, which the response carries.
        call: CallId,
        /// The request.
        request: PlatformRequest,
    },
    /// Sends a request to an instance; the response arrives as an `InstanceEvent`.
    Instance {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
        /// The request.
        request: InstanceRequest,
    },
    /// Sends the traffic threads a request that isn't part of the snapshot.
    Traffic(TrafficRequest),
    /// Publishes a new snapshot.
    Publish,
    /// Writes a line to the log.
    Log(LogEvent),
    /// Ends the process, after all work has ended.
    Exit,
}

/// Call to the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Reads one key.
    Get {
        /// Key below the fleet's prefix.
        key: String,
    },
    /// Reads every key that starts with a prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Whether the result may be some seconds old, which is cheaper for the store.
        allow_stale: bool,
    },
    /// Writes a key if it still has the expected revision.
    CompareAndSwap {
        /// Key to write.
        key: String,
        /// Revision that the key must have; `Revision(0)` when it must not exist.
        expected: Revision,
        /// New value; `None` deletes the key.
        value: Option<Vec<u8>>,
        /// Lease that the key is bound to.
        lease: Option<u64>,
    },
    /// Grants a lease.
    GrantLease {
        /// Time until the lease expires.
        ttl: Duration,
    },
    /// Keeps a lease alive.
    KeepAlive {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease and deletes the keys bound to it.
    Revoke {
        /// The lease.
        lease: u64,
    },
    /// Watches every key that starts with a prefix.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// First revision whose changes are reported.
        from: Revision,
    },
    /// Ends a watch that this process started.
    EndWatch {
        /// The call that started it.
        watch: CallId,
    },
}

/// Request to a database instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceRequest {
    /// Requests a report.
    Probe,
    /// Makes the instance adopt a term if it is higher than the instance's own.
    Adopt {
        /// The term.
        term: Term,
    },
    /// Makes the instance the primary of a term that it has adopted.
    Promote {
        /// The term.
        term: Term,
    },
    /// Makes the instance follow the primary of a term.
    Follow {
        /// The term.
        term: Term,
        /// Primary of the term.
        primary: InstanceName,
    },
}

/// Request to the traffic threads.
#[derive(Debug, Clone, PartialEq)]
pub enum TrafficRequest {
    /// Adds tokens to a bucket of a home.
    Deposit {
        /// Database of the home.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Tokens to add.
        tokens: f64,
        /// Time at which tokens in excess of the bucket's own burst are dropped.
        until: Timestamp,
    },
    /// Takes up to the requested number of tokens from a bucket of a home, as many as it can spare.
    Withdraw {
        /// Transfer that the tokens are for.
        transfer: u64,
        /// Database of the home.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Maximum number of tokens to take.
        tokens: f64,
    },
    /// Ends a round of token transfers: every home that was asked has replied or can't be reached,
    /// and the tokens received have been deposited.
    TransfersEnded {
        /// Database of the home that requested the tokens.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
    },
    /// Stops admitting work at one home, which is about to move, lets its running work end and then
    /// reports `TrafficEvent::HomeReleased`.
    ReleaseHome {
        /// Database of the home.
        database: DatabaseName,
        /// Epoch of the home.
        epoch: u64,
    },
    /// Lets all running work end and then reports `TrafficEvent::Drained`.
    Drain,
}

/// Log line: one event with its fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEvent {
    /// Severity.
    pub level: log::Level,
    /// Name of the event, such as `term_started`.
    pub event: &'static str,
    /// Fields in order.
    pub fields: Vec<LogField>,
}

/// Field of a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogField {
    /// Name of the field.
    pub name: &'static str,
    /// Value as text.
    pub value: String,
}

impl LogEvent {
    /// Starts a line at level `info`.
    pub fn info(event: &'static str) -> Self {
        Self {
            level: log::Level::Info,
            event,
            fields: Vec::new(),
        }
    }

    /// Starts a line at level `warn`.
    pub fn warn(event: &'static str) -> Self {
        Self {
            level: log::Level::Warn,
            event,
            fields: Vec::new(),
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl std::fmt::Display) -> Self {
        self.fields.push(LogField {
            name,
            value: value.to_string(),
        });
        self
    }
}
