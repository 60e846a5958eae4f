//! Fault injection for the configuration service, and counters of its calls.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use strum::Display;
use tokio::sync::watch;

/// Kind of a call to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// Read of keys.
    Range,
    /// Unconditional write.
    Put,
    /// Unconditional deletion.
    DeleteRange,
    /// Transaction: a conditional write.
    Txn,
    /// Grant of a new lease.
    LeaseGrant,
    /// Renewal of a lease.
    KeepAlive,
    /// Revocation of a lease.
    LeaseRevoke,
    /// Start of a watch.
    Watch,
}

/// Outage of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Outage {
    /// No outage: the service is available.
    #[default]
    None,
    /// Calls are accepted, but get no response until the outage ends.
    Hang,
    /// Calls fail with status 503, and watches end.
    Refuse,
}

#[derive(Debug, Default)]
pub(super) struct Faults {
    outage: watch::Sender<Outage>,
    delay_ms: AtomicU64,
    responses_to_drop: AtomicU32,
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
        // `wait_for` fails only when the sender is dropped, and `self` owns the sender.
        let _ = outage.wait_for(|outage| *outage != Outage::Hang).await;
    }

    /// Waits until the outage is started, changed or ended.
    pub(super) async fn outage_changed(&self) {
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

    pub(super) fn drop_responses(&self, count: u32) {
        self.responses_to_drop.store(count, Ordering::Relaxed);
    }

    /// Returns whether to drop the current response, and decrements the number of responses to
    /// drop.
    pub(super) fn take_dropped_response(&self) -> bool {
        let take = |left: u32| left.checked_sub(1);
        self.responses_to_drop
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    pub(super) fn count(&self, kind: CallKind) {
        *self
            .calls
            .lock()
            .expect("no code panics while it holds the lock")
            .entry(kind)
            .or_default() += 1;
    }

    pub(super) fn calls(&self) -> BTreeMap<CallKind, u64> {
        self.calls
            .lock()
            .expect("no code panics while it holds the lock")
            .clone()
    }
}
