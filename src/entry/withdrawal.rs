//! Bounds for how long a VM reports itself not ready because it is overloaded.
//!
//! Not being ready has a price: a VM that isn't ready for an eighth of the time in which it runs
//! misses a duty. The time not ready, for whatever reason, stays below a tenth of any minute and of
//! the VM's whole time, as far as it depends on this decision.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Period in which the time not ready is bounded.
const WINDOW: Duration = Duration::from_mins(1);

/// Largest part of the time in which a VM isn't ready.
const MAX_FRACTION: f64 = 0.1;

/// Longest pause. The balancer notices its start and its end after up to 2.2 s.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Shortest pause: the balancer wouldn't notice a shorter one.
const MIN_PAUSE: Duration = Duration::from_secs(3);

/// Longest time between two observations that counts. A suspended VM reports nothing.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Time that a VM was not ready.
#[derive(Debug, Clone, Copy)]
struct Unready {
    until: Timestamp,
    duration: Duration,
}

/// Pauses of one VM.
#[derive(Debug, Default)]
pub struct Withdrawal {
    observed_at: Option<Timestamp>,
    running_time: Duration,
    unready_time: Duration,
    recent: VecDeque<Unready>,
    paused_since: Option<Timestamp>,
}

impl Withdrawal {
    /// Starts or ends a pause. `is_wanted` tells whether the VM is overloaded, `can_serve` whether it
    /// is ready apart from that.
    pub fn observe(&mut self, is_wanted: bool, can_serve: bool, now: Timestamp) {
        let is_unready = self.is_active() || !can_serve;
        self.count(is_unready, now);
        if let Some(since) = self.paused_since {
            let paused = now.since(since);
            let is_over = paused >= MAX_PAUSE || (!is_wanted && paused >= MIN_PAUSE);
            if is_over || !can_serve {
                self.paused_since = None;
            }
        } else if is_wanted && can_serve && self.may_pause() {
            self.paused_since = Some(now);
        }
    }

    /// Returns whether the VM pauses.
    pub const fn is_active(&self) -> bool {
        self.paused_since.is_some()
    }

    fn count(&mut self, is_unready: bool, now: Timestamp) {
        let elapsed = self.observed_at.map_or(Duration::ZERO, |at| now.since(at));
        let elapsed = elapsed.min(MAX_INTERVAL);
        self.observed_at = Some(now);
        self.running_time += elapsed;
        let is_old = |unready: &Unready| now.since(unready.until) >= WINDOW;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        if !is_unready {
            return;
        }
        self.unready_time += elapsed;
        self.recent.push_back(Unready {
            until: now,
            duration: elapsed,
        });
    }

    /// Returns whether a pause of the longest duration stays within the bounds.
    fn may_pause(&self) -> bool {
        let recent: Duration = self.recent.iter().map(|unready| unready.duration).sum();
        let after_pause = self.running_time + MAX_PAUSE;
        recent + MAX_PAUSE <= WINDOW.mul_f64(MAX_FRACTION)
            && self.unready_time + MAX_PAUSE <= after_pause.mul_f64(MAX_FRACTION)
    }
}

#[cfg(test)]
mod tests;
