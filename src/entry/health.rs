//! Failure detection of an instance or a gateway, from the outcomes of what was sent to it.
//!
//! What is said of instances below applies to gateways as well.

use std::time::Duration;

use strum::Display;

use crate::time::Timestamp;

/// Time without a response to a statement after which the instance is doubtful.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);

/// Time for which an instance must fail without a success in between to count as unreachable.
const MIN_FAILURE_DURATION: Duration = Duration::from_millis(250);

/// Smallest number of consecutive failures for an instance to count as unreachable.
const MIN_FAILURES: u32 = 2;

/// Number of consecutive saves that timed out after which a primary that still responds counts as
/// stalled: it can't reach its replicas.
const MIN_STALLED_SAVES: u32 = 2;

/// Interval at which a primary whose saves nobody seems to confirm is sent one all the same.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Health of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The instance responds, or nothing was sent to it.
    Healthy,
    /// The instance may have failed and a report should be requested from it.
    Doubtful,
    /// The instance doesn't respond.
    Unreachable,
    /// The instance responds, but its saves are not acknowledged.
    Stalled,
    /// The instance is recorded as the primary, but reports that it isn't.
    Deposed,
}

/// Outcomes of the statements and requests sent to an instance.
#[derive(Debug, Default)]
pub struct Health {
    outstanding: u32,
    silent_since: Option<Timestamp>,
    failing_since: Option<Timestamp>,
    failures: u32,
    stalled_saves: u32,
    /// Time at which the next trial save may be sent; `None` unless saves are refused.
    next_trial_at: Option<Timestamp>,
    deposed: bool,
}

impl Health {
    /// Records that a statement was sent.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.outstanding += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records the response to a statement.
    pub fn on_statement_response(&mut self, now: Timestamp) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.on_response(now);
    }

    /// Records that a statement timed out or lost its connection.
    pub fn on_statement_failed(&mut self, now: Timestamp) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.on_failed(now);
    }

    /// Records a response other than the response to a statement.
    pub fn on_response(&mut self, now: Timestamp) {
        self.silent_since = (self.outstanding > 0).then_some(now);
        self.failing_since = None;
        self.failures = 0;
    }

    /// Records that the instance couldn't be reached, or closed the connection.
    pub fn on_failed(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
        self.failures += 1;
    }

    /// Records whether a save was acknowledged in time.
    pub fn on_save(&mut self, in_time: bool) {
        if in_time {
            self.forget_saves();
        } else {
            self.stalled_saves += 1;
        }
    }

    /// Returns whether a save may be sent to an instance that has no known replica: its last saves were
    /// acknowledged, or a trial is due, because a replica that isn't known may confirm it.
    pub fn admits_save(&mut self, now: Timestamp) -> bool {
        if self.stalled_saves < MIN_STALLED_SAVES {
            return true;
        }
        let next_trial_at = *self.next_trial_at.get_or_insert(now + TRIAL_INTERVAL);
        let is_trial = now >= next_trial_at;
        if is_trial {
            self.next_trial_at = Some(now + TRIAL_INTERVAL);
        }
        is_trial
    }

    /// Forgets the saves that timed out, because another instance can acknowledge the next ones.
    pub const fn forget_saves(&mut self) {
        self.stalled_saves = 0;
        self.next_trial_at = None;
    }

    /// Records that the instance reported that it isn't the primary.
    pub fn on_deposed(&mut self) {
        self.deposed = true;
    }

    /// Returns the health of the instance at `now`.
    pub fn verdict(&self, now: Timestamp) -> Verdict {
        if self.deposed {
            return Verdict::Deposed;
        }
        if let Some(since) = self.failing_since {
            let long = now.since(since) >= MIN_FAILURE_DURATION;
            return if long && self.failures >= MIN_FAILURES {
                Verdict::Unreachable
            } else {
                Verdict::Doubtful
            };
        }
        if self.stalled_saves >= MIN_STALLED_SAVES {
            return Verdict::Stalled;
        }
        let silent = self
            .silent_since
            .is_some_and(|since| now.since(since) >= SILENCE_LIMIT);
        if silent {
            Verdict::Doubtful
        } else {
            Verdict::Healthy
        }
    }
}

#[cfg(test)]
mod tests;
