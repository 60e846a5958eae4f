//! What became of each request.

use std::time::Duration;

use tokio_postgres::error::SqlState;

use super::trace::Action;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Ending {
    /// It was answered; a read has the number that it found.
    Answered(Option<i64>),
    /// It was refused and did not run.
    NotRun { sqlstate: String, message: String },
    /// It may have run.
    Unknown { message: String },
}

/// One request that was sent.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) workspace: String,
    pub(super) database: String,
    pub(super) session: String,
    pub(super) vm: usize,
    pub(super) action: Action,
    /// Number that it saves, or the last that was acknowledged before it was sent.
    pub(super) number: i64,
    /// Whether the answer was the request's own.
    pub(super) own_answer: bool,
    pub(super) sent: Duration,
    pub(super) done: Duration,
    pub(super) ending: Ending,
}

impl Record {
    pub(super) fn is_answered(&self) -> bool {
        matches!(self.ending, Ending::Answered(_))
    }

    /// Returns a line that finds the request again.
    pub(super) fn describe(&self) -> String {
        format!(
            "{} of session {} on {} through vm-{} at {} ms: {:?}",
            self.action_name(),
            self.session,
            self.database,
            self.vm + 1,
            self.sent.as_millis(),
            self.ending
        )
    }

    fn action_name(&self) -> String {
        format!("{:?} {}", self.action, self.number).to_lowercase()
    }
}

/// Tells from an error whether the request ran.
pub(super) fn ending_of(error: &tokio_postgres::Error) -> Ending {
    let Some(refusal) = error.as_db_error() else {
        return Ending::Unknown {
            message: error.to_string(),
        };
    };
    let message = refusal.message().to_owned();
    let is_unknown = *refusal.code() == SqlState::TRANSACTION_RESOLUTION_UNKNOWN;
    if !is_unknown && message.contains("not run") {
        return Ending::NotRun {
            sqlstate: refusal.code().code().to_owned(),
            message,
        };
    }
    Ending::Unknown {
        message: format!("{} {message}", refusal.code().code()),
    }
}
