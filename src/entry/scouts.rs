//! Gateways that hear the watch of the shared keys often, for all of them.
//!
//! A watch whose connection returns nothing any more looks like one without changes, until a heartbeat is missing.
//! A few gateways, the scouts, have short intervals between heartbeats; the statuses that all gateways send each other
//! tell the others of what a scout has seen. A gateway is a scout if fewer than three gateways that it hears from rank
//! before it. The one that ranks first among those that respond is therefore a scout, whatever list each has.

use std::time::Duration;

use super::clock;
use super::gateways::other_gateways;
use super::node::Node;
use crate::name::VmName;

/// Number of scouts while all gateways hear from each other.
const SCOUTS: usize = 3;

/// Interval between the heartbeats of a scout's watch.
const SCOUT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between the heartbeats of the other gateways' watches.
const OTHER_INTERVAL: Duration = Duration::from_secs(25);

/// Returns the heartbeat interval of this VM's watch of the shared keys.
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
