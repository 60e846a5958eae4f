//! Selects an instance for a statement, runs it there and retries on others where that is safe.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::catalog::Route;
use super::clock;
use super::health::{Health, Verdict};
use super::instance::{Instance, InstanceState};
use super::link::{LinkError, Setup};
use super::node::Node;
use super::placement::{Candidate, choose};
use super::pool::{Pool, PooledLink};
use super::position::Position;
use super::slots::{self, Slot, SlotRequest};
use super::state::State;
use super::statement::{Access, Failure, FailureKind, InstanceCommand, Outcome, StatementResponse};
use crate::name::{InstanceName, WorkspaceName};
use crate::telemetry::metrics::{Step, metrics};
use crate::time::Timestamp;

/// Delay before a statement is retried on a primary that had no capacity.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Maximum time between two attempts to select an instance while none is eligible, for example
/// because a primary is being replaced.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time for which a statement waits for a slot of an instance, as a fraction of its route's
/// latency objective.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Number of instances without capacity that are tried for one statement.
const MAX_FULL_INSTANCES: usize = 2;

/// Retry delay suggested to a refused caller, after which there may be capacity.
const RETRY_AFTER_BUSY: Duration = Duration::from_millis(100);

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

/// Instance chosen for a statement.
#[derive(Debug, Clone)]
struct Target {
    instance: Rc<Instance>,
    min_position: Option<Position>,
    is_primary: bool,
}

/// Why no instance could be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoTarget {
    /// The primary is being replaced or unknown.
    PrimaryUnavailable,
    /// This VM has no validity lease and can't rely on the records it has read.
    NoValidityLease,
    /// Every eligible instance has been tried.
    AllTried,
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
    let mut tried = Vec::new();
    let wait_limit = context
        .route
        .statement_timeout
        .mul_f64(TARGET_WAIT_FRACTION);
    let selection_deadline = context
        .deadline
        .min(Instant::now() + wait_limit.min(node.settings.target_wait_limit));
    let started_at = clock::now();
    loop {
        let (target, slot, mut pooled) =
            acquire(node, context, &mut tried, selection_deadline).await?;
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
                pool.statement_lost();
                pooled.close();
                record_missing_response(node, context, &target, &error);
                if repeatable && Instant::now() < selection_deadline {
                    tried.push(target.instance.name.clone());
                    continue;
                }
                return Err(missing_response_failure(context, command, &error));
            }
        };
        record_response(node, context, &target, &response, sent_at);
        let elapsed = clock::now().since(sent_at);
        pool.statement_answered(elapsed, response.position);
        metrics().record_step(route, Step::Run, elapsed);
        let Outcome::Failed(failure) = &response.outcome else {
            return Ok(Executed { response, pooled });
        };
        let retryable = is_retryable(context, failure, tried.len());
        if !retryable || Instant::now() >= selection_deadline {
            return Ok(Executed { response, pooled });
        }
        prepare_retry(context, &target, failure.kind, &mut pooled, &mut tried).await;
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
        FailureKind::Busy if !may_leave(context, target) => sleep(BUSY_RETRY_DELAY).await,
        _ => tried.push(target.instance.name.clone()),
    }
}

