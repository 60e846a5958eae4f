//! Replication progress of the replicas of one database, and which of them are in rotation for
//! reads.

use std::collections::BTreeMap;
use std::time::Duration;

use super::history::PositionHistory;
use crate::name::InstanceName;
use crate::position::LogPosition;
use crate::time::Timestamp;

/// Bounds of [`Rotation`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RotationSettings {
    /// Lag above which a replica is taken out of rotation.
    pub leave_lag_ms: u64,
    /// Lag that a replica must not exceed to return to rotation.
    pub return_lag_ms: u64,
    /// Time for which the lag must stay within `return_lag_ms`.
    pub return_after_ms: u64,
}

impl Default for RotationSettings {
    fn default() -> Self {
        Self {
            leave_lag_ms: 2_000,
            return_lag_ms: 500,
            return_after_ms: 1_000,
        }
    }
}

/// Replication progress of one replica.
#[derive(Debug, Clone)]
pub struct ReplicaProgress {
    /// Highest position that the replica has reported.
    pub reached: LogPosition,
    /// Smoothed time from a save on the primary to the report that the replica holds it.
    pub delay: Duration,
    left_at: Option<Timestamp>,
    caught_up_since: Option<Timestamp>,
}

/// Replicas of one database, tracked by their reports.
#[derive(Debug, Default)]
pub struct Rotation {
    settings: RotationSettings,
    history: PositionHistory,
    replicas: BTreeMap<InstanceName, ReplicaProgress>,
}

impl Rotation {
    /// Creates the rotation of a database, without any replicas.
    pub fn new(settings: RotationSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the history of the primary's log position.
    pub const fn history(&self) -> &PositionHistory {
        &self.history
    }

    /// Records that the primary has reached a position.
    pub fn primary_reached(&mut self, position: &LogPosition, now: Timestamp) {
        self.history.record(position, now);
    }

    /// Starts a new term, in which the recorded progress of the replicas is no longer valid.
    pub fn start_term(&mut self, primary_at: &LogPosition, now: Timestamp) {
        self.history.restart(primary_at, now);
        self.replicas.clear();
    }

    /// Drops a replica that no longer follows the primary or can't be reached.
    pub fn remove(&mut self, replica: &InstanceName) {
        self.replicas.remove(replica);
    }

    /// Records a report of a replica that follows the primary of the current term.
    pub fn replica_reached(
        &mut self,
        replica: &InstanceName,
        reached: &LogPosition,
        now: Timestamp,
    ) {
        let lag = self.lag_behind(reached, now);
        let observed = self.history.reached_at(reached).map(|at| now.since(at));
        let progress = self
            .replicas
            .entry(replica.clone())
            .or_insert_with(|| ReplicaProgress {
                reached: reached.clone(),
                delay: observed.unwrap_or_default(),
                left_at: None,
                caught_up_since: None,
            });
        if *reached > progress.reached {
            progress.reached = reached.clone();
            if let Some(observed) = observed {
                // Rises quickly and falls slowly, so that a wait is rarely too short.
                progress.delay = if observed > progress.delay {
                    (progress.delay + observed) / 2
                } else {
                    (progress.delay * 7 + observed) / 8
                };
            }
        }
        update_rotation(progress, lag, &self.settings, now);
    }

    /// Re-evaluates the lag of every replica. Called at intervals, because a replica that sends no
    /// reports falls behind as well.
    pub fn refresh(&mut self, now: Timestamp) {
        let Self {
            settings,
            history,
            replicas,
        } = self;
        for progress in replicas.values_mut() {
            let lag = lag_behind(history, &progress.reached, now);
            update_rotation(progress, lag, settings, now);
        }
    }

    /// Returns whether the replica may serve reads.
    pub fn in_rotation(&self, replica: &InstanceName) -> bool {
        let progress = self.replicas.get(replica);
        progress.is_some_and(|progress| progress.left_at.is_none())
    }

    /// Returns the position that a read must include: the maximum of the position its session has
    /// seen and the primary's position `max_staleness` ago. `None` if `session` is `None`.
    pub fn required_position(
        &self,
        session: Option<LogPosition>,
        max_staleness: Duration,
        now: Timestamp,
    ) -> Option<LogPosition> {
        let session = session?;
        let earlier = Timestamp::ZERO + now.since(Timestamp::ZERO + max_staleness);
        let bound = self.history.position_at(earlier);
        Some(bound.map_or(session.clone(), |bound| session.max(bound.clone())))
    }

    /// Returns the expected time until the replica reaches a position; zero if it has, `None` if it
    /// isn't in rotation or the primary isn't known to have reached the position.
    pub fn fresh_in(
        &self,
        replica: &InstanceName,
        required_position: &LogPosition,
        now: Timestamp,
    ) -> Option<Duration> {
        let progress = self.replicas.get(replica)?;
        if progress.left_at.is_some() {
            return None;
        }
        if progress.reached >= *required_position {
            return Some(Duration::ZERO);
        }
        let expected = self.history.reached_at(required_position)? + progress.delay;
        if expected > now {
            return Some(expected.since(now));
        }
        // The longer the entry is overdue, the longer the remaining wait is assumed to be.
        Some(now.since(expected) + Duration::from_millis(1))
    }

    /// Returns the lowest position of the replicas in rotation; `None` when no replica is in
    /// rotation. It can serve as every session's low-water mark without excluding a replica.
    pub fn lowest_position(&self) -> Option<&LogPosition> {
        self.replicas
            .values()
            .filter(|progress| progress.left_at.is_none())
            .map(|progress| &progress.reached)
            .min()
    }

    /// Returns the progress of a replica; `None` if it has not reported in this term.
    pub fn progress(&self, replica: &InstanceName) -> Option<&ReplicaProgress> {
        self.replicas.get(replica)
    }

    fn lag_behind(&self, reached: &LogPosition, now: Timestamp) -> Duration {
        lag_behind(&self.history, reached, now)
    }
}

fn lag_behind(history: &PositionHistory, reached: &LogPosition, now: Timestamp) -> Duration {
    history
        .passed_at(reached)
        .map_or(Duration::ZERO, |at| now.since(at))
}

fn update_rotation(
    progress: &mut ReplicaProgress,
    lag: Duration,
    settings: &RotationSettings,
    now: Timestamp,
) {
    if lag > Duration::from_millis(settings.leave_lag_ms) {
        progress.left_at.get_or_insert(now);
    }
    if lag > Duration::from_millis(settings.return_lag_ms) {
        progress.caught_up_since = None;
        return;
    }
    let since = *progress.caught_up_since.get_or_insert(now);
    if now.since(since) >= Duration::from_millis(settings.return_after_ms) {
        progress.left_at = None;
    }
}

#[cfg(test)]
mod tests;
