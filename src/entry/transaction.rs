//! Transaction of a session.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::catalog::Route;
use super::execution::{self, Need};
use super::link::{SessionValues, Setup};
use super::node::Node;
use super::pool::Lease;
use super::position::Position;
use super::statement::{
    Access, Answer, Failure, FailureKind, InstanceCommand, Outcome, Prepared, SessionState,
};

/// Pause before a statement is offered again to an instance that had no capacity.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// Longest time to roll back on an instance before the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Transaction of a session.
#[derive(Debug, Default)]
pub enum Transaction {
    /// None.
    #[default]
    None,
    /// Acknowledged to the caller; no instance knows of it yet.
    Begun(Begun),
    /// Open on an instance.
    Open(Box<OpenTransaction>),
    /// Failed; the caller has yet to end it.
    Failed,
}

/// Transaction that no instance knows of yet.
#[derive(Debug, Clone)]
pub struct Begun {
    /// Whether it only reads.
    pub access: Access,
    /// Route that it runs on until its end.
    pub route: Arc<Route>,
}

/// Transaction that is open on an instance.
#[derive(Debug)]
pub struct OpenTransaction {
    begun: Begun,
    lease: Lease,
    wrote: bool,
}

/// Statement inside a transaction.
#[derive(Debug)]
pub struct Step<'a> {
    /// The command.
    pub command: InstanceCommand,
    /// What the command does.
    pub access: Access,
    /// Values of the session.
    pub values: &'a SessionValues,
    /// Statement that must be prepared on the connection.
    pub prepared: Option<&'a Prepared>,
}

impl Transaction {
    /// Returns the state that the caller is told.
    pub const fn state(&self) -> SessionState {
        match self {
            Self::None => SessionState::Idle,
            Self::Begun(_) | Self::Open(_) => SessionState::Open,
            Self::Failed => SessionState::Failed,
        }
    }

    /// Returns the route of a running transaction.
    pub fn route(&self) -> Option<&Arc<Route>> {
        match self {
            Self::Begun(begun) => Some(&begun.route),
            Self::Open(open) => Some(open.route()),
            Self::None | Self::Failed => None,
        }
    }
}

impl Begun {
    /// Starts the transaction on an instance.
    ///
    /// # Errors
    ///
    /// Fails with what the caller is told; nothing is kept.
    pub async fn open(self, node: &Rc<Node>, need: &Need<'_>) -> Result<OpenTransaction, Failure> {
        let command = InstanceCommand::Begin {
            access: self.access,
        };
        let ran = execution::run(node, need, &command).await?;
        match ran.answer.outcome {
            Outcome::Done(_) => Ok(OpenTransaction {
                begun: self,
                lease: ran.lease,
                wrote: false,
            }),
            Outcome::Failed(failure) => Err(nothing_kept(failure)),
        }
    }
}

impl OpenTransaction {
    /// Returns the route that the transaction runs on.
    pub const fn route(&self) -> &Arc<Route> {
        &self.begun.route
    }

    /// Runs one statement. A failure of the connection closes it, which rolls back.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost; nothing of the transaction is kept.
    pub async fn run(&mut self, step: &Step<'_>, deadline: Instant) -> Result<Answer, Failure> {
        let setup = Setup {
            values: step.values,
            prepared: step.command.prepared_name().zip(step.prepared),
            in_transaction: true,
        };
        loop {
            let link = self.lease.link();
            let answer = link.run(&setup, &step.command, None, deadline).await;
            let answer = answer.map_err(|error| aborted(step.command.id(), &error))?;
            self.wrote |= step.access == Access::Write;
            let Outcome::Failed(failure) = &answer.outcome else {
                return Ok(answer);
            };
            let usable = answer.state == SessionState::Open && Instant::now() < deadline;
            match failure.kind {
                FailureKind::NoSuchStatement if usable => link.forget_prepared(),
                FailureKind::Busy if usable => sleep(BUSY_PAUSE).await,
                _ => return Ok(answer),
            }
        }
    }

    /// Commits, with the caller's own request.
    pub async fn commit(
        mut self,
        command: &InstanceCommand,
        values: &SessionValues,
        deadline: Instant,
    ) -> (Answer, Option<Position>) {
        let setup = Setup {
            values,
            prepared: None,
            in_transaction: true,
        };
        loop {
            let link = self.lease.link();
            let answer = match link.run(&setup, command, None, deadline).await {
                Ok(answer) => answer,
                Err(error) => {
                    log::warn!(
                        "event=commit_unanswered id={} error=\"{error}\"",
                        command.id()
                    );
                    self.lease.close();
                    let text = "the instance did not answer; the transaction may have been kept";
                    return (ended(Failure::own(FailureKind::Unknown, text)), None);
                }
            };
            match &answer.outcome {
                Outcome::Done(_) => {
                    let mark = answer.position.filter(|_| self.wrote);
                    self.finish(&answer);
                    return (answer, mark);
                }
                Outcome::Failed(failure) if failure.kind == FailureKind::Busy => {
                    if Instant::now() + BUSY_PAUSE < deadline {
                        sleep(BUSY_PAUSE).await;
                        continue;
                    }
                    self.rollback().await;
                    let text = "not kept: the instance has no capacity";
                    return (ended(Failure::own(FailureKind::Aborted, text)), None);
                }
                Outcome::Failed(_) => {
                    self.rollback().await;
                    let answer = Answer {
                        state: SessionState::Idle,
                        ..answer
                    };
                    return (answer, None);
                }
            }
        }
    }

    fn finish(self, answer: &Answer) {
        if answer.state != SessionState::Idle {
            self.lease.close();
        }
    }

    /// Rolls back and gives the connection back; closes it when that can't be confirmed.
    pub async fn rollback(mut self) {
        let deadline = Instant::now() + ROLLBACK_TIMEOUT;
        let answer = self
            .lease
            .link()
            .order(&InstanceCommand::Rollback, deadline)
            .await;
        match answer {
            Ok(answer) if answer.state == SessionState::Idle => {}
            _ => self.lease.close(),
        }
    }

    /// Closes the connection, which rolls back.
    pub fn abandon(self) {
        self.lease.close();
    }
}

fn aborted(id: &str, error: &super::link::LinkError) -> Failure {
    log::warn!("event=transaction_aborted id={id} error=\"{error}\"");
    Failure::own(
        FailureKind::Aborted,
        "not kept: the connection to the instance was lost",
    )
}

fn ended(failure: Failure) -> Answer {
    Answer::own(Outcome::Failed(failure), SessionState::Idle)
}

/// Turns the failure of a transaction's start into one that says that nothing is kept.
fn nothing_kept(failure: Failure) -> Failure {
    if failure.not_run() {
        return failure;
    }
    Failure::own(
        FailureKind::Aborted,
        "not kept: the transaction did not start",
    )
}
