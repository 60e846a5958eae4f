//! Checks whether a replica that this VM knows has received a save.
//!
//! A replacement waits for the validity lease of a VM, and no longer. The primary of a VM without a
//! lease may have been replaced, and may have a save confirmed by an instance that the replacing VM doesn't
//! know. Such a VM therefore acknowledges a save only once an announced replica, which knows no later term, reports it:
//! a replacement that doesn't hear the former primary pauses every such replica, under a later term, and
//! promotes none that lacks what one of them has received.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use super::clock;
use super::control::ControlLink;
use super::instance::Instance;
use super::node::Node;
use super::position::Position;
use super::saves;
use super::statement::{InstanceCommand, InstanceReport};
use crate::name::DatabaseName;

/// Time limit for a replica to report that it has received a save.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which the replicas are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Latest position of each database that a replica has reported to this VM. Checks of one database take turns, so that
/// saves that succeed at the same time share a report.
#[derive(Debug, Default)]
pub struct ReceivedPositions(RefCell<HashMap<DatabaseName, Rc<Mutex<Position>>>>);

impl ReceivedPositions {
    fn of(&self, database: &DatabaseName) -> Rc<Mutex<Position>> {
        let mut positions = self.0.borrow_mut();
        Rc::clone(positions.entry(database.clone()).or_default())
    }
}

/// Returns whether a save that an instance has kept at `position` may be acknowledged, which every later
/// primary then has. Waits for a replica if this VM has no validity lease.
pub async fn may_acknowledge(
    node: &Rc<Node>,
    instance: &Instance,
    position: Option<Position>,
    deadline: Instant,
) -> bool {
    if !saves::may_acknowledge(node, &instance.database, &instance.name) {
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
    tokio::time::timeout_at(deadline, checking).await.is_ok()
}

/// Waits until an announced replica has received the log of `primary` up to `position`.
async fn is_received(node: &Rc<Node>, primary: &Instance, position: Position) {
    let received = node.received_positions.of(&primary.database);
    let mut received = received.lock().await;
    while !covers(*received, position) {
        let replicas = replicas(node, primary);
        let mut reports: FuturesUnordered<_> = replicas
            .into_iter()
            .map(|replica| report(node, replica))
            .collect();
        while let Some(report) = reports.next().await {
            if let Some(report) = report.filter(|report| follows(report, position.term)) {
                *received = report.received.max(*received);
            }
            if covers(*received, position) {
                return;
            }
        }
        drop(reports);
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

async fn report(node: &Rc<Node>, replica: Rc<Instance>) -> Option<InstanceReport> {
    let mut link = ControlLink::new(Rc::clone(node), replica);
    link.request(&InstanceCommand::Report, RECEIPT_TIMEOUT)
        .await
}

/// Returns the replicas whose announcements this VM knows.
fn replicas(node: &Node, primary: &Instance) -> Vec<Rc<Instance>> {
    let state = node.state.borrow();
    let members = state.directory.in_database(&primary.database);
    let replicas = members
        .filter(|known| known.name != primary.name && !state.missing.contains_key(&known.name));
    replicas.cloned().collect()
}

#[cfg(test)]
mod tests;
