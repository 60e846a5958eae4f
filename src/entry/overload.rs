//! Decides from a VM's measurements of itself how much work it takes on.
//!
//! Load: VMs of 0.084 core that get as many callers as those of 0.5, and a VM that turns several
//! times slower. What such a VM runs is late by the delay of its event loop, each time that it
//! waits. A gateway declines a part of the tasks of other VMs, which have other gateways. A VM that
//! only forwards has nobody to hand its work to; it asks the balancer for a pause.

use std::time::Duration;

use super::withdrawal::Withdrawal;
use crate::time::Timestamp;

/// Time constant over which the delay of the event loop is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Largest delay that counts. A VM that was suspended once is not overloaded.
const MAX_DELAY: Duration = Duration::from_millis(300);

/// Delay from which a VM is overloaded, as a fraction of the smallest latency objective: a response
/// waits for the event loop about twice, which leaves half of the objective to the instance.
const START_FRACTION: f64 = 0.25;

/// Delay below which a VM is no longer overloaded, as a fraction of that objective.
const END_FRACTION: f64 = 0.1;

/// Part of the tasks that an overloaded gateway declines. The VM that sent one prefers other gateways
/// for half a second, so that a small part relieves it.
const DECLINED_FRACTION: f64 = 0.125;

/// Part of the tasks that an overloaded gateway declines while statements wait at it. The others are
/// run, because the next gateway may be no better off, and each decline costs a hop.
const DECLINED_FRACTION_WAITING: f64 = 0.25;

/// Time for which a VM must be overloaded before it asks for a pause.
const PAUSE_DELAY: Duration = Duration::from_secs(1);

/// Measurements of one VM.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// How much later than due the event loop came to the last measurement.
    pub loop_delay: Duration,
    /// Statements that wait for an instance.
    pub waiting: usize,
    /// Smallest latency objective of all routes; `None` while they aren't known.
    pub objective: Option<Duration>,
    /// Whether the VM could serve callers, and isn't stopping.
    pub can_serve: bool,
    /// Whether the VM only forwards tasks to gateways.
    pub only_forwards: bool,
}

/// Load of one VM and what follows from it.
#[derive(Debug, Default)]
pub struct Overload {
    delay_s: f64,
    overloaded_since: Option<Timestamp>,
    measured_at: Option<Timestamp>,
    declined_fraction: f64,
    declines_due: f64,
    withdrawal: Withdrawal,
}

impl Overload {
    /// Takes a measurement into account.
    pub fn observe(&mut self, load: &Load, now: Timestamp) {
        let elapsed = self.measured_at.map_or(Duration::ZERO, |at| now.since(at));
        self.measured_at = Some(now);
        let gain = (elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).min(0.5);
        self.delay_s += gain * (load.loop_delay.min(MAX_DELAY).as_secs_f64() - self.delay_s);
        self.update_state(load.objective, now);
        self.declined_fraction = match (self.is_overloaded(), load.waiting) {
            (false, _) => 0.0,
            (true, 0) => DECLINED_FRACTION,
            (true, _) => DECLINED_FRACTION_WAITING,
        };
        let since = self.overloaded_since.filter(|_| load.only_forwards);
        let is_wanted = since.is_some_and(|since| now.since(since) >= PAUSE_DELAY);
        self.withdrawal.observe(is_wanted, load.can_serve, now);
    }

    fn update_state(&mut self, objective: Option<Duration>, now: Timestamp) {
        let Some(objective_s) = objective.map(|objective| objective.as_secs_f64()) else {
            self.overloaded_since = None;
            return;
        };
        if self.delay_s >= objective_s * START_FRACTION {
            self.overloaded_since.get_or_insert(now);
        } else if self.delay_s < objective_s * END_FRACTION {
            self.overloaded_since = None;
        }
    }

    /// Returns whether the next task of another VM, which could still run elsewhere, is declined.
    pub fn declines_task(&mut self) -> bool {
        self.declines_due = (self.declines_due + self.declined_fraction).min(1.0);
        let is_declined = self.declined_fraction > 0.0 && self.declines_due >= 1.0;
        if is_declined {
            self.declines_due = 0.0;
        }
        is_declined
    }

    /// Returns whether the VM is overloaded.
    pub const fn is_overloaded(&self) -> bool {
        self.overloaded_since.is_some()
    }

    /// Returns whether the VM reports itself not ready because it is overloaded.
    pub const fn is_withdrawn(&self) -> bool {
        self.withdrawal.is_active()
    }

    /// Returns the average delay of the event loop.
    pub fn loop_delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay_s)
    }
}

#[cfg(test)]
mod tests;
