//! Allowance of one workspace at one home: its bucket, its demand, and when to request tokens from
//! other homes.

use std::time::Duration;

use super::bucket::{Bucket, Share};
use crate::time::Timestamp;

/// Time constant of the demand average.
const DEMAND_SPAN: Duration = Duration::from_millis(500);

/// Span of demand that a home keeps tokens for. It requests tokens from other homes below that
/// amount, and gives away what exceeds it.
const RESERVE_SPAN: Duration = Duration::from_millis(100);

/// Span of demand that a home requests tokens for, up to its burst.
const SUPPLY_SPAN: Duration = Duration::from_millis(400);

/// Minimum interval between requests to other homes for one workspace.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which other homes are assumed to have no tokens after transfers that brought none.
const EMPTY_SPAN: Duration = Duration::from_millis(20);

/// Longest `retry_after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Decision on a request that needs tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The tokens have been deducted.
    Granted,
    /// Other homes may have tokens; the decision is made at the next deposit, or when the
    /// transfers have ended.
    AwaitingTransfer,
    /// The workspace is over its rate and burst.
    Refused {
        /// Time until a token is expected that has not been reserved for another refused caller.
        retry_after: Duration,
    },
}

/// Bucket of one workspace at one home, and the demand on it.
#[derive(Debug, Clone)]
pub struct Allowance {
    bucket: Bucket,
    demand_per_s: f64,
    demand_at: Timestamp,
    requested_at: Option<Timestamp>,
    others_empty_at: Option<Timestamp>,
    /// Whether another home has given tokens since tokens were last requested.
    received_tokens: bool,
    /// Total tokens that waiting requests need.
    waiting_tokens: f64,
    /// Time until which future tokens are reserved for refused callers that will retry.
    reserved_until: Timestamp,
}

impl Allowance {
    /// Creates the allowance of a new home, which has no tokens.
    pub const fn new(share: Share, now: Timestamp) -> Self {
        Self {
            bucket: Bucket::empty(share, now),
            demand_per_s: 0.0,
            demand_at: now,
            requested_at: None,
            others_empty_at: None,
            received_tokens: false,
            waiting_tokens: 0.0,
            reserved_until: Timestamp::ZERO,
        }
    }

    /// Changes the share; does nothing if it is the same.
    pub fn set_share(&mut self, share: Share, now: Timestamp) {
        if self.bucket.share() != share {
            self.bucket.set_share(share, now);
        }
    }

    /// Decides on a new request, and counts it as demand.
    pub fn admit(&mut self, tokens: f64, now: Timestamp) -> Admission {
        self.add_demand(tokens, now);
        let admission = self.decide(tokens, now);
        if admission == Admission::AwaitingTransfer {
            self.waiting_tokens += tokens;
        }
        admission
    }

    /// Decides again on a request that waits for other homes; it counts as waiting until
    /// [`Allowance::stop_waiting`].
    pub fn admit_after_transfer(&mut self, tokens: f64, now: Timestamp) -> Admission {
        self.decide(tokens, now)
    }

    /// Records that a request no longer waits for other homes.
    pub fn stop_waiting(&mut self, tokens: f64) {
        self.waiting_tokens = (self.waiting_tokens - tokens).max(0.0);
    }

    /// Decides again on a request that waits for tokens of this home's own rate.
    pub fn admit_after_refill(&mut self, tokens: f64, now: Timestamp) -> Admission {
        self.decide(tokens, now)
    }

    fn decide(&mut self, tokens: f64, now: Timestamp) -> Admission {
        if self.bucket.try_take(tokens, now) {
            return Admission::Granted;
        }
        if self.others_are_empty(now) {
            return Admission::Refused {
                retry_after: self.reserve_retry(tokens, now),
            };
        }
        Admission::AwaitingTransfer
    }

    /// Reserves tokens for a caller that can't wait any longer, and returns the delay after which
    /// it may retry.
    pub fn reserve_retry(&mut self, tokens: f64, now: Timestamp) -> Duration {
        let Some(available_at) = self.bucket.available_at(tokens, now) else {
            return MAX_RETRY_AFTER;
        };
        let rate_per_s = self.bucket.share().rate_per_s.max(0.1);
        let at = available_at.max(self.reserved_until);
        let limit = now + MAX_RETRY_AFTER;
        self.reserved_until = (at + Duration::from_secs_f64(tokens / rate_per_s)).min(limit);
        at.min(limit).since(now)
    }

    /// Returns the number of tokens to request from other homes now; `None` if there are enough or
    /// the last request was too recent.
    pub fn tokens_to_request(&mut self, now: Timestamp) -> Option<f64> {
        let recently = |at: Option<Timestamp>, span| at.is_some_and(|at| now.since(at) < span);
        if recently(self.requested_at, REQUEST_INTERVAL)
            || recently(self.others_empty_at, EMPTY_SPAN)
        {
            return None;
        }
        self.decay(now);
        let tokens = self.bucket.tokens(now);
        let reserve = self.reserve();
        if tokens >= reserve.max(1.0) + self.waiting_tokens {
            return None;
        }
        let share = self.bucket.share();
        let supply = self.demand_per_s * SUPPLY_SPAN.as_secs_f64();
        let target = supply.min(share.burst).max(reserve).max(1.0) + self.waiting_tokens;
        self.requested_at = Some(now);
        self.received_tokens = false;
        Some((target - tokens).max(1.0))
    }

    /// Deducts the tokens that can be spared, up to what another home requests; returns the amount.
    pub fn withdraw(&mut self, tokens: f64, now: Timestamp) -> f64 {
        self.decay(now);
        let spare = self.bucket.tokens(now) - self.reserve();
        self.bucket.withdraw(tokens.min(spare), now)
    }

    /// Adds tokens given by another home.
    pub fn deposit(&mut self, tokens: f64, until: Timestamp, now: Timestamp) {
        self.bucket.deposit(tokens, until, now);
        if tokens > 0.0 {
            self.others_empty_at = None;
            self.received_tokens = true;
        }
    }

    /// Records that the requested transfers have ended: the other homes have responded or can't be
    /// reached, and what they gave has been deposited.
    pub fn transfers_ended(&mut self, now: Timestamp) {
        if !self.received_tokens && self.bucket.tokens(now) < 1.0 {
            self.others_empty_at = Some(now);
        }
    }

    /// Returns the number of tokens in the bucket.
    pub fn tokens(&mut self, now: Timestamp) -> f64 {
        self.bucket.tokens(now)
    }

    fn others_are_empty(&self, now: Timestamp) -> bool {
        self.others_empty_at
            .is_some_and(|at| now.since(at) < EMPTY_SPAN)
    }

    fn reserve(&self) -> f64 {
        self.demand_per_s * RESERVE_SPAN.as_secs_f64()
    }

    fn add_demand(&mut self, tokens: f64, now: Timestamp) {
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
