//! Runs a statement on an instance and retries on others where that is safe.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::catalog::Route;
use super::clock;
use super::health::Health;
use super::latency::StatementKind;
use super::link::{LinkError, Setup};
use super::node::Node;
use super::pool::{Answer, LinkRequest, Pool, PooledLink};
use super::position::Position;
use super::slots::{Slot, SlotRequest};
use super::statement::{Access, Failure, FailureKind, InstanceCommand, Outcome, StatementResponse};
use super::target::{self, NoTarget, Target};
use crate::control::fairness::QueueClass;
use crate::name::{InstanceName, WorkspaceName};
use crate::telemetry::metrics::{Step, metrics};
use crate::time::Timestamp;

/// Delay before a statement is retried on a primary that had no capacity.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Maximum time between two attempts to select an instance while none is eligible, for example
/// because a primary is being replaced.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time for which a statement that can't meet its latency objective any more waits for a slot, as a
/// fraction of the objective.
const LATE_WAIT_FRACTION: f64 = 0.5;

/// Number of instances without capacity that are tried for one statement.
const MAX_FULL_INSTANCES: usize = 2;

/// Retry delay suggested to a refused caller, after which there may be capacity.
const RETRY_AFTER_BUSY: Duration = Duration::from_millis(100);

/// Retry delay suggested to a refused caller whose primary is in an evacuated zone: the usual time in
/// which another instance is promoted.
const RETRY_AFTER_EVACUATION: Duration = Duration::from_secs(1);

/// Fraction of a statement's time limit for which it waits for an instance that accepts it: less
/// than half, so that a refused caller has time to try another VM.
const TARGET_WAIT_FRACTION: f64 = 0.2;

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
    let mut possibly_run = None;
    let result = attempt(node, context, command, &mut possibly_run).await;
    let failure = match &result {
        Ok(executed) => match &executed.response.outcome {
            Outcome::Done(_) => None,
            Outcome::Failed(failure) => Some(failure),
        },
        Err(failure) => Some(failure),
    };
    let is_refused = failure.is_some_and(Failure::not_run);
    match possibly_run.filter(|_| is_refused) {
        Some(failure) => Err(failure),
        None => result,
    }
}

/// Attempts to run a command, on one instance after the other. Stores the failure of an attempt that
/// may have run in `possibly_run`: the statement can't be reported as not run any more.
async fn attempt(
    node: &Rc<Node>,
    context: &StatementContext<'_>,
    command: &InstanceCommand,
    possibly_run: &mut Option<Failure>,
) -> Result<Executed, Failure> {
    let mut tried = Vec::new();
    let selection_deadline = selection_deadline(node, context);
    let due = Instant::now() + context.route.latency_objective;
    let started_at = clock::now();
    loop {
        let (target, slot, mut pooled) =
            acquire(node, context, &mut tried, due, selection_deadline).await?;
        let sent_at = clock::now();
        let route = &context.route.name;
        metrics().record_step(route, Step::Connect, sent_at.since(started_at));
        let pool = Rc::clone(pooled.pool());
        pool.statement_started();
        let running = pooled.link().run(
            &context.setup,
            command,
            target.min_position,
            context.deadline,
        );
        let repeatable = context.access == Access::Read || context.starts_transaction;
        let result = tokio::select! {
            result = running => result,
            () = pool.wait_until_unreachable(), if repeatable => Err(LinkError::TimedOut),
        };
        drop(slot);
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                pool.statement_lost(context.kind(), context.workspace);
                pooled.close();
                record_missing_response(node, context, &target, &error);
                let failure = missing_response_failure(context, command, &error);
                if repeatable && Instant::now() < selection_deadline {
                    tried.push(target.instance.name.clone());
                    // The start of a transaction runs nothing of the caller.
                    *possibly_run = Some(failure).filter(|_| !context.starts_transaction);
                    continue;
                }
                return Err(failure);
            }
        };
        record_response(node, context, &target, &response, sent_at);
        let elapsed = clock::now().since(sent_at);
        let answer = answer(node, context, &target, &response, elapsed);
        pool.statement_answered(&answer);
        target::record_lag(node, &target, &answer);
        metrics().record_step(route, Step::Run, elapsed);
        let Outcome::Failed(failure) = &response.outcome else {
            return Ok(Executed { response, pooled });
        };
        let retryable = is_retryable(context, failure, tried.len());
        if !retryable || Instant::now() >= selection_deadline {
            return Ok(Executed { response, pooled });
        }
        if !failure.not_run() {
            *possibly_run = Some(failure.clone());
        }
        prepare_retry(context, &target, failure.kind, &mut pooled, &mut tried).await;
    }
}

