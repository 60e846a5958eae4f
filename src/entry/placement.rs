//! Choice of the instance that serves a read.

use std::time::Duration;

use super::position::Position;

/// Expected cost of opening a connection, as the slot and the caller feel it.
const CONNECT_COST: Duration = Duration::from_millis(15);

/// Factor by which the primary is made less attractive: its slots are needed for saves.
const PRIMARY_FACTOR: f64 = 1.5;

/// Cost of a replica that isn't known to have reached the position needed.
const UNCERTAIN_COST: Duration = Duration::from_millis(8);

/// Cost of an instance in another availability zone: its round trip and the bytes between zones.
const ZONE_COST: Duration = Duration::from_millis(4);

/// Assumed time of a statement on an instance that hasn't been measured lately.
const ASSUMED_LATENCY: Duration = Duration::from_millis(15);

/// Time over which a measured latency loses half of its weight.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of one new measurement.
const LATENCY_GAIN: f64 = 0.2;

/// How a connection to an instance would be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// One that was opened for the workspace is free.
    Open,
    /// One must be opened.
    Closed,
    /// One must become free first.
    Exhausted,
}

/// Instance that may serve a read, as this VM sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Whether it runs in this VM's availability zone.
    pub is_near: bool,
    /// Statements of this VM that run on it.
    pub in_flight: u32,
    /// How a connection would be had.
    pub connection: Availability,
    /// Expected time of one statement.
    pub latency: Duration,
    /// Latest position seen of it.
    pub position: Option<Position>,
}

/// Returns the index of the best candidate for a read that must see `need`.
pub fn choose(need: Option<Position>, candidates: &[Candidate]) -> Option<usize> {
    let costs = candidates.iter().map(|candidate| cost(need, candidate));
    let best = costs.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
    best.map(|(index, _)| index)
}

fn cost(need: Option<Position>, candidate: &Candidate) -> f64 {
    let latency = candidate.latency.as_secs_f64();
    let mut cost = latency * f64::from(candidate.in_flight + 1);
    if candidate.is_primary {
        cost *= PRIMARY_FACTOR;
    } else if need.is_some_and(|need| candidate.position.is_none_or(|at| at < need)) {
        cost += UNCERTAIN_COST.as_secs_f64();
    }
    if !candidate.is_near {
        cost += ZONE_COST.as_secs_f64();
    }
    cost + match candidate.connection {
        Availability::Open => 0.0,
        Availability::Closed => CONNECT_COST.as_secs_f64(),
        Availability::Exhausted => latency,
    }
}

/// Measured time of statements on one instance.
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
    /// Takes a measurement into the mean.
    pub fn note(&mut self, taken: Duration) {
        self.mean_s += LATENCY_GAIN * (taken.as_secs_f64() - self.mean_s);
    }

    /// Lets time pass, so that an instance which was slow is tried again.
    pub fn grow_older(&mut self, by: Duration) {
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
