//! Suspicion that an instance has failed, from the statements sent to it.

use std::time::Duration;

use strum::Display;

use crate::time::Timestamp;

/// Time without an answer after which an instance is asked for a report.
const SILENCE: Duration = Duration::from_millis(300);

/// Time of failures without a success after which an instance counts as failed.
const FAILING: Duration = Duration::from_millis(250);

/// Failures without a success between them that make an instance count as failed.
const MIN_FAILURES: u32 = 2;

/// Saves in a row that timed out while the primary answered reads: its replicas don't hear it.
const STALLED_SAVES: u32 = 2;

/// What the evidence says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// It answers, or nothing was asked.
    Healthy,
    /// It should be asked for a report.
    Doubtful,
    /// It doesn't answer.
    Unreachable,
    /// It answers, but its saves are not acknowledged.
    Stalled,
    /// It says that it isn't the primary.
    Deposed,
}

/// Evidence about an instance.
#[derive(Debug, Default)]
pub struct Health {
    outstanding: u32,
    silent_since: Option<Timestamp>,
    failing_since: Option<Timestamp>,
    failures: u32,
    stalled_saves: u32,
    deposed: bool,
}

impl Health {
    /// Records that a statement was sent.
    pub fn sent(&mut self, now: Timestamp) {
        self.outstanding += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records an answer.
    pub fn answered(&mut self, now: Timestamp) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.heard(now);
    }

    /// Records that a statement's wait ended without an answer.
    pub fn unanswered(&mut self, now: Timestamp) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.failed(now);
    }

    /// Records a sign of life other than the answer to a statement.
    pub fn heard(&mut self, now: Timestamp) {
        self.silent_since = (self.outstanding > 0).then_some(now);
        self.failing_since = None;
        self.failures = 0;
    }

    /// Records that the instance could not be reached or broke off.
    pub fn failed(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
        self.failures += 1;
    }

    /// Records how a save ended: whether its answer came in time.
    pub fn saved(&mut self, in_time: bool) {
        self.stalled_saves = if in_time { 0 } else { self.stalled_saves + 1 };
    }

    /// Records that the instance said it isn't the primary.
    pub fn deposed(&mut self) {
        self.deposed = true;
    }

    /// Returns what the evidence says.
    pub fn verdict(&self, now: Timestamp) -> Verdict {
        if self.deposed {
            return Verdict::Deposed;
        }
        if let Some(since) = self.failing_since {
            let long = now.since(since) >= FAILING;
            return if long && self.failures >= MIN_FAILURES {
                Verdict::Unreachable
            } else {
                Verdict::Doubtful
            };
        }
        if self.stalled_saves >= STALLED_SAVES {
            return Verdict::Stalled;
        }
        let silent = self
            .silent_since
            .is_some_and(|since| now.since(since) >= SILENCE);
        if silent {
            Verdict::Doubtful
        } else {
            Verdict::Healthy
        }
    }
}

#[cfg(test)]
mod tests;
