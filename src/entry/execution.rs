//! Runs a statement on an instance and retries on others where that is safe.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::acquisition::{Acquired, Search, acquire};
use super::catalog::Route;
use super::clock;
use super::latency::StatementKind;
use super::link::{LinkError, Setup};
use super::node::Node;
use super::pool::{Answer, PooledLink};
use super::position::Position;
use super::refusal::{Cause, refuse};
use super::replication;
use super::saves;
use super::slots::Slot;
use super::statement::{Access, Failure, FailureKind, InstanceCommand, Outcome, StatementResponse};
use super::target::{self, Authorization, Target};
use crate::name::WorkspaceName;
use crate::telemetry::metrics::{Step, metrics};
use crate::time::Timestamp;

/// Delay before the first retry on a primary that had no capacity; doubles with each further one.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Maximum time between two attempts to select an instance while none is eligible, for example
/// because a primary is being replaced. An instance that says that it isn't the primary is tried
/// again after this time, and after four times as long with each further retry.
pub const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Everything needed to run a statement, apart from its command.
#[derive(Debug)]
pub struct StatementContext<'a> {
    /// Identifier of the caller's request, for log lines.
    pub id: &'a Arc<str>,
    /// Route that the statement runs on.
    pub route: &'a Arc<Route>,
    /// Workspace that the statement runs for.
    pub workspace: &'a WorkspaceName,
    /// Whether the statement, or the transaction that it starts, may write.
    pub access: Access,
    /// Whether the statement starts a transaction, whose later statements may read.
    pub starts_transaction: bool,
    /// Position of the session's last save, which reads must see.
    pub mark: Option<Position>,
    /// Session values and prepared statement that its connection must have.
    pub setup: Setup<'a>,
    /// End of the statement's time limit.
    pub deadline: Instant,
    /// Number of attempts that other VMs have made.
    pub attempts: u8,
}

impl StatementContext<'_> {
    /// Returns the kind of the statement.
    pub const fn kind(&self) -> StatementKind {
        match (self.starts_transaction, self.access) {
            (true, _) => StatementKind::Begin,
            (false, Access::Write) => StatementKind::Save,
            (false, Access::Read) => StatementKind::Read,
        }
    }
}

/// Response of an instance, with the connection that it was received on.
#[derive(Debug)]
pub struct Executed {
    /// Response of the instance.
    pub response: StatementResponse,
    /// Connection that the statement ran on.
    pub pooled: PooledLink,
}

/// What has been done for a statement so far.
#[derive(Debug)]
struct Progress {
    /// Search for the next instance.
    search: Search,
    /// Number of attempts, including those of other VMs.
    attempts: u8,
    /// Failure to report if there is no further attempt: that of an attempt that may have run.
    may_have_run: Option<Failure>,
}

impl Progress {
    fn new(node: &Node, context: &StatementContext<'_>) -> Self {
        Self {
            search: Search::new(node, context),
            attempts: context.attempts.saturating_add(1),
            may_have_run: None,
        }
    }

    /// Takes a retry within the statement's attempts and the budget of its database; returns whether
    /// there was one.
    fn take_retry(
        &mut self,
        node: &Node,
        context: &StatementContext<'_>,
        reason: &'static str,
    ) -> bool {
        if self.search.has_ended() {
            return false;
        }
        // Preparing a statement again takes no capacity from others.
        if reason == <&str>::from(FailureKind::NoSuchStatement) {
            return true;
        }
        let database = &context.route.database;
        let taken = node.take_retry(context.id, database, self.attempts, reason);
        self.attempts += u8::from(taken);
        taken
    }
}

