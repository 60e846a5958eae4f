//! Takes what a statement needs to be sent: an eligible instance, a slot of it and a connection to it.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::clock;
use super::execution::{StatementContext, TARGET_POLL_INTERVAL};
use super::health::Health;
use super::latency::StatementKind;
use super::link::{LinkError, first_row, is_misrouted};
use super::node::Node;
use super::pool::{LinkRequest, PooledLink};
use super::position::Position;
use super::refusal::{Cause, refuse};
use super::saves;
use super::slots::{Slot, SlotRequest};
use super::statement::{Access, Failure, FailureKind, InstanceCommand, Outcome};
use super::target::{self, Authorization, NoTarget, Target};
use crate::control::fairness::QueueClass;
use crate::name::InstanceName;
use crate::telemetry::metrics::{Step, metrics};

/// Result of acquiring an instance.
pub type Result<T, E = Failure> = std::result::Result<T, E>;

/// Time for which a statement that can't meet its latency objective any more waits for a slot, as a
/// fraction of the objective.
const LATE_WAIT_FRACTION: f64 = 0.5;

/// Number of instances without capacity that are tried for one statement.
const MAX_FULL_INSTANCES: usize = 2;

/// Fraction of a statement's time limit for which it waits for an instance that accepts it: less
/// than half, so that a refused caller has time to try another VM.
const TARGET_WAIT_FRACTION: f64 = 0.2;

/// Search for an instance that runs a statement.
#[derive(Debug)]
pub struct Search {
    /// Instances that are left out of the next selection.
    pub tried: Vec<InstanceName>,
    /// Time by which the response is due.
    due: Instant,
    /// Time until which an instance is sought.
    deadline: Instant,
}

/// Instance that a statement may be sent to now.
#[derive(Debug)]
pub struct Acquired {
    /// The instance.
    pub target: Target,
    /// Slot of the instance.
    pub slot: Slot,
    /// Connection to the instance.
    pub pooled: PooledLink,
    /// Decision to send the statement. It must be sent without a wait in between.
    pub authorization: Authorization,
}

impl Search {
    /// Starts the search for an instance.
    pub fn new(node: &Node, context: &StatementContext<'_>) -> Self {
        let now = Instant::now();
        let wait_limit = context
            .route
            .statement_timeout
            .mul_f64(TARGET_WAIT_FRACTION);
        let wait_limit = wait_limit.min(node.settings.target_wait_limit);
        Self {
            tried: Vec::new(),
            due: now + context.route.latency_objective,
            deadline: context.deadline.min(now + wait_limit),
        }
    }

    /// Returns whether no further instance is sought.
    pub fn has_ended(&self) -> bool {
        Instant::now() >= self.deadline
    }
}

/// Selects an instance and takes a slot of it and a connection to it. The decision to send is made
/// last, because the target may have become invalid while they were awaited.
///
/// # Errors
///
/// Fails with the failure to report if no instance can be acquired in time.
pub async fn acquire(
    node: &Rc<Node>,
    context: &StatementContext<'_>,
    search: &mut Search,
) -> Result<Acquired> {
    loop {
        let chosen = target::select(&node.state.borrow(), node, context, &search.tried);
        let target = match chosen {
            Ok(target) => target,
            Err(cause) => {
                wait_for_target(node, context, cause, search).await?;
                continue;
            }
        };
        check_confirmable(node, context, &target)?;
        if !target.delay.is_zero() {
            metrics().record_lag_wait(&context.route.name, target.delay);
            sleep(target.delay).await;
        }
        let pool = node.pool(&target.instance);
        let slot = match take_slot(node, context, &target, search.due).await {
            Ok(slot) => slot,
            Err(_)
                if target::may_leave(context, &target)
                    && search.tried.len() < MAX_FULL_INSTANCES =>
            {
                search.tried.push(target.instance.name.clone());
                continue;
            }
            Err(cause) => return Err(refuse(node, context, cause)),
        };
        let link_request = LinkRequest {
            workspace: context.workspace,
            claim: target::claim(context, target.is_primary),
            connect_timeout: node.settings.connect_timeout,
            deadline: search.deadline,
        };
        let reported = reported_position(node, &target);
        let taken = match pool.take(&link_request).await {
            Ok(pooled) => verify_log(node, context, &target, pooled, reported).await,
            Err(error) => Err(error),
        };
        match taken {
            Ok(pooled) => {
                if let Some(authorization) = target::authorize(node, context, &target) {
                    record_available_primary(node, context, &target);
                    return Ok(Acquired {
                        target,
                        slot,
                        pooled,
                        authorization,
                    });
                }
            }
            Err(error) => {
                record_connect_failure(node, context, &target, &error);
                if search.has_ended() {
                    return Err(refuse(node, context, Cause::Connections));
                }
                search.tried.push(target.instance.name.clone());
            }
        }
    }
}

