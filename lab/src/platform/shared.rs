//! State shared by all calls of the service.

use std::sync::{Mutex, MutexGuard};

use tokio::sync::watch;

use super::faults::Faults;
use super::store::Store;

#[derive(Debug, Default)]
pub(super) struct Shared {
    pub(super) faults: Faults,
    store: Mutex<Store>,
    revision: watch::Sender<i64>,
}

impl Shared {
    pub(super) fn store(&self) -> MutexGuard<'_, Store> {
        self.store
            .lock()
            .expect("no code panics while it holds the lock")
    }

    /// Notifies the watches of the current revision.
    pub(super) fn notify_watches(&self) {
        let revision = self.store().revision;
        self.revision.send_replace(revision);
    }

    pub(super) fn revisions(&self) -> watch::Receiver<i64> {
        self.revision.subscribe()
    }
}
