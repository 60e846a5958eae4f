//! This VM's share of each workspace's rate and burst.

use std::collections::HashMap;
use std::time::Duration;

use super::catalog::Workspace;
use crate::control::bucket::{Bucket, Share, TRANSFER_HOLD};
use crate::name::{VmName, WorkspaceName};
use crate::time::Timestamp;

/// Demand that every VM is assumed to have in addition to the measured one, as a fraction of the
/// workspace's rate, so that a caller that moves to another VM isn't refused before the VMs have
/// received its demand.
const BASE_DEMAND_FRACTION: f64 = 0.04;

/// Time constant by which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Minimum burst of one VM. With a burst below 1, no request could ever be admitted.
const MIN_BURST: f64 = 2.0;

/// Fraction of its burst that a VM starts with: small enough that a restart of all VMs stays within
/// the tolerance that operators allow, large enough for the callers that reconnect.
const INITIAL_BURST_FRACTION: f64 = 0.5;

/// Tokens that a VM reserves for its own callers when another VM requests some.
const RESERVED_TOKENS: f64 = 1.0;

/// Maximum number of tokens lent at once.
const MAX_TOKENS_LENT: f64 = 3.0;

/// Time after which unused initial tokens expire.
const INITIAL_TOKENS_TTL: Duration = Duration::from_secs(2);

/// Fraction of its share that a VM keeps when it receives demands from no other VM and its own
/// registration may have expired, because the others then divide its share among themselves.
const ISOLATED_FACTOR: f64 = 0.3;

/// Age of the last announced demand at which a VM counts as unreachable: two announcement
/// intervals of an idle VM.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after which the demand announced by a VM is discarded if no new announcement is received.
const DEMAND_RETENTION: Duration = Duration::from_secs(10);

/// Demand of the workspaces as one VM announces it, in operations per second.
pub type Demand = HashMap<WorkspaceName, f64>;

#[derive(Debug)]
struct PeerDemand {
    demand: Demand,
    received_at: Timestamp,
}

#[derive(Debug)]
struct Meter {
    created_at: Timestamp,
    bucket: Bucket,
    requests: f64,
    demand_per_s: f64,
    has_share: bool,
    waiting: u32,
}

/// Rate limits of all workspaces at this VM.
///
/// Each VM announces its demand and takes a share of the rate in proportion to its demand. Because
/// all VMs compute from the same announcements, the shares add up to the rate.
#[derive(Debug, Default)]
pub struct Quota {
    meters: HashMap<WorkspaceName, Meter>,
    peers: HashMap<VmName, PeerDemand>,
    counted_at: Timestamp,
}

impl Quota {
    /// Spends a token of the workspace.
    ///
    /// # Errors
    ///
    /// Fails with the time to wait before retrying when there is no token.
    pub fn admit(&mut self, workspace: &Workspace, now: Timestamp) -> Result<(), Duration> {
        let meter = self
            .meters
            .entry(workspace.name.clone())
            .or_insert_with(|| Meter::new(now));
        meter.requests += 1.0;
        if meter.bucket.try_take(1.0, now) {
            return Ok(());
        }
        let at = meter.bucket.available_at(1.0, now);
        Err(at.map_or(DEMAND_WINDOW, |at| at.since(now)))
    }

    /// Adds a request to the queue for tokens and returns how long it must wait behind those that
    /// are queued already; `None` if that exceeds `max_wait`, in which case it isn't queued.
    pub fn queue(
        &mut self,
        workspace: &WorkspaceName,
        max_wait: Duration,
        now: Timestamp,
    ) -> Option<Duration> {
        let meter = self.meters.get_mut(workspace)?;
        let tokens = f64::from(meter.waiting + 1);
        let wait = meter.bucket.available_at(tokens, now)?.since(now);
        if wait > max_wait {
            return None;
        }
        meter.waiting += 1;
        Some(wait)
    }

