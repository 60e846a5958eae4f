//! Confirmations that VMs have left a former primary, as they pass between VMs.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use tokio::sync::Notify;

use crate::name::{DatabaseName, VmName};

/// One replacement of a primary.
pub type Replacement = (DatabaseName, u64);

/// Confirmations heard, and those of this VM that were acknowledged.
#[derive(Debug, Default)]
pub struct Handover {
    heard: RefCell<HashMap<Replacement, HashSet<VmName>>>,
    noted: RefCell<HashSet<Replacement>>,
    changed: Notify,
}

impl Handover {
    /// Starts to collect confirmations.
    pub fn begin(&self, replacement: Replacement) {
        self.heard.borrow_mut().entry(replacement).or_default();
    }

    /// Forgets a replacement that has ended.
    pub fn end(&self, replacement: &Replacement) {
        self.heard.borrow_mut().remove(replacement);
    }

    /// Records a confirmation; returns whether it is collected here.
    pub fn hear(&self, replacement: &Replacement, vm: VmName) -> bool {
        let mut heard = self.heard.borrow_mut();
        let Some(vms) = heard.get_mut(replacement) else {
            return false;
        };
        vms.insert(vm);
        drop(heard);
        self.changed.notify_waiters();
        true
    }

    /// Returns whether a VM has confirmed.
    pub fn has_heard(&self, replacement: &Replacement, vm: &VmName) -> bool {
        let heard = self.heard.borrow();
        heard.get(replacement).is_some_and(|vms| vms.contains(vm))
    }

    /// Waits for the next confirmation or acknowledgement.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that the holder has heard this VM's confirmation.
    pub fn note(&self, replacement: Replacement) {
        self.noted.borrow_mut().insert(replacement);
        self.changed.notify_waiters();
    }

    /// Returns whether the holder has heard this VM's confirmation, and forgets it.
    pub fn take_noted(&self, replacement: &Replacement) -> bool {
        self.noted.borrow_mut().remove(replacement)
    }
}

#[cfg(test)]
mod tests;
