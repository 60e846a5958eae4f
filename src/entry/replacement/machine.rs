//! State machine of a replacement: from the suspicion to the record of the new primary.

use super::choice::{Choice, Outcome};
use super::messages::{Action, Answer, Event, Note, Receiving, Situation};
use super::reason::Reason;
use crate::entry::position::Position;
use crate::entry::promotion::{Knowledge, MemberReport, RecordCheck, Replaced, check_record};
use crate::entry::record::{Phase, PrimaryRecord, PromotionCalls, VersionedRecord};
use crate::entry::statement::InstanceReport;
use crate::name::{InstanceName, VmName};

/// State of a replacement. What ends each is listed in the documentation of the parent module.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    CheckingSuspicion,
    ClearingSuspicion,
    CheckingRecord,
    Rewriting,
    Beginning,
    StartingConfirmations,
    ConfirmingFirst,
    CollectingSuccessors,
    DeposingServing { successor: InstanceName },
    AwaitingDelivery,
    Choosing(Box<Choice>),
    RecordingSettling { instance: InstanceName, term: u64 },
    SendingSettling { instance: InstanceName, term: u64 },
    Settling { instance: InstanceName, term: u64 },
    Finishing { instance: InstanceName, term: u64 },
    Notifying,
    Ended,
}

/// Replacement of one database's primary.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replacement {
    holder: VmName,
    generation: u64,
    reason: Reason,
    primary: InstanceName,
    term: u64,
    /// Whether the record that the replacement began with says `settling`.
    was_settling: bool,
    /// Whether the record was written in the timeline of the store in which it was read.
    is_reliable: bool,
    /// Newest term that an instance has reported before the replicas are paused.
    reported_term: u64,
    /// Promotion calls of former holders that aren't recorded as successful.
    calls: PromotionCalls,
    /// Whether one of them could still take effect when the record was checked.
    may_calls_take_effect: bool,
    state: State,
}

impl Replacement {
    /// Starts the replacement of the primary that a record names. Returns its first action.
    pub fn start(
        holder: VmName,
        generation: u64,
        reason: Reason,
        record: &VersionedRecord,
        situation: &dyn Situation,
    ) -> (Self, Action) {
        let PrimaryRecord {
            primary,
            term,
            phase,
            ..
        } = &record.record;
        let mut replacement = Self {
            holder,
            generation,
            reason,
            primary: primary.clone(),
            term: *term,
            was_settling: matches!(phase, Phase::Settling { .. }),
            is_reliable: record.is_reliable(),
            reported_term: *term,
            // A restoration of the store may have lost the calls that were recorded.
            calls: match reason {
                Reason::Restored => PromotionCalls::Unknown,
                _ => record.record.unrecorded_calls(),
            },
            may_calls_take_effect: false,
            state: State::CheckingSuspicion,
        };
        let action = if reason.is_suspicion() && situation.is_announced(primary) {
            Action::AskPrimary
        } else {
            replacement.check_record(situation)
        };
        (replacement, action)
    }

    /// Returns the instance that is to receive alone now; `None` when no instance is.
    pub fn receiving(&self) -> Option<&Receiving> {
        match &self.state {
            State::Choosing(choice) => choice.receiving(),
            _ => None,
        }
    }

