//! Transactions that are open on an instance.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::execution::{self, StatementContext};
use super::link::{SessionValues, Setup};
use super::node::Node;
use super::pool::Lease;
use super::position::Position;
use super::statement::{
    Access, Answer, Failure, FailureKind, InstanceCommand, Outcome, SessionState,
};

/// Delay before a statement is retried on an instance that had no capacity.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Time-out of a rollback, after which the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Transaction that is open on an instance, with its connection.
#[derive(Debug)]
pub struct OpenTransaction {
    lease: Lease,
    wrote: bool,
}

/// Statement inside a transaction.
#[derive(Debug)]
pub struct TransactionStep<'a> {
    /// Command to send to the instance.
    pub command: &'a InstanceCommand,
    /// Whether the command only reads.
    pub access: Access,
    /// Session values and prepared statement that the connection must have.
    pub setup: Setup<'a>,
}

impl OpenTransaction {
    /// Starts a transaction on an instance.
    ///
    /// # Errors
    ///
    /// Fails with the failure to report to the caller; nothing is kept.
    pub async fn start(node: &Rc<Node>, context: &StatementContext<'_>) -> Result<Self, Failure> {
        let command = InstanceCommand::Begin {
            access: context.access,
        };
        let executed = execution::run(node, context, &command).await?;
        match executed.answer.outcome {
            Outcome::Done(_) => Ok(Self {
                lease: executed.lease,
                wrote: false,
            }),
            Outcome::Failed(failure) => Err(start_failure(failure)),
        }
    }

    /// Runs one statement. If the connection fails it is closed, which rolls the transaction back.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost; nothing of the transaction is kept.
    pub async fn run(
        &mut self,
        step: &TransactionStep<'_>,
        deadline: Instant,
    ) -> Result<Answer, Failure> {
        loop {
            let link = self.lease.link();
            let answer = link.run(&step.setup, step.command, None, deadline).await;
            let answer = answer.map_err(|error| aborted(step.command.id(), &error))?;
            self.wrote |= step.access == Access::Write;
            let Outcome::Failed(failure) = &answer.outcome else {
                return Ok(answer);
            };
            let may_retry = answer.state == SessionState::Open && Instant::now() < deadline;
            match failure.kind {
                FailureKind::NoSuchStatement if may_retry => link.forget_prepared(),
                FailureKind::Busy if may_retry => sleep(BUSY_RETRY_DELAY).await,
                _ => return Ok(answer),
            }
        }
    }

    /// Commits with the caller's own request. Returns the answer and, if the transaction saved
    /// something, the position of the save.
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
                    return (idle_failure(Failure::own(FailureKind::Unknown, text)), None);
                }
            };
            match &answer.outcome {
                Outcome::Done(_) => {
                    let mark = answer.position.filter(|_| self.wrote);
                    self.finish(&answer);
                    return (answer, mark);
                }
                Outcome::Failed(failure) if failure.kind == FailureKind::Busy => {
                    if Instant::now() + BUSY_RETRY_DELAY < deadline {
                        sleep(BUSY_RETRY_DELAY).await;
                        continue;
                    }
                    self.rollback().await;
                    let text = "not kept: the instance has no capacity";
                    return (idle_failure(Failure::own(FailureKind::Aborted, text)), None);
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

    /// Rolls back and returns the connection to the pool; closes it if the rollback can't be
    /// confirmed.
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

    /// Closes the connection, which rolls the transaction back.
    pub fn close(self) {
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

fn idle_failure(failure: Failure) -> Answer {
    Answer::own(Outcome::Failed(failure), SessionState::Idle)
}

/// Converts the failure of a transaction's start into one that says that nothing is kept.
fn start_failure(failure: Failure) -> Failure {
    if failure.not_run() {
        return failure;
    }
    Failure::own(
        FailureKind::Aborted,
        "not kept: the transaction did not start",
    )
}
