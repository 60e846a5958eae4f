//! One attempt to promote an instance under a new term.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::control::event::InstanceReport;
use crate::control::quorum;
use crate::name::InstanceName;
use crate::position::{LogPosition, Term};
use crate::time::Timestamp;

/// What to do after an instance has answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// More answers are needed.
    Wait,
    /// The instance is the primary of the term.
    Finished(InstanceName),
    /// An instance has adopted a newer term.
    Lost,
}

/// Attempt to promote an instance under a term that no other attempt shares.
#[derive(Debug, Clone)]
pub struct Promotion {
    /// Term of the attempt.
    pub term: Term,
    /// When the attempt started.
    pub started_at: Timestamp,
    /// Instance being promoted, once it is chosen; another one needs another term.
    pub candidate: Option<InstanceName>,
    /// When the candidate was chosen.
    pub chosen_at: Option<Timestamp>,
    heard: BTreeMap<InstanceName, LogPosition>,
}

impl Promotion {
    /// Starts an attempt.
    pub const fn new(term: Term, started_at: Timestamp) -> Self {
        Self {
            term,
            started_at,
            candidate: None,
            chosen_at: None,
            heard: BTreeMap::new(),
        }
    }

    /// Returns whether the instance has adopted the term and reported its position.
    pub fn has_heard(&self, instance: &InstanceName) -> bool {
        self.heard.contains_key(instance)
    }

    /// Takes the report with which `Adopt` ended.
    pub fn adopted(&mut self, instance: &InstanceName, report: &InstanceReport) -> Step {
        if report.adopted > self.term {
            return Step::Lost;
        }
        if report.adopted == self.term {
            self.heard.insert(instance.clone(), report.last.clone());
        }
        Step::Wait
    }

    /// Chooses the candidate once enough of a group of `instances` have been heard.
    pub fn choose(
        &mut self,
        instances: usize,
        eligible: impl Fn(&InstanceName) -> bool,
        only_eligible: bool,
        now: Timestamp,
    ) {
        if self.candidate.is_none() {
            self.candidate = choose_candidate(&self.heard, instances, eligible, only_eligible);
            self.chosen_at = self.candidate.is_some().then_some(now);
        }
    }

    /// Takes the report with which `Promote` ended.
    pub fn promoted(&self, instance: &InstanceName, report: &InstanceReport) -> Step {
        if report.adopted > self.term {
            return Step::Lost;
        }
        if report.adopted == self.term && report.is_primary {
            return Step::Finished(instance.clone());
        }
        Step::Wait
    }
}

/// Returns the instance to promote, given where the log of each instance ends that has adopted
/// the term; `None` while too few have.
///
/// Any set of [`quorum::promotion`] instances meets every acknowledged save, so that the choice
/// may be made among the eligible ones once there are enough of them; with `only_eligible` it is made
/// in no other way.
pub fn choose_candidate(
    heard: &BTreeMap<InstanceName, LogPosition>,
    instances: usize,
    eligible: impl Fn(&InstanceName) -> bool,
    only_eligible: bool,
) -> Option<InstanceName> {
    let needed = quorum::promotion(instances);
    if heard.len() < needed {
        return None;
    }
    let preferred = heard.keys().filter(|name| eligible(name)).count();
    let among_eligible = preferred >= needed;
    if only_eligible && !among_eligible {
        return None;
    }
    heard
        .iter()
        .filter(|(name, _)| !among_eligible || eligible(name))
        .max_by_key(|(name, last)| (*last, eligible(name), Reverse(*name)))
        .map(|(name, _)| name.clone())
}

#[cfg(test)]
mod tests;