/// Returns whether another instance may run the statement. Only then is an instance without capacity
/// left out of the next attempt.
fn may_leave(context: &StatementContext<'_>, target: &Target) -> bool {
    let may_be_stale = context.route.consistency.staleness().is_some();
    !target.is_primary || (context.access == Access::Read && may_be_stale)
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
    selection_deadline: Instant,
) -> Result<(Target, Slot, PooledLink), Failure> {
    loop {
        let chosen = select_target(&node.state.borrow(), node, context, tried);
        let target = match chosen {
            Ok(target) => target,
            Err(cause) => {
                wait_for_target(node, context, cause, tried, selection_deadline).await?;
                continue;
            }
        };
        let pool = node.pool(&target.instance);
        let request = slot_request(node, context);
        let slot = match take_slot(&pool, &request).await {
            Ok(slot) => slot,
            Err(_) if may_leave(context, &target) && tried.len() < MAX_FULL_INSTANCES => {
                tried.push(target.instance.name.clone());
                continue;
            }
            Err(after) => {
                let reason = "the instance has no capacity";
                return Err(refusal(node, context, reason, after));
            }
        };
        let connect_timeout = node.settings.connect_timeout;
        let taken = pool
            .take(context.workspace, connect_timeout, selection_deadline)
            .await;
        match taken {
            Ok(pooled) if is_still_valid(node, context, &target) => {
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
        NoTarget::AllTried => "no instance has capacity",
    };
    if cause == NoTarget::NoValidityLease
        || Instant::now() + TARGET_POLL_INTERVAL >= selection_deadline
    {
        return Err(refusal(node, context, reason, RETRY_AFTER_BUSY));
    }
    let pause = sleep_until(Instant::now() + TARGET_POLL_INTERVAL);
    tokio::select! {
        () = pause => {}
        () = node.changed.notified() => {}
    }
    tried.clear();
    Ok(())
}

fn select_target(
    state: &State,
    node: &Node,
    context: &StatementContext<'_>,
    tried: &[InstanceName],
) -> Result<Target, NoTarget> {
    let now = clock::now();
    let has_validity_lease = state.has_validity_lease(now);
    let staleness = context.route.consistency.staleness();
    let known = state.databases.get(&context.route.database);
    let bound = known
        .zip(staleness)
        .and_then(|(known, staleness)| known.freshness.bound(now, staleness));
    let position = bound.map(|bound| context.mark.map_or(bound, |mark| mark.max(bound)));
    if context.access == Access::Read && staleness.is_some() {
        return select_read_target(state, node, context, position, has_validity_lease, tried);
    }
    let instance = primary(state, context).ok_or(NoTarget::PrimaryUnavailable)?;
    let min_position = if has_validity_lease || is_safe_without_lease(state, context) {
        None
    } else {
        Some(position.ok_or(NoTarget::NoValidityLease)?)
    };
    if tried.contains(&instance.name) {
        return Err(NoTarget::AllTried);
    }
    Ok(Target {
        instance: Rc::clone(instance),
        min_position,
        is_primary: true,
    })
}

/// Returns the primary if it accepts statements of this kind.
fn primary<'a>(state: &'a State, context: &StatementContext<'_>) -> Option<&'a Rc<Instance>> {
    match context.access {
        Access::Read => state.readable_primary(&context.route.database),
        Access::Write => state.primary(&context.route.database),
    }
}

/// Returns whether a statement is safe on an instance that has been replaced as the primary: it
/// reads nothing, and its save is acknowledged only if a replica still follows the instance.
fn is_safe_without_lease(state: &State, context: &StatementContext<'_>) -> bool {
    context.access == Access::Write && !context.starts_transaction && is_synchronous(state, context)
}

fn is_synchronous(state: &State, context: &StatementContext<'_>) -> bool {
    let catalog = state.catalog.as_ref();
    let database = catalog.and_then(|catalog| catalog.databases.get(&context.route.database));
    database.is_some_and(|database| database.synchronous_replicas > 0)
}

fn select_read_target(
    state: &State,
    node: &Node,
    context: &StatementContext<'_>,
    position: Option<Position>,
    has_validity_lease: bool,
    tried: &[InstanceName],
) -> Result<Target, NoTarget> {
    let primary = state.primary(&context.route.database);
    let is_primary =
        |instance: &Rc<Instance>| primary.is_some_and(|primary| primary.name == instance.name);
    let usable = |instance: &&Rc<Instance>| {
        let consistent = position.is_some() || (is_primary(instance) && has_validity_lease);
        let serving = instance.state == InstanceState::Serving || is_primary(instance);
        let reachable = node.health_verdict(&instance.name) != Verdict::Unreachable;
        consistent && serving && reachable && !tried.contains(&instance.name)
    };
    let instances: Vec<_> = state
        .directory
        .in_database(&context.route.database)
        .filter(usable)
        .collect();
    let candidates: Vec<_> = instances
        .iter()
        .map(|instance| candidate(node, context, instance, is_primary(instance)))
        .collect();
    let Some(index) = choose(position, &candidates) else {
        return Err(match (tried.is_empty(), position) {
            (true, None) if !has_validity_lease => NoTarget::NoValidityLease,
            (true, _) => NoTarget::PrimaryUnavailable,
            (false, _) => NoTarget::AllTried,
        });
    };
    let is_primary = candidates[index].is_primary;
    Ok(Target {
        instance: Rc::clone(instances[index]),
        min_position: if is_primary && has_validity_lease {
            None
        } else {
            position
        },
        is_primary,
    })
}

fn candidate(
    node: &Node,
    context: &StatementContext<'_>,
    instance: &Rc<Instance>,
    is_primary: bool,
) -> Candidate {
    let pool = node.pool(instance);
    Candidate {
        is_primary,
        is_same_zone: instance.availability_zone == node.settings.availability_zone,
        load: pool.load(),
        connection: pool.availability(context.workspace),
        latency: pool.latency(),
        position: pool.position(),
    }
}

/// Returns whether a target that was selected before a wait may still be used.
fn is_still_valid(node: &Node, context: &StatementContext<'_>, target: &Target) -> bool {
    let state = node.state.borrow();
    let has_validity_lease = state.has_validity_lease(clock::now());
    if !target.is_primary {
        return true;
    }
    let same = primary(&state, context).is_some_and(|primary| primary.name == target.instance.name);
    same && (has_validity_lease
        || target.min_position.is_some()
        || is_safe_without_lease(&state, context))
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
    let mut state = node.state.borrow_mut();
    let had_validity_lease = state.has_validity_lease(sent_at);
    let known = state.database(&target.instance.database);
    let done = matches!(response.outcome, Outcome::Done(_));
    if context.access == Access::Write && !context.starts_transaction && done {
        node.pool(&target.instance)
            .record_health(|health, _| health.on_save(true));
    }
    if let Some(position) = response
        .position
        .filter(|_| had_validity_lease && leads(response))
    {
        known.freshness.record(position, sent_at);
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

/// Describes a statement to the queue of an instance. It waits for at most half of its latency
/// objective, so that its response is still in time when it starts last.
fn slot_request(node: &Node, context: &StatementContext<'_>) -> SlotRequest {
    let catalog = node.catalog();
    let workspace = catalog
        .as_ref()
        .and_then(|catalog| catalog.workspaces.get(context.workspace));
    let rate_per_s = workspace.map_or(1.0, |workspace| workspace.rate_per_s);
    SlotRequest {
        workspace: context.workspace.clone(),
        class: slots::class(context.route.priority),
        weight: (rate_per_s as u32).max(1),
        max_wait: context.route.latency_objective.mul_f64(MAX_WAIT_FRACTION),
    }
}

/// Waits for a slot of an instance.
///
/// # Errors
///
/// Fails with the time after which there may be one.
async fn take_slot(pool: &Pool, request: &SlotRequest) -> Result<Slot, Duration> {
    let taken = tokio::select! {
        taken = pool.slots().take(request) => taken,
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
