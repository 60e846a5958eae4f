//! Limits of the workspaces over all VMs.
//!
//! Each workspace has one owner among the gateways, which holds its whole bucket ([`ledger`]). Every
//! gateway, the owner included, is a holder: it requests tokens from the owner ahead of need
//! ([`holding`]). [`ownership`] decides who the owner is, [`fallback`] what a holder may use while
//! the owner is unreachable.

pub mod fallback;
pub mod holding;
pub mod ledger;
pub mod ownership;
pub mod places;
pub mod queue;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use self::fallback::FallbackUse;
use self::holding::{Arrival, Decision, Holding};
use self::ledger::{Ask, Ledger, Limit};
use self::ownership::{Candidate, Ownership};
use self::queue::Ticket;
use crate::entry::catalog::Workspace;
use crate::entry::datagram::{HandOver, HandedBucket, LimitStatus, TokenAnswer, TokenAsk};
use crate::entry::record::VmRecord;
use crate::name::{VmName, WorkspaceName};
use crate::time::Timestamp;

/// Maximum number of workspaces in one datagram.
const MAX_PER_DATAGRAM: usize = 40;

/// Time for which a received hand-over is kept until this VM has seen that it is the owner.
const HAND_OVER_RETENTION: Duration = Duration::from_secs(2);

/// Time without a change of the gateways after which a workspace without a bucket is known to be
/// new: nobody has granted tokens of it.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// Time after which a response to a request is no longer expected.
const RESPONSE_RETENTION: Duration = Duration::from_secs(1);

/// Workspaces by name, as in the catalog.
pub type Workspaces = HashMap<WorkspaceName, Arc<Workspace>>;

/// What this VM knows about the fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// Workspaces of the configuration in force.
    pub workspaces: &'a Workspaces,
    /// Version of the configuration.
    pub version: u64,
    /// Registered gateways.
    pub gateways: &'a BTreeMap<VmName, VmRecord>,
    /// Lease of this VM's registration; `None` while it isn't a gateway.
    pub own_lease: Option<u64>,
}

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

/// Counts since they were last read, for metrics and log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tokens requested from other gateways.
    pub tokens_requested: u64,
    /// Tokens granted to other gateways.
    pub tokens_granted: u64,
    /// Workspaces that this VM became the owner of with a hand-over.
    pub inherited: usize,
    /// Workspaces that it became the owner of without one.
    pub started: usize,
    /// Workspaces that it handed over.
    pub handed_over: usize,
    /// Workspaces whose fallback share came into use.
    pub fallbacks_started: usize,
}

#[derive(Debug)]
struct ReceivedHandOver {
    bucket: HandedBucket,
    to_lease: u64,
    received_at: Timestamp,
}

/// Limits of all workspaces at one VM, as their owner and as a holder.
#[derive(Debug)]
pub struct Quota {
    own: VmName,
    address: SocketAddr,
    lease_ttl: Duration,
    ownership: Ownership,
    fallback: FallbackUse,
    ledgers: HashMap<WorkspaceName, Ledger>,
    holdings: HashMap<WorkspaceName, Holding>,
    active: HashSet<WorkspaceName>,
    in_flight: HashMap<u64, Vec<WorkspaceName>>,
    hand_overs: HashMap<WorkspaceName, ReceivedHandOver>,
    hand_over_nonces: HashMap<VmName, u64>,
    nonce: u64,
    version: u64,
    valid_until: Timestamp,
    is_leaving: bool,
    is_busy: bool,
    must_reassign: bool,
    announces_fallback: bool,
    /// Part of the limits of which this VM may use its share without the owners.
    fallback_factor: Option<f64>,
    counts: Counts,
}

impl Default for Quota {
    fn default() -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::new(VmName::from(""), unset, Duration::ZERO)
    }
}

impl Quota {
    /// Creates the limits of a VM that knows no gateways yet. `lease_ttl` is the time-to-live of the
    /// gateways' registrations.
    pub fn new(own: VmName, address: SocketAddr, lease_ttl: Duration) -> Self {
        Self {
            ownership: Ownership::new(own.clone()),
            own,
            address,
            lease_ttl,
            fallback: FallbackUse::default(),
            ledgers: HashMap::new(),
            holdings: HashMap::new(),
            active: HashSet::new(),
            in_flight: HashMap::new(),
            hand_overs: HashMap::new(),
            hand_over_nonces: HashMap::new(),
            nonce: 0,
            version: 0,
            valid_until: Timestamp::ZERO,
            is_leaving: false,
            is_busy: false,
            must_reassign: false,
            announces_fallback: false,
            fallback_factor: None,
            counts: Counts::default(),
        }
    }

