//! Selects the instance that a statement runs on.

use std::rc::Rc;
use std::time::Duration;

use super::clock;
use super::execution::StatementContext;
use super::freshness::Freshness;
use super::health::Verdict;
use super::instance::{Instance, InstanceState};
use super::node::Node;
use super::placement::{Candidate, NoCandidate, choose};
use super::pool::{Answer, Claim};
use super::position::Position;
use super::state::State;
use super::statement::{Access, FailureKind};
use crate::name::InstanceName;
use crate::time::Timestamp;

/// Time before the drain limit of an instance from which on nothing is sent to it. Covers the delay of
/// the watch, and statements on their way.
const DRAIN_MARGIN: Duration = Duration::from_secs(2);

/// Result of selecting an instance.
pub type Result<T, E = NoTarget> = std::result::Result<T, E>;

/// Instance chosen for a statement.
#[derive(Debug, Clone)]
pub struct Target {
    /// The instance.
    pub instance: Rc<Instance>,
    /// Position that the instance must have reached; `None` if it needn't be checked.
    pub min_position: Option<Position>,
    /// Whether the instance is the recorded primary.
    pub is_primary: bool,
    /// Time to wait before the statement is sent, until the instance is expected to have reached
    /// `min_position`.
    pub delay: Duration,
}

/// Decision to send a statement to a target, by the record and the validity lease of that time.
///
/// A lease that holds later says nothing about that time: it may have lapsed and been regained.
#[derive(Debug, Clone, Copy)]
pub struct Authorization {
    /// Time of the decision, at which the statement is sent.
    pub sent_at: Timestamp,
    /// Whether a position that the instance reports covers every save acknowledged before: it is the
    /// primary, and the record that names it could be relied on.
    pub covers_saves: bool,
}

/// Why no instance could be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTarget {
    /// The primary is being replaced or unknown.
    PrimaryUnavailable,
    /// This VM has no validity lease and can't rely on the records it has read.
    NoValidityLease,
    /// The primary is in an evacuated zone, and the time in which it still ran statements is over.
    Evacuated,
    /// Every eligible instance has been tried.
    AllTried,
    /// No eligible instance is expected to reach the required position soon.
    Lagging {
        /// Expected time until the first one has reached it.
        after: Duration,
    },
}

/// Selects an instance that hasn't been tried yet.
///
/// # Errors
///
/// Fails with the reason why no instance can run the statement now.
pub fn select(
    state: &State,
    node: &Node,
    context: &StatementContext<'_>,
    tried: &[InstanceName],
) -> Result<Target> {
    let now = clock::now();
    let has_validity_lease = state.has_validity_lease(now);
    let staleness = context.route.consistency.staleness();
    let known = state.databases.get(&context.route.database);
    let bound = known
        .zip(staleness)
        .and_then(|(known, staleness)| known.freshness.bound(now, staleness));
    let position = bound.map(|bound| context.mark.map_or(bound, |mark| mark.max(bound)));
    if context.access == Access::Read && staleness.is_some() {
        let selected =
            select_read_target(state, node, context, position, has_validity_lease, tried);
        // An evacuated primary isn't a candidate, but still runs what no other instance can run.
        let needs_primary = tried.is_empty() && is_primary_evacuated(state, context);
        if selected.is_ok() || !needs_primary {
            return selected;
        }
    }
    let instance = primary(state, context).ok_or(NoTarget::PrimaryUnavailable)?;
    let zones = &state.evacuated_zones;
    if zones.is_closed(&instance.availability_zone, now) {
        return Err(NoTarget::Evacuated);
    }
    if has_drained(state, node, instance, now) {
        return Err(NoTarget::PrimaryUnavailable);
    }
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
        delay: Duration::ZERO,
    })
}

/// Returns the primary if it accepts statements of this kind.
fn primary<'a>(state: &'a State, context: &StatementContext<'_>) -> Option<&'a Rc<Instance>> {
    match context.access {
        Access::Read => state.readable_primary(&context.route.database),
        Access::Write => state.primary(&context.route.database),
    }
}

/// Returns whether an instance announced so long ago that it leaves that nothing may be sent to it any
/// longer.
fn has_drained(state: &State, node: &Node, instance: &Instance, now: Timestamp) -> bool {
    let limit = node.settings.drain_limit.saturating_sub(DRAIN_MARGIN);
    state.directory.draining_for(&instance.name, now) >= limit
}

fn is_primary_evacuated(state: &State, context: &StatementContext<'_>) -> bool {
    let zones = &state.evacuated_zones;
    primary(state, context).is_some_and(|primary| zones.contains(&primary.availability_zone))
}