    /// Proceeds with the outcome of the last action. Returns the next one.
    ///
    /// # Panics
    ///
    /// Panics if the event isn't one that the last action leads to.
    pub fn on(&mut self, event: Event, situation: &dyn Situation) -> Action {
        match (std::mem::replace(&mut self.state, State::Ended), event) {
            (State::CheckingSuspicion, Event::Answered(answer)) => {
                if self.clears_suspicion(&answer, situation) {
                    self.proceed(State::ClearingSuspicion, Action::ClearSuspicion)
                } else {
                    self.check_record(situation)
                }
            }
            (State::CheckingRecord, Event::Reported(reports)) => {
                self.on_record_reports(&reports, situation)
            }
            (State::CheckingRecord, Event::Done) => self.check_record(situation),
            (State::Beginning, Event::Written(true)) => {
                self.proceed(State::StartingConfirmations, Action::StartConfirming)
            }
            (State::StartingConfirmations, Event::Done) => {
                // Without synchronous replicas, the former primary acknowledges saves until nobody
                // sends it any.
                if self.reason.is_planned() || !situation.is_synchronous() {
                    self.proceed(State::ConfirmingFirst, Action::AwaitConfirmations)
                } else {
                    self.choose(situation)
                }
            }
            (State::ConfirmingFirst, Event::Confirmed(true)) => {
                if self.reason.is_planned() && situation.is_announced(&self.primary) {
                    self.proceed(State::CollectingSuccessors, Action::Collect)
                } else {
                    self.choose(situation)
                }
            }
            (State::CollectingSuccessors, Event::Reported(reports)) => {
                self.depose_serving(&reports, situation)
            }
            (State::DeposingServing { successor }, Event::Demoted(Some(last_report))) => {
                let await_delivery = Action::AwaitDelivery {
                    instance: successor,
                    position: last_report.received,
                };
                self.proceed(State::AwaitingDelivery, await_delivery)
            }
            (State::DeposingServing { .. }, Event::Demoted(None))
            | (State::AwaitingDelivery, Event::Reached(_)) => self.choose(situation),
            (State::Choosing(choice), event) => {
                let outcome = choice.on(event, &self.replaced(situation), situation);
                self.on_choice(outcome, situation)
            }
            (_, Event::Written(false) | Event::Confirmed(false)) => Action::End { done: false },
            (state, event) => self.on_promoted_event(state, event, situation),
        }
    }

    /// Proceeds after the promotion, or after it has turned out that none is needed.
    fn on_promoted_event(
        &mut self,
        state: State,
        event: Event,
        situation: &dyn Situation,
    ) -> Action {
        match (state, event) {
            (State::RecordingSettling { instance, term }, Event::Written(true)) => self.proceed(
                State::SendingSettling { instance, term },
                Action::SendRecord,
            ),
            (State::SendingSettling { instance, term }, Event::Done) => {
                let settling = State::Settling { instance, term };
                self.proceed(settling, Action::AwaitConfirmations)
            }
            (State::Settling { instance, term }, Event::Confirmed(true)) => {
                self.record_steady(instance, term, situation)
            }
            (State::Rewriting, Event::Written(true)) => {
                // A replacement that the restoration ended may have paused the replicas.
                self.notify(self.primary.clone(), self.term)
            }
            (State::Finishing { instance, term }, Event::Written(true)) => {
                self.notify(instance, term)
            }
            (State::ClearingSuspicion | State::Notifying, Event::Done) => {
                Action::End { done: true }
            }
            (state, event) => unreachable!("{event:?} in {state:?}"),
        }
    }

    fn proceed(&mut self, state: State, action: Action) -> Action {
        self.state = state;
        action
    }

    /// Returns whether a suspected primary is alive and leads, so that a transient failure doesn't lead
    /// to its replacement.
    fn clears_suspicion(&self, answer: &Answer, situation: &dyn Situation) -> bool {
        match answer {
            Answer::Silent => false,
            Answer::Busy => self.reason == Reason::Unreachable,
            Answer::Report(report) => {
                report.is_primary
                    && report.term == self.term
                    && !has_lost_log(&self.primary, report, situation)
            }
        }
    }

    fn check_record(&mut self, situation: &dyn Situation) -> Action {
        if self.reason == Reason::Restored {
            self.may_calls_take_effect = situation.may_calls_take_effect();
            return self.proceed(State::CheckingRecord, Action::Collect);
        }
        self.begin(situation)
    }

    /// Writes the record again if the reports of all instances confirm it. No VM has to confirm this,
    /// because none can know another primary. While only some instances confirm a record that this VM
    /// relies on, it waits for the others.
    fn on_record_reports(&mut self, reports: &[MemberReport], situation: &dyn Situation) -> Action {
        let newest_term = reports.iter().map(|member| member.report.term).max();
        self.reported_term = self.reported_term.max(newest_term.unwrap_or_default());
        let check = check_record(&self.replaced(situation), reports);
        situation.note(Note::RecordChecked {
            heard: reports.len(),
            check,
            newest_term,
        });
        match check {
            RecordCheck::Confirmed if self.may_calls_take_effect => {
                self.proceed(State::CheckingRecord, Action::Sleep)
            }
            // If it is settling, some VMs may still use the primary before the recorded one.
            RecordCheck::Confirmed if !self.was_settling => {
                let (primary, term) = (self.primary.clone(), self.term);
                self.write(primary, term, Phase::Steady, State::Rewriting, situation)
            }
            RecordCheck::Incomplete if self.is_reliable && situation.may_wait_for_reports() => {
                Action::End { done: false }
            }
            _ => self.begin(situation),
        }
    }

