//! Chooses the instance that serves a read.

use std::time::Duration;

use super::position::Position;

/// Cost of opening a connection: the delay for the caller and the load on the slot.
const CONNECT_COST: Duration = Duration::from_millis(15);

/// Factor on the cost of the primary, because its slots are needed for saves.
const PRIMARY_FACTOR: f64 = 1.5;

/// Cost added for a replica that isn't known to have reached the required position.
const UNCERTAIN_COST: Duration = Duration::from_millis(8);

/// Cost added for an instance in another availability zone: longer round trips and traffic between
/// zones.
const ZONE_COST: Duration = Duration::from_millis(4);

/// Assumed time of a statement on an instance without recent measurements.
const ASSUMED_LATENCY: Duration = Duration::from_millis(15);

/// Time in which the weight of a measured latency falls by half.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of a new measurement in the mean.
const LATENCY_GAIN: f64 = 0.2;

/// Availability of a connection to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// A connection that was opened for the workspace is idle.
    Idle,
    /// No connection for the workspace is idle, but one can be opened.
    NotOpen,
    /// All connections are in use; one must become idle first.
    Exhausted,
}

/// Instance that may serve a read, with the local view of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether the instance is the primary.
    pub is_primary: bool,
    /// Whether the instance runs in this VM's availability zone.
    pub is_same_zone: bool,
    /// Number of statements of this VM that run on the instance or wait for it.
    pub load: u32,
    /// Availability of a connection.
    pub connection: Availability,
    /// Expected time of one statement.
    pub latency: Duration,
    /// Latest log position that the instance reported.
    pub position: Option<Position>,
}

/// Returns the index of the cheapest candidate for a read that must see the log up to `need`;
/// `None` without candidates.
pub fn choose(need: Option<Position>, candidates: &[Candidate]) -> Option<usize> {
    let costs = candidates.iter().map(|candidate| cost(need, candidate));
    let best = costs.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
    best.map(|(index, _)| index)
}

fn cost(need: Option<Position>, candidate: &Candidate) -> f64 {
    let latency = candidate.latency.as_secs_f64();
    let mut cost = latency * f64::from(candidate.load + 1);
    if candidate.is_primary {
        cost *= PRIMARY_FACTOR;
    } else if need.is_some_and(|need| candidate.position.is_none_or(|at| at < need)) {
        cost += UNCERTAIN_COST.as_secs_f64();
    }
    if !candidate.is_same_zone {
        cost += ZONE_COST.as_secs_f64();
    }
    cost + match candidate.connection {
        Availability::Idle => 0.0,
        Availability::NotOpen => CONNECT_COST.as_secs_f64(),
        Availability::Exhausted => latency,
    }
}

/// Moving average of the time of statements on one instance.
#[derive(Debug, Clone, Copy)]
pub struct Latency {
    mean_s: f64,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            mean_s: ASSUMED_LATENCY.as_secs_f64(),
        }
    }
}

impl Latency {
    /// Adds a measurement to the mean.
    pub fn record(&mut self, taken: Duration) {
        self.mean_s += LATENCY_GAIN * (taken.as_secs_f64() - self.mean_s);
    }

    /// Moves the mean towards the assumed latency as time passes, so that an instance that was slow
    /// is used again.
    pub fn decay(&mut self, by: Duration) {
        let half_lives = by.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(half_lives);
        let assumed = ASSUMED_LATENCY.as_secs_f64();
        self.mean_s = assumed + (self.mean_s - assumed) * kept;
    }

    /// Returns the expected time of one statement.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.max(0.001))
    }
}

#[cfg(test)]
mod tests;
