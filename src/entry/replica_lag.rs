//! Estimate of how far a replica is behind its primary.
//!
//! Load pattern: replicas that are 90 ms behind, or seconds for a while, beside sessions that read
//! what they have just saved. A read that reaches a replica too early is rejected and has to be sent
//! again.

use std::time::Duration;

/// Settings of a [`ReplicaLag`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LagSettings {
    /// Estimate for a replica without any response.
    pub initial: Duration,
    /// Largest estimate.
    pub max: Duration,
    /// Part of the difference by which the estimate falls with a response that shows less.
    pub fall_gain: f64,
    /// Factor by which the estimate rises at least when the replica hadn't reached a position that
    /// it was expected to have.
    pub rejection_factor: f64,
    /// Estimate that a rejection raises to at least. Without it, an estimate near zero would need
    /// many rejections to rise.
    pub min_after_rejection: Duration,
    /// Time without responses in which the estimate falls by half, so that a replica that has
    /// caught up is used again.
    pub half_life: Duration,
}

impl Default for LagSettings {
    fn default() -> Self {
        Self {
            initial: Duration::from_millis(30),
            max: Duration::from_secs(10),
            fall_gain: 0.1,
            rejection_factor: 1.5,
            min_after_rejection: Duration::from_millis(5),
            half_life: Duration::from_secs(3),
        }
    }
}

/// What a response shows about the lag of the replica that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LagBounds {
    /// The replica is at least this far behind: the primary had reported a later position by then.
    pub at_least: Duration,
    /// The replica is at most this far behind; `None` if its position is older than all that are
    /// known of the primary.
    pub at_most: Option<Duration>,
}

/// Estimated lag of one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaLag {
    settings: LagSettings,
    estimate: Duration,
}

impl Default for ReplicaLag {
    fn default() -> Self {
        Self::new(LagSettings::default())
    }
}

impl ReplicaLag {
    /// Builds the estimate for a replica without any response.
    pub const fn new(settings: LagSettings) -> Self {
        Self {
            settings,
            estimate: settings.initial,
        }
    }

    /// Records the bounds that a response shows. More than expected counts at once, less lowers the
    /// estimate gradually, because the lag varies from response to response.
    pub fn record(&mut self, bounds: &LagBounds) {
        if let Some(at_most) = bounds.at_most.filter(|at_most| *at_most < self.estimate) {
            let excess = self.estimate.saturating_sub(at_most);
            self.estimate -= excess.mul_f64(self.settings.fall_gain);
        }
        self.raise(bounds.at_least);
    }

    /// Records that the replica hadn't reached a position that the primary had reported `age` ago;
    /// `None` if it is unknown when the primary reached it.
    pub fn record_rejection(&mut self, age: Option<Duration>) {
        let raised = self.estimate.mul_f64(self.settings.rejection_factor);
        self.raise(raised.max(self.settings.min_after_rejection));
        self.raise(age.unwrap_or_default());
    }

    fn raise(&mut self, to: Duration) {
        self.estimate = self.estimate.max(to).min(self.settings.max);
    }

    /// Lowers the estimate as time passes.
    pub fn decay(&mut self, by: Duration) {
        let half_lives = by.as_secs_f64() / self.settings.half_life.as_secs_f64();
        self.estimate = self.estimate.mul_f64(0.5_f64.powf(half_lives));
    }

    /// Returns the estimated lag.
    pub const fn estimate(&self) -> Duration {
        self.estimate
    }

    /// Returns the expected time until the replica reaches a position that the primary has had for
    /// `age`. A position of unknown age counts as new.
    pub fn wait(&self, age: Option<Duration>) -> Duration {
        self.estimate.saturating_sub(age.unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;
