//! Protocol-independent types for statements, responses and failures.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use strum::{Display, IntoStaticStr};

use super::position::Position;

/// Result of decoding a message.
pub type Result<T, E = MalformedMessage> = std::result::Result<T, E>;

/// Bytes that can't be decoded as a message of the protocol, or fields that it can't carry.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("malformed message: {reason}; the connection is closed"))]
pub struct MalformedMessage {
    /// Why decoding or encoding failed.
    pub reason: &'static str,
}

/// Whether a statement only reads or also writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Access {
    /// Reads only.
    Read,
    /// Also writes.
    Write,
}

/// Statement of a caller, as parsed by an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Starts a transaction.
    Begin {
        /// Whether the transaction only reads.
        access: Access,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes data; forwarded to an instance unchanged.
    Query {
        /// Whether it only reads.
        access: Access,
    },
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement for later use in the session.
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
    /// Removes a prepared statement.
    Deallocate {
        /// Name that the caller chose.
        name: Arc<str>,
    },
    /// Text that isn't a valid statement.
    Invalid,
}

/// Prepared statement of a session.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prepared {
    /// Whether it only reads.
    pub access: Access,
    /// Shape of the statement, as the caller wrote it.
    pub shape: Arc<str>,
}

/// Statement of a caller with its identifier and text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifier that the caller chose; forwarded unchanged.
    pub id: Arc<str>,
    /// Text that the caller wrote; forwarded unchanged.
    pub text: Arc<str>,
    /// Statement parsed from the text.
    pub statement: Statement,
}

/// Message received from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Start {
        /// Name of the requested route.
        route: Arc<str>,
        /// Workspace key; empty if the caller sent none.
        key: Arc<str>,
    },
    /// Requests the execution of a statement.
    Request(Request),
    /// Ends the session.
    End,
}

/// State of a session or of a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionState {
    /// Between transactions.
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a transaction that has failed.
    Failed,
}

/// Why a statement failed, and whether it may have run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum FailureKind {
    /// Not run: no capacity.
    Busy,
    /// Not kept: the transaction was aborted.
    Aborted,
    /// Not run: the instance hasn't reached the required position.
    Lagging,
    /// Not run: the instance isn't the primary.
    ReadOnly,
    /// Not run: the connection reached a different instance.
    Misrouted,
    /// Not run: the instance has no connection left.
    TooManyConnections,
    /// Not run: the instance doesn't know the prepared statement.
    NoSuchStatement,
    /// Ran and failed.
    Failed,
    /// Ran, or may have run, longer than allowed.
    TimedOut,
    /// Unknown whether it ran.
    Unknown,
    /// Not run: no such route.
    NoSuchRoute,
    /// Not run: the key belongs to no workspace.
    Unauthorized,
    /// Not run: not valid in the current state of the session.
    Invalid,
    /// Any other failure; unknown whether the statement ran.
    Other,
}

/// Failure of a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Error code that the instance sent; `None` for failures raised by this VM.
    pub code: Option<Arc<str>>,
    /// Explanation for the caller.
    pub text: Arc<str>,
}

impl Failure {
    /// Builds a failure raised by this VM rather than by an instance.
    pub fn local(kind: FailureKind, text: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            code: None,
            text: text.into(),
        }
    }

    /// Builds the failure of a statement whose key belongs to no workspace.
    pub fn unauthorized() -> Self {
        Self::local(
            FailureKind::Unauthorized,
            "not run: the key belongs to no workspace; ask the operators for a new one",
        )
    }

    /// Returns whether the statement definitely didn't run and may succeed if it is repeated.
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
    /// Success, with the instance's signature; `None` if this VM responded without an instance.
    Done(Option<Bytes>),
    /// The statement failed.
    Failed(Failure),
}

