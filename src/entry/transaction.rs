//! Transaction that is open on an instance.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::execution::{self, Need};
use super::link::{SessionValues, Setup};
use super::node::Node;
use super::pool::Lease;
use super::position::Position;
use super::statement::{
    Access, Answer, Failure, FailureKind, InstanceCommand, Outcome, SessionState,
};

/// Pause before a statement is offered again to an instance that had no capacity.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// Longest time to roll back on an instance before the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Transaction that is open on an instance.
#[derive(Debug)]
pub struct OpenTransaction {
    lease: Lease,
    wrote: bool,
}

/// Statement inside a transaction.
#[derive(Debug)]
pub struct Step<'a> {
    /// The command.
    pub command: &'a InstanceCommand,
    /// What the command does.
    pub access: Access,
    /// What it needs on its connection.
    pub setup: Setup<'a>,
}

impl OpenTransaction {
    /// Starts a transaction on an instance.
    ///
    /// # Errors
    ///
    /// Fails with what the caller is told; nothing is kept.
    pub async fn start(node: &Rc<Node>, need: &Need<'_>) -> Result<Self, Failure> {
        let command = InstanceCommand::Begin {
            access: need.access,
        };
        let ran = execution::run(node, need, &command).await?;
        match ran.answer.outcome {
            Outcome::Done(_) => Ok(Self {
                lease: ran.lease,
                wrote: false,
            }),
            Outcome::Failed(failure) => Err(nothing_kept(failure)),
        }
    }

    /// Runs one statement. A failure of the connection closes it, which rolls back.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost; nothing of the transaction is kept.
    pub async fn run(&mut self, step: &Step<'_>, deadline: Instant) -> Result<Answer, Failure> {
        loop {
            let link = self.lease.link();
            let answer = link.run(&step.setup, step.command, None, deadline).await;
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
