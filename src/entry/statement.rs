//! Statements, answers and refusals, whatever protocol carries them.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use strum::{Display, IntoStaticStr};

use super::position::Position;

/// Result of decoding a message.
pub type Result<T, E = MalformedMessage> = std::result::Result<T, E>;

/// Bytes that are no message of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("malformed message: {reason}; the connection is closed"))]
pub struct MalformedMessage {
    /// What is wrong with it.
    pub reason: &'static str,
}

/// Whether a statement only reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Access {
    /// Reads only.
    Read,
    /// Writes.
    Write,
}

/// Statement that a caller sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Starts a transaction.
    Begin {
        /// Whether the transaction only reads.
        access: Access,
    },
    /// Ends the transaction and keeps its writes.
    Commit,
    /// Ends the transaction and drops its writes.
    Rollback,
    /// Reads or writes, passed on as it is.
    Query {
        /// What it does.
        access: Access,
    },
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Names a statement for later use in the session.
    Prepare {
        /// Name that the caller chose.
        name: Arc<str>,
        /// The statement.
        prepared: Prepared,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name that the caller chose.
        name: Arc<str>,
        /// Arguments, as the caller wrote them.
        arguments: Arc<str>,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Name that the caller chose.
        name: Arc<str>,
    },
    /// Text that is no statement.
    Invalid,
}

/// Prepared statement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prepared {
    /// What it does.
    pub access: Access,
    /// Shape of the statement, as the caller wrote it.
    pub shape: Arc<str>,
}

/// Statement with what identifies it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifier that the caller chose; passed on unchanged.
    pub id: Arc<str>,
    /// Text that the caller wrote; passed on unchanged.
    pub text: Arc<str>,
    /// What the text asks for.
    pub statement: Statement,
}

/// Message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Start {
        /// Route that is asked for.
        route: Arc<str>,
        /// Key of a workspace; empty when none was given.
        key: Arc<str>,
    },
    /// Asks for a statement.
    Request(Request),
    /// Ends the session.
    End,
}

/// State of a session or of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionState {
    /// Between transactions.
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a transaction that has failed.
    Failed,
}

/// Why a statement was not answered with success.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum FailureKind {
    /// Not run: no capacity.
    Busy,
    /// Not kept: the transaction was ended.
    Aborted,
    /// Not run: the instance lacks the position asked for.
    Lagging,
    /// Not run: the instance isn't the primary.
    ReadOnly,
    /// Not run: the connection reached another instance.
    Misrouted,
    /// Not run: the instance has no connection left.
    TooManyConnections,
    /// Not run: the instance doesn't know the prepared statement.
    NoSuchStatement,
    /// Ran and failed.
    Failed,
    /// Ran, or may have run, longer than allowed.
    TimedOut,
    /// May have run or not.
    Unknown,
    /// Not run: no such route.
    NoSuchRoute,
    /// Not run: the key belongs to no workspace.
    Unauthorized,
    /// Not run: not a statement of this state.
    Invalid,
    /// Any other failure; may have run or not.
    Other,
}

/// Failure of a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Its kind.
    pub kind: FailureKind,
    /// Code as an instance wrote it; `None` for the VM's own refusals.
    pub code: Option<Arc<str>>,
    /// Explanation for the caller.
    pub text: Arc<str>,
}

impl Failure {
    /// Builds a refusal of this VM.
    pub fn own(kind: FailureKind, text: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            code: None,
            text: text.into(),
        }
    }

    /// Returns whether the statement has certainly not run.
    pub const fn not_run(&self) -> bool {
        matches!(
            self.kind,
            FailureKind::Busy
                | FailureKind::Lagging
                | FailureKind::ReadOnly
                | FailureKind::Misrouted
                | FailureKind::TooManyConnections
                | FailureKind::NoSuchStatement
        )
    }
}

/// How a statement ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Success, with the instance's signature; `None` where this VM answered itself.
    Done(Option<Bytes>),
    /// No success.
    Failed(Failure),
}

