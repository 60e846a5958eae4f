//! Outcomes of recent reads of one instance, by weight.

use std::time::Duration;

use strum::Display;

/// Factor on a read's usual time from which it counts as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Shortest excess over the usual time from which a read counts as slow. Short reads exceed their
/// usual time by a factor when they wait for one other statement.
const MIN_SLOW_EXCESS: Duration = Duration::from_millis(20);

/// Outcome of a read, as evidence about its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Completed in about its usual time.
    Good,
    /// Completed late.
    Slow,
    /// Failed at the instance, or got no response.
    Failed,
}

impl ReadOutcome {
    /// Returns the outcome of a completed read.
    pub fn of_completed(taken: Duration, usual: Duration) -> Self {
        if taken > usual.mul_f64(SLOW_FACTOR).max(usual + MIN_SLOW_EXCESS) {
            Self::Slow
        } else {
            Self::Good
        }
    }
}

/// Symptom by which an instance is an outlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Symptom {
    /// Reads fail or get no response.
    Failures,
    /// Reads complete late.
    Slowness,
}

/// Weights of recent reads.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Weights {
    pub(super) all: f64,
    pub(super) failed: f64,
    pub(super) slow: f64,
}

impl Weights {
    pub(super) const fn bad(&self, symptom: Symptom) -> f64 {
        match symptom {
            Symptom::Failures => self.failed,
            Symptom::Slowness => self.slow,
        }
    }

    pub(super) fn share(&self, symptom: Symptom) -> f64 {
        if self.all > 0.0 {
            self.bad(symptom) / self.all
        } else {
            0.0
        }
    }

    pub(super) fn scale(&mut self, factor: f64) {
        self.all *= factor;
        self.failed *= factor;
        self.slow *= factor;
    }

    pub(super) fn add(&mut self, outcome: ReadOutcome) {
        self.all += 1.0;
        match outcome {
            ReadOutcome::Good => {}
            ReadOutcome::Slow => self.slow += 1.0,
            ReadOutcome::Failed => self.failed += 1.0,
        }
    }
}
