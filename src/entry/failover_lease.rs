//! Failover lease, as far as its holder may rely on it.

use std::cell::Cell;
use std::time::Duration;

use super::clock;
use super::validity::ValidityLease;
use crate::time::Timestamp;

/// Failover lease of this VM, shared by the replacements of its tenure.
///
/// A VM may be suspended at any point. What only the holder may send is therefore sent after a check
/// of the validity that isn't followed by a wait.
#[derive(Debug, Default)]
pub struct FailoverLease {
    validity: Cell<ValidityLease>,
    acquired_at: Cell<Timestamp>,
    /// Number of promotion calls that may still take effect.
    unanswered_calls: Cell<usize>,
}

impl FailoverLease {
    /// Records that this VM has become the holder. Any former holder's validity has ended.
    pub fn acquire(&self, now: Timestamp) {
        self.acquired_at.set(now);
    }

    /// Returns the time since which this VM has been the holder; [`Timestamp::ZERO`] if it isn't.
    pub fn acquired_at(&self) -> Timestamp {
        self.acquired_at.get()
    }

    /// Extends the validity by a grant or a renewal that was sent at `sent_at`.
    pub fn renew(&self, sent_at: Timestamp, ttl: Duration) {
        let mut validity = self.validity.get();
        validity.renew(sent_at, ttl);
        self.validity.set(validity);
    }

    /// Ends the validity before the lease is released.
    pub fn end(&self) {
        self.validity.set(ValidityLease::default());
    }

    /// Returns whether the store can't have granted the lease to another VM yet.
    pub fn is_valid(&self) -> bool {
        self.validity.get().is_valid(clock::now())
    }

    /// Returns the time at which the validity ends unless the lease is renewed.
    pub fn valid_until(&self) -> Timestamp {
        self.validity.get().valid_until()
    }

    /// Returns for how long the lease remains valid without a renewal.
    pub fn time_left(&self) -> Duration {
        self.validity.get().time_left(clock::now())
    }

    /// Records that a promotion call is about to be sent.
    pub fn begin_call(&self) {
        self.unanswered_calls.set(self.unanswered_calls.get() + 1);
    }

    /// Records that a promotion call can't take effect any later. Not called for one that was
    /// given up.
    pub fn end_call(&self) {
        let calls = self.unanswered_calls.get();
        self.unanswered_calls.set(calls.saturating_sub(1));
    }

    /// Returns whether a promotion call may still take effect.
    pub fn has_unanswered_call(&self) -> bool {
        self.unanswered_calls.get() > 0
    }
}

#[cfg(test)]
mod tests;
