//! Collects the confirmations that VMs have stopped using a former primary.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use tokio::sync::Notify;

use crate::name::{DatabaseName, VmName};

/// Replacement of a primary: the database and the generation of the failover lease.
pub type Replacement = (DatabaseName, u64);

/// Confirmations received from other VMs, and acknowledgements of this VM's own confirmations.
#[derive(Debug, Default)]
pub struct ConfirmationTracker {
    confirmations: RefCell<HashMap<Replacement, HashSet<VmName>>>,
    acknowledged: RefCell<HashSet<Replacement>>,
    changed: Notify,
}

impl ConfirmationTracker {
    /// Starts collecting confirmations of a replacement.
    pub fn begin(&self, replacement: Replacement) {
        self.confirmations
            .borrow_mut()
            .entry(replacement)
            .or_default();
    }

    /// Removes a replacement that has ended.
    pub fn end(&self, replacement: &Replacement) {
        self.confirmations.borrow_mut().remove(replacement);
    }

    /// Records a confirmation. Returns whether this VM collects confirmations of that replacement.
    pub fn record_confirmation(&self, replacement: &Replacement, vm: VmName) -> bool {
        let mut confirmations = self.confirmations.borrow_mut();
        let Some(vms) = confirmations.get_mut(replacement) else {
            return false;
        };
        vms.insert(vm);
        drop(confirmations);
        self.changed.notify_waiters();
        true
    }

    /// Returns whether a VM has confirmed a replacement.
    pub fn has_confirmed(&self, replacement: &Replacement, vm: &VmName) -> bool {
        let confirmations = self.confirmations.borrow();
        confirmations
            .get(replacement)
            .is_some_and(|vms| vms.contains(vm))
    }

    /// Waits for the next confirmation or acknowledgement of any replacement.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that the holder has acknowledged this VM's confirmation.
    pub fn record_acknowledgement(&self, replacement: Replacement) {
        self.acknowledged.borrow_mut().insert(replacement);
        self.changed.notify_waiters();
    }

    /// Returns whether the holder has acknowledged this VM's confirmation, and removes the
    /// acknowledgement.
    pub fn take_acknowledgement(&self, replacement: &Replacement) -> bool {
        self.acknowledged.borrow_mut().remove(replacement)
    }
}

#[cfg(test)]
mod tests;
