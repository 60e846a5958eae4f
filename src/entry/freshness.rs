//! Log positions that cover every save acknowledged before a given time.

use std::collections::VecDeque;
use std::time::Duration;

use super::position::Position;
use crate::time::Timestamp;

/// Number of samples kept. At [`MIN_SPACING`] they cover more than the largest staleness of a
/// route.
const MAX_SAMPLES: usize = 128;

/// Shortest time between two samples.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// Time subtracted from a staleness limit: covers the transit of a statement to its instance.
const TRANSIT_MARGIN: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy)]
struct Sample {
    requested_at: Timestamp,
    position: Position,
}

/// Log positions of a primary, by the time at which each was requested.
///
/// A position that a primary reports covers every save acknowledged before the request. Samples may
/// only come from an instance that was known for certain to be the primary at that time.
#[derive(Debug, Default)]
pub struct Freshness {
    samples: VecDeque<Sample>,
}

impl Freshness {
    /// Records a position that the primary reported to a request sent at `requested_at`.
    pub fn record(&mut self, position: Position, requested_at: Timestamp) {
        let last = self.samples.back();
        if last.is_some_and(|last| requested_at < last.requested_at + MIN_SPACING) {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            requested_at,
            position,
        });
    }

    /// Returns the lowest known position that covers every save acknowledged before
    /// `now - staleness`; `None` when no sample is recent enough.
    pub fn bound(&self, now: Timestamp, staleness: Duration) -> Option<Position> {
        let allowed = staleness.saturating_sub(TRANSIT_MARGIN);
        let samples = self.samples.iter();
        let mut covering = samples.filter(|sample| now.since(sample.requested_at) <= allowed);
        covering.next().map(|sample| sample.position)
    }
}

#[cfg(test)]
mod tests;
