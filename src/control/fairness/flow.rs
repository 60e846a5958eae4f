//! Flow: the requests of one workspace and class for the same instance.

use std::collections::VecDeque;
use std::time::Duration;

use crate::configuration::RouteClass;
use crate::name::WorkspaceName;

use super::WaiterKey;

/// Assumed cost of a flow's first statement.
const FIRST_ESTIMATE: Duration = Duration::from_millis(2);

/// Units of virtual time per microsecond of slot time at weight 1.
const VIRTUAL_UNITS_PER_US: u64 = 1_024;

/// Requests of one workspace and class.
#[derive(Debug)]
pub(super) struct Flow {
    pub(super) workspace: WorkspaceName,
    pub(super) class: RouteClass,
    pub(super) weight: u32,
    /// Slot time received, divided by the weight.
    pub(super) virtual_time: u64,
    /// Waiting requests, oldest first; keys of requests that have left are skipped.
    pub(super) queue: VecDeque<WaiterKey>,
    /// Number of waiting requests.
    pub(super) waiting: usize,
    /// Number of requests that hold a slot.
    pub(super) running: usize,
    /// Mean cost of recent statements.
    pub(super) estimate: Duration,
    /// Long-term mean cost, which a slowdown of the instance hardly changes.
    pub(super) baseline: Duration,
}

impl Flow {
    pub(super) const fn new(workspace: WorkspaceName, class: RouteClass, weight: u32) -> Self {
        Self {
            workspace,
            class,
            weight,
            virtual_time: 0,
            queue: VecDeque::new(),
            waiting: 0,
            running: 0,
            estimate: FIRST_ESTIMATE,
            baseline: FIRST_ESTIMATE,
        }
    }

    pub(super) const fn is_idle(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    /// Returns the virtual time by which a cost advances this flow.
    pub(super) fn charge(&self, cost: Duration) -> u64 {
        let micros = u64::try_from(cost.as_micros()).unwrap_or(u64::MAX);
        micros.saturating_mul(VIRTUAL_UNITS_PER_US) / u64::from(self.weight.max(1))
    }

    /// Records the cost of a statement; returns the long-term mean before it, or `cost` for the
    /// first statement.
    pub(super) fn record_cost(&mut self, cost: Duration) -> Duration {
        let usual = self.baseline;
        if self.baseline == FIRST_ESTIMATE && self.estimate == FIRST_ESTIMATE {
            self.estimate = cost;
            self.baseline = cost;
            return cost;
        }
        self.estimate = mean(self.estimate, cost, 8);
        let samples = if cost < self.baseline { 16 } else { 256 };
        self.baseline = mean(self.baseline, cost, samples);
        usual
    }

    /// Drops the keys of requests that no longer wait, once they outnumber the waiting ones.
    pub(super) fn compact(&mut self, is_waiting: impl Fn(WaiterKey) -> bool) {
        if self.queue.len() > 2 * self.waiting + 16 {
            self.queue.retain(|key| is_waiting(*key));
        }
    }
}

fn mean(old: Duration, sample: Duration, samples: u32) -> Duration {
    (old * (samples - 1) + sample) / samples
}
