//! One attempt to promote an instance under a new term.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::control::event::InstanceReport;
use crate::control::quorum;
use crate::name::InstanceName;
use crate::position::{LogPosition, Term};
use crate::time::Timestamp;

/// Next step of an attempt after an instance has responded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// More responses are needed.
    Wait,
    /// The instance is the primary of the term.
    Finished(InstanceName),
    /// An instance has adopted a newer term, so the attempt is over.
    Superseded,
}

/// Attempt to promote an instance, under a term that no other attempt uses.
#[derive(Debug, Clone)]
pub struct Promotion {
    /// Term of the attempt.
    pub term: Term,
    /// When the attempt started.
    pub started_at: Timestamp,
    /// Instance being promoted, once it is chosen; promoting another one requires a new term.
    pub candidate: Option<InstanceName>,
    /// When the candidate was chosen.
    pub chosen_at: Option<Timestamp>,
    positions: BTreeMap<InstanceName, LogPosition>,
}

impl Promotion {
    /// Starts an attempt.
    pub const fn new(term: Term, started_at: Timestamp) -> Self {
        Self {
            term,
            started_at,
            candidate: None,
            chosen_at: None,
            positions: BTreeMap::new(),
        }
    }

    /// Returns whether the instance has adopted the term and reported its position.
    pub fn has_adopted(&self, instance: &InstanceName) -> bool {
        self.positions.contains_key(instance)
    }

    /// Processes the report that ended an `Adopt` request.
    pub fn adopted(&mut self, instance: &InstanceName, report: &InstanceReport) -> Step {
        if report.adopted > self.term {
            return Step::Superseded;
        }
        if report.adopted == self.term {
            self.positions.insert(instance.clone(), report.last.clone());
        }
        Step::Wait
    }

    /// Chooses the candidate once enough of the group's `instances` have reported their positions.
    pub fn choose(
        &mut self,
        instances: usize,
        eligible: impl Fn(&InstanceName) -> bool,
        only_eligible: bool,
        now: Timestamp,
    ) {
        if self.candidate.is_none() {
            self.candidate = choose_candidate(&self.positions, instances, eligible, only_eligible);
            self.chosen_at = self.candidate.is_some().then_some(now);
        }
    }

    /// Processes the report that ended a `Promote` request.
    pub fn promoted(&self, instance: &InstanceName, report: &InstanceReport) -> Step {
        if report.adopted > self.term {
            return Step::Superseded;
        }
        if report.adopted == self.term && report.is_primary {
            return Step::Finished(instance.clone());
        }
        Step::Wait
    }
}

/// Returns the instance to promote, given the last log position of each instance that has adopted
/// the term; `None` while too few have.
///
/// Every acknowledged save is held by at least one instance of any set of [`quorum::promotion`]
/// instances, so once that many eligible instances have reported, the choice is limited to them.
/// With `only_eligible`, no choice is made before that.
pub fn choose_candidate(
    positions: &BTreeMap<InstanceName, LogPosition>,
    instances: usize,
    eligible: impl Fn(&InstanceName) -> bool,
    only_eligible: bool,
) -> Option<InstanceName> {
    let needed = quorum::promotion(instances);
    if positions.len() < needed {
        return None;
    }
    let preferred = positions.keys().filter(|name| eligible(name)).count();
    let among_eligible = preferred >= needed;
    if only_eligible && !among_eligible {
        return None;
    }
    positions
        .iter()
        .filter(|(name, _)| !among_eligible || eligible(name))
        .max_by_key(|(name, last)| (*last, eligible(name), Reverse(*name)))
        .map(|(name, _)| name.clone())
}

#[cfg(test)]
mod tests;
