//! What one home may admit of one workspace: its bucket, its demand, and when to ask other homes.

use std::time::Duration;

use super::bucket::{Bucket, Share};
use crate::time::Timestamp;

/// Time over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_millis(500);

/// Demand that a home keeps tokens for; it asks others below that, and gives away what is above.
const RESERVE: Duration = Duration::from_millis(100);

/// Demand that a home asks tokens for, as far as its burst can keep them.
const SUPPLY: Duration = Duration::from_millis(400);

/// Shortest interval between requests to other homes for one workspace.
const ASK_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which other homes are taken to have nothing to give after they said so.
const EMPTY_SPAN: Duration = Duration::from_millis(20);

/// Longest time for which a refused caller is told to stay away.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Answer to a request that needs tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The tokens are deducted.
    Granted,
    /// Other homes may have tokens; the answer comes with the next deposit or end of a round.
    Asked,
    /// The workspace is over its rate and burst.
    Refused {
        /// When a token is expected that no other refused caller was told of.
        retry_after: Duration,
    },
}

/// Bucket of one workspace at one home, with the demand that it meets.
#[derive(Debug, Clone)]
pub struct Allowance {
    bucket: Bucket,
    demand_per_s: f64,
    demand_at: Timestamp,
    asked_at: Option<Timestamp>,
    empty_at: Option<Timestamp>,
    /// Whether a home gave tokens since they were last asked.
    was_given: bool,
    /// Tokens that waiting requests need.
    missing: f64,
    /// Until when tokens are spoken for by callers that were told to come back.
    booked_until: Timestamp,
}

impl Allowance {
    /// Builds the allowance of a new home, which has no tokens.
    pub const fn new(share: Share, now: Timestamp) -> Self {
        Self {
            bucket: Bucket::empty(share, now),
            demand_per_s: 0.0,
            demand_at: now,
            asked_at: None,
            empty_at: None,
            was_given: false,
            missing: 0.0,
            booked_until: Timestamp::ZERO,
        }
    }

    /// Changes the share; an unchanged one costs nothing.
    pub fn set_share(&mut self, share: Share, now: Timestamp) {
        if self.bucket.share() != share {
            self.bucket.set_share(share, now);
        }
    }

    /// Admits a new request, or says why not.
    pub fn admit(&mut self, tokens: f64, now: Timestamp) -> Admission {
        self.count(tokens, now);
        let admission = self.decide(tokens, now);
        if admission == Admission::Asked {
            self.missing += tokens;
        }
        admission
    }

    /// Looks again for a request that was told to wait for other homes; it counts as waiting until
    /// [`Allowance::stop_waiting`].
    pub fn try_again(&mut self, tokens: f64, now: Timestamp) -> Admission {
        self.decide(tokens, now)
    }

    /// Takes note that a request that was told to wait waits no longer.
    pub fn stop_waiting(&mut self, tokens: f64) {
        self.missing = (self.missing - tokens).max(0.0);
    }

    /// Looks again for a request that waits for tokens of this home's own rate.
    pub fn look_again(&mut self, tokens: f64, now: Timestamp) -> Admission {
        self.decide(tokens, now)
    }

    fn decide(&mut self, tokens: f64, now: Timestamp) -> Admission {
        if self.bucket.try_take(tokens, now) {
            return Admission::Granted;
        }
        if self.others_are_empty(now) {
            return Admission::Refused {
                retry_after: self.book(tokens, now),
            };
        }
        Admission::Asked
    }

    /// Returns when a caller that can't wait any longer should come back.
    pub fn book(&mut self, tokens: f64, now: Timestamp) -> Duration {
        let Some(available_at) = self.bucket.available_at(tokens, now) else {
            return MAX_RETRY_AFTER;
        };
        let rate_per_s = self.bucket.share().rate_per_s.max(0.1);
        let at = available_at.max(self.booked_until);
        let limit = now + MAX_RETRY_AFTER;
        self.booked_until = (at + Duration::from_secs_f64(tokens / rate_per_s)).min(limit);
        at.min(limit).since(now)
    }

    /// Returns the tokens that other homes should be asked for now; `None` when there are enough
    /// or they were asked a moment ago.
    pub fn wanted(&mut self, now: Timestamp) -> Option<f64> {
        let recently = |at: Option<Timestamp>, span| at.is_some_and(|at| now.since(at) < span);
        if recently(self.asked_at, ASK_INTERVAL) || recently(self.empty_at, EMPTY_SPAN) {
            return None;
        }
        self.decay(now);
        let tokens = self.bucket.tokens(now);
        let reserve = self.reserve();
        if tokens >= reserve.max(1.0) + self.missing {
            return None;
        }
        let share = self.bucket.share();
        let supply = self.demand_per_s * SUPPLY.as_secs_f64();
        let target = supply.min(share.burst).max(reserve).max(1.0) + self.missing;
        self.asked_at = Some(now);
        self.was_given = false;
        Some((target - tokens).max(1.0))
    }

    /// Deducts what can be spared of the tokens that another home wants.
    pub fn withdraw(&mut self, tokens: f64, now: Timestamp) -> f64 {
        self.decay(now);
        let spare = self.bucket.tokens(now) - self.reserve();
        self.bucket.withdraw(tokens.min(spare), now)
    }

    /// Adds tokens of another home.
    pub fn deposit(&mut self, tokens: f64, until: Timestamp, now: Timestamp) {
        self.bucket.deposit(tokens, until, now);
        if tokens > 0.0 {
            self.empty_at = None;
            self.was_given = true;
        }
    }

    /// Takes note that the other homes have answered, or can't be asked; what they gave has been
    /// deposited.
    pub fn round_ended(&mut self, now: Timestamp) {
        if !self.was_given && self.bucket.tokens(now) < 1.0 {
            self.empty_at = Some(now);
        }
    }

    /// Returns the tokens of the bucket.
    pub fn tokens(&mut self, now: Timestamp) -> f64 {
        self.bucket.tokens(now)
    }

    fn others_are_empty(&self, now: Timestamp) -> bool {
        self.empty_at.is_some_and(|at| now.since(at) < EMPTY_SPAN)
    }

    fn reserve(&self) -> f64 {
        self.demand_per_s * RESERVE.as_secs_f64()
    }

    fn count(&mut self, tokens: f64, now: Timestamp) {
        self.decay(now);
        self.demand_per_s += tokens / DEMAND_SPAN.as_secs_f64();
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.demand_at).as_secs_f64();
        self.demand_per_s *= (-elapsed / DEMAND_SPAN.as_secs_f64()).exp();
        self.demand_at = self.demand_at.max(now);
    }
}

#[cfg(test)]
mod tests;
