//! Chooses the instance that serves a read.

use std::time::Duration;

/// Result of choosing a candidate.
pub type Result<T, E = NoCandidate> = std::result::Result<T, E>;

/// Cost of opening a connection: the delay for the caller and the load on the slot.
const CONNECT_COST: Duration = Duration::from_millis(15);

/// Factor on the cost of the primary, because its slots are needed for saves.
const PRIMARY_FACTOR: f64 = 2.0;

/// Longest time for which a read waits until a replica has reached its position, while the primary
/// can run it.
const MAX_LAG_WAIT: Duration = Duration::from_millis(50);

/// Longest time for which it waits while the primary can't run it.
const MAX_LAG_WAIT_ALONE: Duration = Duration::from_millis(200);

/// Cost added for an instance in another availability zone: longer round trips and traffic between
/// zones.
const ZONE_COST: Duration = Duration::from_millis(4);

/// Factor on the cost of the primary while statements that need it wait or fill most of its slots.
const CONTENDED_FACTOR: f64 = 5.0;

/// Time since the last response of an instance after which the view of it is old.
const OLD_VIEW: Duration = Duration::from_millis(500);

/// Factor on the lowest cost, up to which candidates are drawn from if the view is old. It is small,
/// so that reads don't leave their zone or an idle connection for it.
const TIE_FACTOR: f64 = 1.1;

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
    /// Expected time of the statement at the instance.
    pub latency: Duration,
    /// Expected time of each other statement of this VM at the instance.
    pub mean_latency: Duration,
    /// Whether statements that need the primary wait for its slots or fill most of them.
    pub is_contended: bool,
    /// Time since the last response of the instance to this VM.
    pub view_age: Duration,
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
/// If the view of that candidate is old, the other VMs may have chosen it too. Then two of those that
/// cost about as much are drawn, by `random` from 0 to 1, and the cheaper one is taken.
///
/// # Errors
///
/// Fails without candidates, and when none reaches the required position soon.
pub fn choose(candidates: &[Candidate], random: f64) -> Result<usize> {
    let has_primary = candidates.iter().any(|candidate| candidate.is_primary);
    let max_wait = if has_primary {
        MAX_LAG_WAIT
    } else {
        MAX_LAG_WAIT_ALONE
    };
    let in_time = candidates.iter().enumerate();
    let in_time = in_time.filter(|(_, candidate)| candidate.lag_wait <= max_wait);
    let mut costs: Vec<_> = in_time
        .map(|(index, candidate)| (cost(candidate), index))
        .collect();
    costs.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let Some((lowest, best)) = costs.first().copied() else {
        return Err(no_candidate(candidates));
    };
    if candidates[best].view_age < OLD_VIEW {
        return Ok(best);
    }
    costs.retain(|(cost, _)| *cost <= lowest * TIE_FACTOR);
    Ok(costs[cheaper_of_two(costs.len(), random)].1)
}

/// Draws two of `count` places in the order of their costs, and returns the cheaper one.
fn cheaper_of_two(count: usize, random: f64) -> usize {
    let drawn = (random.clamp(0.0, 1.0) * (count * count) as f64) as usize;
    let drawn = drawn.min(count * count - 1);
    (drawn / count).min(drawn % count)
}

fn no_candidate(candidates: &[Candidate]) -> NoCandidate {
    let waits = candidates.iter().map(|candidate| candidate.lag_wait);
    waits
        .min()
        .map_or(NoCandidate::Missing, |after| NoCandidate::Lagging { after })
}

fn cost(candidate: &Candidate) -> f64 {
    let latency = candidate.latency.as_secs_f64();
    let mut cost = latency + candidate.mean_latency.as_secs_f64() * f64::from(candidate.load);
    cost *= match (candidate.is_primary, candidate.is_contended) {
        (false, _) => 1.0,
        (true, false) => PRIMARY_FACTOR,
        (true, true) => CONTENDED_FACTOR,
    };
    cost += candidate.lag_wait.as_secs_f64();
    if !candidate.is_same_zone {
        cost += ZONE_COST.as_secs_f64();
    }
    cost + match candidate.connection {
        Availability::Idle => 0.0,
        Availability::NotOpen => CONNECT_COST.as_secs_f64(),
        Availability::Exhausted => candidate.mean_latency.as_secs_f64(),
    }
}

#[cfg(test)]
mod tests;
