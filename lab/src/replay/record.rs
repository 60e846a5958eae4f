//! Records of the requests that a replay made.

use std::time::Duration;

use tokio_postgres::error::SqlState;

use super::trace::Action;

/// Final status of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Status {
    /// Answered without an error; `Some` holds the sequence number that a read returned.
    Answered(Option<i64>),
    /// Refused without having run; `sqlstate` is empty when no connection could be opened.
    NotRun { sqlstate: String, message: String },
    /// Unknown whether it ran.
    Unknown { message: String },
}

/// A request and its final status; times are relative to the start of the run.
#[derive(Debug, Clone)]
pub(super) struct RequestRecord {
    pub(super) workspace: String,
    pub(super) database: String,
    pub(super) session: String,
    /// Index of the VM that the request was sent to.
    pub(super) vm: usize,
    pub(super) action: Action,
    /// Sequence number that a write saves; for a read, the latest one that was acknowledged
    /// before.
    pub(super) number: i64,
    /// Whether the response belongs to this request; checked for [`Action::View`] only.
    pub(super) response_matches: bool,
    pub(super) sent: Duration,
    pub(super) done: Duration,
    pub(super) status: Status,
}

impl RequestRecord {
    pub(super) fn is_answered(&self) -> bool {
        matches!(self.status, Status::Answered(_))
    }

    /// Describes the request in one line, for reports of broken promises.
    pub(super) fn describe(&self) -> String {
        format!(
            "{} of session {} on {} through vm-{} at {} ms: {:?}",
            self.action_name(),
            self.session,
            self.database,
            self.vm + 1,
            self.sent.as_millis(),
            self.status
        )
    }

    fn action_name(&self) -> String {
        format!("{:?} {}", self.action, self.number).to_lowercase()
    }
}

/// Derives from an error whether the request ran.
pub(super) fn status_of(error: &tokio_postgres::Error) -> Status {
    let Some(refusal) = error.as_db_error() else {
        return Status::Unknown {
            message: error.to_string(),
        };
    };
    let message = refusal.message().to_owned();
    let is_unknown = *refusal.code() == SqlState::TRANSACTION_RESOLUTION_UNKNOWN;
    if !is_unknown && message.contains("not run") {
        return Status::NotRun {
            sqlstate: refusal.code().code().to_owned(),
            message,
        };
    }
    Status::Unknown {
        message: format!("{} {message}", refusal.code().code()),
    }
}