/// Returns whether a statement is safe on an instance that has been replaced as the primary: it
/// reads nothing, and its save is acknowledged only if a replica still follows the instance.
fn is_safe_without_lease(state: &State, context: &StatementContext<'_>) -> bool {
    context.access == Access::Write && !context.starts_transaction && is_synchronous(state, context)
}

fn is_synchronous(state: &State, context: &StatementContext<'_>) -> bool {
    let catalog = state.catalog.as_ref();
    catalog.is_some_and(|catalog| catalog.is_synchronous(&context.route.database))
}

fn select_read_target(
    state: &State,
    node: &Node,
    context: &StatementContext<'_>,
    position: Option<Position>,
    has_validity_lease: bool,
    tried: &[InstanceName],
) -> Result<Target> {
    let primary = state.primary(&context.route.database);
    let is_primary =
        |instance: &Rc<Instance>| primary.is_some_and(|primary| primary.name == instance.name);
    let usable = |instance: &&Rc<Instance>| {
        let consistent = position.is_some() || (is_primary(instance) && has_validity_lease);
        let serving = instance.state == InstanceState::Serving || is_primary(instance);
        let reachable = node.health_verdict(&instance.name) != Verdict::Unreachable;
        let zones = &state.evacuated_zones;
        let evacuated = zones.contains(&instance.availability_zone);
        let drained = has_drained(state, node, instance, clock::now());
        let eligible = consistent && serving && reachable && !evacuated && !drained;
        eligible && !tried.contains(&instance.name) && is_rate_free(node, context, instance)
    };
    let instances: Vec<_> = state
        .directory
        .in_database(&context.route.database)
        .filter(usable)
        .collect();
    let instances = admitted(node, instances, &is_primary);
    let known = state.databases.get(&context.route.database);
    let freshness = known.map(|known| &known.freshness);
    let need = position.map(|position| Need {
        position,
        age: freshness.and_then(|freshness| freshness.age(position, clock::now())),
    });
    let candidates: Vec<_> = instances
        .iter()
        .map(|instance| candidate(node, context, instance, need, is_primary(instance)))
        .collect();
    let freshness = freshness.filter(|_| has_validity_lease);
    let renewing = renewing_primary(node, context, freshness, &instances, &candidates);
    let chosen = renewing.map_or_else(|| choose(&candidates, rand::random()), Ok);
    let index = chosen.map_err(|cause| match (cause, position) {
        (NoCandidate::Lagging { after }, _) => NoTarget::Lagging { after },
        (NoCandidate::Missing, _) if !tried.is_empty() => NoTarget::AllTried,
        (NoCandidate::Missing, None) if !has_validity_lease => NoTarget::NoValidityLease,
        (NoCandidate::Missing, _) => NoTarget::PrimaryUnavailable,
    })?;
    let is_primary = candidates[index].is_primary;
    Ok(Target {
        instance: Rc::clone(instances[index]),
        min_position: if is_primary && has_validity_lease {
            None
        } else {
            position
        },
        is_primary,
        delay: candidates[index].lag_wait,
    })
}

/// Removes the instances that are ejected as outliers, or return from it and don't get this read. If
/// none is left, all remain.
fn admitted<'a>(
    node: &Node,
    instances: Vec<&'a Rc<Instance>>,
    is_primary: &dyn Fn(&Rc<Instance>) -> bool,
) -> Vec<&'a Rc<Instance>> {
    let now = clock::now();
    let is_admitted = |instance: &&&Rc<Instance>| {
        let pool = node.pool(instance);
        let share = pool.outlier().borrow().admitted_share(now);
        share >= 1.0 || is_primary(instance) || rand::random::<f64>() < share
    };
    let admitted: Vec<_> = instances.iter().filter(is_admitted).copied().collect();
    if admitted.is_empty() {
        instances
    } else {
        admitted
    }
}

/// Position that a read must see.
#[derive(Debug, Clone, Copy)]
struct Need {
    position: Position,
    /// Time for which the primary has had it at least; `None` if it isn't known.
    age: Option<Duration>,
}