/// Refuses a save that no replica could confirm.
fn check_confirmable(node: &Node, context: &StatementContext<'_>, target: &Target) -> Result<()> {
    if context.kind() == StatementKind::Save && !saves::may_send(node, &node.pool(&target.instance))
    {
        return Err(refuse(node, context, Cause::NoReplica));
    }
    Ok(())
}

/// Returns the latest position that the target has reported as the primary; `None` if it isn't known as
/// such.
fn reported_position(node: &Node, target: &Target) -> Option<Position> {
    let state = node.state.borrow();
    let known = state.databases.get(&target.instance.database)?;
    let reported = known.primary_position(&target.instance.name);
    reported.filter(|_| target.is_primary)
}

/// Fails if the instance has less than it has `reported` before the connection was opened. It was started again
/// without its log then, which has closed its former connections. A read that requires no position asks an
/// instance that hasn't reported any yet whether it leads; other statements leave that to the next read.
async fn verify_log(
    node: &Node,
    context: &StatementContext<'_>,
    target: &Target,
    mut pooled: PooledLink,
    reported: Option<Position>,
) -> Result<PooledLink, LinkError> {
    let Some(opening) = pooled.link().opening() else {
        return Ok(pooled);
    };
    let relies_on_log =
        target.is_primary && target.min_position.is_none() && context.access == Access::Read;
    if reported.is_none() && !relies_on_log {
        return Ok(pooled);
    }
    let named = opening.position.zip(reported);
    let has_log = if named.is_some_and(|(opening, reported)| opening >= reported) {
        Ok(true)
    } else {
        let deadline = Instant::now() + node.settings.connect_timeout;
        let deadline = context.deadline.min(deadline);
        leads(node, target, &mut pooled, reported, deadline).await
    };
    match has_log {
        Ok(true) => {
            pooled.link().record_verified();
            Ok(pooled)
        }
        Ok(false) => {
            pooled.close();
            Err(LinkError::LogLost)
        }
        Err(error) => {
            pooled.close();
            Err(error)
        }
    }
}

/// Returns whether an instance reports that it is the primary and has what it has `reported` before, and records its
/// position if it does.
async fn leads(
    node: &Node,
    target: &Target,
    pooled: &mut PooledLink,
    reported: Option<Position>,
    deadline: Instant,
) -> Result<bool, LinkError> {
    let response = loop {
        let asking = pooled
            .link()
            .run_control_command(&InstanceCommand::Report, deadline);
        let response = asking.await?;
        match &response.outcome {
            Outcome::Failed(failure) if failure.kind == FailureKind::Busy => {
                if Instant::now() + TARGET_POLL_INTERVAL >= deadline {
                    return Err(LinkError::Exhausted);
                }
                sleep(TARGET_POLL_INTERVAL).await;
            }
            _ => break response,
        }
    };
    let report = (node.adapter.protocol.decode_report)(first_row(&response.rows));
    let has_log = |received: Position| reported.is_none_or(|reported| received >= reported);
    let leading = report.filter(|report| report.is_primary && has_log(report.received));
    if let Some(report) = &leading {
        let mut state = node.state.borrow_mut();
        let known = state.database(&target.instance.database);
        known.record_primary_position(&target.instance.name, report.received);
    }
    Ok(leading.is_some())
}

