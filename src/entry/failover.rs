//! Detects that a primary must be replaced, and holds the failover lease during the replacement.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::clock;
use super::control::ControlLink;
use super::health::Verdict;
use super::instance::{Instance, InstanceState};
use super::node::Node;
use super::pool::Pool;
use super::record::{Phase, PrimaryRecord, PromotionCalls};
use super::records;
use super::replacement::Reason;
use super::state::{DatabaseState, State, StopPhase};
use super::statement::InstanceCommand;
use super::tenure::Tenure;
use crate::configuration::Revision;
use crate::name::{DatabaseName, InstanceName, VmName};
use crate::time::Timestamp;

/// Delay between the VMs that act on the same failure, so that they don't act at the same time.
pub const DELAY_PER_RANK: Duration = Duration::from_millis(80);

/// Time for which the announcement of a primary must be missing before it counts as gone.
/// Announcements that lapsed during a store outage are restored within about two seconds, and a VM
/// that has just started can't distinguish those instances from instances that have left.
const MISSING_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after which an unfinished replacement is resumed when nobody holds the failover lease.
const RESUME_DELAY: Duration = Duration::from_millis(300);

/// Delay before a record is checked after a restoration of the store, and before it is checked again.
const CHECK_DELAY: Duration = Duration::from_millis(500);

/// Time limit for an instance to report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay between two probes of an instance that may have failed.
const PROBE_DELAY: Duration = Duration::from_millis(150);

/// Detects failed primaries and starts their replacement.
#[derive(Debug, Default)]
pub struct FailoverMonitor {
    reasons: RefCell<HashMap<DatabaseName, (Reason, Timestamp)>>,
    unrecorded_since: RefCell<HashMap<DatabaseName, Timestamp>>,
    probing: RefCell<HashSet<InstanceName>>,
    tenure: Rc<Tenure>,
}

impl FailoverMonitor {
    /// Checks every database and starts the replacements that are due.
    pub fn tick(self: &Rc<Self>, node: &Rc<Node>) {
        let now = clock::now();
        self.probe_doubtful(node);
        let state = node.state.borrow();
        if !state.gateway || !state.validity_lease.is_valid(now) || state.stop != StopPhase::Running
        {
            return;
        }
        let mut due = Vec::new();
        for (database, known) in &state.databases {
            if known.record.is_none() {
                self.record_first(node, &state, database, now);
                continue;
            }
            let reason = reason(node, &state, known);
            if self.is_due(node, &state, database, reason, now) {
                due.extend(reason.map(|reason| (database.clone(), reason)));
            }
        }
        // A holder of the failover lease of before a restoration may still act.
        let is_restoring = node.timeline_age() < node.settings.failover_lease_ttl;
        let is_free = state.failover_holder.is_none();
        drop(state);
        if due.is_empty() || is_restoring {
            return;
        }
        if self.tenure.is_active() {
            self.tenure.add(due);
        } else if is_free {
            self.tenure.begin(node, due);
            let mut reasons = self.reasons.borrow_mut();
            reasons.retain(|_, (reason, _)| *reason != Reason::Restored);
        }
    }

    /// Returns whether a reason has persisted long enough for this VM to act on it.
    fn is_due(
        &self,
        node: &Node,
        state: &State,
        database: &DatabaseName,
        reason: Option<Reason>,
        now: Timestamp,
    ) -> bool {
        let mut reasons = self.reasons.borrow_mut();
        let Some(reason) = reason else {
            reasons.remove(database);
            return false;
        };
        let (_, since) = *reasons
            .entry(database.clone())
            .and_modify(|(known, _)| *known = reason)
            .or_insert((reason, now));
        let delay = match reason {
            Reason::Gone => MISSING_TIMEOUT,
            Reason::Unfinished => RESUME_DELAY,
            Reason::Restored => CHECK_DELAY,
            _ => Duration::ZERO,
        };
        now.since(since) >= delay + DELAY_PER_RANK * rank(node, state, database)
    }

    /// Requests a report from every instance that may have failed.
    fn probe_doubtful(self: &Rc<Self>, node: &Rc<Node>) {
        for pool in node.pools() {
            let suspected = matches!(pool.verdict(), Verdict::Doubtful | Verdict::Unreachable);
            let instance = pool.instance();
            if !suspected || !self.probing.borrow_mut().insert(instance.name.clone()) {
                continue;
            }
            let (monitor, node) = (Rc::clone(self), Rc::clone(node));
            tokio::task::spawn_local(async move {
                probe(&node, &pool).await;
                sleep(PROBE_DELAY).await;
                monitor.probing.borrow_mut().remove(&instance.name);
            });
        }
    }