/// Runs a command on an eligible instance. If the instance didn't run it, or if running it twice is
/// safe, the command is retried, on another instance where possible.
///
/// # Errors
///
/// Fails with the failure to report to the caller; its kind says whether the command may have run.
pub async fn run(
    node: &Rc<Node>,
    context: &StatementContext<'_>,
    command: &InstanceCommand,
) -> Result<Executed, Failure> {
    let mut progress = Progress::new(node, context);
    if context.attempts == 0 {
        node.record_first_attempt(&context.route.database);
    }
    let started_at = clock::now();
    loop {
        let acquired = acquire(node, context, &mut progress.search).await;
        let Acquired {
            target,
            slot,
            mut pooled,
            authorization,
        } = acquired.map_err(|refused| progress.may_have_run.take().unwrap_or(refused))?;
        let sent_at = authorization.sent_at;
        log_sent(node, context, &target, sent_at);
        let route = &context.route.name;
        metrics().record_step(route, Step::Connect, sent_at.since(started_at));
        let pool = Rc::clone(pooled.pool());
        let result = send(context, command, &target, slot, &mut pooled).await;
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                pool.statement_lost(context.kind(), context.workspace);
                pooled.close();
                record_missing_response(node, context, &target, &error);
                let failure = missing_response_failure(context, command, &error);
                if is_repeatable(context) && progress.take_retry(node, context, "answer_missing") {
                    progress.search.tried.push(target.instance.name.clone());
                    // The start of a transaction runs nothing of the caller.
                    progress.may_have_run = Some(failure).filter(|_| !context.starts_transaction);
                    continue;
                }
                return Err(failure);
            }
        };
        if shows_log(node, context, &target, &response) {
            pooled.link().record_verified();
        }
        // Until its log has been verified, an instance may not be the primary that the record names.
        let authorization = Authorization {
            covers_saves: authorization.covers_saves && pooled.link().opening().is_none(),
            ..authorization
        };
        record_response(node, context, &target, &response, authorization);
        let elapsed = clock::now().since(sent_at);
        let answer = answer(node, context, &target, &response, elapsed);
        pool.statement_answered(&answer);
        target::record_lag(node, &target, &answer);
        metrics().record_step(route, Step::Run, elapsed);
        let Outcome::Failed(failure) = &response.outcome else {
            return acknowledged(node, context, &target, Executed { response, pooled }).await;
        };
        if !is_retryable(context, failure, progress.search.tried.len()) {
            return Ok(Executed { response, pooled });
        }
        if !progress.take_retry(node, context, failure.kind.into()) {
            return last_failure(node, context, progress, Executed { response, pooled });
        }
        prepare_retry(node, context, &target, failure, &mut pooled, &mut progress).await;
    }
}

/// Sends a command, waits for the response and releases the slot. If the command may run elsewhere,
/// it waits only while the instance isn't unreachable.
async fn send(
    context: &StatementContext<'_>,
    command: &InstanceCommand,
    target: &Target,
    mut slot: Slot,
    pooled: &mut PooledLink,
) -> Result<StatementResponse, LinkError> {
    let pool = Rc::clone(pooled.pool());
    let _save = (context.kind() == StatementKind::Save).then(|| pool.saves().begin());
    pool.statement_started();
    let running = pooled.link().run(
        &context.setup,
        command,
        target.min_position,
        context.deadline,
    );
    slot.statement_sent();
    let result = tokio::select! {
        result = running => result,
        () = pool.wait_until_unreachable(), if is_repeatable(context) => Err(LinkError::TimedOut),
    };
    if result.as_ref().is_ok_and(StatementResponse::is_not_run) {
        slot.statement_rejected();
    }
    result
}

/// Returns the response of a statement that succeeded, unless it is a save that may not be acknowledged.
async fn acknowledged(
    node: &Rc<Node>,
    context: &StatementContext<'_>,
    target: &Target,
    executed: Executed,
) -> Result<Executed, Failure> {
    if context.kind() != StatementKind::Save {
        return Ok(executed);
    }
    let (instance, position) = (&target.instance, executed.response.position);
    if replication::may_acknowledge(node, instance, position, context.deadline).await {
        Ok(executed)
    } else {
        Err(saves::withheld(context.id, &instance.name))
    }
}

/// Returns whether a command may be sent again after its response was lost.
fn is_repeatable(context: &StatementContext<'_>) -> bool {
    context.access == Access::Read || context.starts_transaction
}

