//! Validity lease: the time until which a VM may rely on the records of primaries that it has read.

use std::time::Duration;

use crate::time::Timestamp;

/// Safety margin by which a VM stops relying on its lease before the store may let it lapse. Covers
/// clock drift and timer granularity.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(250);

/// Longest validity of a sublease. A replacement of a primary may have to wait for its end.
pub const MAX_SUBLEASE: Duration = Duration::from_millis(400);

/// Factor by which the grantor of a sublease waits longer than the sublease lasts. Covers clock drift.
const SUBLEASE_DRIFT: f64 = 1.1;

/// Returns the time after which a sublease that is granted now has ended, whatever clock its holder
/// counts by.
pub fn outlived_within(valid_for: Duration) -> Duration {
    valid_for.mul_f64(SUBLEASE_DRIFT)
}

/// Time until which a VM may rely on the records that it has read.
///
/// A VM that replaces a primary first waits until every registered gateway has confirmed the change
/// or its lease has lapsed. A gateway counts its lease from the moment it sent the renewal. The
/// store counts from the moment the renewal arrived, which is later, so the gateway stops first.
#[derive(Debug, Clone, Copy, Default)]
pub struct ValidityLease {
    valid_until: Timestamp,
}

impl ValidityLease {
    /// Sets the validity to that of a store lease whose latest renewal was sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Timestamp, ttl: Duration) {
        self.valid_until = sent_at + ttl.saturating_sub(LAPSE_MARGIN);
    }

    /// Extends the validity by a sublease that was requested from another VM at `requested_at`.
    pub fn accept_sublease(&mut self, requested_at: Timestamp, valid_for: Duration) {
        self.valid_until = self.valid_until.max(requested_at + valid_for);
    }

    /// Ends the validity because the store lease has lapsed or was revoked.
    pub fn end(&mut self) {
        self.valid_until = Timestamp::ZERO;
    }

    /// Returns whether the records may be relied on at `now`.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }

    /// Returns the time at which the validity ends.
    pub const fn valid_until(&self) -> Timestamp {
        self.valid_until
    }

    /// Returns the validity left at `now`; zero when it has ended.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.valid_until.since(now)
    }
}