    /// Records until when this VM's registration is certain. When it was uncertain before, buckets
    /// start empty, because holders may have used their fallback.
    pub fn set_valid_until(&mut self, valid_until: Timestamp, now: Timestamp) {
        if !self.is_certain(now) && now < valid_until {
            self.ledgers
                .values_mut()
                .for_each(|ledger| ledger.drain(now));
        }
        self.valid_until = valid_until;
        if valid_until > Timestamp::ZERO {
            self.fallback.record_validity(valid_until);
        }
    }

    /// Decides on a request for one token.
    pub fn arrive(&mut self, workspace: &Workspace, arrival: Arrival, now: Timestamp) -> Decision {
        let limit = limit_of(workspace);
        let name = &workspace.name;
        let holding = self
            .holdings
            .entry(name.clone())
            .or_insert_with(|| Holding::new(limit, now));
        holding.count(now);
        self.is_busy = true;
        let lacks_token = holding.lacks_token(now);
        let ranks = self.ownership.ranks(name);
        if lacks_token && ranks.first().is_some_and(|first| self.is_own(first)) {
            self.ask_own(name, ranks.len(), now);
        }
        self.active.insert(name.clone());
        let holding = self.holdings.get_mut(name);
        holding.map_or(Decision::Waits, |holding| holding.arrive(arrival, now))
    }

    /// Returns whether tokens of a workspace must be requested now.
    pub fn has_due_request(&mut self, workspace: &WorkspaceName, now: Timestamp) -> bool {
        let holding = self.holdings.get_mut(workspace);
        holding.is_some_and(|holding| holding.is_request_due(now))
    }

    /// Adds a request that waits.
    pub fn enqueue(
        &mut self,
        workspace: &WorkspaceName,
        arrival: Arrival,
        ticket: Ticket,
        now: Timestamp,
    ) {
        if let Some(holding) = self.holdings.get_mut(workspace) {
            holding.enqueue(arrival, ticket, now);
        }
    }

    /// Removes a waiting request whose caller is gone.
    pub fn leave(&mut self, workspace: &WorkspaceName, ticket: Ticket) {
        if let Some(holding) = self.holdings.get_mut(workspace) {
            holding.leave(ticket);
        }
    }

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

    /// Decides on the waiting requests that can be decided on.
    pub fn settle(&mut self, now: Timestamp) -> Vec<(Ticket, Decision)> {
        let mut settled = Vec::new();
        for name in &self.active {
            if let Some(holding) = self.holdings.get_mut(name) {
                holding.settle(now, &mut settled);
            }
        }
        settled
    }

    /// Returns whether requests have arrived since the last call.
    pub fn take_busy(&mut self) -> bool {
        std::mem::take(&mut self.is_busy)
    }