/// Reports a retryable failure that isn't retried. A statement that no instance can have run is
/// refused with the time at which to retry.
fn last_failure(
    node: &Node,
    context: &StatementContext<'_>,
    progress: Progress,
    executed: Executed,
) -> Result<Executed, Failure> {
    if let Some(failure) = progress.may_have_run {
        return Err(failure);
    }
    let Outcome::Failed(failure) = &executed.response.outcome else {
        return Ok(executed);
    };
    match failure.kind {
        FailureKind::Busy
        | FailureKind::Lagging
        | FailureKind::Misrouted
        | FailureKind::TooManyConnections => {
            if failure.kind == FailureKind::Busy {
                executed.pooled.pool().slots().on_rejected();
            }
            Err(refuse(node, context, Cause::RetriesUsedUp))
        }
        FailureKind::ReadOnly => Err(refuse(node, context, Cause::Replacement)),
        _ => Ok(executed),
    }
}

fn answer<'a>(
    node: &Node,
    context: &'a StatementContext<'_>,
    target: &Target,
    response: &StatementResponse,
    taken: Duration,
) -> Answer<'a> {
    let failure = match &response.outcome {
        Outcome::Done(_) => None,
        Outcome::Failed(failure) => Some(failure.kind),
    };
    let route = &context.route.name;
    let usual = match failure {
        None => node
            .route_times
            .borrow_mut()
            .record(route, context.kind(), taken),
        Some(_) => node.route_times.borrow().usual(route, context.kind()),
    };
    Answer {
        route,
        workspace: context.workspace,
        kind: context.kind(),
        taken,
        usual,
        position: response.position,
        min_position: target.min_position,
        failure,
    }
}

/// Prepares the next attempt after a retryable failure: waits, or excludes the instance.
async fn prepare_retry(
    node: &Node,
    context: &StatementContext<'_>,
    target: &Target,
    failure: &Failure,
    pooled: &mut PooledLink,
    progress: &mut Progress,
) {
    if !failure.not_run() {
        progress.may_have_run = Some(failure.clone());
    }
    let kind = failure.kind;
    metrics().count_retry(kind.into());
    log::info!(
        "event=statement_moved id={} from={} reason={kind} attempts={}",
        context.id,
        target.instance.name,
        progress.attempts
    );
    if kind == FailureKind::Busy {
        pooled.pool().slots().on_rejected();
    }
    let retries = u32::from(progress.attempts - context.attempts).saturating_sub(2);
    match kind {
        FailureKind::NoSuchStatement => pooled.link().forget_prepared(),
        FailureKind::ReadOnly => {
            pooled.pool().record_health(|health, _| health.on_deposed());
            await_other_primary(
                node,
                context,
                target,
                TARGET_POLL_INTERVAL * 4_u32.pow(retries),
            )
            .await;
        }
        FailureKind::Busy if !target::may_leave(context, target) => {
            sleep(BUSY_RETRY_DELAY * 2_u32.pow(retries)).await;
        }
        _ => progress.search.tried.push(target.instance.name.clone()),
    }
}

/// Waits until another instance, or none, is recorded as the primary, at most for `limit`.
async fn await_other_primary(
    node: &Node,
    context: &StatementContext<'_>,
    target: &Target,
    limit: Duration,
) {
    let replaced = node.wait_until(|state| {
        let primary = state.primary(&context.route.database);
        primary.is_none_or(|primary| primary.name != target.instance.name)
    });
    // The record may be right after all; the statement is then sent to the same instance again.
    let _ = timeout(limit, replaced).await;
}

/// Returns whether the same command may be retried after a failure. A read that failed on
/// the instance is retried unless another instance has been tried before.
fn is_retryable(context: &StatementContext<'_>, failure: &Failure, tried_count: usize) -> bool {
    let failed_read = context.access == Access::Read && failure.kind == FailureKind::Failed;
    failure.not_run() || (failed_read && tried_count == 0)
}

