//! Runs the tasks of one session on this VM, for a local caller or for another VM.

use std::rc::Rc;
use std::sync::Arc;

use tokio::time::Instant;

use super::admission;
use super::execution::{self, StatementContext};
use super::idle_transactions::TransactionKey;
use super::link::Setup;
use super::node::Node;
use super::statement::{
    Access, Failure, FailureKind, InstanceCommand, Outcome, SessionState, StatementResponse,
};
use super::task::{Action, Reply, Runnable, Task};
use super::transaction::{OpenTransaction, TransactionStep};

/// Runs the tasks of one session and holds its open transaction between them.
#[derive(Debug)]
pub struct Worker {
    node: Rc<Node>,
    open: Option<TransactionKey>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        if let Some(open) = self.take() {
            open.close();
        }
    }
}

impl Worker {
    /// Builds a worker without an open transaction.
    pub const fn new(node: Rc<Node>) -> Self {
        Self { node, open: None }
    }

    /// Returns whether a transaction is open.
    pub fn is_open(&self) -> bool {
        let key = self.open;
        key.is_some_and(|key| self.node.idle_transactions.contains(key))
    }

    /// Takes the open transaction for a statement; `None` if there is none, or it was ended.
    fn take(&mut self) -> Option<OpenTransaction> {
        self.node.idle_transactions.take(self.open.take()?)
    }

    fn keep(&mut self, open: OpenTransaction) {
        self.open = Some(self.node.idle_transactions.keep(open));
    }

    /// Runs a task and returns the reply for the caller.
    pub async fn run(&mut self, task: &Task) -> Reply {
        match &task.action {
            Action::Admit => match self.admit(task).await {
                Ok(()) => Reply::done(SessionState::Open),
                Err(failure) => Reply::failed(failure, SessionState::Idle),
            },
            Action::Autocommit(runnable) => match self.admit(task).await {
                Ok(()) => self.run_autocommit(task, runnable).await,
                Err(failure) => Reply::failed(failure, SessionState::Idle),
            },
            Action::Begin { access, first } => match self.open(task, *access).await {
                Ok(()) => self.run_in_transaction(task, first).await,
                Err(failure) => Reply::failed(failure, SessionState::Failed),
            },
            Action::InTransaction(runnable) => self.run_in_transaction(task, runnable).await,
            Action::Commit { begin, text } => {
                if let Some(access) = begin
                    && let Err(failure) = self.open(task, *access).await
                {
                    return Reply::failed(failure, SessionState::Idle);
                }
                let (id, text) = (Arc::clone(&task.id), Arc::clone(text));
                self.commit(task, &InstanceCommand::Run { id, text }).await
            }
            Action::Rollback => {
                self.roll_back().await;
                Reply::done(SessionState::Idle)
            }
        }
    }

    /// Rolls back the open transaction, if any.
    pub async fn roll_back(&mut self) {
        if let Some(open) = self.take() {
            open.rollback().await;
        }
    }

    async fn admit(&self, task: &Task) -> Result<(), Failure> {
        let catalog = self.node.catalog().unwrap_or_default();
        // Anonymous callers belong to no workspace of the catalog and have no rate limit.
        let Some(workspace) = catalog.workspaces.get(&task.workspace) else {
            return Ok(());
        };
        admission::admit(&self.node, &task.route, workspace, &task.id).await
    }

    async fn run_autocommit(&self, task: &Task, runnable: &Runnable) -> Reply {
        let context = StatementContext {
            access: runnable.access,
            setup: setup(task, runnable, false),
            ..base_context(task)
        };
        match execution::run(&self.node, &context, &runnable.command).await {
            Ok(executed) => {
                let done = matches!(executed.response.outcome, Outcome::Done(_));
                let saved = done && runnable.access == Access::Write;
                let mark = executed.response.position.filter(|_| saved);
                if executed.response.state != SessionState::Idle {
                    executed.pooled.close();
                }
                let response = StatementResponse {
                    state: SessionState::Idle,
                    ..executed.response
                };
                Reply { response, mark }
            }
            Err(failure) => Reply::failed(failure, SessionState::Idle),
        }
    }

    async fn open(&mut self, task: &Task, access: Access) -> Result<(), Failure> {
        let context = StatementContext {
            access,
            starts_transaction: true,
            ..base_context(task)
        };
        let open = OpenTransaction::start(&self.node, &context).await?;
        self.keep(open);
        Ok(())
    }

    async fn run_in_transaction(&mut self, task: &Task, runnable: &Runnable) -> Reply {
        let Some(mut open) = self.take() else {
            return Reply::failed(transaction_closed(), SessionState::Failed);
        };
        let deadline = Instant::now() + task.time_limit();
        let step = TransactionStep {
            command: &runnable.command,
            access: runnable.access,
            setup: setup(task, runnable, true),
        };
        match open.run(&self.node, &step, deadline).await {
            Ok(response) if response.state == SessionState::Open => {
                self.keep(open);
                Reply {
                    response,
                    mark: None,
                }
            }
            Ok(response) => {
                open.rollback().await;
                let response = StatementResponse {
                    state: SessionState::Failed,
                    ..response
                };
                Reply {
                    response,
                    mark: None,
                }
            }
            Err(failure) => {
                open.close();
                Reply::failed(failure, SessionState::Failed)
            }
        }
    }

    async fn commit(&mut self, task: &Task, command: &InstanceCommand) -> Reply {
        let Some(open) = self.take() else {
            return Reply::failed(transaction_closed(), SessionState::Idle);
        };
        let deadline = Instant::now() + task.time_limit();
        let (response, mark) = open
            .commit(&self.node, command, &task.values, deadline)
            .await;
        Reply { response, mark }
    }
}

/// Builds the context of a task that neither writes nor starts a transaction.
fn base_context(task: &Task) -> StatementContext<'_> {
    StatementContext {
        id: &task.id,
        route: &task.route,
        workspace: &task.workspace,
        access: Access::Read,
        starts_transaction: false,
        mark: task.mark,
        setup: Setup {
            values: &task.values,
            prepared: None,
            in_transaction: false,
        },
        deadline: Instant::now() + task.time_limit(),
        attempts: task.attempts,
    }
}

fn setup<'a>(task: &'a Task, runnable: &'a Runnable, in_transaction: bool) -> Setup<'a> {
    let name = runnable.command.prepared_name();
    Setup {
        values: &task.values,
        prepared: name.zip(runnable.prepared.as_ref()),
        in_transaction,
    }
}

fn transaction_closed() -> Failure {
    Failure::local(
        FailureKind::Aborted,
        "not kept: the transaction is open no longer",
    )
}