/// Whole answer to one statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Rows as the instance sent them, encoded.
    pub rows: Bytes,
    /// How the statement ended.
    pub outcome: Outcome,
    /// State after the statement.
    pub state: SessionState,
    /// Position of the instance's log.
    pub position: Option<Position>,
}

impl Answer {
    /// Builds an answer of this VM.
    pub const fn own(outcome: Outcome, state: SessionState) -> Self {
        Self {
            rows: Bytes::new(),
            outcome,
            state,
            position: None,
        }
    }
}

/// What a connection to an instance is asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceCommand {
    /// Runs a caller's statement as it is.
    Run {
        /// Identifier that the caller chose.
        id: Arc<str>,
        /// Text that the caller wrote.
        text: Arc<str>,
    },
    /// Runs a statement prepared on the connection.
    Execute {
        /// Identifier that the caller chose.
        id: Arc<str>,
        /// Name on the connection.
        name: Arc<str>,
        /// Arguments, as the caller wrote them.
        arguments: Arc<str>,
    },
    /// Starts a transaction.
    Begin {
        /// Whether it only reads.
        access: Access,
    },
    /// Ends the transaction without keeping its writes.
    Rollback,
    /// Drops values and prepared statements.
    Reset,
    /// Sets a value.
    Set {
        /// Name of the value.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement.
    Prepare {
        /// Name on the connection.
        name: Arc<str>,
        /// The statement.
        prepared: Prepared,
    },
    /// Asks for a report.
    Report,
    /// Stops a replica from receiving, under a term above the newest.
    Pause {
        /// The term.
        term: u64,
    },
    /// Lets a replica receive again.
    Resume,
    /// Makes a primary of a lower term a replica.
    Demote {
        /// The term.
        term: u64,
    },
}

impl InstanceCommand {
    /// Returns the identifier of the caller's request; `-` for a VM's own commands.
    pub fn id(&self) -> &str {
        match self {
            Self::Run { id, .. } | Self::Execute { id, .. } => id,
            _ => "-",
        }
    }

    /// Returns the name, on connections, of the prepared statement that the command runs.
    pub const fn prepared_name(&self) -> Option<&Arc<str>> {
        match self {
            Self::Execute { name, .. } => Some(name),
            _ => None,
        }
    }
}

/// Report of an instance about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceReport {
    /// Whether it considers itself the primary.
    pub is_primary: bool,
    /// Term that it holds.
    pub term: u64,
    /// Latest position that it has received.
    pub received: Position,
}

/// What arrived on a connection to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceMessage {
    /// Encoded row, line end included.
    Row(Bytes),
    /// Success with a signature.
    Done(Bytes),
    /// Failure.
    Failed(Failure),
    /// End of an answer.
    Ready {
        /// State of the connection.
        state: SessionState,
        /// Position of the instance's log.
        position: Option<Position>,
    },
}

/// Protocol towards callers and instances, as functions that an adapter provides.
#[derive(Debug, Clone, Copy)]
pub struct Protocol {
    /// Takes one message of a caller off the buffer; `None` while it isn't complete.
    pub decode_caller: fn(&mut BytesMut) -> Result<Option<CallerMessage>>,
    /// Takes one message of an instance off the buffer; `None` while it isn't complete.
    pub decode_instance: fn(&mut BytesMut) -> Result<Option<InstanceMessage>>,
    /// Decodes the row of a report.
    pub decode_report: fn(&[u8]) -> Option<InstanceReport>,
    /// Encodes the acceptance of a session.
    pub encode_accepted: fn(&mut BytesMut),
    /// Encodes the refusal of a session.
    pub encode_rejected: fn(&mut BytesMut, &Failure),
    /// Encodes an answer to a caller.
    pub encode_answer: fn(&mut BytesMut, &Answer),
    /// Encodes the opening of a connection: database, workspace, instance.
    pub encode_start: fn(&mut BytesMut, &str, &str, &str),
    /// Encodes a command; reads and transaction starts may ask for a position.
    pub encode_command: fn(&mut BytesMut, &InstanceCommand, Option<Position>),
}
