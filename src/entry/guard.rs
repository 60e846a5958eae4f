//! Proof that no primary can have been replaced without this VM's knowledge.

use std::time::Duration;

use crate::time::Timestamp;

/// Time by which a holder stops before its lease may lapse: covers clocks that run apart and the
/// granularity of timers.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(250);

/// Time until which the records this VM has read can be relied on.
///
/// Whoever replaces a primary first waits until every registered VM has confirmed the change or its
/// lease has lapsed. The holder counts a lease from when it sent the renewal, the store from when
/// it arrived, which was later.
#[derive(Debug, Clone, Copy, Default)]
pub struct Guard {
    valid_until: Timestamp,
}

impl Guard {
    /// Extends the guard by a lease that was asked for at `sent_at`.
    pub fn renew(&mut self, sent_at: Timestamp, ttl: Duration) {
        let until = sent_at + ttl.saturating_sub(LAPSE_MARGIN);
        self.valid_until = self.valid_until.max(until);
    }

    /// Extends the guard by a proof of another VM that was asked for at `asked_at`.
    pub fn borrow(&mut self, asked_at: Timestamp, holds: Duration) {
        self.valid_until = self.valid_until.max(asked_at + holds);
    }

    /// Ends the guard: the lease has lapsed or was ended.
    pub fn end(&mut self) {
        self.valid_until = Timestamp::ZERO;
    }

    /// Returns whether the records can be relied on.
    pub fn holds(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }

    /// Returns how long the guard still holds.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.valid_until.since(now)
    }
}
