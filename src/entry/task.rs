//! Work that a session hands to the VM which runs it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::catalog::Route;
use super::link::SessionValues;
use super::position::Position;
use super::statement::{
    Access, Answer, Failure, FailureKind, InstanceCommand, Outcome, Prepared, SessionState,
};
use crate::name::WorkspaceName;

/// One step of a session, with all that the VM which runs it needs to know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Identifier of the caller's request.
    pub id: Arc<str>,
    /// Route that the step runs on.
    pub route: Arc<Route>,
    /// Workspace that it runs for.
    pub workspace: WorkspaceName,
    /// Position of the session's last save.
    pub mark: Option<Position>,
    /// Values of the session.
    pub values: Arc<SessionValues>,
    /// What is to be done.
    pub action: Action,
}

/// What a [`Task`] asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Spends a token of the workspace on a transaction.
    Admit,
    /// Spends a token and runs a statement outside transactions.
    Alone(Runnable),
    /// Starts a transaction and runs its first statement.
    Begin {
        /// Whether the transaction only reads.
        access: Access,
        /// The statement.
        first: Runnable,
    },
    /// Runs a statement of the open transaction.
    Inside(Runnable),
    /// Commits the transaction.
    Commit {
        /// What the transaction does, where no instance knows of it yet.
        unopened: Option<Access>,
        /// Text that the caller wrote.
        text: Arc<str>,
    },
    /// Rolls the open transaction back.
    Rollback,
}

/// Statement to be run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runnable {
    /// The command.
    pub command: InstanceCommand,
    /// What it does.
    pub access: Access,
    /// Statement that must be prepared on the connection.
    pub prepared: Option<Prepared>,
}

/// Outcome of a [`Task`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Answer for the caller.
    pub answer: Answer,
    /// Position of a save that the session must see from now on.
    pub mark: Option<Position>,
}

impl Task {
    /// Returns whether the task may be given to another VM after its answer was lost: it keeps
    /// nothing.
    pub const fn is_repeatable(&self) -> bool {
        match &self.action {
            Action::Admit => true,
            Action::Alone(runnable) => matches!(runnable.access, Access::Read),
            _ => false,
        }
    }

    /// Returns the state of the session after the task has failed.
    pub const fn failed_state(&self) -> SessionState {
        match &self.action {
            Action::Begin { .. } | Action::Inside(_) => SessionState::Failed,
            _ => SessionState::Idle,
        }
    }

    /// Returns what the caller is told when the VM that runs the task is lost.
    pub fn lost(&self) -> Reply {
        let (kind, text) = match &self.action {
            Action::Alone(Runnable {
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
        Reply::failed(Failure::own(kind, text), self.failed_state())
    }
}

impl Reply {
    /// Builds a reply without an instance's answer.
    pub const fn failed(failure: Failure, state: SessionState) -> Self {
        Self {
            answer: Answer::own(Outcome::Failed(failure), state),
            mark: None,
        }
    }

    /// Builds a reply of the VM itself.
    pub const fn done(state: SessionState) -> Self {
        Self {
            answer: Answer::own(Outcome::Done(None), state),
            mark: None,
        }
    }
}
