//! Waiting flows of one class, ordered by the slot time that they have received.

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

/// Share of the slot time, in percent, that a class gets while more urgent ones wait.
const fn guaranteed_percent(class: RouteClass) -> u32 {
    match class {
        RouteClass::Urgent => 0,
        RouteClass::Normal => 20,
        RouteClass::Background => 5,
    }
}

/// Returns the index of a class in [`CLASSES`]; lower is more urgent.
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
    /// Flows with waiting requests, ordered by virtual time.
    pub(super) ready: BTreeSet<(u64, FlowKey)>,
    /// The same flows, ordered by the number of their waiting requests.
    pub(super) by_length: BTreeSet<(usize, FlowKey)>,
    /// Virtual time of the flow served last; a flow that was idle starts at this value.
    pub(super) virtual_time: u64,
    /// Total estimated cost of the waiting requests.
    pub(super) backlog: Duration,
    /// Sum of the weights of the waiting flows.
    pub(super) weight: u64,
    /// Slot time that this class may use before more urgent ones, earned while they were served.
    pub(super) credit: Duration,
}

impl ClassQueue {
    /// Adds credit after a more urgent class got slot time while this one waited.
    pub(super) fn add_credit(&mut self, class: RouteClass, cost: Duration) {
        let percent = guaranteed_percent(class);
        self.credit += cost * percent / (100 - percent);
    }
}
