//! This VM's part of each workspace's rate and burst.

use std::collections::HashMap;
use std::time::Duration;

use super::catalog::Workspace;
use crate::control::bucket::{Bucket, Share, TRANSFER_HOLD};
use crate::name::{VmName, WorkspaceName};
use crate::time::Timestamp;

/// Part of a workspace's rate that every VM is given whatever its demand, so that a caller that
/// moves to another VM isn't refused before the VMs know.
const BASE_DEMAND: f64 = 0.04;

/// Time constant by which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Smallest burst of one VM: below one, nothing could ever be admitted.
const MIN_BURST: f64 = 2.0;

/// Part of its burst that a VM starts with: small enough that a restart of all VMs keeps within the
/// tolerance that operators allow, large enough for the callers that come back.
const STARTING_PART: f64 = 0.5;

/// Tokens that a VM keeps for its own callers when it is asked for some.
const KEPT_TOKENS: f64 = 1.0;

/// Most tokens given at once.
const MAX_LENT: f64 = 3.0;

/// Time after which unused tokens of the start are dropped.
const STARTING_TOKENS_KEPT: Duration = Duration::from_secs(2);

/// Part of its share that a VM keeps which hears none of the others and whose registration may have
/// lapsed: they divide its part among themselves then.
const ISOLATED_FACTOR: f64 = 0.3;

/// Time after which a VM that was heard counts as not heard: two announcements of an idle one.
const HEARD_WITHIN: Duration = Duration::from_millis(1_200);

/// Time after which what a silent VM announced is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// Demand of the workspaces as one VM announces it, in operations per second.
pub type Demand = HashMap<WorkspaceName, f64>;

#[derive(Debug)]
struct PeerDemand {
    demand: Demand,
    heard_at: Timestamp,
}

#[derive(Debug)]
struct Meter {
    bucket: Bucket,
    asked: f64,
    demand_per_s: f64,
    started: bool,
    waiting: u32,
}

