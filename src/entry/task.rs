//! Tasks that a session sends to the VM which runs its statements.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::catalog::Route;
use super::link::SessionValues;
use super::position::Position;
use super::statement::{
    Access, Failure, FailureKind, InstanceCommand, Outcome, Prepared, SessionState,
    StatementResponse,
};
use crate::name::WorkspaceName;

/// One step of a session, with everything that the VM running it needs to know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Identifier of the caller's request.
    pub id: Arc<str>,
    /// Route that the task runs on.
    pub route: Arc<Route>,
    /// Workspace that the task runs for.
    pub workspace: WorkspaceName,
    /// Position of the session's last save; reads must not return older data.
    pub mark: Option<Position>,
    /// Values set in the session.
    pub values: Arc<SessionValues>,
    /// Operation to perform.
    pub action: Action,
    /// Number of attempts that have been made before, so that the retries of the VMs it passes don't
    /// multiply.
    pub attempts: u8,
}

/// Operation of a [`Task`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Spends a token of the workspace for a transaction that starts later.
    Admit,
    /// Spends a token and runs a statement outside any transaction.
    Autocommit(Runnable),
    /// Starts a transaction and runs its first statement.
    Begin {
        /// Whether the transaction only reads.
        access: Access,
        /// First statement of the transaction.
        first: Runnable,
    },
    /// Runs a statement in the open transaction.
    InTransaction(Runnable),
    /// Commits the transaction.
    Commit {
        /// Access of the transaction if it must still be started on an instance; `None` if it is
        /// open already.
        begin: Option<Access>,
        /// Text that the caller wrote.
        text: Arc<str>,
    },
    /// Rolls the open transaction back.
    Rollback,
}

/// Statement to run on an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runnable {
    /// Command to send to the instance.
    pub command: InstanceCommand,
    /// Whether the statement only reads.
    pub access: Access,
    /// Statement that must be prepared on the connection before the command runs.
    pub prepared: Option<Prepared>,
}

/// Outcome of a [`Task`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Response to send to the caller.
    pub response: StatementResponse,
    /// Position of a new save, which later reads of the session must see; `None` if the task saved
    /// nothing.
    pub mark: Option<Position>,
}

/// Longest time limit of a task. A longer one in a message of another VM is malformed: added to the
/// current time, it could overflow.
const MAX_TIME_LIMIT: Duration = Duration::from_hours(1);

impl Task {
    /// Returns the time limit of the task's statement.
    pub fn time_limit(&self) -> Duration {
        self.route.statement_timeout.min(MAX_TIME_LIMIT)
    }

    /// Returns whether the task may be retried on another VM after its reply was lost, because it
    /// writes nothing.
    pub const fn is_repeatable(&self) -> bool {
        match &self.action {
            Action::Admit => true,
            Action::Autocommit(runnable) => matches!(runnable.access, Access::Read),
            _ => false,
        }
    }

    /// Returns whether the task runs a statement on an instance.
    pub const fn runs_statement(&self) -> bool {
        !matches!(self.action, Action::Admit)
    }

    /// Returns the state of the session after the task has failed.
    pub const fn failed_state(&self) -> SessionState {
        match &self.action {
            Action::Begin { .. } | Action::InTransaction(_) => SessionState::Failed,
            _ => SessionState::Idle,
        }
    }

    /// Builds the reply for the caller when the connection to the VM running the task is lost.
    pub fn lost_reply(&self) -> Reply {
        let (kind, text) = match &self.action {
            Action::Autocommit(Runnable {
                access: Access::Write,
                ..
            })
            | Action::Commit { .. } => (
                FailureKind::Unknown,
                "the VM that ran it was lost; it may have been kept",
            ),
            _ => (
                FailureKind::Aborted,
                "not kept: the VM that ran it was lost",
            ),
        };
        Reply::failed(Failure::local(kind, text), self.failed_state())
    }
}

impl Reply {
    /// Builds a reply that reports a failure, without a response of an instance.
    pub const fn failed(failure: Failure, state: SessionState) -> Self {
        Self {
            response: StatementResponse::local(Outcome::Failed(failure), state),
            mark: None,
        }
    }

    /// Returns whether the reply says that the task didn't run.
    pub const fn is_not_run(&self) -> bool {
        self.response.is_not_run()
    }

    /// Builds a successful reply of the VM itself, without a response of an instance.
    pub const fn done(state: SessionState) -> Self {
        Self {
            response: StatementResponse::local(Outcome::Done(None), state),
            mark: None,
        }
    }
}
