//! Gateways that hear the watch of the shared keys often, for all of them.
//!
//! A watch whose connection returns nothing any more looks like one without changes, until a heartbeat is missing.
//! A few gateways, the scouts, have short intervals between heartbeats; the statuses that all gateways send each other
//! tell the others of what a scout has seen. The gateway that ranks first among those that respond is a scout by any
//! list of gateways, and each one that hears of too few scouts is a scout itself.

use std::time::Duration;

use super::clock;
use super::gateways::other_gateways;
use super::node::Node;
use crate::name::VmName;

/// Number of gateways that rank before any that isn't a scout.
const SCOUTS: usize = 3;

/// Interval between the heartbeats of a scout's watch.
const SCOUT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between the heartbeats of the other gateways' watches.
const OTHER_INTERVAL: Duration = Duration::from_secs(25);

/// Returns the interval at which this VM's watch of the shared keys must deliver a batch at least.
pub fn heartbeat(node: &Node) -> Duration {
    if is_scout(node) {
        SCOUT_INTERVAL
    } else {
        OTHER_INTERVAL
    }
}

fn is_scout(node: &Node) -> bool {
    let (state, now) = (node.state.borrow(), clock::now());
    let own = rank(&node.settings.vm);
    let others = other_gateways(&state, &node.settings.vm);
    let before = others.filter(|(vm, _)| rank(vm) < own && !state.quota.is_silent(vm, now));
    before.count() < SCOUTS
}

fn rank(vm: &VmName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(vm.as_bytes())
}
