//! Transactions that are open on an instance.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::clock;
use super::execution::{self, StatementContext};
use super::instance::Instance;
use super::link::{SessionValues, Setup};
use super::node::Node;
use super::pool::PooledLink;
use super::position::Position;
use super::replication;
use super::saves;
use super::statement::{
    Access, Failure, FailureKind, InstanceCommand, Outcome, SessionState, StatementResponse,
};

/// Delay before a statement is retried on an instance that had no capacity.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Time limit of a rollback, after which the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Transaction that is open on an instance, with its connection.
#[derive(Debug)]
pub struct OpenTransaction {
    pooled: PooledLink,
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
        match executed.response.outcome {
            Outcome::Done(_) => Ok(Self {
                pooled: executed.pooled,
                wrote: false,
            }),
            Outcome::Failed(failure) => Err(start_failure(failure)),
        }
    }

    /// Returns the instance that the transaction is open on.
    pub fn instance(&self) -> Rc<Instance> {
        self.pooled.pool().instance()
    }

    /// Runs one statement. After an error the transaction must be closed, which rolls it back.
    ///
    /// # Errors
    ///
    /// Fails when no response is received, the instance rejects the setup or its zone is evacuated;
    /// nothing of the transaction is kept.
    pub async fn run(
        &mut self,
        node: &Node,
        step: &TransactionStep<'_>,
        deadline: Instant,
    ) -> Result<StatementResponse, Failure> {
        loop {
            self.wait_for_rate(deadline).await?;
            if is_closed(node, &self.instance()) {
                return Err(evacuated());
            }
            let is_first_write = step.access == Access::Write && !self.wrote;
            if is_first_write && !saves::may_send(node, self.pooled.pool()) {
                return Ok(unconfirmable(node, step.command.id()));
            }
            let link = self.pooled.link();
            let response = link.run(&step.setup, step.command, None, deadline).await;
            let response = response.map_err(|error| aborted(step.command.id(), &error))?;
            self.wrote |= step.access == Access::Write;
            let Outcome::Failed(failure) = &response.outcome else {
                return Ok(response);
            };
            let may_retry = response.state == SessionState::Open && Instant::now() < deadline;
            match failure.kind {
                FailureKind::NoSuchStatement if may_retry => link.forget_prepared(),
                FailureKind::Busy if may_retry => sleep(BUSY_RETRY_DELAY).await,
                _ => return Ok(response),
            }
        }
    }

    /// Waits until the rate of a cold instance allows a statement.
    async fn wait_for_rate(&self, deadline: Instant) -> Result<(), Failure> {
        let max_wait = deadline.saturating_duration_since(Instant::now());
        match self.pooled.pool().reserve_rate(max_wait) {
            Ok(wait) if wait.is_zero() => Ok(()),
            Ok(wait) => {
                sleep(wait).await;
                Ok(())
            }
            Err(_) => Err(Failure::local(
                FailureKind::Aborted,
                "not kept: the instance has just started and has no capacity",
            )),
        }
    }

    /// Sends the caller's own commit request and retries it while the instance has no capacity.
    /// Returns the response and, if the transaction saved something, the position of the save.
    pub async fn commit(
        mut self,
        node: &Rc<Node>,
        command: &InstanceCommand,
        values: &SessionValues,
        deadline: Instant,
    ) -> (StatementResponse, Option<Position>) {
        loop {
            if let Err(failure) = self.wait_for_commit(node, deadline).await {
                self.rollback().await;
                return (idle_failure(failure), None);
            }
            let response = match self.send_commit(command, values, deadline).await {
                Ok(response) => response,
                Err(failure) => {
                    self.pooled.close();
                    return (idle_failure(failure), None);
                }
            };
            match &response.outcome {
                Outcome::Done(_) if !self.is_acknowledged(node, &response, deadline).await => {
                    let failure = saves::withheld(command.id(), &self.instance().name);
                    self.finish(&response);
                    return (idle_failure(failure), None);
                }
                Outcome::Done(_) => {
                    let mark = response.position.filter(|_| self.wrote);
                    self.finish(&response);
                    return (response, mark);
                }
                Outcome::Failed(failure) if failure.kind == FailureKind::Busy => {
                    if Instant::now() + BUSY_RETRY_DELAY < deadline {
                        sleep(BUSY_RETRY_DELAY).await;
                        continue;
                    }
                    self.rollback().await;
                    let text = "not kept: the instance has no capacity";
                    return (
                        idle_failure(Failure::local(FailureKind::Aborted, text)),
                        None,
                    );
                }
                Outcome::Failed(_) => {
                    self.rollback().await;
                    let response = StatementResponse {
                        state: SessionState::Idle,
                        ..response
                    };
                    return (response, None);
                }
            }
        }
    }

    /// Waits until the commit may be sent.
    async fn wait_for_commit(&self, node: &Node, deadline: Instant) -> Result<(), Failure> {
        self.wait_for_rate(deadline).await?;
        if is_closed(node, &self.instance()) {
            return Err(evacuated());
        }
        if !self.may_acknowledge(node) {
            return Err(replaced());
        }
        Ok(())
    }

    async fn send_commit(
        &mut self,
        command: &InstanceCommand,
        values: &SessionValues,
        deadline: Instant,
    ) -> Result<StatementResponse, Failure> {
        let setup = Setup {
            values,
            prepared: None,
            in_transaction: true,
        };
        let _save = self.wrote.then(|| self.pooled.pool().saves().begin());
        let link = self.pooled.link();
        let response = link.run(&setup, command, None, deadline).await;
        response.map_err(|error| {
            log::warn!(
                "event=commit_unanswered id={} error=\"{error}\"",
                command.id()
            );
            let text = "the instance did not answer; the transaction may have been kept";
            Failure::local(FailureKind::Unknown, text)
        })
    }

    /// Returns whether a commit may be sent: the replacement of the primary isn't known here.
    fn may_acknowledge(&self, node: &Node) -> bool {
        let instance = self.instance();
        !self.wrote || saves::may_acknowledge(node, &instance.database, &instance.name)
    }

    /// Returns whether a commit that succeeded may be acknowledged.
    async fn is_acknowledged(
        &self,
        node: &Rc<Node>,
        response: &StatementResponse,
        deadline: Instant,
    ) -> bool {
        let instance = self.instance();
        !self.wrote
            || replication::may_acknowledge(node, &instance, response.position, deadline).await
    }

    fn finish(self, response: &StatementResponse) {
        if response.state != SessionState::Idle {
            self.pooled.close();
        }
    }

    /// Rolls back and returns the connection to the pool; closes it if the rollback can't be
    /// confirmed.
    pub async fn rollback(mut self) {
        let deadline = Instant::now() + ROLLBACK_TIMEOUT;
        let response = self
            .pooled
            .link()
            .run_control_command(&InstanceCommand::Rollback, deadline)
            .await;
        match response {
            Ok(response) if response.state == SessionState::Idle => {}
            _ => self.pooled.close(),
        }
    }

    /// Closes the connection, which rolls the transaction back.
    pub fn close(self) {
        self.pooled.close();
    }
}