/// Returns the index of the primary if this read should fetch a newer position from it. Otherwise the
/// known one would become too old before the replicas have reached a newer one, and the reads of that
/// time would be rejected as too early or have to run on the primary.
fn renewing_primary(
    node: &Node,
    context: &StatementContext<'_>,
    freshness: Option<&Freshness>,
    instances: &[&Rc<Instance>],
    candidates: &[Candidate],
) -> Option<usize> {
    let staleness = context.route.consistency.staleness()?;
    let index = candidates.iter().position(|one| one.is_primary)?;
    let replicas = instances.iter().enumerate().filter(|(at, _)| *at != index);
    let lags = replicas.map(|(_, instance)| node.pool(instance).lag().estimate());
    let lag = lags.min()?.min(staleness / 2);
    let renews = freshness?.needs_renewal(clock::now(), staleness, lag);
    renews.then_some(index)
}

/// Records what the response of a replica shows about its lag.
pub fn record_lag(node: &Node, target: &Target, answer: &Answer<'_>) {
    if target.is_primary {
        return;
    }
    let state = node.state.borrow();
    let Some(known) = state.databases.get(&target.instance.database) else {
        return;
    };
    let now = clock::now();
    let rejected = answer.failure == Some(FailureKind::Lagging);
    let age = answer
        .min_position
        .and_then(|position| known.freshness.age(position, now));
    let bounds = answer
        .position
        .map(|position| known.freshness.lag_bounds(position, now));
    node.pool(&target.instance).update_lag(|lag| {
        if let Some(bounds) = bounds {
            lag.record(&bounds);
        }
        if rejected {
            lag.record_rejection(age);
        }
    });
}

/// Returns whether an instance may run a read at once, which a cold one may not always. Transactions
/// start elsewhere, because each of their statements would have to wait.
fn is_rate_free(node: &Node, context: &StatementContext<'_>, instance: &Rc<Instance>) -> bool {
    let pool = node.pool(instance);
    pool.is_rate_free() && !(context.starts_transaction && pool.is_rate_limited())
}

fn candidate(
    node: &Node,
    context: &StatementContext<'_>,
    instance: &Rc<Instance>,
    need: Option<Need>,
    is_primary: bool,
) -> Candidate {
    let pool = node.pool(instance);
    let latency = pool.latency();
    let route_times = node.route_times.borrow();
    let usual = route_times.usual(&context.route.name, context.kind());
    let missing = need.filter(|need| pool.position().is_none_or(|at| at < need.position));
    let lag_wait = match missing {
        Some(need) if !is_primary => pool.lag().wait(need.age),
        _ => Duration::ZERO,
    };
    Candidate {
        is_primary,
        is_same_zone: instance.availability_zone == node.settings.availability_zone,
        load: pool.load(),
        connection: pool.availability(context.workspace, claim(context, is_primary)),
        latency: latency.expected(usual),
        mean_latency: latency.mean(),
        is_contended: pool.is_contended(),
        view_age: pool.view_age(),
        lag_wait,
    }
}

/// Decides whether a statement may be sent to a target now, which may have become invalid since it was
/// selected. The statement must be sent without a wait in between.
pub fn authorize(
    node: &Node,
    context: &StatementContext<'_>,
    target: &Target,
) -> Option<Authorization> {
    let state = node.state.borrow();
    let now = clock::now();
    if has_drained(&state, node, &target.instance, now) {
        return None;
    }
    let (zones, zone) = (&state.evacuated_zones, &target.instance.availability_zone);
    if !target.is_primary {
        let authorization = Authorization {
            sent_at: now,
            covers_saves: false,
        };
        return Some(authorization).filter(|_| !zones.contains(zone));
    }
    let is_recorded =
        primary(&state, context).is_some_and(|primary| primary.name == target.instance.name);
    let has_validity_lease = state.has_validity_lease(now);
    let is_safe = has_validity_lease
        || target.min_position.is_some()
        || is_safe_without_lease(&state, context);
    let authorization = Authorization {
        sent_at: now,
        covers_saves: has_validity_lease,
    };
    Some(authorization).filter(|_| is_recorded && is_safe && !zones.is_closed(zone, now))
}

/// Returns whether another instance may run the statement. Only then is an instance without capacity
/// left out of the next attempt.
pub fn may_leave(context: &StatementContext<'_>, target: &Target) -> bool {
    !target.is_primary || may_run_on_replica(context)
}

/// Returns which part of an instance's connections the statement may use.
pub fn claim(context: &StatementContext<'_>, is_primary: bool) -> Claim {
    if is_primary && may_run_on_replica(context) {
        Claim::Unreserved
    } else {
        Claim::Full
    }
}

fn may_run_on_replica(context: &StatementContext<'_>) -> bool {
    let may_be_stale = context.route.consistency.staleness().is_some();
    context.access == Access::Read && may_be_stale
}
