//! One transaction of a caller on its way to the home of its database.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::refusal::Refusal;
use crate::configuration::Revision;
use crate::control::blackboard::Incarnation;
use crate::name::{DatabaseName, KeyId, RequestId, RouteName, SessionName, VmName, WorkspaceName};
use crate::position::{LogPosition, SessionToken};

/// Largest number of bytes that one frame carries, so that it fits the window of a stream.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Identifier of an exchange, unique over all VMs and their restarts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExchangeId {
    /// VM that the caller is connected to.
    pub vm: VmName,
    /// Start count of that VM's process.
    pub incarnation: Incarnation,
    /// Count of exchanges in that process.
    pub number: u64,
}

/// What a transaction may do, as far as its first statement tells.
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

/// What the home needs to know of a transaction before it runs.
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
    /// Session of the caller; `None` when the caller names none, so that the workspace is one.
    pub session: Option<SessionName>,
    /// Route that the statement is tagged with.
    pub route: Option<RouteName>,
    /// Identifier of the request, for recognising a retry.
    pub request: Option<RequestId>,
    /// What the session has seen, when the caller carries a token.
    pub token: Option<SessionToken>,
    /// What the transaction may do.
    pub access: Access,
    /// Settings that the statement must run under, ordered by name.
    pub settings: Vec<SessionSetting>,
    /// Time left until the caller gives up.
    pub budget_ms: u64,
    /// W3C trace context of the hop before.
    pub traceparent: Option<String>,
    /// Configuration revision of the VM that the caller is connected to.
    pub revision: Revision,
    /// Version of the preset that the request runs under.
    pub preset_version: u64,
}

/// Part of an exchange on its way from the caller to the home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerFrame {
    /// Frontend messages, with prepared statements under their shared names. Whole ones, but that a
    /// message larger than [`MAX_FRAME_BYTES`] may be continued in the next frame.
    Messages(Bytes),
    /// `Parse` message of a prepared statement that the next messages refer to. The home sends it
    /// if its connection does not have the statement; the caller expects no answer to it.
    Definition {
        /// Shared name of the statement.
        name: String,
        /// The `Parse` message.
        parse: Bytes,
    },
    /// The caller asked to cancel what is running.
    Cancel,
    /// The caller has gone; what is running must not be reused.
    Gone,
}

/// Part of an exchange on its way from the home to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeFrame {
    /// Backend messages. Whole ones, but that a message larger than [`MAX_FRAME_BYTES`] may be
    /// continued in the next frame.
    Messages(Bytes),
    /// What the session has now seen of the database.
    Seen(LogPosition),
    /// The request was refused, or its outcome is unknown; nothing more follows but `End`.
    Refused(Refusal),
    /// The exchange has ended between transactions.
    End,
}
