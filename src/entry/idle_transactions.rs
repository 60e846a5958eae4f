//! Open transactions whose callers are between two statements.

use std::cell::RefCell;

use slotmap::{SlotMap, new_key_type};

use super::instance::Instance;
use super::transaction::OpenTransaction;

new_key_type! {
    /// Key of an idle transaction.
    pub struct TransactionKey;
}

/// Open transactions whose callers are between two statements. They are kept here and not by the
/// sessions, so that they can be ended although their callers send nothing.
#[derive(Debug, Default)]
pub struct IdleTransactions {
    kept: RefCell<SlotMap<TransactionKey, OpenTransaction>>,
}

impl IdleTransactions {
    /// Keeps a transaction until its next statement.
    pub fn keep(&self, open: OpenTransaction) -> TransactionKey {
        self.kept.borrow_mut().insert(open)
    }

    /// Returns whether no transaction is open, except those that run a statement now.
    pub fn is_empty(&self) -> bool {
        self.kept.borrow().is_empty()
    }

    /// Returns whether a transaction is still open.
    pub fn contains(&self, key: TransactionKey) -> bool {
        self.kept.borrow().contains_key(key)
    }

    /// Removes a transaction; `None` if it has been ended meanwhile.
    pub fn take(&self, key: TransactionKey) -> Option<OpenTransaction> {
        self.kept.borrow_mut().remove(key)
    }

    /// Removes the transactions on the instances that `is_due` selects.
    pub fn take_due(&self, is_due: impl Fn(&Instance) -> bool) -> Vec<OpenTransaction> {
        let mut kept = self.kept.borrow_mut();
        let due = kept.iter().filter(|(_, open)| is_due(&open.instance()));
        let due: Vec<_> = due.map(|(key, _)| key).collect();
        due.into_iter().filter_map(|key| kept.remove(key)).collect()
    }
}
