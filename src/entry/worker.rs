//! Runs the tasks of one session on this VM.

use std::rc::Rc;
use std::sync::Arc;

use tokio::time::Instant;

use super::admission;
use super::execution::{self, Need};
use super::link::Setup;
use super::node::Node;
use super::statement::{
    Access, Answer, Failure, FailureKind, InstanceCommand, Outcome, SessionState,
};
use super::task::{Action, Reply, Runnable, Task};
use super::transaction::{OpenTransaction, Step};

/// Runs tasks; holds the transaction that is open between them.
#[derive(Debug)]
pub struct Worker {
    node: Rc<Node>,
    open: Option<OpenTransaction>,
}

impl Worker {
    /// Builds a worker without a transaction.
    pub const fn new(node: Rc<Node>) -> Self {
        Self { node, open: None }
    }

    /// Returns whether a transaction is open.
    pub const fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Runs a task.
    pub async fn run(&mut self, task: &Task) -> Reply {
        match &task.action {
            Action::Admit => match self.admit(task).await {
                Ok(()) => Reply::done(SessionState::Open),
                Err(failure) => Reply::failed(failure, SessionState::Idle),
            },
            Action::Alone(runnable) => match self.admit(task).await {
                Ok(()) => self.run_alone(task, runnable).await,
                Err(failure) => Reply::failed(failure, SessionState::Idle),
            },
            Action::Begin { access, first } => match self.open(task, *access).await {
                Ok(()) => self.run_inside(task, first).await,
                Err(failure) => Reply::failed(failure, SessionState::Failed),
            },
            Action::Inside(runnable) => self.run_inside(task, runnable).await,
            Action::Commit { unopened, text } => {
                if let Some(access) = unopened
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

    /// Rolls back what is open.
    pub async fn roll_back(&mut self) {
        if let Some(open) = self.open.take() {
            open.rollback().await;
        }
    }

    async fn admit(&self, task: &Task) -> Result<(), Failure> {
        let catalog = self.node.catalog().unwrap_or_default();
        // Callers without a key of their own have no limit of their own.
        let Some(workspace) = catalog.workspaces.get(&task.workspace) else {
            return Ok(());
        };
        admission::admit(&self.node, &task.route, workspace, &task.id).await
    }

    async fn run_alone(&self, task: &Task, runnable: &Runnable) -> Reply {
        let need = Need {
            access: runnable.access,
            setup: setup(task, runnable, false),
            ..need(task)
        };
        match execution::run(&self.node, &need, &runnable.command).await {
            Ok(ran) => {
                let done = matches!(ran.answer.outcome, Outcome::Done(_));
                let saved = done && runnable.access == Access::Write;
                let mark = ran.answer.position.filter(|_| saved);
                if ran.answer.state != SessionState::Idle {
                    ran.lease.close();
                }
                let answer = Answer {
                    state: SessionState::Idle,
                    ..ran.answer
                };
                Reply { answer, mark }
            }
            Err(failure) => Reply::failed(failure, SessionState::Idle),
        }
    }

    async fn open(&mut self, task: &Task, access: Access) -> Result<(), Failure> {
        let need = Need {
            access,
            starts_transaction: true,
            ..need(task)
        };
        let open = OpenTransaction::start(&self.node, &need).await?;
        self.open = Some(open);
        Ok(())
    }

    async fn run_inside(&mut self, task: &Task, runnable: &Runnable) -> Reply {
        let Some(mut open) = self.open.take() else {
            return Reply::failed(not_open(), SessionState::Failed);
        };
        let deadline = Instant::now() + task.route.statement_timeout;
        let step = Step {
            command: &runnable.command,
            access: runnable.access,
            setup: setup(task, runnable, true),
        };
        match open.run(&step, deadline).await {
            Ok(answer) if answer.state == SessionState::Open => {
                self.open = Some(open);
                Reply { answer, mark: None }
            }
            Ok(answer) => {
                open.rollback().await;
                let answer = Answer {
                    state: SessionState::Failed,
                    ..answer
                };
                Reply { answer, mark: None }
            }
            Err(failure) => {
                open.abandon();
                Reply::failed(failure, SessionState::Failed)
            }
        }
    }

    async fn commit(&mut self, task: &Task, command: &InstanceCommand) -> Reply {
        let Some(open) = self.open.take() else {
            return Reply::failed(not_open(), SessionState::Idle);
        };
        let deadline = Instant::now() + task.route.statement_timeout;
        let (answer, mark) = open.commit(command, &task.values, deadline).await;
        Reply { answer, mark }
    }
}

/// Builds what a task needs when it neither writes nor starts a transaction.
fn need(task: &Task) -> Need<'_> {
    Need {
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
        deadline: Instant::now() + task.route.statement_timeout,
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

fn not_open() -> Failure {
    Failure::own(
        FailureKind::Aborted,
        "not kept: the transaction is open no longer",
    )
}