/// Rolls back the idle transactions on instances of evacuated zones to which nothing may be sent any
/// longer. Their callers hear of it with their next statement.
pub fn end_evacuated(node: &Rc<Node>) {
    let is_due = |instance: &Instance| is_closed(node, instance);
    for open in node.idle_transactions.take_due(is_due) {
        log::info!(
            "event=transaction_evacuated instance={}",
            open.instance().name
        );
        tokio::task::spawn_local(open.rollback());
    }
}

fn is_closed(node: &Node, instance: &Instance) -> bool {
    let state = node.state.borrow();
    let zones = &state.evacuated_zones;
    zones.is_closed(&instance.availability_zone, clock::now())
}

fn evacuated() -> Failure {
    Failure::local(
        FailureKind::Aborted,
        "not kept: the instance's zone is evacuated",
    )
}

fn replaced() -> Failure {
    Failure::local(
        FailureKind::Aborted,
        "not kept: the primary is being replaced",
    )
}

/// Builds the response to the first write of a transaction that no replica could confirm.
fn unconfirmable(node: &Node, id: &str) -> StatementResponse {
    let delay = node.retry_delays.borrow_mut().no_replica(clock::now());
    let retry_ms = delay.as_millis();
    log::info!("event=transaction_unconfirmable id={id} retry_ms={retry_ms}");
    let text = "not kept: the primary has no replica that could confirm the transaction";
    let failure = Failure::local(
        FailureKind::Aborted,
        format!("{text}; retry in {retry_ms} ms"),
    );
    StatementResponse::local(Outcome::Failed(failure), SessionState::Failed)
}

fn aborted(id: &str, error: &super::link::LinkError) -> Failure {
    log::warn!("event=transaction_aborted id={id} error=\"{error}\"");
    Failure::local(
        FailureKind::Aborted,
        "not kept: the connection to the instance was lost",
    )
}

fn idle_failure(failure: Failure) -> StatementResponse {
    StatementResponse::local(Outcome::Failed(failure), SessionState::Idle)
}

/// Converts the failure of a transaction's start into one that says that nothing is kept.
fn start_failure(failure: Failure) -> Failure {
    if failure.not_run() {
        return failure;
    }
    Failure::local(
        FailureKind::Aborted,
        "not kept: the transaction did not start",
    )
}
