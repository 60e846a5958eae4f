//! Limits of the workspaces over all VMs.
//!
//! Each workspace has one owner among the gateways, which holds its whole bucket ([`ledger`]). Every
//! gateway, the owner included, is a holder: it requests tokens from the owner ahead of need
//! ([`holding`]). [`ownership`] decides who the owner is, [`fallback`] what a holder may use while
//! the owner is unreachable.

pub mod exchange;
pub mod fallback;
pub mod holding;
pub mod ledger;
pub mod lenders;
pub mod lending;
pub mod ownership;
pub mod places;
pub mod queue;
pub mod reassignment;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use self::fallback::FallbackUse;
use self::holding::{Arrival, Decision, Holding, Usage};
use self::ledger::{Ledger, Limit, TOKEN_TTL};
use self::ownership::{Candidate, Ownership};
use self::queue::Ticket;
use self::reassignment::ReceivedHandOver;
use crate::entry::catalog::Workspace;
use crate::entry::datagram::{HandOver, LimitStatus};
use crate::entry::record::VmRecord;
use crate::name::{VmName, WorkspaceName};
use crate::time::Timestamp;

/// Seconds of rate that all VMs together may spend after they have started, before they know the
/// owners. The buckets start with as much, and together they stay below what a restart leaves unused.
const START_CREDIT_S: f64 = 0.25;