/// Limits of all workspaces at this VM.
///
/// Each VM announces its demand and takes the part of the rate that its demand has in the sum.
/// Because all of them compute from the same announcements, the parts add up to the rate.
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
    /// Fails with the time to come back after when there is none.
    pub fn admit(&mut self, workspace: &Workspace, now: Timestamp) -> Result<(), Duration> {
        let meter = self
            .meters
            .entry(workspace.name.clone())
            .or_insert_with(|| Meter::new(now));
        meter.asked += 1.0;
        if meter.bucket.try_take(1.0, now) {
            return Ok(());
        }
        let at = meter.bucket.available_at(1.0, now);
        Err(at.map_or(DEMAND_WINDOW, |at| at.since(now)))
    }

    /// Returns how long a request must wait for a token, behind those that wait already, and counts
    /// it among them; `None` when that takes longer than `patience`.
    pub fn queue(
        &mut self,
        workspace: &WorkspaceName,
        patience: Duration,
        now: Timestamp,
    ) -> Option<Duration> {
        let meter = self.meters.get_mut(workspace)?;
        let tokens = f64::from(meter.waiting + 1);
        let wait = meter.bucket.available_at(tokens, now)?.since(now);
        if wait > patience {
            return None;
        }
        meter.waiting += 1;
        Some(wait)
    }

    /// Counts a request out that was counted by [`Quota::queue`].
    pub fn leave_queue(&mut self, workspace: &WorkspaceName) {
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter.waiting = meter.waiting.saturating_sub(1);
        }
    }

    /// Deducts tokens that this VM can spare, for another VM.
    pub fn lend(&mut self, workspace: &WorkspaceName, now: Timestamp) -> f64 {
        let Some(meter) = self.meters.get_mut(workspace) else {
            return 0.0;
        };
        let spare = meter.bucket.tokens(now) - KEPT_TOKENS;
        if spare < 1.0 {
            return 0.0;
        }
        meter.bucket.withdraw(spare.min(MAX_LENT), now)
    }

    /// Adds tokens that another VM gave when it was asked at `asked_at`.
    pub fn deposit(
        &mut self,
        workspace: &WorkspaceName,
        tokens: f64,
        asked_at: Timestamp,
        now: Timestamp,
    ) {
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter.bucket.deposit(tokens, asked_at + TRANSFER_HOLD, now);
        }
    }

    /// Records what another VM announced; adds it to what the VM announced before if it is
    /// `continued`.
    pub fn heard(&mut self, vm: VmName, demand: Demand, continued: bool, now: Timestamp) {
        let known = self.peers.remove(&vm).filter(|_| continued);
        let mut announced = known.map(|known| known.demand).unwrap_or_default();
        announced.extend(demand);
        let peer = PeerDemand {
            demand: announced,
            heard_at: now,
        };
        self.peers.insert(vm, peer);
    }

    /// Updates the averages of the demand and returns what is to be announced.
    pub fn measure(&mut self, now: Timestamp) -> Demand {
        let elapsed_s = now.since(self.counted_at).as_secs_f64();
        self.counted_at = now;
        if elapsed_s <= 0.0 {
            return Demand::new();
        }
        let gain = (elapsed_s / DEMAND_WINDOW.as_secs_f64()).min(1.0);
        for meter in self.meters.values_mut() {
            let rate = meter.asked / elapsed_s;
            meter.asked = 0.0;
            meter.demand_per_s += gain * (rate - meter.demand_per_s);
        }
        let demand = self.meters.iter();
        demand
            .map(|(name, meter)| (name.clone(), meter.demand_per_s))
            .collect()
    }

    /// Returns whether the limits have been divided.
    pub fn is_divided(&self) -> bool {
        self.meters.values().any(|meter| meter.started)
    }

    /// Divides the limits anew among the `registered` VMs, this one included; `guarded` tells
    /// whether this VM's own registration stands.
    ///
    /// VMs that hear each other divide what belongs to their number. Where a cut divides them, the
    /// demands told before it say nothing of those that come after it, but each side knows how many
    /// there are on the other.
    pub fn divide<'a>(
        &mut self,
        workspaces: impl Iterator<Item = &'a Workspace>,
        registered: impl Iterator<Item = &'a VmName>,
        guarded: bool,
        now: Timestamp,
    ) {
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < FORGOTTEN_AFTER);
        let heard = |peer: &PeerDemand| now.since(peer.heard_at) < HEARD_WITHIN;
        let present = 1 + self.peers.values().filter(|peer| heard(peer)).count();
        let silent = |vm: &&VmName| !self.peers.get(*vm).is_some_and(heard);
        // This VM is among those that it doesn't hear.
        let absent = registered.filter(silent).count().saturating_sub(1);
        let mut group_part = present as f64 / (present + absent) as f64;
        if present == 1 && absent > 0 && !guarded {
            group_part *= ISOLATED_FACTOR;
        }
        for workspace in workspaces {
            let base = BASE_DEMAND * workspace.rate_per_s;
            let others: f64 = self
                .peers
                .values()
                .filter(|peer| heard(peer))
                .filter_map(|peer| peer.demand.get(&workspace.name))
                .sum();
            let meter = self
                .meters
                .entry(workspace.name.clone())
                .or_insert_with(|| Meter::new(now));
            let own = meter.demand_per_s + base;
            let sum = meter.demand_per_s + others + base * present as f64;
            let within = if sum > 0.0 {
                own / sum
            } else {
                1.0 / present as f64
            };
            let part = group_part * within;
            let share = Share {
                rate_per_s: workspace.rate_per_s * part,
                burst: (workspace.burst * part).max(MIN_BURST),
                weight: 1,
            };
            meter.bucket.set_share(share, now);
            if !std::mem::replace(&mut meter.started, true) {
                let tokens = (share.burst * STARTING_PART).floor();
                meter
                    .bucket
                    .deposit(tokens, now + STARTING_TOKENS_KEPT, now);
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
            bucket: Bucket::empty(share, now),
            asked: 0.0,
            demand_per_s: 0.0,
            started: false,
            waiting: 0,
        }
    }
}

#[cfg(test)]
mod tests;
