//! Concurrency limit of an instance, adapted to how fast it serves its statements.

use std::time::Duration;

/// Number of samples after which the limit is adjusted.
const WINDOW_SAMPLES: u32 = 16;

/// Mean slowdown of a window above which the limit is lowered.
const SLOW_RATIO: f64 = 2.0;

/// Mean slowdown of a window below which the limit is raised.
const HEALTHY_RATIO: f64 = 1.3;

/// Factor by which the limit is lowered when statements are a little too slow.
const DECREASE_FACTOR: f64 = 0.75;

/// Smallest factor by which the limit is lowered at once, however slow the statements are.
const MIN_DECREASE_FACTOR: f64 = 0.4;

/// Upper bound on the slowdown that one sample contributes.
const MAX_SAMPLE_RATIO: f64 = 8.0;

/// Limit of concurrent statements, between one and the number of slots of an instance.
///
/// Each statement's duration is compared with the usual one of its workspace's statements, so that
/// a workspace with slow statements isn't mistaken for a slow instance.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    samples: u32,
    ratio_sum: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `slots`, the number of slots of the instance.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: f64::from(slots),
            samples: 0,
            ratio_sum: 0.0,
        }
    }

    /// Returns how many statements may run concurrently.
    pub const fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Changes the number of slots of the instance, and restarts at the new maximum if it differs.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.slots {
            *self = Self::new(slots);
        }
    }

    /// Lowers the limit, because the instance rejected a statement for lack of capacity.
    pub fn on_rejected(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        self.samples = 0;
        self.ratio_sum = 0.0;
    }

    /// Records the duration of a statement and the expected duration.
    pub fn observe(&mut self, measured: Duration, expected: Duration) {
        let expected_us = expected.as_micros().max(1) as f64;
        let ratio = measured.as_micros() as f64 / expected_us;
        self.ratio_sum += ratio.min(MAX_SAMPLE_RATIO);
        self.samples += 1;
        if self.samples < WINDOW_SAMPLES {
            return;
        }
        let mean = self.ratio_sum / f64::from(self.samples);
        self.samples = 0;
        self.ratio_sum = 0.0;
        if mean > SLOW_RATIO {
            let factor = (SLOW_RATIO / mean).clamp(MIN_DECREASE_FACTOR, DECREASE_FACTOR);
            self.limit = (self.limit * factor).max(1.0);
        } else if mean < HEALTHY_RATIO {
            self.limit = (self.limit + 0.5).min(f64::from(self.slots));
        }
    }
}

#[cfg(test)]
mod tests;
