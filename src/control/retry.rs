//! Retry budget: how often a repeatable read may be sent again, and how long to wait before.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::WorkspaceName;

/// Bounds of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Retries that may be saved up.
    pub max_saved: f64,
    /// Longest wait before the first retry; doubles with each further one.
    pub base_delay_ms: u64,
    /// Longest wait before any retry.
    pub max_delay_ms: u64,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            max_saved: 10.0,
            base_delay_ms: 10,
            max_delay_ms: 250,
            max_attempts: 3,
        }
    }
}

/// Request that may be sent again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRequest {
    /// Attempts made so far.
    pub attempts: u32,
    /// Time left until the caller gives up.
    pub time_left: Duration,
    /// Time that an attempt is expected to take.
    pub expected: Duration,
    /// Random number in `0.0..1.0`, which spreads retries over time.
    pub jitter: f64,
}

/// Retries of the workspaces of one database: each earns them by its own first attempts, so that
/// retries add at most a fixed share to the load, and one workspace can't spend another's.
#[derive(Debug, Default)]
pub struct RetryBudget {
    settings: RetrySettings,
    saved: BTreeMap<WorkspaceName, f64>,
}

impl RetryBudget {
    /// Builds a budget; each workspace starts with all that it may save up.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            saved: BTreeMap::new(),
        }
    }

    /// Records a first attempt.
    pub fn attempted(&mut self, workspace: &WorkspaceName) {
        let RetrySettings {
            ratio, max_saved, ..
        } = self.settings;
        // A workspace that has never retried has all that it may save.
        if let Some(saved) = self.saved.get_mut(workspace) {
            *saved = (*saved + ratio).min(max_saved);
        }
    }

    /// Takes one retry from the budget and returns how long to wait before it.
    ///
    /// `None` when the request must not be sent again: its attempts or the workspace's budget are
    /// used up, or another attempt would end after the deadline.
    pub fn take(&mut self, workspace: &WorkspaceName, request: &RetryRequest) -> Option<Duration> {
        if request.attempts >= self.settings.max_attempts {
            return None;
        }
        let delay = self.delay(request);
        if delay + request.expected > request.time_left {
            return None;
        }
        let saved = self
            .saved
            .entry(workspace.clone())
            .or_insert(self.settings.max_saved);
        if *saved < 1.0 {
            return None;
        }
        *saved -= 1.0;
        Some(delay)
    }

    fn delay(&self, request: &RetryRequest) -> Duration {
        let doublings = request.attempts.saturating_sub(1).min(16);
        let longest_ms = (self.settings.base_delay_ms << doublings).min(self.settings.max_delay_ms);
        Duration::from_millis(longest_ms).mul_f64(request.jitter.clamp(0.0, 1.0))
    }
}

#[cfg(test)]
mod tests;
