//! Saves in flight at a primary, and whether this VM may still acknowledge them.
//!
//! A primary that is being replaced, and that the replacing VM can't reach, may have a save confirmed by
//! an instance which that VM doesn't know. Such a save is lost. A VM that has confirmed the replacement
//! therefore acknowledges no further save of the former primary, and the instance that follows it is
//! chosen when all VMs have confirmed.
//!
//! A primary that has lost its replicas keeps a save and doesn't acknowledge it, so that its outcome is unknown.
//! Such saves are refused before they are sent, but for one now and then: an instance that isn't announced may confirm it.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

use super::clock;
use super::node::Node;
use super::pool::Pool;
use super::replacement::acknowledgement;
use super::statement::{Failure, FailureKind};
use crate::name::{DatabaseName, InstanceName};

/// Saves that were sent to one instance and not answered yet.
#[derive(Debug, Default)]
pub struct SavesInFlight {
    count: Cell<usize>,
    ended: Notify,
}

/// Save that was sent and not answered yet, until this is dropped.
#[derive(Debug)]
pub struct SaveInFlight(Rc<SavesInFlight>);

impl SavesInFlight {
    /// Records that a save is about to be sent.
    pub fn begin(self: &Rc<Self>) -> SaveInFlight {
        self.count.set(self.count.get() + 1);
        SaveInFlight(Rc::clone(self))
    }

    /// Waits until every save has been answered or given up.
    pub async fn wait_until_none(&self) {
        loop {
            let ended = self.ended.notified();
            if self.count.get() == 0 {
                return;
            }
            ended.await;
        }
    }
}

impl Drop for SaveInFlight {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify_waiters();
    }
}

/// Returns whether a save may be sent to the primary: not if its last saves timed out and it is known to have
/// no replica, unless a trial is due.
pub fn may_send(node: &Node, primary: &Pool) -> bool {
    let has_replica = {
        let instance = primary.instance();
        let state = node.state.borrow();
        let catalog = state.catalog.as_ref();
        let is_synchronous =
            catalog.is_some_and(|catalog| catalog.is_synchronous(&instance.database));
        let mut members = state.directory.in_database(&instance.database);
        !is_synchronous
            || !state.is_directory_current(clock::now())
            || members.any(|known| known.name != instance.name)
    };
    has_replica || primary.admits_save()
}

/// Waits until every save at the recorded primary of a database has been answered or given up.
pub async fn wait_until_none(node: &Node, database: &DatabaseName) {
    let primary = {
        let state = node.state.borrow();
        let record = state
            .databases
            .get(database)
            .and_then(|known| known.record.as_ref());
        record.and_then(|known| state.directory.get(&known.record.primary).cloned())
    };
    if let Some(primary) = primary {
        node.pool(&primary).saves().wait_until_none().await;
    }
}

/// Ceases to acknowledge saves of the primary of a database, until a primary that takes saves is
/// recorded.
pub fn withhold(node: &Node, database: &DatabaseName) {
    let mut state = node.state.borrow_mut();
    let known = state.database(database);
    let record = known.record.as_ref().map(|known| &known.record);
    known.withholds_saves = acknowledgement::withholds_after_confirmation(record);
}

/// Ceases to acknowledge saves of every primary that is being replaced. Called when a VM without a
/// validity lease gets one: the replacements under way needn't have waited for it.
pub fn withhold_replaced(node: &Node) {
    let databases: Vec<_> = node.state.borrow().databases.keys().cloned().collect();
    for database in &databases {
        withhold(node, database);
    }
}

/// Returns whether a save that an instance has kept may be acknowledged: it is the primary, and this VM
/// hasn't confirmed its replacement.
pub fn may_acknowledge(node: &Node, database: &DatabaseName, instance: &InstanceName) -> bool {
    let state = node.state.borrow();
    let Some(known) = state.databases.get(database) else {
        return false;
    };
    let record = known.record.as_ref().map(|known| &known.record);
    acknowledgement::may_acknowledge(record, known.withholds_saves, instance)
}

/// Builds the failure for a save that was kept but may not be acknowledged.
pub fn withheld(id: &str, instance: &InstanceName) -> Failure {
    log::warn!("event=save_withheld id={id} instance={instance}");
    Failure::local(
        FailureKind::Unknown,
        "the primary is being replaced; the save may have been kept",
    )
}