    /// Records that the primary is being replaced.
    fn begin(&mut self, situation: &dyn Situation) -> Action {
        let moving = Phase::Moving {
            holder: self.holder.clone(),
            generation: self.generation,
        };
        let (primary, term) = (self.primary.clone(), self.term);
        self.write(primary, term, moving, State::Beginning, situation)
    }

    /// Demotes a primary that still serves, before its replicas are paused. They would miss a save that
    /// an open transaction commits after the pause, and a demoted primary sends nothing more.
    fn depose_serving(&mut self, reports: &[MemberReport], situation: &dyn Situation) -> Action {
        let newest_term = reports.iter().map(|member| member.report.term).max();
        let successors = reports
            .iter()
            .filter(|member| member.may_lead && member.instance != self.primary);
        let successor = successors.max_by_key(|member| member.report.received);
        let (Some(newest_term), Some(successor)) = (newest_term, successor) else {
            return self.choose(situation);
        };
        let deposing = State::DeposingServing {
            successor: successor.instance.clone(),
        };
        let demote = Action::Demote {
            instance: self.primary.clone(),
            term: newest_term + 1,
        };
        self.proceed(deposing, demote)
    }

    fn choose(&mut self, situation: &dyn Situation) -> Action {
        let pause_term = self.term.max(self.reported_term) + 1;
        let calls = self.calls.clone();
        let outcome = Choice::start(pause_term, calls, &self.replaced(situation), situation);
        self.on_choice(outcome, situation)
    }

    fn on_choice(&mut self, outcome: Outcome, situation: &dyn Situation) -> Action {
        match outcome {
            Outcome::Continue(choice, action) => self.proceed(State::Choosing(choice), action),
            Outcome::Failed => Action::End { done: false },
            Outcome::Promoted(instance, term) if situation.is_confirmed() => {
                self.record_steady(instance, term, situation)
            }
            Outcome::Promoted(instance, term) => {
                let phase = Phase::Settling {
                    holder: self.holder.clone(),
                    generation: self.generation,
                };
                let state = State::RecordingSettling {
                    instance: instance.clone(),
                    term,
                };
                self.write(instance, term, phase, state, situation)
            }
        }
    }

    fn record_steady(
        &mut self,
        instance: InstanceName,
        term: u64,
        situation: &dyn Situation,
    ) -> Action {
        let state = State::Finishing {
            instance: instance.clone(),
            term,
        };
        self.write(instance, term, Phase::Steady, state, situation)
    }

    fn notify(&mut self, primary: InstanceName, term: u64) -> Action {
        let finish = Action::Finish {
            former: self.primary.clone(),
            primary,
            term,
        };
        self.proceed(State::Notifying, finish)
    }

    fn write(
        &mut self,
        primary: InstanceName,
        term: u64,
        phase: Phase,
        state: State,
        situation: &dyn Situation,
    ) -> Action {
        if !situation.holds_lease() {
            return Action::End { done: false };
        }
        let promotion_calls = match phase {
            Phase::Moving { .. } => self.calls.clone(),
            Phase::Steady | Phase::Settling { .. } => PromotionCalls::NONE,
        };
        let write = Action::Write {
            primary,
            term,
            phase,
            instances: situation.instances(),
            promotion_calls,
        };
        self.proceed(state, write)
    }

    /// Returns the primary that is being replaced.
    fn replaced(&self, situation: &dyn Situation) -> Replaced<'_> {
        Replaced {
            primary: &self.primary,
            term: self.term,
            instances: situation.instances(),
            knowledge: self.knowledge(),
        }
    }

    const fn knowledge(&self) -> Knowledge {
        self.reason.knowledge()
    }
}

/// Returns whether an instance lacks what it has reported itself as the primary. It was started again
/// without its log then, and its report says nothing about acknowledged saves.
pub(super) fn has_lost_log(
    instance: &InstanceName,
    report: &InstanceReport,
    situation: &dyn Situation,
) -> bool {
    let known: Option<Position> = situation.reported_position(instance);
    known.is_some_and(|position| report.received < position)
}
