//! Timestamps, which the control code receives as arguments instead of reading a clock.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Point on the monotonic clock of one process, in microseconds since the process started.
///
/// Timestamps of two processes can't be compared; messages carry durations instead.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp {
    micros: u64,
}

impl Timestamp {
    /// Start of the process.
    pub const ZERO: Self = Self { micros: 0 };

    /// Latest point that can be represented.
    pub const MAX: Self = Self { micros: u64::MAX };

    /// Builds a timestamp from microseconds since the process started.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Builds a timestamp from milliseconds since the process started.
    pub const fn from_millis(millis: u64) -> Self {
        Self {
            micros: millis * 1_000,
        }
    }

    /// Returns microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Returns the time from `earlier` to this timestamp, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(micros),
        }
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.micros)
    }
}

/// Source of timestamps. It follows tokio's clock, which tests can pause.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        let micros = self.start.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts a timestamp into an instant that tokio's timers accept.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from_micros(at.as_micros())
    }
}
