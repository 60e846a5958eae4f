//! Gateways from which a holder borrows tokens of their fallback shares.
//!
//! Load pattern: VMs can't reach the owner of a limit, and the callers of a small workspace come to two
//! of eight gateways. Their shares are a fraction of a token each in the time for which a request may
//! wait, while the shares of the other gateways are unspent.

use std::collections::HashMap;
use std::time::Duration;

use crate::entry::datagram::Loan;
use crate::name::VmName;
use crate::time::Timestamp;

/// Time without a response after which a request counts as lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);

/// Delay before a gateway that didn't respond is asked again.
const SILENT_DELAY: Duration = Duration::from_millis(500);

/// Time for which a gateway that has lent a token is expected to lend more.
const LENT_RETENTION: Duration = Duration::from_secs(1);

/// Request that hasn't been responded to.
#[derive(Debug)]
struct InFlight {
    nonce: u64,
    vm: VmName,
    sent_at: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Lender {
    available_at: Timestamp,
    lent_at: Option<Timestamp>,
}

/// Gateways from which one workspace's tokens are borrowed.
#[derive(Debug, Default)]
pub struct Lenders {
    known: HashMap<VmName, Lender>,
    in_flight: Option<InFlight>,
    /// Time before which no gateway is expected to have tokens.
    next_available_at: Timestamp,
}

impl Lenders {
    /// Returns the gateway to ask now: the one that has been available for longest. `None` while a
    /// request is under way, or if no gateway is expected to have tokens.
    pub fn next<T>(
        &mut self,
        candidates: impl Iterator<Item = T>,
        vm: impl Fn(&T) -> &VmName,
        now: Timestamp,
    ) -> Option<T> {
        self.forget_lost(now);
        if self.in_flight.is_some() {
            return None;
        }
        let available_at = |candidate: &T| {
            let lender = self.known.get(vm(candidate));
            lender.map_or(Timestamp::ZERO, |lender| lender.available_at)
        };
        let next = candidates.min_by_key(available_at);
        let next_available_at = next.as_ref().map(available_at);
        self.next_available_at = next_available_at.unwrap_or(now + SILENT_DELAY);
        next.filter(|candidate| available_at(candidate) <= now)
    }

    /// Records a request.
    pub fn record_sent(&mut self, nonce: u64, vm: VmName, now: Timestamp) {
        self.in_flight = Some(InFlight {
            nonce,
            vm,
            sent_at: now,
        });
    }

    /// Accepts the response to the request under way; returns when the request was sent, and by which
    /// gateway it was answered.
    pub fn receive(
        &mut self,
        nonce: u64,
        loan: Loan,
        now: Timestamp,
    ) -> Option<(Timestamp, VmName)> {
        let request = self.in_flight.take_if(|request| request.nonce == nonce)?;
        let lender = Lender {
            available_at: now + Duration::from_millis(loan.wait_ms.into()),
            lent_at: (loan.tokens > 0).then_some(now).or_else(|| {
                let known = self.known.get(&request.vm);
                known.and_then(|known| known.lent_at)
            }),
        };
        self.known.insert(request.vm.clone(), lender);
        Some((request.sent_at, request.vm))
    }

    /// Returns whether a gateway may have tokens now.
    pub fn may_lend(&self, now: Timestamp) -> bool {
        self.in_flight.is_some() || now >= self.next_available_at
    }

    /// Returns the number of gateways that lend tokens.
    pub fn active(&self, now: Timestamp) -> usize {
        let lent = self.known.values().filter_map(|lender| lender.lent_at);
        lent.filter(|lent_at| now.since(*lent_at) < LENT_RETENTION)
            .count()
    }

    fn forget_lost(&mut self, now: Timestamp) {
        let is_lost = |request: &mut InFlight| now.since(request.sent_at) >= RESPONSE_TIMEOUT;
        if let Some(lost) = self.in_flight.take_if(is_lost) {
            let silent = Lender {
                available_at: now + SILENT_DELAY,
                lent_at: None,
            };
            self.known.insert(lost.vm, silent);
        }
    }
}

#[cfg(test)]
mod tests;