    /// Writes the first record of a database whose primary has never been recorded.
    fn record_first(
        &self,
        node: &Rc<Node>,
        state: &State,
        database: &DatabaseName,
        now: Timestamp,
    ) {
        let mut primaries = state
            .directory
            .in_database(database)
            .filter(|known| known.is_primary);
        let (Some(primary), None) = (primaries.next(), primaries.next()) else {
            return;
        };
        let mut unrecorded_since = self.unrecorded_since.borrow_mut();
        let since = *unrecorded_since.entry(database.clone()).or_insert(now);
        if now.since(since) < DELAY_PER_RANK * rank(node, state, database) * 3 {
            return;
        }
        // Restarts the delay before this VM's next attempt, so that the others get their turn.
        unrecorded_since.insert(database.clone(), now);
        let (node, primary) = (Rc::clone(node), Rc::clone(primary));
        tokio::task::spawn_local(async move { record_primary(&node, primary).await });
    }
}

async fn record_primary(node: &Rc<Node>, primary: Rc<Instance>) {
    let mut link = ControlLink::new(Rc::clone(node), Rc::clone(&primary));
    let report = link
        .request(&InstanceCommand::Report, REPORT_TIMEOUT * 2)
        .await;
    let Some(report) = report.filter(|report| report.is_primary) else {
        return;
    };
    let (instances, started_at_ms) = {
        let state = node.state.borrow();
        let database = &primary.database;
        (state.count_logs(database), state.first_starts(database))
    };
    let record = PrimaryRecord {
        primary: primary.name.clone(),
        term: report.term,
        phase: Phase::Steady,
        instances,
        timeline: node.adapter.store.timeline(),
        promotion_calls: PromotionCalls::NONE,
        started_at_ms,
    };
    records::write(node, &primary.database, Revision(0), record).await;
}

async fn probe(node: &Rc<Node>, pool: &Pool) {
    let instance = pool.instance();
    let mut link = ControlLink::new(Rc::clone(node), Rc::clone(&instance));
    let report = link.request(&InstanceCommand::Report, REPORT_TIMEOUT).await;
    let leads = report.as_ref().is_some_and(|report| report.is_primary);
    let expected = {
        let state = node.state.borrow();
        let primary = state.primary(&instance.database);
        primary.is_some_and(|primary| primary.name == instance.name)
    };
    pool.record_health(|health, now| match report {
        Some(_) if expected && !leads => health.on_deposed(),
        Some(_) => health.on_response(now),
        // An instance that refuses for lack of capacity is alive.
        None if link.has_responded() => health.on_response(now),
        None => health.on_failed(now),
    });
}

fn reason(node: &Node, state: &State, known: &DatabaseState) -> Option<Reason> {
    let record = known.record.as_ref()?;
    if record.is_outdated() {
        return Some(Reason::Restored);
    }
    let record = &record.record;
    if record.phase != Phase::Steady {
        return Some(Reason::Unfinished);
    }
    let Some(primary) = state.directory.get(&record.primary) else {
        return state.directory_known.then_some(Reason::Gone);
    };
    let reason = match node.health_verdict(&primary.name) {
        Verdict::Unreachable => return Some(Reason::Unreachable),
        Verdict::Deposed => return Some(Reason::Deposed),
        // It still serves reads.
        Verdict::Stalled => Some(Reason::Stalled),
        Verdict::Healthy | Verdict::Doubtful => planned_reason(state, primary),
    };
    reason.filter(|_| has_successor(node, state, primary))
}

/// Returns why a primary that serves must be replaced, if it must.
fn planned_reason(state: &State, primary: &Instance) -> Option<Reason> {
    if state.evacuated_zones.contains(&primary.availability_zone) {
        return Some(Reason::Evacuated);
    }
    (primary.state == InstanceState::Draining).then_some(Reason::Leaving)
}

/// Returns whether another instance may be promoted.
fn has_successor(node: &Node, state: &State, primary: &Instance) -> bool {
    let mut members = state.directory.in_database(&primary.database);
    members.any(|instance| {
        let is_reachable = node.health_verdict(&instance.name) != Verdict::Unreachable;
        instance.name != primary.name && state.may_lead(instance) && is_reachable
    })
}

/// Returns this VM's position in the order in which the gateways act for a database.
pub fn rank(node: &Node, state: &State, database: &DatabaseName) -> u32 {
    let weight = |vm: &VmName| xxhash_rust::xxh3::xxh3_64(format!("{vm}/{database}").as_bytes());
    let own = weight(&node.settings.vm);
    let before = state.gateways.keys().filter(|vm| weight(vm) < own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}
