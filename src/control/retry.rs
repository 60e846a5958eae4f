//! Retry budget: how often a repeatable read may be retried, and after which delay.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::WorkspaceName;

/// Limits of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Maximum balance of retries of a workspace.
    pub max_balance: f64,
    /// Longest delay before the first retry; doubles with each further one.
    pub base_delay_ms: u64,
    /// Longest delay before any retry.
    pub max_delay_ms: u64,
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            max_balance: 10.0,
            base_delay_ms: 10,
            max_delay_ms: 250,
            max_attempts: 3,
        }
    }
}

/// Request that may be retried.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRequest {
    /// Attempts made so far.
    pub attempts: u32,
    /// Time left until the caller stops waiting.
    pub time_left: Duration,
    /// Expected duration of an attempt.
    pub expected: Duration,
    /// Random number in `0.0..1.0`, which spreads retries over time.
    pub jitter: f64,
}

/// Retry balances of the workspaces of one database. Each workspace earns retries by its own first
/// attempts, so that retries add at most a fixed share to the load, and one workspace can't use up
/// another's.
#[derive(Debug, Default)]
pub struct RetryBudget {
    settings: RetrySettings,
    balances: BTreeMap<WorkspaceName, f64>,
}

impl RetryBudget {
    /// Creates a budget; each workspace starts with the maximum balance.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            balances: BTreeMap::new(),
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, workspace: &WorkspaceName) {
        let RetrySettings {
            ratio, max_balance, ..
        } = self.settings;
        // A workspace that has never retried still has the maximum balance.
        if let Some(balance) = self.balances.get_mut(workspace) {
            *balance = (*balance + ratio).min(max_balance);
        }
    }

    /// Takes one retry from the budget and returns the delay before it.
    ///
    /// `None` if the request must not be retried: its attempts or the workspace's budget are
    /// used up, or another attempt would end after the deadline.
    pub fn take(&mut self, workspace: &WorkspaceName, request: &RetryRequest) -> Option<Duration> {
        if request.attempts >= self.settings.max_attempts {
            return None;
        }
        let delay = self.delay(request);
        if delay + request.expected > request.time_left {
            return None;
        }
        let balance = self
            .balances
            .entry(workspace.clone())
            .or_insert(self.settings.max_balance);
        if *balance < 1.0 {
            return None;
        }
        *balance -= 1.0;
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
