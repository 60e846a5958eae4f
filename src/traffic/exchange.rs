//! Messages between a caller's VM and the home of a database for one transaction.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::refusal::Refusal;
use crate::configuration::Revision;
use crate::control::blackboard::Incarnation;
use crate::name::{DatabaseName, KeyId, RequestId, RouteName, SessionName, VmName, WorkspaceName};
use crate::position::{LogPosition, SessionToken};

/// Maximum number of message bytes in one frame; such a frame fits into the window of a stream.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Identifier of an exchange, unique across all VMs and their restarts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExchangeId {
    /// VM that the caller is connected to.
    pub vm: VmName,
    /// Incarnation of that VM's process; it changes with every start.
    pub incarnation: Incarnation,
    /// Sequence number of the exchange within that process.
    pub number: u64,
}

/// Access that a transaction needs, judged by its first statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// Reads only; may run on a replica.
    Read,
    /// May write; runs on the primary.
    Write,
}

/// Run-time setting that a caller's session has changed, such as `search_path`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionSetting {
    /// Name of the setting, in lower case.
    pub name: String,
    /// Value as text.
    pub value: String,
}

/// Header of an exchange: what the home needs to know before it runs the transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExchangeHead {
    /// Identifier of the exchange.
    pub id: ExchangeId,
    /// Workspace whose key the caller logged in with.
    pub workspace: WorkspaceName,
    /// Key that the caller logged in with.
    pub key: KeyId,
    /// Database that the caller connected to.
    pub database: DatabaseName,
    /// Session of the caller; when `None`, all such callers of the workspace share one session.
    pub session: Option<SessionName>,
    /// Route that the statement is tagged with.
    pub route: Option<RouteName>,
    /// Identifier of the request, by which a retry is recognised.
    pub request: Option<RequestId>,
    /// Session token with the positions that the session has seen, if the caller sent one.
    pub token: Option<SessionToken>,
    /// Access that the transaction needs.
    pub access: Access,
    /// Run-time settings that the transaction must run with, ordered by name.
    pub settings: Vec<SessionSetting>,
    /// Time budget of the caller for the request, in milliseconds.
    pub budget_ms: u64,
    /// W3C trace context of the previous hop.
    pub traceparent: Option<String>,
    /// Configuration revision of the VM that the caller is connected to.
    pub revision: Revision,
    /// Version of the preset that applies to the request.
    pub preset_version: u64,
}

/// Frame of an exchange from the caller to the home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerFrame {
    /// Frontend messages, in which prepared statements have their shared names. The messages are
    /// complete, except that one larger than [`MAX_FRAME_BYTES`] may continue in the next frame.
    Messages(Bytes),
    /// `Parse` message of a prepared statement that the next messages refer to. The home sends it
    /// to the instance if its connection does not have the statement; the caller does not expect a
    /// `ParseComplete` for it.
    Definition {
        /// Shared name of the statement.
        name: String,
        /// The `Parse` message.
        parse: Bytes,
    },
    /// The caller requested cancellation of the running statement.
    Cancel,
    /// The caller has disconnected; the connection of a running transaction must not be reused.
    Disconnected,
}

/// Frame of an exchange from the home to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeFrame {
    /// Backend messages. They are complete, except that one larger than [`MAX_FRAME_BYTES`] may
    /// continue in the next frame.
    Messages(Bytes),
    /// Latest log position of the database that the session has seen.
    Seen(LogPosition),
    /// The request was refused, or its outcome is unknown; only `End` follows.
    Refused(Refusal),
    /// The exchange has ended and no transaction is open.
    End,
}