    /// Returns whether something is to be done soon without a further request or response.
    pub fn is_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        let holdings = self
            .active
            .iter()
            .filter_map(|name| self.holdings.get(name));
        holdings.map(Holding::waiting).sum()
    }

    /// Returns the number of workspaces that this VM is the owner of.
    pub fn owned(&self) -> usize {
        self.ledgers.len()
    }

    /// Takes over what is known about the fleet. Returns the buckets to hand over.
    pub fn update(&mut self, view: FleetView<'_>, now: Timestamp) -> Vec<(SocketAddr, HandOver)> {
        if view.own_lease.is_some() && view.own_lease != self.ownership.own_lease() {
            self.is_leaving = false;
        }
        let valid_until = |vm: &VmName| self.fallback.valid_until(vm, self.lease_ttl, now);
        let (gateways, own_lease) = (view.gateways, view.own_lease);
        let change = self.ownership.update(gateways, own_lease, valid_until, now);
        self.must_reassign |= change.is_some() || view.version != self.version;
        self.version = view.version;
        for (vm, said_goodbye) in change.iter().flat_map(|change| &change.left) {
            self.fallback.record_left(vm, *said_goodbye, now);
        }
        for vm in change.iter().flat_map(|change| &change.joined) {
            self.fallback.record_joined(vm, now);
        }
        let factor = self.fallback.owner_factor(self.ownership.others(), now);
        let hand_overs = if std::mem::take(&mut self.must_reassign) {
            self.reassign(view.workspaces, now)
        } else {
            Vec::new()
        };
        for (name, ledger) in &mut self.ledgers {
            if let Some(workspace) = view.workspaces.get(name) {
                let limit = limit_of(workspace);
                let kept = Limit {
                    rate_per_s: limit.rate_per_s * factor,
                    burst: (limit.burst * factor).max(1.0),
                };
                ledger.set_limit(kept, now);
            }
        }
        for (name, holding) in &mut self.holdings {
            if let Some(workspace) = view.workspaces.get(name) {
                holding.set_limit(limit_of(workspace));
            }
        }
        self.update_fallback(now);
        hand_overs
    }

    /// Records the status of a gateway.
    pub fn receive_status(&mut self, vm: &VmName, status: LimitStatus, now: Timestamp) {
        self.fallback.record_status(vm, status.uses_fallback, now);
        if status.says_goodbye {
            self.must_reassign |= self.ownership.record_goodbye(vm, status.lease, now);
        }
        let digest = status.gateways_digest;
        self.must_reassign |= self.ownership.record_digest(vm, digest);
    }

    /// Keeps the buckets that another gateway hands over until this VM has seen that it owns them.
    /// They are used only if no bucket was started without them.
    pub fn receive_hand_over(&mut self, hand_over: HandOver, now: Timestamp) {
        let last = self
            .hand_over_nonces
            .entry(hand_over.vm.clone())
            .or_default();
        let is_repeated = hand_over.nonce <= std::mem::replace(last, hand_over.nonce.max(*last));
        let is_leaving =
            hand_over.is_leaving && self.ownership.is_registered(&hand_over.vm, hand_over.lease);
        if is_repeated || (self.ownership.is_established() && !is_leaving) {
            return;
        }
        for bucket in hand_over.buckets {
            let received = ReceivedHandOver {
                to_lease: hand_over.to_lease,
                received_at: now,
                bucket,
            };
            let workspace = received.bucket.workspace.clone();
            self.hand_overs.insert(workspace, received);
        }
        self.must_reassign = true;
    }

    /// Returns what to announce to the other gateways; `None` unless this VM is one.
    pub fn status(&self) -> Option<LimitStatus> {
        Some(LimitStatus {
            lease: self.ownership.own_lease()?,
            gateways_digest: self.ownership.digest(),
            uses_fallback: self.announces_fallback,
            says_goodbye: self.is_leaving,
        })
    }

    /// Ends this VM's ownership before it deregisters. Returns the buckets to hand over; the goodbye
    /// must be announced after them.
    pub fn stop(&mut self, now: Timestamp) -> Vec<(SocketAddr, HandOver)> {
        let mut buckets = Vec::new();
        let is_certain = self.is_certain(now);
        self.is_leaving = true;
        for (name, mut ledger) in std::mem::take(&mut self.ledgers) {
            let ranks = self.ownership.ranks(&name);
            if let Some(next) = ranks.get(1).filter(|_| is_certain) {
                buckets.push((next.clone(), handed(&name, &mut ledger, now)));
            }
        }
        self.build_hand_overs(buckets, now)
    }

    /// Returns whether [`Quota::update`] must be called because of what was received.
    pub const fn needs_update(&self) -> bool {
        self.must_reassign
    }

    /// Returns and resets the counts.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    fn is_certain(&self, now: Timestamp) -> bool {
        now < self.valid_until && !self.is_leaving
    }

    fn is_own(&self, candidate: &Candidate) -> bool {
        candidate.vm == self.own
    }

    fn next_nonce(&mut self, now: Timestamp) -> u64 {
        self.nonce = now.as_micros().max(self.nonce + 1);
        self.nonce
    }

    /// Requests tokens from this VM's own bucket, if it is the owner.
    fn ask_own(&mut self, name: &WorkspaceName, ranks: usize, now: Timestamp) {
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
        let (factor, gateways) = (self.fallback_factor, self.ownership.gateway_count());
        let share = factor.map(|factor| fallback::share(holding.limit(), factor, gateways));
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

    /// Starts the buckets that this VM owns now and hands over those that it no longer owns.
    fn reassign(&mut self, workspaces: &Workspaces, now: Timestamp) -> Vec<(SocketAddr, HandOver)> {
        self.hand_overs
            .retain(|_, received| now.since(received.received_at) < HAND_OVER_RETENTION);
        self.ledgers.retain(|name, _| workspaces.contains_key(name));
        self.holdings
            .retain(|name, _| workspaces.contains_key(name));
        self.holdings.values_mut().for_each(Holding::ask_first);
        let is_certain = self.is_certain(now);
        let mut buckets = Vec::new();
        for (name, workspace) in workspaces {
            let is_first = self.ownership.is_first(name) && !self.is_leaving;
            if !is_first {
                let Some(mut ledger) = self.ledgers.remove(name) else {
                    continue;
                };
                let ranks = self.ownership.ranks(name);
                if let Some(first) = ranks.first().filter(|_| is_certain) {
                    buckets.push((first.clone(), handed(name, &mut ledger, now)));
                }
            } else if !self.ledgers.contains_key(name)
                && let Some(ledger) = self.start_ledger(name, limit_of(workspace), now)
            {
                self.ledgers.insert(name.clone(), ledger);
            }
        }
        self.build_hand_overs(buckets, now)
    }

    fn start_ledger(
        &mut self,
        name: &WorkspaceName,
        limit: Limit,
        now: Timestamp,
    ) -> Option<Ledger> {
        let lease = self.ownership.own_lease();
        let received = self.hand_overs.remove(name);
        if let Some(received) = received.filter(|received| Some(received.to_lease) == lease) {
            self.counts.inherited += 1;
            let elapsed_s = now.since(received.received_at).as_secs_f64();
            let tokens = f64::from(received.bucket.tokens) + limit.rate_per_s * elapsed_s;
            let outstanding = received.bucket.outstanding.into();
            return Some(Ledger::inherit(limit, tokens, outstanding, now));
        }
        if !self.ownership.is_established() {
            return None;
        }
        self.counts.started += 1;
        let settled_for = now.since(self.ownership.changed_at());
        Some(if settled_for >= SETTLED_AFTER {
            Ledger::full(limit, now)
        } else if self.ownership.has_just_started() {
            Ledger::restarted(limit, now)
        } else {
            Ledger::empty(limit, now)
        })
    }

    fn build_hand_overs(
        &mut self,
        buckets: Vec<(Candidate, HandedBucket)>,
        now: Timestamp,
    ) -> Vec<(SocketAddr, HandOver)> {
        self.counts.handed_over += buckets.len();
        let mut by_target: BTreeMap<SocketAddr, (u64, Vec<HandedBucket>)> = BTreeMap::new();
        for (to, bucket) in buckets {
            let entry = by_target.entry(to.address);
            entry.or_insert((to.lease, Vec::new())).1.push(bucket);
        }
        let lease = self.ownership.own_lease().unwrap_or_default();
        let mut hand_overs = Vec::new();
        for (address, (to_lease, buckets)) in by_target {
            for chunk in buckets.chunks(MAX_PER_DATAGRAM) {
                let hand_over = HandOver {
                    vm: self.own.clone(),
                    lease,
                    to_lease,
                    nonce: self.next_nonce(now),
                    is_leaving: self.is_leaving,
                    buckets: chunk.to_vec(),
                };
                hand_overs.push((address, hand_over));
            }
        }
        hand_overs
    }

    fn update_fallback(&mut self, now: Timestamp) {
        let active = self.active.iter();
        let needs_fallback = active
            .filter_map(|name| self.holdings.get(name))
            .any(|holding| holding.needs_fallback(now));
        self.announces_fallback = self.fallback.announce(needs_fallback, now);
        self.fallback_factor = self.fallback.factor(self.ownership.others(), now);
    }
}

fn handed(name: &WorkspaceName, ledger: &mut Ledger, now: Timestamp) -> HandedBucket {
    let (tokens, outstanding) = ledger.balance(now);
    HandedBucket {
        workspace: name.clone(),
        tokens: tokens as f32,
        outstanding: outstanding as f32,
    }
}

/// Returns the limit of a workspace. With a burst below 1, no request could ever be admitted.
fn limit_of(workspace: &Workspace) -> Limit {
    Limit {
        rate_per_s: workspace.rate_per_s,
        burst: workspace.burst.max(1.0),
    }
}

#[cfg(test)]
mod tests;
