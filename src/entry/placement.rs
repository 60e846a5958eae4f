//! Chooses the instance that serves a read.

use std::time::Duration;

/// Result of choosing a candidate.
pub type Result<T, E = NoCandidate> = std::result::Result<T, E>;

/// Cost of opening a connection: the delay for the caller and the load on the slot.
const CONNECT_COST: Duration = Duration::from_millis(15);

/// Factor on the cost of the primary, because its slots are needed for saves.
const PRIMARY_FACTOR: f64 = 1.5;

/// Longest time for which a read waits until a replica has reached its position, while the primary
/// can run it.
const MAX_LAG_WAIT: Duration = Duration::from_millis(50);

/// Longest time for which it waits while the primary can't run it.
const MAX_LAG_WAIT_ALONE: Duration = Duration::from_millis(200);

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
    /// Expected time until the instance has reached the required position.
    pub lag_wait: Duration,
}

/// Why no candidate can serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCandidate {
    /// There are none.
    Missing,
    /// None is expected to reach the required position soon.
    Lagging {
        /// Expected time until the first one has reached it.
        after: Duration,
    },
}

/// Returns the index of the candidate that is expected to complete a read at the lowest cost.
///
/// # Errors
///
/// Fails without candidates, and when none reaches the required position soon.
pub fn choose(candidates: &[Candidate]) -> Result<usize> {
    let has_primary = candidates.iter().any(|candidate| candidate.is_primary);
    let max_wait = if has_primary {
        MAX_LAG_WAIT
    } else {
        MAX_LAG_WAIT_ALONE
    };
    let in_time = candidates.iter().enumerate();
    let in_time = in_time.filter(|(_, candidate)| candidate.lag_wait <= max_wait);
    let costs = in_time.map(|(index, candidate)| (index, cost(candidate)));
    let best = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
    best.map(|(index, _)| index)
        .ok_or_else(|| no_candidate(candidates))
}

fn no_candidate(candidates: &[Candidate]) -> NoCandidate {
    let waits = candidates.iter().map(|candidate| candidate.lag_wait);
    waits
        .min()
        .map_or(NoCandidate::Missing, |after| NoCandidate::Lagging { after })
}

fn cost(candidate: &Candidate) -> f64 {
    let latency = candidate.latency.as_secs_f64();
    let mut cost = latency * f64::from(candidate.load + 1);
    if candidate.is_primary {
        cost *= PRIMARY_FACTOR;
    }
    cost += candidate.lag_wait.as_secs_f64();
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
