//! Evidence about one instance: its latest report, and when it last responded.

use std::time::Duration;

use crate::control::event::InstanceReport;
use crate::position::Term;
use crate::settings::ControlSettings;
use crate::time::Timestamp;

/// Unless connections were refused or closed, an instance counts as failed only after this many
/// unanswered probes, however long it has been silent.
const MIN_UNANSWERED_PROBES: u32 = 3;

/// Number of refused or closed connections after which the instance counts as failed early, once it
/// has been silent for `suspect_after_ms`.
const MIN_CLOSED_CONNECTIONS: u32 = 2;

/// Factor on the timeouts of an instance that has never responded: its first request includes the
/// time to establish the connection.
const FIRST_CONTACT_TIMEOUT_FACTOR: u32 = 5;

/// Health of an instance, judged by how long it has left requests unanswered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Responds to requests, or has not been silent for long.
    Alive,
    /// Has been silent long enough to be probed more often, or a connection to it was refused or
    /// closed.
    Suspect,
    /// Has been silent long enough to be replaced.
    Failed,
}

/// Evidence about one instance.
#[derive(Debug, Clone, Default)]
pub struct InstanceEvidence {
    /// Latest report.
    pub report: Option<InstanceReport>,
    /// Send time of the latest request that the instance has responded to.
    pub alive_at: Option<Timestamp>,
    /// Term whose primary the instance has agreed to follow, in response to a `Follow` request.
    pub follow_accepted: Option<Term>,
    unanswered_since: Option<Timestamp>,
    unanswered_probes: u32,
    closed: u32,
    probed_at: Option<Timestamp>,
    commanded_at: Option<Timestamp>,
    /// Latest time at which another VM reported that the instance responds to it.
    pub responded_to_peer_at: Option<Timestamp>,
}

impl InstanceEvidence {
    /// Records a report. A report with an older term than the known one arrived late: it only shows
    /// that the instance is alive.
    pub fn reported(&mut self, report: &InstanceReport, requested_at: Timestamp) {
        let known = self.report.as_ref().map(|known| &known.adopted);
        if known.is_none_or(|adopted| report.adopted >= *adopted) {
            self.report = Some(report.clone());
        }
        self.alive_at = self.alive_at.max(Some(requested_at));
        if self
            .unanswered_since
            .is_some_and(|since| since <= requested_at)
        {
            self.restart_silence(None);
        }
    }

    /// Records the report that ended a command.
    pub fn command_ended(&mut self, report: &InstanceReport) {
        let requested_at = self.commanded_at.unwrap_or_default();
        self.reported(report, requested_at);
    }

    /// Records that a request sent at `requested_at` got no response in time.
    pub fn timed_out(&mut self, requested_at: Timestamp) {
        if self.alive_at.is_some_and(|at| at >= requested_at) {
            return;
        }
        let since = self.unanswered_since.unwrap_or(requested_at);
        self.unanswered_since = Some(since.min(requested_at));
    }

    /// Records that a connection was refused or closed.
    pub fn closed(&mut self, now: Timestamp) {
        self.closed += 1;
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that a probe is being sent.
    pub fn probed(&mut self, now: Timestamp) {
        self.probed_at = Some(now);
        self.unanswered_probes += 1;
        self.unanswered_since.get_or_insert(now);
    }

    /// Restarts the measurement of silence at `since`, for example after this VM was paused; `None`
    /// when no response is outstanding.
    pub fn restart_silence(&mut self, since: Option<Timestamp>) {
        self.unanswered_since = since;
        self.unanswered_probes = 0;
        self.closed = 0;
    }

    /// Returns whether a probe is due; the interval counts from the last probe, or from the last
    /// response if none is outstanding.
    pub fn probe_due(&self, interval: Duration, now: Timestamp) -> bool {
        let last_alive_at = if self.unanswered_since.is_none() {
            self.alive_at
        } else {
            None
        };
        let last = self.probed_at.max(last_alive_at);
        last.is_none_or(|at| now.since(at) >= interval)
    }

    /// Returns whether a command may be sent now, and if so records that it is sent.
    pub fn command_due(&mut self, interval: Duration, now: Timestamp) -> bool {
        if self.commanded_at.is_some_and(|at| now.since(at) < interval) {
            return false;
        }
        self.commanded_at = Some(now);
        true
    }

    /// Allows the next command to be sent immediately.
    pub const fn allow_command(&mut self) {
        self.commanded_at = None;
    }

    /// Returns since when a response of the instance is outstanding; `None` if none is.
    pub const fn silent_since(&self) -> Option<Timestamp> {
        self.unanswered_since
    }

    /// Returns the health of the instance; `timeout_factor` multiplies the time after which it
    /// counts as failed.
    pub fn health(
        &self,
        settings: &ControlSettings,
        timeout_factor: u32,
        now: Timestamp,
    ) -> Health {
        let Some(since) = self.unanswered_since else {
            return Health::Alive;
        };
        let silent_for = now.since(since);
        // The first request includes the time to establish the connection.
        let timeout_factor = if self.alive_at.is_none() {
            timeout_factor * FIRST_CONTACT_TIMEOUT_FACTOR
        } else {
            timeout_factor
        };
        let suspect_after = Duration::from_millis(settings.suspect_after_ms);
        let fail_after = Duration::from_millis(settings.fail_after_ms);
        if self.unanswered_probes >= MIN_UNANSWERED_PROBES
            && silent_for >= fail_after * timeout_factor
        {
            return Health::Failed;
        }
        if self.closed >= MIN_CLOSED_CONNECTIONS && silent_for >= suspect_after * timeout_factor {
            return Health::Failed;
        }
        if self.closed > 0 || silent_for >= suspect_after {
            return Health::Suspect;
        }
        Health::Alive
    }

    /// Returns whether the log of the instance is known to contain nothing that the primary of
    /// `term` lacks.
    ///
    /// The first entry of a term can only come from its primary, and the instance has dropped
    /// conflicting entries before accepting it.
    pub fn follows(&self, term: &Term) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.adopted == *term && report.last.term == *term)
    }
}