/// Returns the time until which instances are selected for a statement.
fn selection_deadline(node: &Node, context: &StatementContext<'_>) -> Instant {
    let timeout = context.route.statement_timeout;
    let wait_limit = timeout.mul_f64(TARGET_WAIT_FRACTION);
    let wait_limit = wait_limit.min(node.settings.target_wait_limit);
    context.deadline.min(Instant::now() + wait_limit)
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
    context: &StatementContext<'_>,
    target: &Target,
    kind: FailureKind,
    pooled: &mut PooledLink,
    tried: &mut Vec<InstanceName>,
) {
    metrics().count_retry(kind.into());
    log::info!(
        "event=statement_moved id={} from={} reason={kind}",
        context.id,
        target.instance.name
    );
    if kind == FailureKind::Busy {
        pooled.pool().slots().on_rejected();
    }
    match kind {
        FailureKind::NoSuchStatement => pooled.link().forget_prepared(),
        FailureKind::ReadOnly => {
            pooled.pool().record_health(|health, _| health.on_deposed());
            sleep(TARGET_POLL_INTERVAL).await;
        }
        FailureKind::Busy if !target::may_leave(context, target) => sleep(BUSY_RETRY_DELAY).await,
        _ => tried.push(target.instance.name.clone()),
    }
}

/// Returns whether the same command may be retried after a failure. A read that failed on
/// the instance is retried unless another instance has been tried before.
fn is_retryable(context: &StatementContext<'_>, failure: &Failure, tried_count: usize) -> bool {
    let failed_read = context.access == Access::Read && failure.kind == FailureKind::Failed;
    failure.not_run() || (failed_read && tried_count == 0)
}

/// Selects an instance and takes a slot of it and a connection to it. The target is checked again
/// afterwards, because it may have become invalid while they were awaited.
async fn acquire(
    node: &Rc<Node>,
    context: &StatementContext<'_>,
    tried: &mut Vec<InstanceName>,
    due: Instant,
    selection_deadline: Instant,
) -> Result<(Target, Slot, PooledLink), Failure> {
    loop {
        let chosen = target::select(&node.state.borrow(), node, context, tried);
        let target = match chosen {
            Ok(target) => target,
            Err(cause) => {
                wait_for_target(node, context, cause, tried, selection_deadline).await?;
                continue;
            }
        };
        if !target.delay.is_zero() {
            metrics().record_lag_wait(&context.route.name, target.delay);
            sleep(target.delay).await;
        }
        let pool = node.pool(&target.instance);
        let request = slot_request(node, context, due);
        let may_leave = target::may_leave(context, &target);
        let mut slot = match take_slot(&pool, &request, may_leave).await {
            Ok(slot) => slot,
            Err(_) if may_leave && tried.len() < MAX_FULL_INSTANCES => {
                tried.push(target.instance.name.clone());
                continue;
            }
            Err(after) => {
                let reason = "the instance has no capacity";
                return Err(refusal(node, context, reason, after));
            }
        };
        let link_request = LinkRequest {
            workspace: context.workspace,
            claim: target::claim(context, target.is_primary),
            connect_timeout: node.settings.connect_timeout,
            deadline: selection_deadline,
        };
        let taken = pool.take(&link_request).await;
        match taken {
            Ok(pooled) if target::is_still_valid(node, context, &target) => {
                slot.set_connected();
                return Ok((target, slot, pooled));
            }
            Ok(_) => {}
            Err(error) => {
                record_connect_failure(node, context, &target, &error);
                if Instant::now() >= selection_deadline {
                    return Err(refusal(
                        node,
                        context,
                        "no connection to an instance is free",
                        RETRY_AFTER_BUSY,
                    ));
                }
                tried.push(target.instance.name.clone());
            }
        }
    }
}

