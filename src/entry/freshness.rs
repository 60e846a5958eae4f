//! Log positions that cover every save acknowledged before a given time.

use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

use super::position::Position;
use super::replica_lag::LagBounds;
use crate::time::Timestamp;

/// Number of samples kept. At [`MIN_SPACING`] they cover more than the largest staleness of a
/// route.
const MAX_SAMPLES: usize = 128;

/// Shortest time between two samples.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// Time subtracted from a staleness limit: covers the transit of a statement to its instance.
const TRANSIT_MARGIN: Duration = Duration::from_millis(150);

/// Time subtracted from the age at which a newer position is needed: covers a read that reports one.
const RENEWAL_MARGIN: Duration = Duration::from_millis(100);

/// Shortest time between two reads that are sent to the primary for its position.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy)]
struct Sample {
    requested_at: Timestamp,
    reported_at: Timestamp,
    position: Position,
}

/// Log positions of a primary, by the time at which each was requested.
///
/// A position that a primary reports covers every save acknowledged before the request. Samples may
/// only come from an instance that was known for certain to be the primary at that time.
#[derive(Debug, Default)]
pub struct Freshness {
    samples: VecDeque<Sample>,
    renewed_at: Cell<Option<Timestamp>>,
}

impl Freshness {
    /// Records a position that the primary reported at `reported_at` to a request sent at
    /// `requested_at`.
    pub fn record(&mut self, position: Position, requested_at: Timestamp, reported_at: Timestamp) {
        let last = self.samples.back();
        if last.is_some_and(|last| requested_at < last.requested_at + MIN_SPACING) {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            requested_at,
            reported_at,
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

    /// Returns for how long the primary has had a position at least; `None` if it is newer than all
    /// samples.
    pub fn age(&self, position: Position, now: Timestamp) -> Option<Duration> {
        let mut samples = self.samples.iter();
        let reached = samples.find(|sample| sample.position >= position)?;
        Some(now.since(reached.reported_at))
    }

    /// Returns the bounds of the lag of a replica that reported `position` at `now`.
    pub fn lag_bounds(&self, position: Position, now: Timestamp) -> LagBounds {
        let mut samples = self.samples.iter();
        let missing = samples.find(|sample| sample.position > position);
        let mut newest_first = self.samples.iter().rev();
        let reached = newest_first.find(|sample| sample.position <= position);
        LagBounds {
            at_least: missing.map_or(Duration::ZERO, |sample| now.since(sample.reported_at)),
            at_most: reached.map(|sample| now.since(sample.requested_at)),
        }
    }

    /// Returns whether a read should be sent to the primary for its position: replicas that are
    /// `lag` behind reach a new position only when the newest known one is too old for `staleness`.
    /// Returns true to one read at a time.
    pub fn needs_renewal(&self, now: Timestamp, staleness: Duration, lag: Duration) -> bool {
        let Some(newest) = self.samples.back() else {
            return false;
        };
        let usable_for = staleness.saturating_sub(TRANSIT_MARGIN + RENEWAL_MARGIN + lag);
        if now.since(newest.requested_at) < usable_for {
            return false;
        }
        let renewed_at = self.renewed_at.get();
        if renewed_at.is_some_and(|at| now.since(at) < MIN_RENEWAL_INTERVAL) {
            return false;
        }
        self.renewed_at.set(Some(now));
        true
    }
}

#[cfg(test)]
mod tests;
