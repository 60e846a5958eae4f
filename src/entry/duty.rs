//! Notices that a primary must be replaced, and holds the duty to do it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::sleep;

use super::agreement;
use super::clock;
use super::control::ControlLink;
use super::health::Verdict;
use super::instance::{Instance, InstanceState};
use super::keys;
use super::node::Node;
use super::pool::Pool;
use super::record::{DutyRecord, Phase, PrimaryRecord};
use super::records;
use super::state::{DatabaseState, State, StopPhase};
use super::statement::InstanceCommand;
use super::takeover::{Reason, Takeover};
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::PlatformAnswer;
use crate::name::{DatabaseName, InstanceName, VmName};
use crate::time::Timestamp;

/// Time by which VMs that notice the same thing act one after the other.
const RANK_STEP: Duration = Duration::from_millis(80);

/// Time for which a primary must be missing before it counts as gone. Announcements that lapsed
/// while the store was away come back within about two seconds, and a VM that has just started
/// can't tell them from those of instances that have left.
const GONE_AFTER: Duration = Duration::from_millis(2_500);

/// Time after which a replacement whose holder has gone is taken up again.
const UNFINISHED_AFTER: Duration = Duration::from_millis(300);

/// Longest time for a doubtful primary to report.
const REPORT_WITHIN: Duration = Duration::from_millis(250);

/// Pause after an attempt to hold the duty.
const HOLD_PAUSE: Duration = Duration::from_millis(150);

/// Interval at which an instance that doesn't answer is asked again.
const PROBE_PAUSE: Duration = Duration::from_millis(150);

/// What this VM has noticed and is doing.
#[derive(Debug, Default)]
pub struct Duty {
    noticed: RefCell<HashMap<DatabaseName, (Reason, Timestamp)>>,
    unrecorded: RefCell<HashMap<DatabaseName, Timestamp>>,
    probing: RefCell<HashSet<InstanceName>>,
    holding: Cell<bool>,
}

impl Duty {
    /// Looks at every database and starts what is due.
    pub fn tick(self: &Rc<Self>, node: &Rc<Node>) {
        let now = clock::now();
        self.probe_doubtful(node);
        let state = node.state.borrow();
        if !state.gateway || !state.guard.holds(now) || state.stop != StopPhase::Running {
            return;
        }
        let mut due = Vec::new();
        for (database, known) in &state.databases {
            if known.record.is_none() {
                self.record_first(node, &state, database, now);
                continue;
            }
            let reason = reason(node, &state, database, known);
            if self.is_due(node, &state, database, reason, now) {
                due.extend(reason.map(|reason| (database.clone(), reason)));
            }
        }
        let free = state.duty_holder.is_none() && !self.holding.get();
        drop(state);
        if !due.is_empty() && free {
            self.holding.set(true);
            let (duty, node) = (Rc::clone(self), Rc::clone(node));
            tokio::task::spawn_local(async move {
                hold(&node, due).await;
                sleep(HOLD_PAUSE).await;
                duty.holding.set(false);
            });
        }
    }

    /// Returns whether it is this VM's turn to act on a reason that has stood for a while.
    fn is_due(
        &self,
        node: &Node,
        state: &State,
        database: &DatabaseName,
        reason: Option<Reason>,
        now: Timestamp,
    ) -> bool {
        let mut noticed = self.noticed.borrow_mut();
        let Some(reason) = reason else {
            noticed.remove(database);
            return false;
        };
        let (_, since) = *noticed
            .entry(database.clone())
            .and_modify(|(known, _)| *known = reason)
            .or_insert((reason, now));
        let settle = match reason {
            Reason::Gone => GONE_AFTER,
            Reason::Unfinished => UNFINISHED_AFTER,
            _ => Duration::ZERO,
        };
        now.since(since) >= settle + RANK_STEP * rank(node, state, database)
    }

    /// Asks every instance for a report that may have failed.
    fn probe_doubtful(self: &Rc<Self>, node: &Rc<Node>) {
        for pool in node.pools() {
            let suspected = matches!(pool.verdict(), Verdict::Doubtful | Verdict::Unreachable);
            let instance = pool.instance();
            if !suspected || !self.probing.borrow_mut().insert(instance.name.clone()) {
                continue;
            }
            let (duty, node) = (Rc::clone(self), Rc::clone(node));
            tokio::task::spawn_local(async move {
                probe(&node, &pool).await;
                sleep(PROBE_PAUSE).await;
                duty.probing.borrow_mut().remove(&instance.name);
            });
        }
    }

    /// Records the first primary of a database that has never had one.
    fn record_first(
        &self,
        node: &Rc<Node>,
        state: &State,
        database: &DatabaseName,
        now: Timestamp,
    ) {
        let mut primaries = state
            .directory
            .of(database)
            .filter(|known| known.is_primary);
        let (Some(primary), None) = (primaries.next(), primaries.next()) else {
            return;
        };
        let mut unrecorded = self.unrecorded.borrow_mut();
        let since = *unrecorded.entry(database.clone()).or_insert(now);
        if now.since(since) < RANK_STEP * rank(node, state, database) * 3 {
            return;
        }
        // Not tried again before every other VM had its turn.
        unrecorded.insert(database.clone(), now);
        let (node, primary) = (Rc::clone(node), Rc::clone(primary));
        tokio::task::spawn_local(async move { record_primary(&node, primary).await });
    }
}

