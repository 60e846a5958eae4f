//! In-memory state of a database's home, shared by the traffic threads under one lock.

use std::collections::BTreeMap;
use std::sync::Arc;

use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::allowances::Allowances;
use crate::control::event::InstanceReport;
use crate::control::fairness::{FairQueue, FairQueueSettings, RunKey};
use crate::control::gate::{AnswerGate, GateDecision, Release, Save, WaiterKey};
use crate::control::retry::RetryBudget;
use crate::control::routing::Rotation;
use crate::control::session::SessionMarks;
use crate::control::snapshot::DatabaseView;
use crate::name::InstanceName;
use crate::position::{LogPosition, Term};
use crate::time::Timestamp;
use crate::traffic::{Refusal, RefusalReason};

/// Decision of the answer gate on whether a held response may be sent.
pub(super) type Verdict = Result<(), RefusalReason>;

/// Sender that notifies a queued request that its slot was granted or that it was refused.
pub(super) type Ticket = oneshot::Sender<Result<RunKey, Refusal>>;

/// Latest report of an instance.
#[derive(Debug, Clone)]
pub(super) struct LatestReport {
    pub(super) report: InstanceReport,
    /// When the report was requested; the instance was in the reported state at this time or later.
    pub(super) requested_at: Timestamp,
}

/// Verdict on a response that the gate has released, with the channel it is sent to.
pub(super) type Released = (Verdict, oneshot::Sender<Verdict>);

/// State of one home.
#[derive(Debug)]
pub(super) struct HomeState {
    gate: AnswerGate,
    verdicts: SecondaryMap<WaiterKey, oneshot::Sender<Verdict>>,
    pub(super) marks: SessionMarks,
    pub(super) rotation: Rotation,
    pub(super) retries: RetryBudget,
    pub(super) allowances: Allowances,
    queues: BTreeMap<InstanceName, FairQueue<Ticket>>,
    reports: BTreeMap<InstanceName, LatestReport>,
    /// Term of the positions in `rotation`.
    term: Option<Term>,
    view: Option<Arc<DatabaseView>>,
}

impl Default for HomeState {
    fn default() -> Self {
        Self {
            gate: AnswerGate::new([]),
            verdicts: SecondaryMap::new(),
            marks: SessionMarks::default(),
            rotation: Rotation::default(),
            retries: RetryBudget::default(),
            allowances: Allowances::default(),
            queues: BTreeMap::new(),
            reports: BTreeMap::new(),
            term: None,
            view: None,
        }
    }
}

