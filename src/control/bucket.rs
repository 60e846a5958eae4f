//! Token bucket of one workspace at the home of one database.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// Time for which tokens in transfer count against the capacity of the bucket that gave them.
///
/// The receiver counts the same time from its request, which was sent earlier. No token is
/// therefore part of two buckets' capacity at once, however long the transfer takes.
pub const TRANSFER_HOLD: Duration = Duration::from_millis(100);

/// Smallest amount that counts as missing; tolerates rounding errors of sums.
const EPSILON: f64 = 1e-9;

/// Share of a workspace's rate and burst that one home may admit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Tokens added per second.
    pub rate_per_s: f64,
    /// Maximum number of tokens in the bucket.
    pub burst: f64,
    /// Weight of the workspace in fair queueing.
    pub weight: u32,
}

/// Temporary change of the capacity, until a given time.
#[derive(Debug, Clone, Copy)]
struct Loan {
    tokens: f64,
    until: Timestamp,
}

/// Tokens that a home may spend on requests of one workspace.
///
/// Over all homes, tokens and capacity never exceed the workspace's burst: before a token is sent
/// to another home, it is deducted, and the capacity is reduced by it for [`TRANSFER_HOLD`].
#[derive(Debug, Clone)]
pub struct Bucket {
    share: Share,
    tokens: f64,
    as_of: Timestamp,
    /// Positive for tokens received from other homes, negative for tokens sent to them.
    loans: Vec<Loan>,
}

impl Bucket {
    /// Creates a bucket without tokens, with which every new home of a database starts; it refills
    /// from `refills_from` on.
    pub const fn empty(share: Share, refills_from: Timestamp) -> Self {
        Self {
            share,
            tokens: 0.0,
            as_of: refills_from,
            loans: Vec::new(),
        }
    }

    /// Returns the share by which the bucket refills.
    pub const fn share(&self) -> Share {
        self.share
    }

    /// Returns the available tokens.
    pub fn tokens(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Changes the share; tokens above the new burst are dropped.
    pub fn set_share(&mut self, share: Share, now: Timestamp) {
        self.refill(now);
        self.share = share;
        self.clamp();
    }

    /// Spends tokens on a request; returns whether there were enough.
    pub fn try_take(&mut self, tokens: f64, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens + EPSILON < tokens {
            return false;
        }
        self.tokens = (self.tokens - tokens).max(0.0);
        true
    }

    /// Returns when the bucket will hold `tokens` without any transfer; `None` if it never will.
    pub fn available_at(&mut self, tokens: f64, now: Timestamp) -> Option<Timestamp> {
        self.refill(now);
        let missing = tokens - self.tokens;
        if missing <= EPSILON {
            return Some(now);
        }
        if self.share.rate_per_s <= 0.0 || tokens > self.share.burst + EPSILON {
            return None;
        }
        let wait = Duration::from_secs_f64((missing / self.share.rate_per_s).min(3_600.0));
        Some(now.max(self.as_of) + wait)
    }

    /// Deducts up to `tokens` to be sent to another home; returns the deducted amount.
    pub fn withdraw(&mut self, tokens: f64, now: Timestamp) -> f64 {
        self.refill(now);
        let given = tokens.min(self.tokens).max(0.0);
        if given <= EPSILON {
            return 0.0;
        }
        self.tokens -= given;
        self.loans.push(Loan {
            tokens: -given,
            until: now + TRANSFER_HOLD,
        });
        given
    }

    /// Adds tokens that another home gave; until `until` they may be kept in addition to the burst.
    pub fn deposit(&mut self, tokens: f64, until: Timestamp, now: Timestamp) {
        self.refill(now);
        if tokens <= EPSILON || until <= now {
            return;
        }
        self.loans.push(Loan { tokens, until });
        self.tokens += tokens;
        self.clamp();
    }

    fn refill(&mut self, now: Timestamp) {
        while let Some(end) = self.next_loan_end().filter(|end| *end <= now) {
            self.advance(end);
            self.loans.retain(|loan| loan.until > end);
            self.clamp();
        }
        self.advance(now);
    }

    fn next_loan_end(&self) -> Option<Timestamp> {
        self.loans.iter().map(|loan| loan.until).min()
    }

    fn advance(&mut self, to: Timestamp) {
        self.tokens += self.share.rate_per_s * to.since(self.as_of).as_secs_f64();
        self.as_of = self.as_of.max(to);
        self.clamp();
    }

    fn clamp(&mut self) {
        let on_loan: f64 = self.loans.iter().map(|loan| loan.tokens).sum();
        let capacity = (self.share.burst + on_loan).max(0.0);
        self.tokens = self.tokens.clamp(0.0, capacity);
    }
}

#[cfg(test)]
mod tests;