/// Logs by which right a statement is sent: a position that the instance must have reached, or the
/// lease by which this VM relies on the record of the primary.
fn log_sent(node: &Node, context: &StatementContext<'_>, target: &Target, sent_at: Timestamp) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let state = node.state.borrow();
    let record = state.databases.get(&context.route.database);
    let revision = record.and_then(|known| Some(known.record.as_ref()?.revision.0));
    log::debug!(
        "event=statement_sent id={} instance={} started_at_ms={} is_primary={} min_position={:?} \
         guard_left_ms={} sublease_left_ms={} record_revision={revision:?}",
        context.id,
        target.instance.name,
        target.instance.started_at_ms,
        target.is_primary,
        target.min_position,
        state.validity_lease.time_left(sent_at).as_millis(),
        state.sublease.time_left(sent_at).as_millis()
    );
}

fn record_missing_response(
    node: &Node,
    context: &StatementContext<'_>,
    target: &Target,
    error: &LinkError,
) {
    log::warn!(
        "event=answer_missing id={} instance={} access={} error=\"{error}\"",
        context.id,
        target.instance.name,
        context.access
    );
    let save = context.access == Access::Write && !context.starts_transaction;
    if target.is_primary && save && matches!(error, LinkError::TimedOut) {
        node.pool(&target.instance)
            .record_health(|health, _| health.on_save(false));
    }
}

fn record_response(
    node: &Node,
    context: &StatementContext<'_>,
    target: &Target,
    response: &StatementResponse,
    authorization: Authorization,
) {
    if !target.is_primary {
        return;
    }
    let done = matches!(response.outcome, Outcome::Done(_));
    if context.access == Access::Write && !context.starts_transaction && done {
        // The pool is created again, which reads the state, if the instance was removed meanwhile.
        node.pool(&target.instance)
            .record_health(|health, _| health.on_save(true));
    }
    if let Some(position) = response
        .position
        .filter(|_| authorization.covers_saves && leads(response))
    {
        let mut state = node.state.borrow_mut();
        let known = state.database(&target.instance.database);
        known
            .freshness
            .record(position, authorization.sent_at, clock::now());
        known.record_primary_position(&target.instance.name, position);
    }
}

/// Returns whether a response shows that the instance leads and has all that it has reported: what writes succeeds
/// only at a primary.
fn shows_log(
    node: &Node,
    context: &StatementContext<'_>,
    target: &Target,
    response: &StatementResponse,
) -> bool {
    let is_done = matches!(response.outcome, Outcome::Done(_));
    let state = node.state.borrow();
    let known = state.databases.get(&target.instance.database);
    let reported = known.and_then(|known| known.primary_position(&target.instance.name));
    is_done && context.access == Access::Write && response.position >= reported
}

/// Returns whether a response of the recorded primary shows that the instance leads. One without
/// capacity does: its position is as good as that of a served statement, and while it is
/// overloaded, reads can only leave it by such positions.
fn leads(response: &StatementResponse) -> bool {
    match &response.outcome {
        Outcome::Done(_) => true,
        Outcome::Failed(failure) => failure.kind == FailureKind::Busy,
    }
}

/// Builds the failure for a statement without a response. Reads and transaction starts have kept
/// nothing; a single save may have been kept.
fn missing_response_failure(
    context: &StatementContext<'_>,
    command: &InstanceCommand,
    error: &LinkError,
) -> Failure {
    if matches!(command, InstanceCommand::Begin { .. }) {
        return Failure::local(
            FailureKind::Aborted,
            "not kept: the transaction did not start",
        );
    }
    match (context.access, error) {
        (Access::Read, LinkError::TimedOut) => {
            Failure::local(FailureKind::TimedOut, "the instance did not answer in time")
        }
        (Access::Read, _) => Failure::local(FailureKind::Failed, "the instance broke off"),
        (Access::Write, _) => Failure::local(
            FailureKind::Unknown,
            "the instance did not answer; the save may have been kept",
        ),
    }
}
