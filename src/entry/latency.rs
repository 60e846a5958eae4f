//! Usual time of each route's statements, and how much slower an instance is than that.
//!
//! Load pattern: an instance that responds five to eight times slower than its peers, beside routes
//! whose statements differ in length by the same factor. A mean of all statements of an instance
//! would tell its mix of routes and not its speed.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::name::RouteName;

/// Assumed time of a statement of a route without measurements.
const ASSUMED_TIME: Duration = Duration::from_millis(15);

/// Factor by which a measurement moves the usual time. It converges to the median, which an
/// instance that is slow or stalls doesn't change much.
const USUAL_STEP: f64 = 1.05;

/// Weight of a new measurement in the slowdown and in the mean time.
const GAIN: f64 = 0.2;

/// Time in which the excess of a slowdown falls by half.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(2);

/// Upper bound of the slowdown that one measurement contributes.
const MAX_SLOWDOWN: f64 = 8.0;

/// Slowdown that counts for a rejection for lack of capacity: the load of other VMs fills the
/// instance.
const REJECTION_SLOWDOWN: f64 = 4.0;

/// Kind of a statement. Those of one route differ in length by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    /// Reads.
    Read,
    /// Saves outside a transaction.
    Save,
    /// Starts a transaction.
    Begin,
}

/// Number of kinds of statements.
const KINDS: usize = 3;

/// Usual time of the statements of each route and kind, over all instances.
#[derive(Debug, Default)]
pub struct RouteTimes {
    by_route: HashMap<RouteName, [Option<Duration>; KINDS]>,
}

impl RouteTimes {
    /// Records the time of a statement, and returns the usual one.
    pub fn record(&mut self, route: &RouteName, kind: StatementKind, taken: Duration) -> Duration {
        if !self.by_route.contains_key(route) {
            self.by_route.insert(route.clone(), [None; KINDS]);
        }
        let Some(known) = self.by_route.get_mut(route) else {
            return taken;
        };
        let usual = &mut known[kind as usize];
        let updated = match *usual {
            None => taken,
            Some(usual) if taken > usual => usual.mul_f64(USUAL_STEP),
            Some(usual) => usual.div_f64(USUAL_STEP),
        };
        *usual.insert(updated)
    }

    /// Returns the usual time of a statement.
    pub fn usual(&self, route: &RouteName, kind: StatementKind) -> Duration {
        let known = self.by_route.get(route);
        let usual = known.and_then(|known| known[kind as usize]);
        usual.unwrap_or(ASSUMED_TIME)
    }

    /// Removes routes that aren't configured any more, once they may be more than the configured
    /// ones.
    pub fn retain<'a>(&mut self, configured: impl ExactSizeIterator<Item = &'a RouteName>) {
        if self.by_route.len() > configured.len() {
            let configured: HashSet<_> = configured.collect();
            self.by_route.retain(|route, _| configured.contains(route));
        }
    }
}

/// Slowdown of one instance against the usual time of each statement, and the mean length of the
/// statements that it gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceLatency {
    slowdown: f64,
    mean_s: f64,
}

impl Default for InstanceLatency {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            mean_s: ASSUMED_TIME.as_secs_f64(),
        }
    }
}

impl InstanceLatency {
    /// Records the time of a statement that usually takes `usual`.
    pub fn record(&mut self, taken: Duration, usual: Duration) {
        let usual_s = usual.as_secs_f64().max(0.000_1);
        self.mean_s += GAIN * (usual_s - self.mean_s);
        self.record_slowdown(taken.as_secs_f64() / usual_s);
    }

    /// Records that the instance rejected a statement for lack of capacity.
    pub fn record_rejection(&mut self) {
        self.record_slowdown(REJECTION_SLOWDOWN.max(self.slowdown));
    }

    /// Records that a statement got no response.
    pub fn record_loss(&mut self) {
        self.record_slowdown(MAX_SLOWDOWN);
    }

    fn record_slowdown(&mut self, slowdown: f64) {
        self.slowdown += GAIN * (slowdown.min(MAX_SLOWDOWN) - self.slowdown);
    }

    /// Moves the slowdown towards one as time passes, so that an instance that was slow is used
    /// again.
    pub fn decay(&mut self, by: Duration) {
        let half_lives = by.as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(half_lives);
        self.slowdown = 1.0 + (self.slowdown - 1.0) * kept;
    }

    /// Returns the expected time of a statement that usually takes `usual`.
    pub fn expected(&self, usual: Duration) -> Duration {
        usual.mul_f64(self.slowdown)
    }

    /// Returns the expected time of a statement of the kinds that the instance gets.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s * self.slowdown)
    }
}

#[cfg(test)]
mod tests;