/// Complete response to one statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementResponse {
    /// Rows as the instance sent them, encoded.
    pub rows: Bytes,
    /// How the statement ended.
    pub outcome: Outcome,
    /// State of the session or connection after the statement.
    pub state: SessionState,
    /// Position of the instance's log; `None` if the instance sent none.
    pub position: Option<Position>,
}

impl StatementResponse {
    /// Returns whether the statement definitely didn't run and may succeed if it is repeated.
    pub const fn is_not_run(&self) -> bool {
        match &self.outcome {
            Outcome::Failed(failure) => failure.not_run(),
            Outcome::Done(_) => false,
        }
    }

    /// Builds a response of this VM, without rows and position.
    pub const fn local(outcome: Outcome, state: SessionState) -> Self {
        Self {
            rows: Bytes::new(),
            outcome,
            state,
            position: None,
        }
    }
}

/// Command sent on a connection to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceCommand {
    /// Runs a caller's statement unchanged.
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
    /// Rolls the transaction back.
    Rollback,
    /// Clears the session values and prepared statements of the connection.
    Reset,
    /// Sets a session value on the connection.
    Set {
        /// Name of the value.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement on the connection.
    Prepare {
        /// Name on the connection.
        name: Arc<str>,
        /// The statement.
        prepared: Prepared,
    },
    /// Requests an [`InstanceReport`].
    Report,
    /// Stops a replica from receiving replicated writes.
    Pause {
        /// Term above that of the primary being replaced.
        term: u64,
    },
    /// Lets a replica receive replicated writes again.
    Resume,
    /// Demotes a primary of a lower term to a replica.
    Demote {
        /// Term above that of the primary to demote.
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

    /// Returns the connection-level name of the prepared statement that the command runs.
    pub const fn prepared_name(&self) -> Option<&Arc<str>> {
        match self {
            Self::Execute { name, .. } => Some(name),
            _ => None,
        }
    }
}

/// Status that an instance reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct InstanceReport {
    /// Whether it considers itself the primary.
    pub is_primary: bool,
    /// Newest term known to the instance; may be newer than its own.
    pub term: u64,
    /// Latest position that the instance has received.
    pub received: Position,
}

/// Message received from an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceMessage {
    /// Encoded row, including its line terminator.
    Row(Bytes),
    /// Success, with the instance's signature.
    Done(Bytes),
    /// Failure.
    Failed(Failure),
    /// End of the response to one command.
    Ready {
        /// State of the connection.
        state: SessionState,
        /// Position of the instance's log.
        position: Option<Position>,
    },
}

/// Encoding and decoding functions for messages of callers and instances, provided by an
/// adapter.
#[derive(Debug, Clone, Copy)]
pub struct Protocol {
    /// Decodes one caller message and removes it from the buffer; `None` if it is incomplete.
    pub decode_caller: fn(&mut BytesMut) -> Result<Option<CallerMessage>>,
    /// Decodes one instance message and removes it from the buffer; `None` if it is incomplete.
    pub decode_instance: fn(&mut BytesMut) -> Result<Option<InstanceMessage>>,
    /// Decodes the row of an instance report; `None` if it is malformed.
    pub decode_report: fn(&[u8]) -> Option<InstanceReport>,
    /// Encodes the message that accepts a session.
    pub encode_accepted: fn(&mut BytesMut),
    /// Encodes the message that refuses a session.
    pub encode_rejected: fn(&mut BytesMut, &Failure),
    /// Encodes a response to a caller.
    pub encode_response: fn(&mut BytesMut, &StatementResponse),
    /// Encodes the first message on a connection to an instance: database, workspace and
    /// instance name. Fails, and writes nothing, when the protocol can't carry one of them.
    pub encode_start: fn(&mut BytesMut, &str, &str, &str) -> Result<()>,
    /// Encodes a command. Reads and transaction starts may give the position that the instance
    /// must have reached. Fails, and writes nothing, when the protocol can't carry a field of it.
    pub encode_command: fn(&mut BytesMut, &InstanceCommand, Option<Position>) -> Result<()>,
}
