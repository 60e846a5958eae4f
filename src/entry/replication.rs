//! Checks whether the replicas that this VM knows have received a save.
//!
//! A replacement waits for the validity lease of a VM, and no longer. The primary of a VM without a
//! lease may have been replaced, and may have a save confirmed by an instance that the replacing VM doesn't
//! know. Such a VM therefore acknowledges a save only once every replica that it knows has reported that it has received
//! it and knows no later term. The next primary has the save then, unless it is an instance that this VM doesn't know.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout_at};

use super::clock;
use super::control::ControlLink;
use super::instance::Instance;
use super::node::Node;
use super::position::Position;
use super::saves;
use super::statement::{InstanceCommand, InstanceReport};
use crate::name::DatabaseName;

/// Time limit for the replicas to report that they have received a save.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a replica is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Latest position of each database that every replica has reported to this VM. Checks of one database take turns, so
/// that saves that succeed at the same time share the reports.
#[derive(Debug, Default)]
pub struct ReceivedPositions(RefCell<HashMap<DatabaseName, Rc<Mutex<Position>>>>);

impl ReceivedPositions {
    fn of(&self, database: &DatabaseName) -> Rc<Mutex<Position>> {
        let mut positions = self.0.borrow_mut();
        Rc::clone(positions.entry(database.clone()).or_default())
    }
}

/// Returns whether a save that an instance has kept at `position` may be acknowledged: later primaries have it.
/// Waits for the replicas if this VM has no validity lease.
pub async fn may_acknowledge(
    node: &Rc<Node>,
    instance: &Instance,
    position: Option<Position>,
    deadline: Instant,
) -> bool {
    let is_current = || saves::may_acknowledge(node, &instance.database, &instance.name);
    if !is_current() {
        return false;
    }
    if node.state.borrow().has_validity_lease(clock::now()) {
        return true;
    }
    let Some(position) = position else {
        return false;
    };
    let deadline = deadline.min(Instant::now() + RECEIPT_TIMEOUT);
    let checking = is_received(node, instance, position);
    let received = timeout_at(deadline, checking).await;
    received.unwrap_or(false) && is_current()
}

/// Waits until every known replica has received the log of `primary` up to `position`. Returns false when one
/// knows a later term.
async fn is_received(node: &Rc<Node>, primary: &Instance, position: Position) -> bool {
    let received = node.received_positions.of(&primary.database);
    let mut received = received.lock().await;
    if covers(*received, position) {
        return true;
    }
    let replicas = replicas(node, primary).into_iter();
    let reports = join_all(replicas.map(|replica| await_receipt(node, replica, position))).await;
    let least = reports.into_iter().min().flatten();
    if let Some(least) = least {
        *received = least;
    }
    least.is_some()
}

/// Waits until a replica has received the log up to `position`. Returns what it has received; `None` when it no longer
/// follows the primary of that term.
async fn await_receipt(
    node: &Rc<Node>,
    replica: Rc<Instance>,
    position: Position,
) -> Option<Position> {
    let mut link = ControlLink::new(Rc::clone(node), replica);
    loop {
        let report = link.request(&InstanceCommand::Report, RECEIPT_TIMEOUT);
        if let Some(report) = report.await {
            if !follows(&report, position.term) {
                return None;
            }
            if covers(report.received, position) {
                return Some(report.received);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether a log that has been received up to one position holds the entry at the other. Numbers of
/// different terms aren't comparable.
fn covers(received: Position, position: Position) -> bool {
    received.term == position.term && received.number >= position.number
}

/// Returns whether an instance follows the primary of `term`, and knows of no replacement.
fn follows(report: &InstanceReport, term: u64) -> bool {
    !report.is_primary && report.term <= term
}

/// Returns the replicas that this VM knows.
fn replicas(node: &Node, primary: &Instance) -> Vec<Rc<Instance>> {
    let state = node.state.borrow();
    let members = state.directory.in_database(&primary.database);
    let replicas = members.filter(|known| known.name != primary.name);
    replicas.cloned().collect()
}

#[cfg(test)]
mod tests;
