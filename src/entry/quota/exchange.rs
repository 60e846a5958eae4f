//! Requests for tokens and their responses, over all workspaces of a VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::ledger::Ask;
use super::ownership::Candidate;
use super::{MAX_PER_DATAGRAM, Quota, fallback};
use crate::entry::datagram::{TokenAnswer, TokenAsk};
use crate::name::WorkspaceName;
use crate::time::Timestamp;

/// Time after which a response to a request is no longer expected.
const RESPONSE_RETENTION: Duration = Duration::from_secs(1);

/// Requests to one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Address of the gateway.
    pub to: SocketAddr,
    /// Number of the request.
    pub nonce: u64,
    /// Requested tokens by workspace.
    pub asks: Vec<TokenAsk>,
}

impl Quota {
    /// Requests tokens where they are needed. Returns the requests to other gateways.
    pub fn requests(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let is_recent = |nonce: &u64| now.since(Timestamp::from_micros(*nonce));
        self.in_flight
            .retain(|nonce, _| is_recent(nonce) < RESPONSE_RETENTION);
        let mut due: BTreeMap<SocketAddr, Vec<(Candidate, WorkspaceName)>> = BTreeMap::new();
        for name in self.active.iter().cloned().collect::<Vec<_>>() {
            let Some(target) = self.next_target(&name, now) else {
                continue;
            };
            if self.is_own(&target) {
                let ranks = self.ownership.ranks(&name).len();
                self.ask_own(&name, ranks, now);
            } else {
                let asked = due.entry(target.address).or_default();
                asked.push((target, name));
            }
        }
        let mut outgoing = Vec::new();
        for (to, asked) in due {
            for chunk in asked.chunks(MAX_PER_DATAGRAM) {
                outgoing.push(self.build_request(to, chunk, now));
            }
        }
        outgoing
    }

    /// Grants tokens that another gateway requested. Returns `None` for a request that was received
    /// before.
    pub fn grant(
        &mut self,
        from: SocketAddr,
        nonce: u64,
        asks: &[TokenAsk],
        now: Timestamp,
    ) -> Option<Vec<TokenAnswer>> {
        let is_certain = self.is_certain(now);
        let mut answers = Vec::with_capacity(asks.len());
        for ask in asks {
            let ledger = self.ledgers.get_mut(&ask.workspace);
            let Some(ledger) = ledger.filter(|_| is_certain) else {
                answers.push(TokenAnswer::NotOwner);
                continue;
            };
            let request = Ask {
                nonce,
                held: ask.held.into(),
                wanted: ask.wanted.into(),
                is_prompt: ask.is_prompt,
            };
            let answer = ledger.grant(from, request, now)?;
            if let TokenAnswer::Granted { tokens, .. } = answer {
                self.counts.tokens_granted += u64::from(tokens);
            }
            answers.push(answer);
        }
        Some(answers)
    }

    /// Accepts the response of a gateway.
    pub fn receive(&mut self, nonce: u64, answers: &[TokenAnswer], now: Timestamp) {
        let Some(workspaces) = self.in_flight.remove(&nonce) else {
            return;
        };
        for (name, answer) in workspaces.iter().zip(answers) {
            let ranks = self.ownership.ranks(name).len();
            if let Some(holding) = self.holdings.get_mut(name) {
                holding.receive(nonce, *answer, ranks, now);
            }
        }
    }

    /// Requests tokens from this VM's own bucket, if it is the owner.
    pub(super) fn ask_own(&mut self, name: &WorkspaceName, ranks: usize, now: Timestamp) {
        let nonce = self.next_nonce(now);
        let is_certain = self.is_certain(now);
        let Some(holding) = self.holdings.get_mut(name) else {
            return;
        };
        let ask = holding.ask(&self.own, nonce, now);
        let ledger = self.ledgers.get_mut(name).filter(|_| is_certain);
        let granted = ledger.and_then(|ledger| ledger.grant(self.address, ask, now));
        let answer = granted.unwrap_or(TokenAnswer::NotOwner);
        holding.receive(nonce, answer, ranks, now);
    }

    /// Returns the gateway of which tokens must be requested now. Also starts or ends the use of the
    /// fallback share.
    fn next_target(&mut self, name: &WorkspaceName, now: Timestamp) -> Option<Candidate> {
        let ranks = self.ownership.ranks(name);
        let Some(holding) = self.holdings.get_mut(name) else {
            self.active.remove(name);
            return None;
        };
        let is_silent = |first: &Candidate| self.fallback.is_silent(&first.vm, now);
        holding.set_owner_silent(ranks.first().is_some_and(is_silent));
        let rank = holding.rank_to_ask(ranks.len(), now);
        let owner = ranks.first().filter(|_| self.may_use_fallback);
        let share = owner.map(|owner| {
            let factor = self.fallback.factor(&owner.vm, now);
            fallback::share(holding.limit(), factor, self.fallback_sharers)
        });
        self.counts.fallbacks_started += usize::from(holding.use_fallback(share, now));
        if rank.is_none() && !holding.is_active() {
            self.active.remove(name);
        }
        rank.map(|rank| ranks[rank].clone())
    }

    fn build_request(
        &mut self,
        to: SocketAddr,
        asked: &[(Candidate, WorkspaceName)],
        now: Timestamp,
    ) -> Outgoing {
        let nonce = self.next_nonce(now);
        let mut asks = Vec::with_capacity(asked.len());
        for (target, name) in asked {
            if let Some(holding) = self.holdings.get_mut(name) {
                let ask = holding.ask(&target.vm, nonce, now);
                self.counts.tokens_requested += ask.wanted as u64;
                asks.push(TokenAsk {
                    workspace: name.clone(),
                    held: ask.held as u32,
                    wanted: ask.wanted as u32,
                    is_prompt: ask.is_prompt,
                });
            }
        }
        let workspaces = asks.iter().map(|ask| ask.workspace.clone()).collect();
        self.in_flight.insert(nonce, workspaces);
        Outgoing { to, nonce, asks }
    }
}