    /// Removes a request that was queued by [`Quota::queue`].
    pub fn leave_queue(&mut self, workspace: &WorkspaceName) {
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter.waiting = meter.waiting.saturating_sub(1);
        }
    }

    /// Deducts tokens that this VM can spare for another VM, and returns their number.
    pub fn lend(&mut self, workspace: &WorkspaceName, now: Timestamp) -> f64 {
        let Some(meter) = self.meters.get_mut(workspace) else {
            return 0.0;
        };
        let spare = meter.bucket.tokens(now) - RESERVED_TOKENS;
        if spare < 1.0 {
            return 0.0;
        }
        meter.bucket.withdraw(spare.min(MAX_TOKENS_LENT), now)
    }

    /// Adds tokens that another VM lent, at a request sent at `requested_at`.
    pub fn deposit(
        &mut self,
        workspace: &WorkspaceName,
        tokens: f64,
        requested_at: Timestamp,
        now: Timestamp,
    ) {
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter
                .bucket
                .deposit(tokens, requested_at + TRANSFER_HOLD, now);
        }
    }

    /// Records the demand that another VM announced. A `continued` announcement is merged into the
    /// previous one of the VM; any other replaces it.
    pub fn record_demand(&mut self, vm: VmName, demand: Demand, continued: bool, now: Timestamp) {
        let known = self.peers.remove(&vm).filter(|_| continued);
        let mut announced = known.map(|known| known.demand).unwrap_or_default();
        announced.extend(demand);
        let peer = PeerDemand {
            demand: announced,
            received_at: now,
        };
        self.peers.insert(vm, peer);
    }

    /// Updates the demand averages and returns the demand to announce to other VMs.
    pub fn measure(&mut self, now: Timestamp) -> Demand {
        let elapsed_s = now.since(self.counted_at).as_secs_f64();
        self.counted_at = now;
        if elapsed_s <= 0.0 {
            return Demand::new();
        }
        for meter in self.meters.values_mut() {
            // A new meter averages over the time since it was created, so that its demand is known
            // after the first interval.
            let age_s = now.since(meter.created_at).as_secs_f64().max(elapsed_s);
            let gain = elapsed_s / DEMAND_WINDOW.as_secs_f64().min(age_s);
            let gain = gain.min(1.0);
            let rate = meter.requests / elapsed_s;
            meter.requests = 0.0;
            meter.demand_per_s += gain * (rate - meter.demand_per_s);
        }
        let demand = self.meters.iter();
        demand
            .map(|(name, meter)| (name.clone(), meter.demand_per_s))
            .collect()
    }

    /// Returns whether the limits have been divided at least once.
    pub fn is_divided(&self) -> bool {
        self.meters.values().any(|meter| meter.has_share)
    }

    /// Recomputes this VM's shares of the limits among the `registered` VMs, which include this
    /// one. `registration_valid` tells whether this VM's own registration is certainly still valid.
    ///
    /// VMs that can reach each other divide the fraction of the limit that corresponds to their
    /// number. In a network partition, demands announced earlier say nothing about the demand that
    /// follows, but each side knows the number of VMs on the other side.
    pub fn divide<'a>(
        &mut self,
        workspaces: impl Iterator<Item = &'a Workspace>,
        registered: impl Iterator<Item = &'a VmName>,
        registration_valid: bool,
        now: Timestamp,
    ) {
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < DEMAND_RETENTION);
        let is_recent = |peer: &PeerDemand| now.since(peer.received_at) < DEMAND_TIMEOUT;
        let reachable = 1 + self.peers.values().filter(|peer| is_recent(peer)).count();
        let is_silent = |vm: &&VmName| !self.peers.get(*vm).is_some_and(is_recent);
        // This VM receives no demand from itself, so it counts among the silent ones.
        let unreachable = registered.filter(is_silent).count().saturating_sub(1);
        let mut group_fraction = reachable as f64 / (reachable + unreachable) as f64;
        if reachable == 1 && unreachable > 0 && !registration_valid {
            group_fraction *= ISOLATED_FACTOR;
        }
        for workspace in workspaces {
            let base = BASE_DEMAND_FRACTION * workspace.rate_per_s;
            let others: f64 = self
                .peers
                .values()
                .filter(|peer| is_recent(peer))
                .filter_map(|peer| peer.demand.get(&workspace.name))
                .sum();
            let meter = self
                .meters
                .entry(workspace.name.clone())
                .or_insert_with(|| Meter::new(now));
            let own = meter.demand_per_s + base;
            let sum = meter.demand_per_s + others + base * reachable as f64;
            let fraction_in_group = if sum > 0.0 {
                own / sum
            } else {
                1.0 / reachable as f64
            };
            let fraction = group_fraction * fraction_in_group;
            let share = Share {
                rate_per_s: workspace.rate_per_s * fraction,
                burst: (workspace.burst * fraction).max(MIN_BURST),
                weight: 1,
            };
            meter.bucket.set_share(share, now);
            if !std::mem::replace(&mut meter.has_share, true) {
                let tokens = (share.burst * INITIAL_BURST_FRACTION).floor();
                meter.bucket.deposit(tokens, now + INITIAL_TOKENS_TTL, now);
            }
        }
    }
}

impl Meter {
    const fn new(now: Timestamp) -> Self {
        let share = Share {
            rate_per_s: 0.0,
            burst: 0.0,
            weight: 1,
        };
        Self {
            created_at: now,
            bucket: Bucket::empty(share, now),
            requests: 0.0,
            demand_per_s: 0.0,
            has_share: false,
            waiting: 0,
        }
    }
}

#[cfg(test)]
mod tests;
