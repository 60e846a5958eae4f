//! Routing of reads: the least loaded replica that is fresh enough, or the primary.

pub mod history;
pub mod rotation;

use std::time::Duration;

pub use history::PositionHistory;
pub use rotation::{ReplicaProgress, Rotation, RotationSettings};

use crate::name::{InstanceName, ZoneName};
use crate::position::LogPosition;

/// Weights of the ways in which a read may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingSettings {
    /// Time that a read may lose to be served by a replica rather than by an idle primary.
    pub primary_penalty_us: u64,
    /// Further penalty of a primary all of whose slots are taken.
    pub busy_primary_penalty_us: u64,
    /// Penalty of an instance in another availability zone.
    pub zone_penalty_us: u64,
    /// Expected time of one statement, by which waiting for a slot is counted.
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

/// What a read asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadRequest {
    /// Position that the read must see; `None` when that isn't known.
    pub need: Option<LogPosition>,
    /// Whether the home lease is beyond doubt.
    pub lease_valid: bool,
    /// Availability zone that is preferred.
    pub availability_zone: ZoneName,
    /// Time left until the caller gives up.
    pub time_left: Duration,
}

/// Instance that may serve a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub availability_zone: ZoneName,
    /// Whether it is the primary of the current term.
    pub is_primary: bool,
    /// Statements that run on it or wait for one of its slots.
    pub in_flight: u32,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Time until the instance is expected to have reached the needed position; zero when it has,
    /// `None` when it can't be told. Not used for the primary.
    pub fresh_in: Option<Duration>,
}

/// Where a read runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Runs on the instance at once.
    Run {
        /// The instance.
        instance: InstanceName,
    },
    /// Waits until the instance has reached the needed position, or the time has passed; then
    /// the choice is made again.
    Wait {
        /// The instance.
        instance: InstanceName,
        /// Longest wait.
        at_most: Duration,
    },
    /// Runs on the primary; its answer is sent only if a second instance confirms the primary's
    /// term by a report that was asked for after the read began.
    RunConfirmed {
        /// The primary.
        instance: InstanceName,
    },
    /// No instance may serve the read.
    Nowhere,
}

/// Chooses the instance for a read.
pub fn choose(
    request: &ReadRequest,
    candidates: &[Candidate],
    settings: &RoutingSettings,
) -> Choice {
    let primary = candidates.iter().find(|candidate| candidate.is_primary);
    if !request.lease_valid {
        return primary.map_or(Choice::Nowhere, |primary| Choice::RunConfirmed {
            instance: primary.instance.clone(),
        });
    }
    let best = candidates
        .iter()
        .filter(|candidate| candidate.is_primary || request.need.is_some())
        .filter_map(|candidate| Some((cost(request, candidate, settings)?, candidate)))
        .min_by(|(a, x), (b, y)| (a, &x.instance).cmp(&(b, &y.instance)));
    let Some((_, best)) = best else {
        return Choice::Nowhere;
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
    // Twice the expected time, so that a small error in it doesn't cost a second choice.
    Choice::Wait {
        instance,
        at_most: wait.saturating_mul(2).min(request.time_left),
    }
}

/// Order of preference: time that the read is expected to lose, then the share of slots taken.
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
    let lost_us = own_us.saturating_add(queueing_us + zone_us);
    Some((lost_us, ahead * 1_000 / slots))
}

#[cfg(test)]
mod tests;
