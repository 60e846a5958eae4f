//! Keeps count of the instances of each database that may hold acknowledged saves.
//!
//! The count is part of the record of the primary, so that a VM that starts knows of instances that it has
//! never seen. It follows the announcements: it grows when an instance joins, and shrinks when one has
//! left and the others have received everything that it may have confirmed. The record also names the start of each
//! instance, so that such a VM notices one that was started again without its log.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::{Instant, sleep};

use super::clock;
use super::control::ControlLink;
use super::failover::{DELAY_PER_RANK, rank};
use super::health::Verdict;
use super::instance::Instance;
use super::node::Node;
use super::promotion::MemberReport;
use super::record::{Phase, PrimaryRecord, VersionedRecord};
use super::records;
use super::reports::{self, REPORT_TIMEOUT};
use super::state::State;
use super::statement::InstanceCommand;
use crate::name::{DatabaseName, InstanceName};
use crate::time::Timestamp;

/// Time for which an instance that vanished without announcing that it leaves is still counted: it may
/// only be cut off from the store.
const LOSS_DELAY: Duration = Duration::from_secs(4);

/// Time for which more instances must be announced than are recorded before the record is written.
const GROWTH_DELAY: Duration = Duration::from_millis(500);

/// Delay before another attempt to record a size.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time limit for the replicas to receive what the primary has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the replicas are polled until they have caught up.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Records how many instances of each database may hold acknowledged saves.
#[derive(Debug, Default)]
pub struct GroupSizes {
    /// Time since when a database has had a number of instances that differs from the recorded one.
    differs_since: HashMap<DatabaseName, Timestamp>,
    /// Databases whose size is being recorded.
    recording: Rc<RefCell<HashSet<DatabaseName>>>,
}

/// Number of instances that a record is to be written with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resize {
    Grow(usize),
    Shrink(usize),
}

impl GroupSizes {
    /// Counts the instances of every database, and records the numbers that have changed.
    pub fn tick(&mut self, node: &Rc<Node>) {
        let now = clock::now();
        let mut state = node.state.borrow_mut();
        let databases: Vec<DatabaseName> = state.databases.keys().cloned().collect();
        for database in databases {
            let count = state.count_logs(&database);
            let known = state.database(&database);
            known.group_size = known.group_size.max(count);
            let due = if state.gateway && state.validity_lease.is_valid(now) {
                resize(node, &state, &database, count)
            } else {
                None
            };
            let Some((resize, delay)) = due else {
                self.differs_since.remove(&database);
                continue;
            };
            let since = *self.differs_since.entry(database.clone()).or_insert(now);
            let delay = delay + DELAY_PER_RANK * rank(node, &state, &database);
            if now.since(since) < delay || !self.recording.borrow_mut().insert(database.clone()) {
                continue;
            }
            let (node, recording) = (Rc::clone(node), Rc::clone(&self.recording));
            tokio::task::spawn_local(async move {
                record(&node, &database, resize).await;
                sleep(RETRY_DELAY).await;
                recording.borrow_mut().remove(&database);
            });
        }
    }
}

/// Returns the number of instances to record, and for how long it must have differed from the recorded one.
fn resize(
    node: &Node,
    state: &State,
    database: &DatabaseName,
    count: usize,
) -> Option<(Resize, Duration)> {
    let known = state.databases.get(database)?;
    let record = &steady_record(state, database)?.record;
    let recorded = record.instances;
    let primary = state.primary(database)?;
    let mut members = state.directory.in_database(database);
    let has_joined = members.any(|instance| {
        !record.started_at_ms.contains_key(&instance.name) && !state.has_left(instance)
    });
    if count > recorded || has_joined {
        return Some((Resize::Grow(count.max(recorded)), GROWTH_DELAY));
    }
    if count == recorded.max(known.group_size)
        || node.health_verdict(&primary.name) != Verdict::Healthy
    {
        return None;
    }
    let mut members = state.directory.in_database(database);
    let has_left = members.any(|instance| state.has_left(instance));
    let delay = if has_left { Duration::ZERO } else { LOSS_DELAY };
    Some((Resize::Shrink(count), delay))
}

/// Returns the record of a database if it is as the store holds it and no replacement is under way.
fn steady_record<'a>(state: &'a State, database: &DatabaseName) -> Option<&'a VersionedRecord> {
    let record = state.databases.get(database)?.record.as_ref()?;
    Some(record).filter(|known| known.record.phase == Phase::Steady && !known.is_outdated())
}

async fn record(node: &Rc<Node>, database: &DatabaseName, resize: Resize) {
    let (record, members, left) = {
        let state = node.state.borrow();
        let Some(record) = steady_record(&state, database).cloned() else {
            return;
        };
        let members = state.directory.in_database(database).cloned();
        let (mut left, members): (Vec<_>, Vec<_>) = members.partition(|one| state.has_left(one));
        left.extend(state.directory.departed_from(database).cloned());
        (record, members, left)
    };
    let instances = match resize {
        Resize::Grow(count) => count,
        Resize::Shrink(count) => {
            let is_safe =
                !responds(node, left).await && has_caught_up(node, &record, members).await;
            let is_unchanged = node.state.borrow().count_logs(database) == count;
            if !is_safe || !is_unchanged {
                log::info!(
                    "event=group_size_kept database={database} instances={}",
                    record.record.instances
                );
                return;
            }
            count
        }
    };
    let resized = PrimaryRecord {
        instances,
        started_at_ms: starts(&node.state.borrow(), database, instances),
        ..record.record
    };
    let written = records::write(node, database, record.stored, resized).await;
    log::info!(
        "event=group_size_recorded database={database} instances={instances} written={}",
        written.is_some()
    );
}

/// Returns the first known starts of a database's instances. Those that aren't announced are left out if all that
/// are counted are announced.
fn starts(state: &State, database: &DatabaseName, instances: usize) -> BTreeMap<InstanceName, u64> {
    let mut starts = state.first_starts(database);
    if state.count_logs(database) >= instances {
        starts.retain(|name, _| state.directory.get(name).is_some());
    }
    starts
}

/// Returns whether any of the instances, which have left or aren't announced any more, still responds. It may confirm
/// further saves then.
async fn responds(node: &Rc<Node>, instances: Vec<Rc<Instance>>) -> bool {
    let requests = instances.into_iter().map(async |instance| {
        let mut link = ControlLink::new(Rc::clone(node), Rc::clone(&instance));
        let report = link.request(&InstanceCommand::Report, REPORT_TIMEOUT).await;
        let has_responded = report.is_some() || link.has_responded();
        drop(link);
        node.forget_unannounced(&instance.name);
        has_responded
    });
    join_all(requests).await.contains(&true)
}

/// Returns whether every replica has received the log that the recorded primary has now. The primary holds
/// every acknowledged save.
async fn has_caught_up(
    node: &Rc<Node>,
    record: &VersionedRecord,
    members: Vec<Rc<Instance>>,
) -> bool {
    let end = Instant::now() + CATCH_UP_TIMEOUT;
    let mut target = None;
    while Instant::now() < end {
        let reports = reports::collect(node, members.clone()).await;
        let leads = |member: &&MemberReport| {
            let is_recorded = member.instance == record.record.primary;
            is_recorded && member.report.is_primary && member.report.term == record.record.term
        };
        let Some(primary) = reports.iter().find(leads) else {
            return false;
        };
        let target = *target.get_or_insert(primary.report.received);
        let reached = |member: &MemberReport| member.report.received >= target;
        if reports.len() == members.len() && reports.iter().all(reached) {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}
