//! Counts the running exchanges of a home, to detect when all of them have ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counters of the exchanges that run at one home.
#[derive(Debug)]
pub(super) struct Work {
    running: AtomicUsize,
    writes: AtomicUsize,
    is_releasing: AtomicBool,
    /// Whether another task waits for a counter to reach zero.
    is_awaited: AtomicBool,
    ended: Arc<Notify>,
}

/// Exchange, or transaction that may write, that is counted until this value is dropped.
#[derive(Debug)]
pub(super) struct Counted<'a> {
    work: &'a Work,
    count: &'a AtomicUsize,
}

impl Work {
    /// Creates the counters at zero; `ended` is notified when an awaited counter reaches zero.
    pub(super) const fn new(ended: Arc<Notify>) -> Self {
        Self {
            running: AtomicUsize::new(0),
            writes: AtomicUsize::new(0),
            is_releasing: AtomicBool::new(false),
            is_awaited: AtomicBool::new(false),
            ended,
        }
    }

    /// Counts an exchange; `None` when the home accepts no more exchanges.
    pub(super) fn start(&self) -> Option<Counted<'_>> {
        let counted = self.count(&self.running);
        (!self.is_releasing.load(Ordering::SeqCst)).then_some(counted)
    }

    /// Counts a transaction that may write. The caller must check `writes_paused` afterwards, as
    /// writes may have been paused just before the transaction was counted.
    pub(super) fn start_write(&self) -> Counted<'_> {
        self.count(&self.writes)
    }

    fn count<'a>(&'a self, count: &'a AtomicUsize) -> Counted<'a> {
        count.fetch_add(1, Ordering::SeqCst);
        Counted { work: self, count }
    }

    /// Stops accepting exchanges.
    pub(super) fn release(&self) {
        self.is_releasing.store(true, Ordering::SeqCst);
    }

    /// Returns whether the home has stopped accepting exchanges.
    pub(super) fn is_releasing(&self) -> bool {
        self.is_releasing.load(Ordering::SeqCst)
    }

    /// Returns whether no exchange runs. If some do, `ended` is notified when the last one ends.
    pub(super) fn is_idle(&self) -> bool {
        self.is_awaited.store(true, Ordering::SeqCst);
        self.running.load(Ordering::SeqCst) == 0
    }

    /// Returns whether no transaction that may write runs. If some do, `ended` is notified when the
    /// last one ends.
    pub(super) fn has_no_writes(&self) -> bool {
        self.is_awaited.store(true, Ordering::SeqCst);
        self.writes.load(Ordering::SeqCst) == 0
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        let was_last = self.count.fetch_sub(1, Ordering::SeqCst) == 1;
        if was_last && self.work.is_awaited.load(Ordering::SeqCst) {
            self.work.ended.notify_one();
        }
    }
}