impl HomeState {
    /// Builds the state of a home that starts at `now`.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            allowances: Allowances::new(now),
            ..Self::default()
        }
    }

    /// Applies the instances and the low-water mark of a new view; returns whether it differs from
    /// the previous one.
    pub(super) fn follow(&mut self, view: &Arc<DatabaseView>, now: Timestamp) -> bool {
        let before = self.view.replace(Arc::clone(view));
        if before.as_ref() == Some(view) {
            return false;
        }
        if let Some(low_water_mark) = &view.low_water_mark {
            self.marks.raise_low_water_mark(low_water_mark);
        }
        let names = |view: &DatabaseView| -> Vec<InstanceName> {
            view.instances.iter().map(|i| i.name.clone()).collect()
        };
        if before.is_none_or(|before| names(&before) != names(view)) {
            self.regroup(&names(view), now);
        }
        for instance in &view.instances {
            let slots = instance.slots;
            let new = || FairQueue::new(FairQueueSettings::default(), slots);
            let queue = self.queues.entry(instance.name.clone()).or_insert_with(new);
            queue.set_slots(slots);
        }
        true
    }

    /// Starts a new gate for a changed set of instances. The majority is counted differently from
    /// then on, so waiting responses are refused with an unknown outcome.
    fn regroup(&mut self, names: &[InstanceName], now: Timestamp) {
        for (_, sender) in std::mem::take(&mut self.verdicts) {
            // The receiver is dropped when the caller has disconnected.
            let _ = sender.send(Err(RefusalReason::GateTimeout));
        }
        self.gate = AnswerGate::new(names.iter().cloned());
        self.reports.retain(|name, _| names.contains(name));
        for (name, latest) in self.reports.clone() {
            self.record_report(&name, &latest.report, latest.requested_at, now);
        }
    }

    /// Records a report of an instance; returns the responses that it releases.
    pub(super) fn record_report(
        &mut self,
        instance: &InstanceName,
        report: &InstanceReport,
        requested_at: Timestamp,
        now: Timestamp,
    ) -> Vec<Released> {
        let latest = LatestReport {
            report: report.clone(),
            requested_at,
        };
        self.reports.insert(instance.clone(), latest);
        self.rotate(instance, report, now);
        let released = self.gate.report(instance, report);
        self.take_verdicts(released)
    }

    fn rotate(&mut self, instance: &InstanceName, report: &InstanceReport, now: Timestamp) {
        if self
            .term
            .as_ref()
            .is_some_and(|term| report.adopted < *term)
        {
            self.rotation.remove(instance);
            return;
        }
        if report.is_primary {
            if self.term.as_ref() == Some(&report.adopted) {
                self.rotation.primary_reached(&report.last, now);
            } else {
                self.term = Some(report.adopted.clone());
                self.rotation.start_term(&report.last, now);
            }
            return;
        }
        // The new primary may lack an entry that was written in an older term.
        let follows = Some(&report.last.term) == self.term.as_ref()
            || Some(&report.last) == self.rotation.history().latest();
        if follows {
            self.rotation.replica_reached(instance, &report.last, now);
        } else {
            self.rotation.remove(instance);
        }
    }

    /// Records a position that the primary reported together with a response.
    pub(super) fn primary_reached(&mut self, position: &LogPosition, now: Timestamp) {
        if self.term.as_ref() == Some(&position.term) {
            self.rotation.primary_reached(position, now);
        }
    }

    /// Returns the latest report of an instance, or `None` before the first one.
    pub(super) fn latest_report(&self, instance: &InstanceName) -> Option<&LatestReport> {
        self.reports.get(instance)
    }

    /// Holds the response to a save until the gate decides on it. The receiver gets the verdict;
    /// `None` means that the response may be sent immediately.
    pub(super) fn hold(
        &mut self,
        save: &Save,
        deadline: Timestamp,
        now: Timestamp,
    ) -> Result<Option<oneshot::Receiver<Verdict>>, RefusalReason> {
        match self.gate.hold(save, deadline, now) {
            GateDecision::Passed => Ok(None),
            GateDecision::Refused(reason) => Err(reason),
            GateDecision::Waiting(waiter) => {
                let (sender, receiver) = oneshot::channel();
                self.verdicts.insert(waiter, sender);
                Ok(Some(receiver))
            }
        }
    }

    /// Refuses the held responses whose deadline has passed.
    pub(super) fn expire_gate(&mut self, now: Timestamp) -> Vec<Released> {
        let released = self.gate.expire(now);
        self.take_verdicts(released)
    }

    fn take_verdicts(&mut self, released: Vec<Release>) -> Vec<Released> {
        let verdicts = released.into_iter().filter_map(|release| {
            let sender = self.verdicts.remove(release.waiter)?;
            Some((release.verdict, sender))
        });
        verdicts.collect()
    }

    /// Returns the queue for the slots of an instance.
    pub(super) fn queue(&mut self, instance: &InstanceName) -> Option<&mut FairQueue<Ticket>> {
        self.queues.get_mut(instance)
    }

    /// Returns the number of statements that run on an instance or wait for one of its slots.
    pub(super) fn in_flight(&self, instance: &InstanceName) -> u32 {
        let queue = self.queues.get(instance);
        let count = queue.map_or(0, |queue| queue.running() + queue.waiting());
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Performs the periodic maintenance of freshness data and session marks.
    pub(super) fn maintain(&mut self, now: Timestamp) {
        self.rotation.refresh(now);
        let lowest = self.rotation.lowest_position().cloned();
        // Without this check, the position of a lagging replica would become the first low-water
        // mark.
        if let Some(lowest) = lowest.filter(|_| self.marks.low_water_mark().is_some()) {
            self.marks.raise_low_water_mark(&lowest);
        }
    }
}
