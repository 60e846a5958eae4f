//! Tokens of fallback shares, borrowed from and lent to other gateways.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{MAX_PER_DATAGRAM, Quota, Workspaces, limit_of};
use crate::entry::datagram::{Loan, LoanAsk};
use crate::name::{VmName, WorkspaceName};
use crate::time::Timestamp;

/// Time in milliseconds after which a gateway that doesn't use its fallback share is asked again.
const NO_SHARE_WAIT_MS: u32 = 1_000;

/// Loan requests to one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingLoan {
    /// Address of the gateway.
    pub to: SocketAddr,
    /// Number of the request.
    pub nonce: u64,
    /// Requested tokens by workspace.
    pub asks: Vec<LoanAsk>,
}

impl Quota {
    /// Requests tokens from the fallback shares of other gateways where requests wait for more than the
    /// own share has.
    pub fn loan_requests(&mut self, now: Timestamp) -> Vec<OutgoingLoan> {
        let mut due: BTreeMap<SocketAddr, Vec<(VmName, LoanAsk)>> = BTreeMap::new();
        for name in &self.active {
            let Some(holding) = self.holdings.get_mut(name) else {
                continue;
            };
            let wanted = holding.wanted_loan(now);
            if wanted == 0 {
                continue;
            }
            let owner = self
                .ownership
                .ranks(name)
                .first()
                .map(|owner| owner.vm.clone());
            let fallback = &self.fallback;
            let others = self.ownership.others_with_address();
            let others = others
                .filter(|(vm, _)| Some(*vm) != owner.as_ref() && !fallback.is_silent(vm, now));
            if let Some((vm, address)) = holding.lenders().next(others, |(vm, _)| vm, now) {
                let ask = LoanAsk {
                    workspace: name.clone(),
                    wanted,
                };
                due.entry(address).or_default().push((vm.clone(), ask));
            }
        }
        let mut outgoing = Vec::new();
        for (to, asked) in due {
            for chunk in asked.chunks(MAX_PER_DATAGRAM) {
                let nonce = self.next_nonce(now);
                for (vm, ask) in chunk {
                    if let Some(holding) = self.holdings.get_mut(&ask.workspace) {
                        holding.lenders().record_sent(nonce, vm.clone(), now);
                    }
                }
                let asks: Vec<_> = chunk.iter().map(|(_, ask)| ask.clone()).collect();
                let workspaces = asks.iter().map(|ask| ask.workspace.clone()).collect();
                self.in_flight.insert(nonce, workspaces);
                outgoing.push(OutgoingLoan { to, nonce, asks });
            }
        }
        outgoing
    }

    /// Lends tokens of this VM's fallback shares. Shares that aren't in use yet come into use if the
    /// owner turns out to be unreachable for this VM, too.
    pub fn lend(&mut self, asks: &[LoanAsk], workspaces: &Workspaces, now: Timestamp) -> Vec<Loan> {
        let lend = |ask| self.lend_one(ask, workspaces, now);
        asks.iter().map(lend).collect()
    }

    /// Accepts the response of a gateway that was asked for a loan.
    pub fn receive_loans(&mut self, nonce: u64, loans: &[Loan], now: Timestamp) {
        let Some(workspaces) = self.in_flight.remove(&nonce) else {
            return;
        };
        for (name, loan) in workspaces.iter().zip(loans) {
            if let Some(holding) = self.holdings.get_mut(name) {
                holding.receive_loan(nonce, *loan, now);
                self.counts.tokens_borrowed += u64::from(loan.tokens);
            }
        }
    }

    fn lend_one(&mut self, ask: &LoanAsk, workspaces: &Workspaces, now: Timestamp) -> Loan {
        let name: &WorkspaceName = &ask.workspace;
        let none = Loan {
            tokens: 0,
            wait_ms: NO_SHARE_WAIT_MS,
        };
        let is_owner = self.ownership.is_first(name);
        let Some(workspace) = workspaces.get(name) else {
            return none;
        };
        if is_owner || self.is_leaving || !self.may_use_fallback {
            return none;
        }
        if !self.holdings.contains_key(name) {
            let holding = self.new_holding(limit_of(workspace), now);
            self.holdings.insert(name.clone(), holding);
        }
        self.active.insert(name.clone());
        let holding = self.holdings.get_mut(name);
        holding.map_or(none, |holding| holding.lend(ask.wanted, now))
    }
}