async fn record_primary(node: &Rc<Node>, primary: Rc<Instance>) {
    let mut link = ControlLink::new(Rc::clone(node), Rc::clone(&primary));
    let report = link.ask(&InstanceCommand::Report, REPORT_WITHIN * 2).await;
    let Some(report) = report.filter(|report| report.is_primary) else {
        return;
    };
    let record = PrimaryRecord {
        primary: primary.name.clone(),
        term: report.term,
        phase: Phase::Steady,
        instances: node.state.borrow().directory.of(&primary.database).count(),
    };
    records::write(node, &primary.database, Revision(0), record).await;
}

async fn probe(node: &Rc<Node>, pool: &Pool) {
    let instance = pool.instance();
    let mut link = ControlLink::new(Rc::clone(node), Rc::clone(&instance));
    let report = link.ask(&InstanceCommand::Report, REPORT_WITHIN).await;
    let leads = report.as_ref().is_some_and(|report| report.is_primary);
    let expected = {
        let state = node.state.borrow();
        let primary = state.primary(&instance.database);
        primary.is_some_and(|primary| primary.name == instance.name)
    };
    pool.note_health(|health, now| match report {
        Some(_) if expected && !leads => health.deposed(),
        Some(_) => health.heard(now),
        // An instance without capacity is alive.
        None if link.has_answered() => health.heard(now),
        None => health.failed(now),
    });
}

fn reason(
    node: &Node,
    state: &State,
    database: &DatabaseName,
    known: &DatabaseState,
) -> Option<Reason> {
    let record = &known.record.as_ref()?.record;
    if record.phase != Phase::Steady {
        return Some(Reason::Unfinished);
    }
    let Some(primary) = state.directory.get(&record.primary) else {
        return state.directory_known.then_some(Reason::Gone);
    };
    match node.pool_verdict(&primary.name) {
        Verdict::Unreachable => return Some(Reason::Unreachable),
        Verdict::Stalled => return Some(Reason::Stalled),
        Verdict::Deposed => return Some(Reason::Deposed),
        Verdict::Healthy | Verdict::Doubtful => {}
    }
    let successor = |instance: &Rc<Instance>| {
        instance.name != primary.name && instance.state == InstanceState::Serving
    };
    let leaving = primary.state == InstanceState::Draining;
    (leaving && state.directory.of(database).any(successor)).then_some(Reason::Leaving)
}

/// Returns this VM's place in the order in which the VMs act for a database.
fn rank(node: &Node, state: &State, database: &DatabaseName) -> u32 {
    let weight = |vm: &VmName| xxhash_rust::xxh3::xxh3_64(format!("{vm}/{database}").as_bytes());
    let own = weight(&node.settings.vm);
    let before = state.gateways.keys().filter(|vm| weight(vm) < own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Takes the duty, replaces the primaries that are due, and gives the duty back.
async fn hold(node: &Rc<Node>, due: Vec<(DatabaseName, Reason)>) {
    let ttl = node.settings.duty_ttl;
    let granted = node.call(PlatformRequest::GrantLease { ttl }).await;
    let Ok(PlatformAnswer::Lease { lease, .. }) = granted else {
        log::warn!("event=duty_lease_not_granted answer={granted:?}");
        return;
    };
    if let Some(generation) = claim(node, lease).await {
        log::info!(
            "event=duty_taken generation={} databases={}",
            generation.0,
            due.len()
        );
        let replacing = join_all(due.into_iter().map(|(database, reason)| {
            Takeover::run(Rc::clone(node), database, generation.0, reason)
        }));
        tokio::select! {
            _ = replacing => {}
            () = keep(node, lease) => log::warn!("event=duty_lost generation={}", generation.0),
        }
    }
    if let Err(error) = node.call(PlatformRequest::Revoke { lease }).await {
        log::warn!("event=duty_not_given_back lease={lease} error=\"{error}\"");
    }
}

async fn claim(node: &Rc<Node>, lease: u64) -> Option<Revision> {
    let holder = node.settings.vm.clone();
    let value = serde_json::to_vec(&DutyRecord { holder, lease }).ok()?;
    let request = PlatformRequest::CompareAndSwap {
        key: keys::DUTY.to_owned(),
        expected: Revision(0),
        value: Some(value),
        lease: Some(lease),
    };
    match node.call(request).await {
        Ok(PlatformAnswer::Swapped { revision }) => Some(revision),
        Ok(PlatformAnswer::Conflict {
            current: Some(current),
        }) => {
            // The watch may be slower than this answer.
            agreement::apply(node, current);
            let holder = node.state.borrow().duty_holder.clone();
            log::info!("event=duty_not_taken holder={holder:?}");
            None
        }
        answer => {
            log::info!("event=duty_not_taken answer={answer:?}");
            None
        }
    }
}

/// Renews the duty's lease; returns when it can't be relied on any longer.
async fn keep(node: &Rc<Node>, lease: u64) {
    let ttl = node.settings.duty_ttl;
    let mut held_until = clock::now() + ttl / 2;
    loop {
        sleep(ttl / 5).await;
        let sent_at = clock::now();
        match node.call(PlatformRequest::KeepAlive { lease }).await {
            Ok(PlatformAnswer::Lease { .. }) => held_until = sent_at + ttl.mul_f64(0.8),
            Ok(PlatformAnswer::LeaseLapsed) => return,
            answer => log::warn!("event=duty_unrenewed lease={lease} answer={answer:?}"),
        }
        if clock::now() >= held_until {
            return;
        }
    }
}