/// Waits until an instance may be eligible, or refuses the statement.
async fn wait_for_target(
    node: &Rc<Node>,
    context: &StatementContext<'_>,
    cause: NoTarget,
    tried: &mut Vec<InstanceName>,
    selection_deadline: Instant,
) -> Result<(), Failure> {
    let reason = match cause {
        NoTarget::NoValidityLease => "this VM can't tell which instance is the primary",
        NoTarget::PrimaryUnavailable => "the primary is being replaced",
        NoTarget::Evacuated => "the primary's zone is evacuated",
        NoTarget::AllTried => "no instance has capacity",
        NoTarget::Lagging { .. } => "no instance has reached the required position",
    };
    let retry_after = match cause {
        NoTarget::Lagging { after } => after,
        NoTarget::Evacuated => RETRY_AFTER_EVACUATION,
        _ => RETRY_AFTER_BUSY,
    };
    let is_late = |after: Duration| Instant::now() + after >= selection_deadline;
    let lags_too_long = matches!(cause, NoTarget::Lagging { after } if is_late(after));
    let is_hopeless = matches!(cause, NoTarget::NoValidityLease | NoTarget::Evacuated);
    if is_hopeless || lags_too_long || is_late(TARGET_POLL_INTERVAL) {
        return Err(refusal(node, context, reason, retry_after));
    }
    let pause = sleep_until(Instant::now() + TARGET_POLL_INTERVAL);
    tokio::select! {
        () = pause => {}
        () = node.changed.notified() => {}
    }
    tried.clear();
    Ok(())
}

fn record_connect_failure(
    node: &Node,
    context: &StatementContext<'_>,
    target: &Target,
    error: &LinkError,
) {
    log::debug!(
        "event=connection_failed id={} instance={} error=\"{error}\"",
        context.id,
        target.instance.name
    );
    if !matches!(error, LinkError::Rejected { .. } | LinkError::Exhausted) {
        node.pool(&target.instance).record_health(Health::on_failed);
    }
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
    sent_at: Timestamp,
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
    let mut state = node.state.borrow_mut();
    let had_validity_lease = state.has_validity_lease(sent_at);
    let known = state.database(&target.instance.database);
    if let Some(position) = response
        .position
        .filter(|_| had_validity_lease && leads(response))
    {
        known.freshness.record(position, sent_at, clock::now());
    }
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

/// Describes a statement to the queue of an instance. It waits until its response is due; those that
/// would end late go last, so that they take no room from others. One that is late before it waits,
/// for example after the replacement of a primary, is still served where there is room.
fn slot_request(node: &Node, context: &StatementContext<'_>, due: Instant) -> SlotRequest {
    let catalog = node.catalog();
    let workspace = catalog
        .as_ref()
        .and_then(|catalog| catalog.workspaces.get(context.workspace));
    let rate_per_s = workspace.map_or(1.0, |workspace| workspace.rate_per_s);
    let due_in = due.saturating_duration_since(Instant::now());
    let late_wait = context.route.latency_objective.mul_f64(LATE_WAIT_FRACTION);
    SlotRequest {
        workspace: context.workspace.clone(),
        class: QueueClass::of_priority(context.route.priority),
        weight: (rate_per_s as u32).max(1),
        due_in,
        max_wait: due_in.max(late_wait),
    }
}

/// Waits for a place in the rate that a cold instance takes, and for a slot of the instance. A
/// statement that may leave the instance doesn't wait for the former.
///
/// # Errors
///
/// Fails with the time after which there may be one.
async fn take_slot(pool: &Pool, request: &SlotRequest, may_leave: bool) -> Result<Slot, Duration> {
    let max_wait = if may_leave {
        Duration::ZERO
    } else {
        request.max_wait
    };
    let wait = pool.reserve_rate(max_wait)?;
    if !wait.is_zero() {
        sleep(wait).await;
    }
    let request = SlotRequest {
        max_wait: request.max_wait.saturating_sub(wait),
        ..request.clone()
    };
    let taken = tokio::select! {
        taken = pool.slots().take(&request) => taken,
        () = pool.wait_until_unreachable() => return Err(RETRY_AFTER_BUSY),
    };
    taken.map_err(|refused| refused.retry_after.unwrap_or(RETRY_AFTER_BUSY))
}

/// Builds the failure for a refused statement that hasn't run, and logs the refusal.
pub fn refusal(
    node: &Node,
    context: &StatementContext<'_>,
    reason: &str,
    retry_after: Duration,
) -> Failure {
    metrics().count_entry_refusal(&context.route.name, reason);
    let retry_ms = retry_after.as_millis();
    log::info!(
        "event=request_refused id={} route={} workspace={} reason=\"{reason}\" vm={} \
         retry_ms={retry_ms}",
        context.id,
        context.route.name,
        context.workspace,
        node.settings.vm
    );
    Failure::local(
        FailureKind::Busy,
        format!("not run: {reason}; retry in {retry_ms} ms"),
    )
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
