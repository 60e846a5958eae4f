//! What is known of one instance: its latest report and its signs of life.

use std::time::Duration;

use crate::control::event::InstanceReport;
use crate::position::Term;
use crate::settings::ControlSettings;
use crate::time::Timestamp;

/// Unanswered probes without which no instance counts as failed, however long it is silent.
const MIN_UNANSWERED_PROBES: u32 = 3;

/// Times that a connection must be refused or closed before the instance counts as gone.
const MIN_CLOSED: u32 = 2;

const FIRST_CONTACT_PATIENCE: u32 = 5;

/// Whether an instance is alive, as far as its signs of life tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Answers, or has not been asked.
    Alive,
    /// Owes an answer for long enough to be asked more often.
    Suspect,
    /// Owes an answer for long enough to be replaced.
    Failed,
}

/// What is known of one instance.
#[derive(Debug, Clone, Default)]
pub struct InstanceEvidence {
    /// Latest report.
    pub report: Option<InstanceReport>,
    /// Latest moment at which the instance is known to have lived.
    pub alive_at: Option<Timestamp>,
    /// Term whose primary the instance was told to follow and said that it would.
    pub told_to_follow: Option<Term>,
    unanswered_since: Option<Timestamp>,
    unanswered_probes: u32,
    closed: u32,
    probed_at: Option<Timestamp>,
    commanded_at: Option<Timestamp>,
    /// Latest moment at which another VM said that the instance answers it.
    pub answered_peer_at: Option<Timestamp>,
}

impl InstanceEvidence {
    /// Takes a report; one of an older term than is known arrived late and shows life only.
    pub fn reported(&mut self, report: &InstanceReport, asked_at: Timestamp) {
        let known = self.report.as_ref().map(|known| &known.adopted);
        if known.is_none_or(|adopted| report.adopted >= *adopted) {
            self.report = Some(report.clone());
        }
        self.alive_at = self.alive_at.max(Some(asked_at));
        if self.unanswered_since.is_some_and(|since| since <= asked_at) {
            self.restart_silence(None);
        }
    }

    /// Takes the report with which a command ended.
    pub fn command_ended(&mut self, report: &InstanceReport) {
        let asked_at = self.commanded_at.unwrap_or_default();
        self.reported(report, asked_at);
    }

    /// Takes note that a question asked at `asked_at` has no answer yet.
    pub fn silent(&mut self, asked_at: Timestamp) {
        if self.alive_at.is_some_and(|at| at >= asked_at) {
            return;
        }
        let since = self.unanswered_since.unwrap_or(asked_at);
        self.unanswered_since = Some(since.min(asked_at));
    }

    /// Takes note that a connection was refused or closed.
    pub fn closed(&mut self, now: Timestamp) {
        self.closed += 1;
        self.unanswered_since.get_or_insert(now);
    }

    /// Takes note that a probe is being sent.
    pub fn probed(&mut self, now: Timestamp) {
        self.probed_at = Some(now);
        self.unanswered_probes += 1;
        self.unanswered_since.get_or_insert(now);
    }

    /// Counts silence from `since` on only, as after this VM itself was paused.
    pub fn restart_silence(&mut self, since: Option<Timestamp>) {
        self.unanswered_since = since;
        self.unanswered_probes = 0;
        self.closed = 0;
    }

    /// Returns whether a probe is due, at an interval counted from the last probe or sign of life.
    pub fn probe_due(&self, interval: Duration, now: Timestamp) -> bool {
        let heard_at = if self.unanswered_since.is_none() {
            self.alive_at
        } else {
            None
        };
        let last = self.probed_at.max(heard_at);
        last.is_none_or(|at| now.since(at) >= interval)
    }

    /// Returns whether a command may be sent, and if so notes that it is.
    pub fn command_due(&mut self, interval: Duration, now: Timestamp) -> bool {
        if self.commanded_at.is_some_and(|at| now.since(at) < interval) {
            return false;
        }
        self.commanded_at = Some(now);
        true
    }

    /// Lets the next command be sent at once.
    pub const fn allow_command(&mut self) {
        self.commanded_at = None;
    }

    /// Returns since when the instance owes an answer.
    pub const fn silent_since(&self) -> Option<Timestamp> {
        self.unanswered_since
    }

    /// Judges the instance; `patience` multiplies the time after which it counts as failed.
    pub fn health(&self, settings: &ControlSettings, patience: u32, now: Timestamp) -> Health {
        let Some(since) = self.unanswered_since else {
            return Health::Alive;
        };
        let silent_for = now.since(since);
        // The first contact includes making the connection.
        let patience = if self.alive_at.is_none() {
            patience * FIRST_CONTACT_PATIENCE
        } else {
            patience
        };
        let suspect_after = Duration::from_millis(settings.suspect_after_ms);
        let fail_after = Duration::from_millis(settings.fail_after_ms);
        if self.unanswered_probes >= MIN_UNANSWERED_PROBES && silent_for >= fail_after * patience {
            return Health::Failed;
        }
        if self.closed >= MIN_CLOSED && silent_for >= suspect_after * patience {
            return Health::Failed;
        }
        if self.closed > 0 || silent_for >= suspect_after {
            return Health::Suspect;
        }
        Health::Alive
    }

    /// Returns whether the instance is known to hold nothing that the primary of `term` lacks.
    ///
    /// The first entry of a term can only have come from its primary, after what conflicted with
    /// it had been dropped.
    pub fn follows(&self, term: &Term) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.adopted == *term && report.last.term == *term)
    }
}
