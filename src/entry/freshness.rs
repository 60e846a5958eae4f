//! Positions that cover every save acknowledged before a moment.

use std::collections::VecDeque;
use std::time::Duration;

use super::position::Position;
use crate::time::Timestamp;

/// Samples kept: at [`SPACING`] they reach back further than the largest staleness of a route.
const MAX_SAMPLES: usize = 128;

/// Smallest time between two samples.
const SPACING: Duration = Duration::from_millis(50);

/// Time for which a staleness limit is undercut: covers the way of a statement to its instance.
const MARGIN: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy)]
struct Sample {
    asked_at: Timestamp,
    position: Position,
}

/// Positions of a primary, by the time at which they were asked for.
///
/// A position that a primary reports covers every save acknowledged before it was asked. Samples
/// may only come from an instance that was certainly the primary then.
#[derive(Debug, Default)]
pub struct Freshness {
    samples: VecDeque<Sample>,
}

impl Freshness {
    /// Records a position that the primary reported to a question sent at `asked_at`.
    pub fn note(&mut self, position: Position, asked_at: Timestamp) {
        let last = self.samples.back();
        if last.is_some_and(|last| asked_at < last.asked_at + SPACING) {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { asked_at, position });
    }

    /// Returns the lowest position known that covers every save acknowledged before
    /// `now - staleness`; `None` when none is known.
    pub fn bound(&self, now: Timestamp, staleness: Duration) -> Option<Position> {
        let allowed = staleness.saturating_sub(MARGIN);
        let samples = self.samples.iter();
        let mut covering = samples.filter(|sample| now.since(sample.asked_at) <= allowed);
        covering.next().map(|sample| sample.position)
    }
}

#[cfg(test)]
mod tests;
