//! Flow: the requests of one workspace and class for the same instance.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::WorkspaceName;
use crate::time::Timestamp;

use super::class::QueueClass;
use super::{Place, WaiterKey};

/// Assumed cost of a flow's first statement.
const FIRST_ESTIMATE: Duration = Duration::from_millis(2);

/// Units of virtual time per microsecond of slot time at weight 1.
const VIRTUAL_UNITS_PER_US: u64 = 1_024;

/// Requests of one workspace and class.
#[derive(Debug)]
pub(super) struct Flow {
    pub(super) workspace: WorkspaceName,
    pub(super) class: QueueClass,
    pub(super) weight: u32,
    /// Slot time received, divided by the weight.
    pub(super) virtual_time: u64,
    /// Waiting requests that can meet their objective, the one with the least time left first.
    pub(super) queue: BTreeMap<Place, WaiterKey>,
    /// Number of waiting requests that can't meet their objective any more.
    pub(super) late: usize,
    /// Number of requests that hold a slot.
    pub(super) running: usize,
    /// Mean cost of recent statements.
    pub(super) estimate: Duration,
    /// Long-term mean duration of each kind of statement, which a slowdown of the instance hardly
    /// changes.
    baselines: BTreeMap<u64, Duration>,
}

impl Flow {
    pub(super) const fn new(workspace: WorkspaceName, class: QueueClass, weight: u32) -> Self {
        Self {
            workspace,
            class,
            weight,
            virtual_time: 0,
            queue: BTreeMap::new(),
            late: 0,
            running: 0,
            estimate: FIRST_ESTIMATE,
            baselines: BTreeMap::new(),
        }
    }

    /// Returns the number of waiting requests that can meet their objective.
    pub(super) fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the estimated cost of the waiting requests that can meet their objective.
    pub(super) fn backlog(&self) -> Duration {
        let waiting = u32::try_from(self.waiting()).unwrap_or(u32::MAX);
        self.estimate.saturating_mul(waiting)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.late == 0 && self.running == 0
    }

    /// Returns the first waiting request if it would end after its objective even when started now.
    pub(super) fn first_late(&self, now: Timestamp) -> Option<WaiterKey> {
        let ((due, _), waiter) = self.queue.first_key_value()?;
        (*due < now + self.estimate).then_some(*waiter)
    }

    /// Returns the virtual time by which a cost advances this flow.
    pub(super) fn charge(&self, cost: Duration) -> u64 {
        let micros = u64::try_from(cost.as_micros()).unwrap_or(u64::MAX);
        micros.saturating_mul(VIRTUAL_UNITS_PER_US) / u64::from(self.weight.max(1))
    }

    /// Records the cost of a statement.
    pub(super) fn record_cost(&mut self, cost: Duration) {
        let is_first = self.baselines.is_empty() && self.estimate == FIRST_ESTIMATE;
        self.estimate = if is_first {
            cost
        } else {
            mean(self.estimate, cost, 8)
        };
    }

    /// Records the duration of a statement; returns the long-term mean of its kind before it, or
    /// `duration` for the first statement.
    pub(super) fn record_duration(&mut self, kind: u64, duration: Duration) -> Duration {
        let baseline = self.baselines.entry(kind).or_insert(duration);
        let usual = *baseline;
        let samples = if duration < usual { 16 } else { 256 };
        *baseline = mean(usual, duration, samples);
        usual
    }
}

fn mean(old: Duration, sample: Duration, samples: u32) -> Duration {
    (old * (samples - 1) + sample) / samples
}