fn record_available_primary(node: &Node, context: &StatementContext<'_>, target: &Target) {
    let database = &context.route.database;
    if target.is_primary && node.state.borrow().primary(database).is_some() {
        let mut delays = node.retry_delays.borrow_mut();
        delays.on_primary_available(database, clock::now());
    }
}

/// Waits until an instance may be eligible, or refuses the statement.
async fn wait_for_target(
    node: &Rc<Node>,
    context: &StatementContext<'_>,
    no_target: NoTarget,
    search: &mut Search,
) -> Result<()> {
    let cause = match no_target {
        NoTarget::NoValidityLease => Cause::NoValidityLease,
        NoTarget::PrimaryUnavailable => Cause::Replacement,
        NoTarget::Evacuated => Cause::Evacuated,
        NoTarget::AllTried => Cause::AllTried,
        NoTarget::Lagging { after } => Cause::Lagging { after },
    };
    if cause == Cause::Replacement {
        let mut delays = node.retry_delays.borrow_mut();
        delays.on_primary_unavailable(&context.route.database, clock::now());
    }
    let is_late = |after: Duration| Instant::now() + after >= search.deadline;
    let lags_too_long = matches!(cause, Cause::Lagging { after } if is_late(after));
    let is_hopeless = matches!(cause, Cause::NoValidityLease | Cause::Evacuated);
    if is_hopeless || lags_too_long || is_late(TARGET_POLL_INTERVAL) {
        return Err(refuse(node, context, cause));
    }
    let pause = sleep_until(Instant::now() + TARGET_POLL_INTERVAL);
    tokio::select! {
        () = pause => {}
        () = node.changed.notified() => {}
    }
    search.tried.clear();
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
    if matches!(error, LinkError::LogLost) {
        let pool = node.pool(&target.instance);
        pool.record_health(|health, _| health.on_deposed());
        return;
    }
    let is_alive = matches!(error, LinkError::Rejected { .. } | LinkError::Exhausted);
    if !is_alive || is_misrouted(error) {
        node.pool(&target.instance).record_health(Health::on_failed);
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
        kind: kind(context),
        due_in,
        max_wait: due_in.max(late_wait),
    }
}

/// Returns a number for the statements of the same route, access and place in a transaction.
fn kind(context: &StatementContext<'_>) -> u64 {
    let form = u64::from(context.access == Access::Write);
    let form = form | (u64::from(context.starts_transaction) << 1);
    xxhash_rust::xxh3::xxh3_64_with_seed(context.route.name.as_bytes(), form)
}

/// Waits for a place in the rate that a cold instance takes, and for a slot of the instance. A
/// statement that may leave the instance doesn't wait for the former.
///
/// # Errors
///
/// Fails with the cause to refuse the statement with when no slot is expected in time, or the
/// instance has become unreachable.
async fn take_slot(
    node: &Node,
    context: &StatementContext<'_>,
    target: &Target,
    due: Instant,
) -> Result<Slot, Cause> {
    let pool = node.pool(&target.instance);
    let mut request = slot_request(node, context, due);
    let waiting_since = Instant::now();
    let max_rate_wait = if target::may_leave(context, target) {
        Duration::ZERO
    } else {
        request.max_wait
    };
    let rate_wait = pool
        .reserve_rate(max_rate_wait)
        .map_err(|after| Cause::ColdInstance { after })?;
    if !rate_wait.is_zero() {
        sleep(rate_wait).await;
    }
    request.max_wait = request.max_wait.saturating_sub(rate_wait);
    let unreachable = if target.is_primary {
        Cause::Replacement
    } else {
        Cause::AllTried
    };
    let taken = tokio::select! {
        taken = pool.slots().take(&request) => taken,
        () = pool.wait_until_unreachable() => return Err(unreachable),
    };
    metrics().record_step(&context.route.name, Step::Wait, waiting_since.elapsed());
    taken.map_err(|refused| {
        let mut drain = pool.slots().drain();
        drain.expected = refused.retry_after.unwrap_or(drain.expected);
        Cause::Slots(drain)
    })
}
