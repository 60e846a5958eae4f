//! Routing of reads: selects the least loaded replica that is fresh enough, or the primary.

pub mod history;
pub mod rotation;

use std::time::Duration;

pub use history::PositionHistory;
pub use rotation::{ReplicaProgress, Rotation, RotationSettings};

use crate::name::{InstanceName, ZoneName};
use crate::position::LogPosition;

/// Costs by which the instances that may serve a read are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingSettings {
    /// Penalty of the primary: delay that a read accepts to run on a replica rather than on an idle
    /// primary.
    pub primary_penalty_us: u64,
    /// Additional penalty of a primary whose slots are all in use.
    pub busy_primary_penalty_us: u64,
    /// Penalty of an instance in another availability zone.
    pub zone_penalty_us: u64,
    /// Expected duration of one statement, used to estimate the wait for a slot.
    pub service_time_us: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            primary_penalty_us: 20_000,
            busy_primary_penalty_us: 30_000,
            zone_penalty_us: 1_000,
            service_time_us: 2_000,
        }
    }
}

/// Requirements of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadRequest {
    /// Position that the read must include; `None` if it isn't known, and only the primary may
    /// serve the read.
    pub required_position: Option<LogPosition>,
    /// Whether the home lease is certain to be valid.
    pub lease_valid: bool,
    /// Preferred availability zone.
    pub availability_zone: ZoneName,
    /// Time left until the caller stops waiting.
    pub time_left: Duration,
}

/// Instance considered for a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub availability_zone: ZoneName,
    /// Whether it is the primary of the current term.
    pub is_primary: bool,
    /// Statements that run on the instance or wait for one of its slots.
    pub in_flight: u32,
    /// Number of statements that the instance runs concurrently.
    pub slots: u32,
    /// Expected time until the instance reaches the required position; zero if it has reached it,
    /// `None` if this can't be estimated. Not used for the primary.
    pub fresh_in: Option<Duration>,
}

/// Routing decision for a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Run on the instance immediately.
    Run {
        /// The instance.
        instance: InstanceName,
    },
    /// Wait until the instance has reached the required position or `at_most` has passed, then
    /// choose again.
    Wait {
        /// The instance.
        instance: InstanceName,
        /// Longest wait.
        at_most: Duration,
    },
    /// Run on the primary, and send the response only if a second instance confirms the primary's
    /// term in a report that was requested after the read began.
    RunConfirmed {
        /// The primary.
        instance: InstanceName,
    },
    /// No instance may serve the read.
    NoInstance,
}

/// Chooses the instance for a read.
pub fn choose(
    request: &ReadRequest,
    candidates: &[Candidate],
    settings: &RoutingSettings,
) -> Choice {
    let primary = candidates.iter().find(|candidate| candidate.is_primary);
    if !request.lease_valid {
        return primary.map_or(Choice::NoInstance, |primary| Choice::RunConfirmed {
            instance: primary.instance.clone(),
        });
    }
    let best = candidates
        .iter()
        .filter(|candidate| candidate.is_primary || request.required_position.is_some())
        .filter_map(|candidate| Some((cost(request, candidate, settings)?, candidate)))
        .min_by(|(a, x), (b, y)| (a, &x.instance).cmp(&(b, &y.instance)));
    let Some((_, best)) = best else {
        return Choice::NoInstance;
    };
    let wait = if best.is_primary {
        Duration::ZERO
    } else {
        best.fresh_in.unwrap_or_default()
    };
    let instance = best.instance.clone();
    if wait.is_zero() {
        return Choice::Run { instance };
    }
    // Twice the expected time, so that a small estimation error doesn't require choosing again.
    Choice::Wait {
        instance,
        at_most: wait.saturating_mul(2).min(request.time_left),
    }
}

/// Cost of a candidate: expected delay plus penalties in microseconds, then slot usage in
/// thousandths to break ties.
type Cost = (u64, u64);

fn cost(request: &ReadRequest, candidate: &Candidate, settings: &RoutingSettings) -> Option<Cost> {
    let slots = u64::from(candidate.slots.max(1));
    let ahead = u64::from(candidate.in_flight);
    let rounds = (ahead + 1).saturating_sub(slots).div_ceil(slots);
    let queueing_us = rounds * settings.service_time_us;
    let zone_us = if candidate.availability_zone == request.availability_zone {
        0
    } else {
        settings.zone_penalty_us
    };
    let own_us = if candidate.is_primary {
        let busy_us = if ahead >= slots {
            settings.busy_primary_penalty_us
        } else {
            0
        };
        settings.primary_penalty_us + busy_us
    } else {
        let wait = candidate.fresh_in?;
        if wait > request.time_left {
            return None;
        }
        u64::try_from(wait.as_micros()).unwrap_or(u64::MAX)
    };
    let total_us = own_us.saturating_add(queueing_us + zone_us);
    Some((total_us, ahead * 1_000 / slots))
}

#[cfg(test)]
mod tests;