/// Maximum number of workspaces in one datagram.
const MAX_PER_DATAGRAM: usize = 40;

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
    /// Tokens borrowed from the fallback shares of other gateways.
    pub tokens_borrowed: u64,
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
    /// Requests that waited when their workspace was removed from the configuration.
    orphaned: Vec<Ticket>,
    in_flight: HashMap<u64, Vec<WorkspaceName>>,
    hand_overs: HashMap<WorkspaceName, ReceivedHandOver>,
    hand_over_nonces: HashMap<VmName, u64>,
    nonce: u64,
    version: u64,
    valid_until: Timestamp,
    is_leaving: bool,
    /// Requests since the last call of [`Quota::take_busy`].
    arrivals: u64,
    must_reassign: bool,
    /// Time until which tokens may be spent that this VM has since its start.
    start_credit_until: Timestamp,
    /// Whether this VM may use its fallback shares of the limits of unreachable owners.
    may_use_fallback: bool,
    /// Number of gateways that divide the limit of an unreachable owner.
    fallback_sharers: usize,
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
            orphaned: Vec::new(),
            in_flight: HashMap::new(),
            hand_overs: HashMap::new(),
            hand_over_nonces: HashMap::new(),
            nonce: 0,
            version: 0,
            valid_until: Timestamp::ZERO,
            is_leaving: false,
            arrivals: 0,
            must_reassign: false,
            start_credit_until: Timestamp::ZERO,
            may_use_fallback: false,
            fallback_sharers: 1,
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
        if !self.holdings.contains_key(name) {
            let holding = self.new_holding(limit, now);
            self.holdings.insert(name.clone(), holding);
        }
        let Some(holding) = self.holdings.get_mut(name) else {
            return Decision::Waits;
        };
        holding.count(now);
        self.arrivals += 1;
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

    /// Decides on the waiting requests that can be decided on.
    pub fn settle(&mut self, now: Timestamp) -> Vec<(Ticket, Decision)> {
        let orphaned = self.orphaned.drain(..);
        let mut settled: Vec<_> = orphaned
            .map(|ticket| (ticket, Decision::WorkspaceRemoved))
            .collect();
        for name in &self.active {
            if let Some(holding) = self.holdings.get_mut(name) {
                holding.settle(now, &mut settled);
            }
        }
        settled
    }

    /// Returns whether requests have arrived since the last call.
    pub fn take_busy(&mut self) -> bool {
        std::mem::take(&mut self.arrivals) > 0
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
        let is_first = !self.ownership.has_registered();
        let change = self.ownership.update(gateways, own_lease, valid_until, now);
        if is_first && own_lease.is_some() {
            self.start_credit_until = now + TOKEN_TTL;
            self.fallback.record_first_list(now);
        }
        self.must_reassign |= change.is_some() || view.version != self.version;
        self.version = view.version;
        let left = change.iter().flat_map(|change| &change.left);
        for (vm, said_goodbye) in left.filter(|(vm, _)| *vm != self.own) {
            self.fallback.record_left(vm, *said_goodbye, now);
        }
        for vm in change.iter().flat_map(|change| &change.joined) {
            self.fallback.record_joined(vm, now);
        }
        for vm in self.fallback.forget_left(now) {
            self.ownership.forget(&vm);
        }
        self.keep_parts(view.workspaces, now);
        let hand_overs = if std::mem::take(&mut self.must_reassign) {
            self.reassign(view.workspaces, now)
        } else {
            Vec::new()
        };
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
        self.fallback.record_status(vm, &status, now);
        if status.says_goodbye {
            self.must_reassign |= self.ownership.record_goodbye(vm, status.lease, now);
        }
        let digest = status.gateways_digest;
        self.must_reassign |= self.ownership.record_digest(vm, digest);
    }

    /// Returns whether a gateway has sent no status for long enough to count as unreachable.
    pub fn is_silent(&self, vm: &VmName, now: Timestamp) -> bool {
        self.fallback.is_silent(vm, now)
    }

    /// Returns the registrations, with their addresses, that may have ended and keep this VM from
    /// owning limits.
    pub fn unconfirmed(&self) -> Vec<(SocketAddr, u64)> {
        self.ownership.unconfirmed()
    }

    /// Records that the VM of a registration doesn't use it any more.
    pub fn record_ended(&mut self, vm: &VmName, lease: u64, now: Timestamp) {
        self.must_reassign |= self.ownership.record_goodbye(vm, lease, now);
    }

    /// Returns what to announce to the other gateways; `None` unless this VM is one.
    pub fn status(&self) -> Option<LimitStatus> {
        Some(LimitStatus {
            lease: self.ownership.own_lease()?,
            gateways_digest: self.ownership.digest(),
            unreachable_owners: self.fallback.unreachable_owners(),
            says_goodbye: self.is_leaving,
        })
    }

    /// Returns whether [`Quota::update`] must be called because of what was received.
    pub const fn needs_update(&self) -> bool {
        self.must_reassign
    }

    /// Returns and resets the counts.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Returns and resets the counts of each workspace of which requests were refused.
    pub fn take_usage_of_refused(&mut self) -> Vec<(WorkspaceName, Usage)> {
        let usage = self.holdings.iter_mut().filter_map(|(name, holding)| {
            let usage = holding.take_usage();
            (usage.refused > 0).then(|| (name.clone(), usage))
        });
        usage.collect()
    }

    /// Takes over the configured limits, and lowers them by what others may spend without this owner.
    fn keep_parts(&mut self, workspaces: &Workspaces, now: Timestamp) {
        let mut factors = HashMap::new();
        for (name, ledger) in &mut self.ledgers {
            let others = self.ownership.others();
            let owners = self
                .fallback
                .owners_of(&self.own, ledger.started_at(), others, now);
            let factor = factors
                .entry(owners)
                .or_insert_with(|| self.fallback.owner_factor(owners, &self.ownership, now));
            if let Some(workspace) = workspaces.get(name) {
                ledger.keep_part(limit_of(workspace), *factor, now);
            }
        }
    }

    fn new_holding(&self, limit: Limit, now: Timestamp) -> Holding {
        let mut holding = Holding::new(limit, now);
        if now < self.start_credit_until && !self.ownership.is_established() {
            let tokens = (limit.rate_per_s * START_CREDIT_S).min(limit.burst / 2.0);
            let share = tokens / self.ownership.gateway_count() as f64;
            holding.add_start_credit(&self.own, share, self.start_credit_until);
        }
        holding
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

    fn update_fallback(&mut self, now: Timestamp) {
        let mut unreachable = HashSet::new();
        for name in &self.active {
            let holding = self.holdings.get(name);
            if holding.is_some_and(|holding| holding.needs_fallback(now))
                && let Some(owner) = self.ownership.ranks(name).first()
            {
                unreachable.insert(owner.vm.clone());
            }
        }
        self.fallback.announce(&unreachable, now);
        self.may_use_fallback = self.fallback.is_allowed(self.ownership.others(), now);
        self.fallback_sharers = self.fallback.sharers(self.ownership.others());
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
