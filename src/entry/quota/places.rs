//! Places of refused requests: the times at which their retries find a token.
//!
//! Load pattern: callers send several times the rate of their workspace and give up after about a
//! second. A place after those of all earlier refusals would be of no use to them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::time::Timestamp;

/// Time for which the token of a place is kept for a retry that is late.
const RETRY_GRACE: Duration = Duration::from_millis(100);

/// Time before a place from which on its token is kept, and a retry isn't early.
const RETRY_LEAD: Duration = Duration::from_millis(50);

/// Weight of one place in the average of those that were claimed.
const CLAIM_GAIN: f64 = 0.05;

/// Place wanted for a refused request.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    /// Hash of the request's identifier.
    pub request: u64,
    /// Time before which it finds no token.
    pub earliest: Timestamp,
    /// Time after which its caller has given up.
    pub latest: Timestamp,
    /// Time between two places.
    pub spacing: Duration,
}

/// Places given to refused requests, one token apart.
///
/// A retry is recognized by the request's identifier. Tokens are kept for the part of the places that
/// retries have claimed lately: callers that give up, or retry with new identifiers, claim none.
#[derive(Debug)]
pub struct Places {
    booked: BTreeSet<(Timestamp, u64)>,
    by_request: HashMap<u64, Timestamp>,
    claimed_fraction: f64,
}

impl Default for Places {
    fn default() -> Self {
        Self {
            booked: BTreeSet::new(),
            by_request: HashMap::new(),
            claimed_fraction: 1.0,
        }
    }
}

impl Places {
    /// Removes places whose retry didn't arrive.
    pub fn forget_missed(&mut self, now: Timestamp) {
        while let Some((at, request)) = self.booked.first().copied() {
            if at + RETRY_GRACE > now {
                return;
            }
            self.remove(request);
            self.claimed_fraction -= CLAIM_GAIN * self.claimed_fraction;
        }
    }

    /// Returns the place of a request that was refused before.
    pub fn of(&self, request: u64) -> Option<Timestamp> {
        self.by_request.get(&request).copied()
    }

    /// Returns whether a retry at `now` is on time for its place.
    pub fn is_due(at: Timestamp, now: Timestamp) -> bool {
        now + RETRY_LEAD >= at
    }

    /// Removes the place of a request that is retried.
    pub fn claim(&mut self, request: u64) {
        if self.remove(request) {
            self.claimed_fraction += CLAIM_GAIN * (1.0 - self.claimed_fraction);
        }
    }

    /// Returns the number of retries expected up to `end`, plus a short lead.
    pub fn expected_until(&self, end: Timestamp) -> f64 {
        let end = end + RETRY_LEAD;
        let places = self.booked.iter().take_while(|(at, _)| *at <= end).count();
        (places as f64 * self.claimed_fraction).round()
    }

    /// Returns the delay until the first free place of a refused request. The place is kept only if
    /// its caller hasn't given up by then. Callers without a place are spread over as long again, so
    /// that those who return nevertheless don't return together.
    pub fn book(&mut self, place: Place, now: Timestamp) -> Duration {
        let after_last = self.booked.last().map(|(last, _)| *last + place.spacing);
        let at = after_last.map_or(place.earliest, |at| at.max(place.earliest));
        if at <= place.latest {
            self.remove(place.request);
            self.booked.insert((at, place.request));
            self.by_request.insert(place.request, at);
            return at.since(now);
        }
        let spread = (place.request % 1_024) as f64 / 1_024.0;
        at.since(now) + place.latest.since(now).mul_f64(spread)
    }

    fn remove(&mut self, request: u64) -> bool {
        let at = self.by_request.remove(&request);
        at.is_some_and(|at| self.booked.remove(&(at, request)))
    }
}

#[cfg(test)]
mod tests;
