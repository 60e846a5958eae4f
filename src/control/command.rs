//! Commands that the controllers give to the shell around them.

use std::time::Duration;

use super::blackboard::CallId;
use crate::configuration::Revision;
use crate::name::{DatabaseName, InstanceName, VmName, WorkspaceName};
use crate::peer::PeerMessage;
use crate::position::Term;
use crate::time::Timestamp;

/// Something to be done outside the control code.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Sends a message to another VM; it may be lost.
    Send {
        /// Receiver.
        to: VmName,
        /// The message.
        message: PeerMessage,
    },
    /// Calls the platform's service; the answer comes as a `PlatformEvent`.
    Platform {
        /// Identifier that the answer carries.
        call: CallId,
        /// What is asked.
        request: PlatformRequest,
    },
    /// Asks something of an instance; the answer comes as an `InstanceEvent`.
    Instance {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
        /// What is asked.
        request: InstanceRequest,
    },
    /// Tells the traffic threads something that isn't part of the snapshot.
    Traffic(TrafficRequest),
    /// Publishes a new snapshot.
    Publish,
    /// Writes a line to the log.
    Log(LogEvent),
    /// Ends the process: nothing is left to do.
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
        /// Whether the answer may be some seconds old, which costs the store less.
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
        /// Time until the lease lapses.
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
        /// First revision to report.
        from: Revision,
    },
    /// Ends a watch that this process started.
    EndWatch {
        /// The call that started it.
        watch: CallId,
    },
}

/// Question or order to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceRequest {
    /// Asks for a report.
    Probe,
    /// Makes the instance adopt a term, if it is higher than its own.
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
        /// When tokens beyond the bucket's own burst are dropped.
        until: Timestamp,
    },
    /// Takes tokens from a bucket of a home, as many as it can spare.
    Withdraw {
        /// Transfer that the tokens are for.
        transfer: u64,
        /// Database of the home.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Tokens wanted.
        tokens: f64,
    },
    /// The homes that were asked for tokens have answered or can't be reached; what they gave has
    /// been deposited.
    TransfersEnded {
        /// Database of the home that asked.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
    },
    /// Admits nothing more at one home, which is about to move, ends its running work and then
    /// reports `TrafficEvent::HomeReleased`.
    ReleaseHome {
        /// Database of the home.
        database: DatabaseName,
        /// Epoch of the home.
        epoch: u64,
    },
    /// Ends running work and then reports `TrafficEvent::Drained`.
    Drain,
}

/// Line of the log: one event with its fields.
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
