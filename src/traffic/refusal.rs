//! Refusals: errors that report that a request did not run, or that its outcome is unknown.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

/// Whether the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The request did not run, or its transaction was rolled back.
    #[strum(serialize = "not run")]
    NotRun,
    /// The request was sent upstream and its result is not known.
    #[strum(serialize = "outcome unknown")]
    Unknown,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The workspace is over its rate and burst.
    RateExceeded,
    /// Too many requests are queued for the database.
    Overloaded,
    /// The request would have to wait longer than its deadline.
    DeadlineUnreachable,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The workspace may not use the database.
    DatabaseNotAllowed,
    /// The database is not in the configuration.
    DatabaseUnknown,
    /// The home of the database is not known.
    HomeUnknown,
    /// The primary is being replaced.
    PrimaryUnknown,
    /// No instance is available for the request.
    NoInstance,
    /// This VM is shutting down.
    Draining,
    /// This VM has been isolated for so long that its configuration may be outdated.
    Isolated,
    /// The statement uses session state that can't be kept between transactions.
    SessionStateUnsupported,
    /// The caller cancelled the request before it started.
    Cancelled,
    /// The caller was idle in a transaction for too long, and the transaction was rolled back.
    IdleInTransaction,
    /// The connection to the instance was lost between two statements of a transaction, which was
    /// rolled back.
    TransactionLost,
    /// The statement was sent and no response arrived, or its save may be lost.
    AnswerLost,
    /// The term changed before the save had reached enough instances.
    TermChanged,
    /// The save did not reach enough instances in time.
    GateTimeout,
}

impl RefusalReason {
    /// Returns the SQLSTATE of the error that the caller gets.
    pub const fn sqlstate(self) -> &'static str {
        match self {
            Self::RateExceeded => "53400",
            Self::Overloaded | Self::DeadlineUnreachable => "53000",
            Self::KeyWithdrawn => "28000",
            Self::DatabaseNotAllowed => "42501",
            Self::DatabaseUnknown => "3D000",
            Self::HomeUnknown | Self::PrimaryUnknown | Self::NoInstance => "57P03",
            Self::Draining | Self::Isolated => "57P01",
            Self::SessionStateUnsupported => "0A000",
            Self::Cancelled => "57014",
            Self::IdleInTransaction => "25P03",
            Self::TransactionLost => "40001",
            Self::AnswerLost | Self::TermChanged | Self::GateTimeout => "08007",
        }
    }

    /// Returns whether the request may have run.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::AnswerLost | Self::TermChanged | Self::GateTimeout => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    const fn explanation(self) -> &'static str {
        match self {
            Self::RateExceeded => "the workspace is over its rate and burst",
            Self::Overloaded => "too many requests wait for the database",
            Self::DeadlineUnreachable => "the request can't start before its deadline",
            Self::KeyWithdrawn => "the key was withdrawn; log in with another key",
            Self::DatabaseNotAllowed => "the workspace may not use this database",
            Self::DatabaseUnknown => "the database does not exist; check its name",
            Self::HomeUnknown => "no VM holds connections to the database yet",
            Self::PrimaryUnknown => "the primary of the database is being replaced",
            Self::NoInstance => "no instance of the database takes new work",
            Self::Draining => "this VM is shutting down; connect again",
            Self::Isolated => "this VM is cut off from the fleet; connect to another",
            Self::SessionStateUnsupported => {
                "the statement needs session state that is not kept between transactions"
            }
            Self::Cancelled => "the caller cancelled the request",
            Self::IdleInTransaction => {
                "the transaction was idle for too long and was rolled back; run it again"
            }
            Self::TransactionLost => {
                "the connection was lost and the transaction rolled back; run it again"
            }
            Self::AnswerLost => "the database gave no answer; check whether the request ran",
            Self::TermChanged => "the primary was replaced; check whether the request ran",
            Self::GateTimeout => {
                "the save did not reach a second instance in time; check whether it was kept"
            }
        }
    }
}

/// Refusal of a request, as it is reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Delay after which to retry; `None` if retrying does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal without a retry delay.
    pub const fn without_retry(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Builds a refusal with a retry delay.
    pub const fn with_retry(reason: RefusalReason, after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(after),
        }
    }

    /// Returns the error message that the caller gets.
    pub fn message(&self) -> String {
        let outcome = self.reason.outcome();
        let explanation = self.reason.explanation();
        match self.retry_after {
            Some(after) => format!(
                "{outcome}: {explanation}; retry in {} ms",
                after.as_millis()
            ),
            None => format!("{outcome}: {explanation}"),
        }
    }
}

#[cfg(test)]
mod tests;
