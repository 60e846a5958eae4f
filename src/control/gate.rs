//! Answer gate: holds back the response to a save until enough instances have stored the save.

use std::collections::BTreeSet;

use slotmap::{SlotMap, new_key_type};

use super::event::InstanceReport;
use super::quorum;
use crate::name::InstanceName;
use crate::position::{LogPosition, Term};
use crate::time::Timestamp;
use crate::traffic::RefusalReason;

new_key_type! {
    /// Handle of a response that the gate holds.
    pub struct WaiterKey;
}

/// What a primary reported at the end of a transaction that may have written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Save {
    /// Position that the primary reported with its response.
    pub position: LogPosition,
    /// Term under which the instance was known to be the primary when the transaction started.
    pub started_under: Term,
    /// The primary.
    pub primary: InstanceName,
}

/// Decision of the gate on a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// Enough instances hold the save, so the response may be sent.
    Passed,
    /// The response must wait until a report or the deadline releases it.
    Waiting(WaiterKey),
    /// The response must never be sent as a success.
    Refused(RefusalReason),
}

/// Response that has left the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// Handle of the response.
    pub waiter: WaiterKey,
    /// `Ok` if the response may be sent, otherwise the reason for refusing it.
    pub verdict: Result<(), RefusalReason>,
}

#[derive(Debug)]
struct Waiter {
    at: LogPosition,
    deadline: Timestamp,
}

#[derive(Debug)]
struct Progress {
    instance: InstanceName,
    adopted: Option<Term>,
    last: Option<LogPosition>,
}

/// The answer gate of one database.
#[derive(Debug)]
pub struct AnswerGate {
    group: Vec<Progress>,
    term: Option<Term>,
    durable: Option<LogPosition>,
    waiters: SlotMap<WaiterKey, Waiter>,
    by_position: BTreeSet<(LogPosition, WaiterKey)>,
    by_deadline: BTreeSet<(Timestamp, WaiterKey)>,
}

impl AnswerGate {
    /// Creates the gate of a group of instances, before any of them has reported.
    pub fn new(instances: impl IntoIterator<Item = InstanceName>) -> Self {
        let progress = |instance| Progress {
            instance,
            adopted: None,
            last: None,
        };
        Self {
            group: instances.into_iter().map(progress).collect(),
            term: None,
            durable: None,
            waiters: SlotMap::with_key(),
            by_position: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
        }
    }

    /// Returns the highest position under the current term that enough instances hold.
    pub const fn durable(&self) -> Option<&LogPosition> {
        self.durable.as_ref()
    }

    /// Returns the number of waiting responses.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no responses are waiting.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Decides whether the response to a transaction that may have written can be sent now, must
    /// wait, or is refused.
    pub fn hold(&mut self, save: &Save, deadline: Timestamp, now: Timestamp) -> GateDecision {
        // From its promotion on, a primary's last log entry has its own term.
        if save.position.term < save.started_under {
            return GateDecision::Refused(RefusalReason::TermChanged);
        }
        if self
            .term
            .as_ref()
            .is_some_and(|term| save.position.term < *term)
        {
            return GateDecision::Refused(RefusalReason::TermChanged);
        }
        self.record_progress(&save.primary, &save.position.term, &save.position);
        if self.durable.as_ref().is_some_and(|at| *at >= save.position) {
            return GateDecision::Passed;
        }
        if deadline <= now {
            return GateDecision::Refused(RefusalReason::GateTimeout);
        }
        let at = save.position.clone();
        let waiter = self.waiters.insert(Waiter {
            at: at.clone(),
            deadline,
        });
        self.by_position.insert((at, waiter));
        self.by_deadline.insert((deadline, waiter));
        GateDecision::Waiting(waiter)
    }

    /// Processes an instance's report and returns every response that it releases.
    pub fn report(&mut self, instance: &InstanceName, report: &InstanceReport) -> Vec<Release> {
        self.record_progress(instance, &report.adopted, &report.last);
        let mut released = Vec::new();
        while let Some((at, waiter)) = self.by_position.first() {
            let waiter = *waiter;
            let verdict = if self.durable.as_ref().is_some_and(|durable| at <= durable)
                && Some(&at.term) == self.term.as_ref()
            {
                Ok(())
            } else if self.term.as_ref().is_some_and(|term| at.term < *term) {
                Err(RefusalReason::TermChanged)
            } else {
                break;
            };
            self.forget(waiter);
            released.push(Release { waiter, verdict });
        }
        released
    }

    /// Refuses every response whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Release> {
        let mut released = Vec::new();
        while let Some((deadline, waiter)) = self.by_deadline.first().copied() {
            if deadline > now {
                break;
            }
            self.forget(waiter);
            released.push(Release {
                waiter,
                verdict: Err(RefusalReason::GateTimeout),
            });
        }
        released
    }

    /// Returns the earliest deadline of a waiting response, at which [`AnswerGate::expire`] must be
    /// called if no report releases it first.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// Drops a response that is no longer needed, for example because its caller has disconnected.
    pub fn forget(&mut self, waiter: WaiterKey) {
        let Some(Waiter { at, deadline }) = self.waiters.remove(waiter) else {
            return;
        };
        self.by_position.remove(&(at, waiter));
        self.by_deadline.remove(&(deadline, waiter));
    }

    fn record_progress(&mut self, instance: &InstanceName, adopted: &Term, last: &LogPosition) {
        let Some(progress) = self.group.iter_mut().find(|p| p.instance == *instance) else {
            return;
        };
        // A delayed report with an older term has no information about the current one.
        if progress.adopted.as_ref().is_some_and(|term| adopted < term) {
            return;
        }
        let newer = progress.adopted.as_ref() != Some(adopted);
        if newer || progress.last.as_ref().is_none_or(|known| last > known) {
            progress.adopted = Some(adopted.clone());
            progress.last = Some(last.clone());
        }
        if self.term.as_ref().is_none_or(|term| adopted > term) {
            self.term = Some(adopted.clone());
            self.durable = None;
        }
        self.advance();
    }

    fn advance(&mut self) {
        let Some(term) = &self.term else {
            return;
        };
        let current = |progress: &&Progress| progress.adopted.as_ref() == Some(term);
        let mut held: Vec<_> = self
            .group
            .iter()
            .filter(current)
            .filter_map(|progress| progress.last.as_ref())
            .filter(|last| last.term == *term)
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let copies = quorum::copies(self.group.len());
        if let Some(at) = held.get(copies - 1) {
            self.durable = Some((*at).clone());
        }
    }
}

#[cfg(test)]
mod tests;
