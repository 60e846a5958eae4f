//! Loans between the fallback shares of two gateways, for one workspace.

use std::time::Duration;

use super::{EPSILON, Holding, Lot, UNREACHABLE_AFTER, duration};
use crate::entry::datagram::Loan;
use crate::entry::quota::ledger::PROMPT_TOKEN_TTL;
use crate::entry::quota::lenders::Lenders;
use crate::time::Timestamp;

/// Bounds of the time after which a gateway that borrows tokens may ask again.
const MIN_LOAN_WAIT: Duration = Duration::from_millis(20);
const MAX_LOAN_WAIT: Duration = Duration::from_secs(1);

/// Time for which an owner that has responded counts as reachable.
const REACHABLE_RETENTION: Duration = Duration::from_secs(1);

impl Holding {
    /// Returns the number of tokens to borrow from other gateways.
    pub fn wanted_loan(&mut self, now: Timestamp) -> u32 {
        if self.fallback.is_none() {
            return 0;
        }
        let missing = self.queue.len() as f64 - self.tokens(now).floor();
        missing.max(0.0) as u32
    }

    /// Returns the gateways from which tokens are borrowed.
    pub const fn lenders(&mut self) -> &mut Lenders {
        &mut self.lenders
    }

    /// Accepts the response of a gateway that was asked for a loan.
    pub fn receive_loan(&mut self, nonce: u64, loan: Loan, now: Timestamp) {
        let request = self.lenders.receive(nonce, loan, now);
        let Some((sent_at, owner)) = request.filter(|_| loan.tokens > 0) else {
            return;
        };
        self.usage.borrowed = self.usage.borrowed.saturating_add(loan.tokens);
        self.lots.push_back(Lot {
            owner,
            tokens: f64::from(loan.tokens),
            until: sent_at + PROMPT_TOKEN_TTL,
        });
    }

    /// Lends tokens of the fallback share that no request waits for here. Without a share in use, the
    /// owner is asked whether it is reachable.
    pub fn lend(&mut self, wanted: u32, now: Timestamp) -> Loan {
        if self.fallback.is_none() && now.since(self.granted_at) < REACHABLE_RETENTION {
            return Loan {
                tokens: 0,
                wait_ms: REACHABLE_RETENTION.as_millis() as u32,
            };
        }
        self.arrived_at = now;
        self.without_grant_since.get_or_insert(now);
        let reserved = self.queue.len() as f64 + self.places.expected_until(now);
        let Some(fallback) = &mut self.fallback else {
            return Loan {
                tokens: 0,
                wait_ms: UNREACHABLE_AFTER.as_millis() as u32,
            };
        };
        let spare = (fallback.tokens(now) - reserved).max(0.0).floor();
        let lent = spare.min(f64::from(wanted));
        fallback.lend(lent);
        let missing = 1.0 - (fallback.tokens(now) - reserved);
        let wait = duration(missing / fallback.rate_per_s().max(EPSILON));
        Loan {
            tokens: lent as u32,
            wait_ms: wait.clamp(MIN_LOAN_WAIT, MAX_LOAN_WAIT).as_millis() as u32,
        }
    }
}

#[cfg(test)]
mod tests;
