//! Flows of one class, ordered by the slot time that they have received.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::configuration::RouteClass;

use super::FlowKey;

/// Classes, most urgent first.
pub(super) const CLASSES: [RouteClass; 3] = [
    RouteClass::Urgent,
    RouteClass::Normal,
    RouteClass::Background,
];

/// Part of the slot time, in percent, that a class gets while more urgent ones wait.
const fn guaranteed_percent(class: RouteClass) -> u32 {
    match class {
        RouteClass::Urgent => 0,
        RouteClass::Normal => 20,
        RouteClass::Background => 5,
    }
}

/// Returns the place of a class in [`CLASSES`].
pub(super) const fn rank(class: RouteClass) -> usize {
    match class {
        RouteClass::Urgent => 0,
        RouteClass::Normal => 1,
        RouteClass::Background => 2,
    }
}

/// Waiting flows of one class.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    /// Flows with waiting requests by virtual time.
    pub(super) ready: BTreeSet<(u64, FlowKey)>,
    /// The same flows by the number of their waiting requests.
    pub(super) by_length: BTreeSet<(usize, FlowKey)>,
    /// Virtual time of the flow served last; a flow that was idle starts here.
    pub(super) virtual_time: u64,
    /// Estimated cost of everything that waits.
    pub(super) backlog: Duration,
    /// Sum of the weights of the waiting flows.
    pub(super) weight: u64,
    /// Slot time that more urgent classes owe this one.
    pub(super) owed: Duration,
}

impl ClassQueue {
    /// Notes that a more urgent class got slot time while this one waited.
    pub(super) fn passed_over(&mut self, class: RouteClass, cost: Duration) {
        let percent = guaranteed_percent(class);
        self.owed += cost * percent / (100 - percent);
    }
}
