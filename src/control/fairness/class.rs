//! Classes of requests, and the waiting flows of one class, ordered by the slot time that they have
//! received.

use std::collections::BTreeSet;
use std::time::Duration;

use strum::{Display, EnumIter, IntoStaticStr};

use crate::configuration::RouteClass;

use super::FlowKey;

/// Number of classes.
pub(super) const CLASSES: usize = 4;

/// Class of a request in the queue of an instance; more urgent ones go first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr, EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum QueueClass {
    /// Served before all others, except for their guaranteed shares.
    Critical,
    /// Served before normal requests.
    Urgent,
    /// Served after urgent requests.
    Normal,
    /// Served with the slot time that the other classes leave.
    Background,
}

impl QueueClass {
    /// Returns the class of a route with this priority number; 0 is the highest priority.
    pub const fn of_priority(priority: u8) -> Self {
        match priority {
            0 => Self::Critical,
            1 => Self::Urgent,
            2 => Self::Normal,
            _ => Self::Background,
        }
    }

    /// Returns the place of the class in the order; lower is more urgent.
    pub(super) const fn rank(self) -> usize {
        self as usize
    }
}

impl From<RouteClass> for QueueClass {
    fn from(class: RouteClass) -> Self {
        match class {
            RouteClass::Urgent => Self::Urgent,
            RouteClass::Normal => Self::Normal,
            RouteClass::Background => Self::Background,
        }
    }
}

/// Share of the slot time, in percent, that a class gets while more urgent ones wait. With all
/// classes waiting, urgent gets more than normal: 40 % of what it shares with critical.
const fn guaranteed_percent(rank: usize) -> u32 {
    match rank {
        1 => 40,
        2 => 20,
        3 => 5,
        _ => 0,
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
    /// Total estimated cost of the waiting requests, by the current estimates of their flows.
    pub(super) backlog: Duration,
    /// Sum of the weights of the waiting flows.
    pub(super) weight: u64,
    /// Slot time that this class may use before more urgent ones, earned while they were served.
    pub(super) credit: Duration,
}

impl ClassQueue {
    /// Adds credit after a more urgent class got slot time while this one waited.
    pub(super) fn add_credit(&mut self, rank: usize, cost: Duration) {
        let percent = guaranteed_percent(rank);
        self.credit += cost * percent / (100 - percent);
    }
}
