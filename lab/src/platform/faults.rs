//! Faults of the configuration service, and the count of calls.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use strum::Display;
use tokio::sync::watch;

/// Kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// Reads of keys.
    Range,
    /// Writes without condition.
    Put,
    /// Deletions without condition.
    DeleteRange,
    /// Conditional writes.
    Txn,
    /// New leases.
    LeaseGrant,
    /// Renewals of leases.
    KeepAlive,
    /// Ends of leases.
    LeaseRevoke,
    /// Watches.
    Watch,
}

/// How the service is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Outage {
    /// The service is up.
    #[default]
    None,
    /// Calls get no answer until the outage ends.
    Hang,
    /// Calls are refused, and watches end.
    Refuse,
}

#[derive(Debug, Default)]
pub(super) struct Faults {
    outage: watch::Sender<Outage>,
    delay_ms: AtomicU64,
    lost_answers: AtomicU32,
    calls: Mutex<BTreeMap<CallKind, u64>>,
}

impl Faults {
    pub(super) fn outage(&self) -> Outage {
        *self.outage.borrow()
    }

    pub(super) fn set_outage(&self, outage: Outage) {
        self.outage.send_replace(outage);
    }

    pub(super) async fn wait_while_hanging(&self) {
        let mut outage = self.outage.subscribe();
        // The sender lives as long as this value.
        let _ = outage.wait_for(|outage| *outage != Outage::Hang).await;
    }

    /// Waits until the outage changes.
    pub(super) async fn changed(&self) {
        let _ = self.outage.subscribe().changed().await;
    }

    pub(super) fn set_delay(&self, delay: Duration) {
        self.delay_ms
            .store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    pub(super) async fn delay(&self) {
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    pub(super) fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, Ordering::Relaxed);
    }

    /// Takes one of the answers to be lost.
    pub(super) fn loses_answer(&self) -> bool {
        let take = |left: u32| left.checked_sub(1);
        self.lost_answers
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    pub(super) fn count(&self, kind: CallKind) {
        *self
            .calls
            .lock()
            .expect("no holder panics")
            .entry(kind)
            .or_default() += 1;
    }

    pub(super) fn calls(&self) -> BTreeMap<CallKind, u64> {
        self.calls.lock().expect("no holder panics").clone()
    }
}
