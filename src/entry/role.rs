//! Decides whether a VM is a gateway.
//!
//! Only gateways are registered, so that VMs that forward cost the store nothing. A VM therefore
//! compares itself with the registered gateways alone. Where one more is needed, it registers after
//! a delay that differs by VM, and checks again just before. Surplus gateways deregister.

use std::collections::HashMap;
use std::time::Duration;

use super::gateways::other_gateways;
use super::settings::EntrySettings;
use super::state::State;
use crate::name::{VmName, ZoneName};

/// Number of gateways in a fleet that has more VMs, so that the loss of one removes only a small part
/// of them.
const MIN_GATEWAYS: usize = 8;

/// Number of an instance's connections that each gateway should have: those in use, plus idle ones
/// that were opened for some of the workspaces.
const CONNECTIONS_PER_GATEWAY: usize = 10;

/// Minimum capacity of a gateway, as a fraction of the largest capacity in its zone.
const MIN_CAPACITY_FRACTION: f64 = 0.5;

/// Delay before a VM registers, for each halving of one core: larger VMs register first.
const DELAY_PER_HALVING: Duration = Duration::from_millis(100);

/// Delay before a VM takes the place of a missing gateway, or deregisters when there are too many.
/// VMs that restart are registered again within this time.
const ROLE_CHANGE_DELAY: Duration = Duration::from_millis(1_500);

/// Range over which the registrations of VMs of the same capacity are spread.
const MAX_JITTER: Duration = Duration::from_millis(100);

/// As [`MAX_JITTER`], for VMs that are too small to be gateways beside those of their zone and stand in
/// for missing ones. There are many of them, all see the same places, and learn of the first ones taken
/// only by a call to the store.
const MAX_STAND_IN_JITTER: Duration = Duration::from_secs(1);

/// VM as it ranks among the gateways.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    vm: &'a VmName,
    availability_zone: &'a ZoneName,
    cpu_share: f64,
    is_registered: bool,
}

/// Gateways chosen in one zone.
#[derive(Debug, Default)]
struct ZoneChoice {
    count: usize,
    largest_cpu_share: f64,
}

/// Returns whether this VM should be a gateway beside the registered ones. The VMs with the most
/// capacity in each zone are gateways, and others until there are `direct_vms` in all. A registered
/// gateway ranks before an equal VM that isn't registered.
pub fn should_be_gateway(own: &EntrySettings, state: &State) -> bool {
    let others = other_gateways(state, &own.vm).map(|(vm, record)| Candidate {
        vm,
        availability_zone: &record.availability_zone,
        cpu_share: record.cpu_share,
        is_registered: true,
    });
    let mut candidates: Vec<_> = others.collect();
    candidates.push(Candidate {
        vm: &own.vm,
        availability_zone: &own.availability_zone,
        cpu_share: own.cpu_share,
        is_registered: state.gateway || state.gateways.contains_key(&own.vm),
    });
    candidates.sort_by(|a, b| {
        let by_capacity = b.cpu_share.total_cmp(&a.cpu_share);
        let by_registration = b.is_registered.cmp(&a.is_registered);
        by_capacity.then(by_registration).then(a.vm.cmp(b.vm))
    });
    let wanted = (state.least_connections() / CONNECTIONS_PER_GATEWAY).max(MIN_GATEWAYS);
    is_chosen(&own.vm, &candidates, wanted, own.direct_vms)
}

/// Returns whether a VM is among the gateways chosen from the candidates, which are in the order of
/// their rank: `wanted` ones spread over the zones, and at least `direct_vms` in all.
fn is_chosen(own: &VmName, candidates: &[Candidate<'_>], wanted: usize, direct_vms: usize) -> bool {
    let mut zones: HashMap<_, ZoneChoice> = HashMap::new();
    for candidate in candidates {
        zones.entry(candidate.availability_zone).or_default();
    }
    let per_zone = wanted.div_ceil(zones.len().max(1));
    let mut chosen = 0;
    let mut left_out = Vec::new();
    for candidate in candidates {
        let zone = zones.entry(candidate.availability_zone).or_default();
        zone.largest_cpu_share = zone.largest_cpu_share.max(candidate.cpu_share);
        let is_large = candidate.cpu_share >= zone.largest_cpu_share * MIN_CAPACITY_FRACTION;
        if !is_large || zone.count >= per_zone {
            left_out.push(candidate.vm);
            continue;
        }
        zone.count += 1;
        chosen += 1;
        if candidate.vm == own {
            return true;
        }
    }
    let missing = direct_vms.saturating_sub(chosen);
    left_out.iter().take(missing).any(|vm| *vm == own)
}

/// Returns how long this VM must have been in the wrong role before it changes to the other one.
/// Zero for a VM whose registration from before a restart is still there, and short while the
/// fleet starts.
pub fn change_delay(own: &EntrySettings, state: &State) -> Duration {
    if state.gateway {
        return ROLE_CHANGE_DELAY;
    }
    if state.gateways.contains_key(&own.vm) {
        return Duration::ZERO;
    }
    let hash = xxhash_rust::xxh3::xxh3_64(own.vm.as_bytes());
    let range = if is_stand_in(own, state) {
        MAX_STAND_IN_JITTER
    } else {
        MAX_JITTER
    };
    let jitter = range.mul_f64(hash as f64 / u64::MAX as f64);
    let halvings = (1.0 / own.cpu_share.max(f64::EPSILON)).log2().max(0.0);
    let by_capacity = DELAY_PER_HALVING.mul_f64(halvings) + jitter;
    if state.gateways.len() < own.direct_vms {
        return by_capacity;
    }
    ROLE_CHANGE_DELAY + by_capacity
}

/// Returns whether a registered gateway of this VM's zone is too large for this VM to rank beside it.
fn is_stand_in(own: &EntrySettings, state: &State) -> bool {
    other_gateways(state, &own.vm).any(|(_, record)| {
        record.availability_zone == own.availability_zone
            && own.cpu_share < record.cpu_share * MIN_CAPACITY_FRACTION
    })
}

#[cfg(test)]
mod tests;
