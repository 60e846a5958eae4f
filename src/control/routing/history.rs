//! History of a primary's log position: converts a staleness bound into a position, and a position
//! into a time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::position::LogPosition;
use crate::time::Timestamp;

/// Maximum number of samples kept; the oldest are dropped.
const MAX_SAMPLES: usize = 512;

/// Shortest time between two samples. A later position within this time replaces the last one.
const MIN_SPACING: Duration = Duration::from_millis(2);

#[derive(Debug)]
struct Sample {
    at: Timestamp,
    position: LogPosition,
}

/// Log positions of a primary over time, as observed by its home.
///
/// Every statement of the database passes through the home, so no acknowledged save is missing.
/// Where samples are merged or dropped, a replica appears staler than it is, never fresher.
#[derive(Debug, Default)]
pub struct PositionHistory {
    samples: VecDeque<Sample>,
}

impl PositionHistory {
    /// Records that the primary has reached a position.
    pub fn record(&mut self, position: &LogPosition, now: Timestamp) {
        if let Some(last) = self.samples.back_mut() {
            if *position <= last.position {
                return;
            }
            if now.since(last.at) < MIN_SPACING {
                last.position = position.clone();
                return;
            }
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            at: now,
            position: position.clone(),
        });
    }

    /// Clears the history and starts at the first position of a new term, because entries of the
    /// former primary that were never acknowledged may lie beyond it.
    pub fn restart(&mut self, position: &LogPosition, now: Timestamp) {
        self.samples.clear();
        self.record(position, now);
    }

    /// Returns the latest known position of the primary.
    pub fn latest(&self) -> Option<&LogPosition> {
        self.samples.back().map(|sample| &sample.position)
    }

    /// Returns a position that includes everything written up to `at`; `None` when the history is
    /// empty.
    pub fn position_at(&self, at: Timestamp) -> Option<&LogPosition> {
        let after = self.samples.partition_point(|sample| sample.at <= at);
        let index = after.saturating_sub(1);
        self.samples.get(index).map(|sample| &sample.position)
    }

    /// Returns when the primary went past `position`; `None` if it hasn't.
    pub fn passed_at(&self, position: &LogPosition) -> Option<Timestamp> {
        let index = self
            .samples
            .partition_point(|sample| sample.position <= *position);
        self.samples.get(index).map(|sample| sample.at)
    }

    /// Returns when the primary reached `position`; `None` if it hasn't.
    pub fn reached_at(&self, position: &LogPosition) -> Option<Timestamp> {
        let index = self
            .samples
            .partition_point(|sample| sample.position < *position);
        self.samples.get(index).map(|sample| sample.at)
    }
}
