//! Choice and promotion of the instance that follows a primary and holds every acknowledged save.

use super::machine::has_lost_log;
use super::messages::{Action, Event, Note, PROMOTION_TIMEOUT, Receiving, Situation};
use crate::entry::adapter::PromotionOutcome;
use crate::entry::promotion::{
    Decision, MemberReport, Replaced, UnrecordedCalls, decide, furthest_without_leader,
    needs_all_replicas,
};
use crate::entry::record::PromotionCalls;
use crate::name::InstanceName;
use crate::time::Timestamp;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    Pausing {
        /// Number of instances when the pause began.
        instances: usize,
    },
    ConfirmingLast,
    PausingAll,
    CatchingUp {
        instance: InstanceName,
    },
    PausingCaughtUp {
        instance: InstanceName,
    },
    PausingFurthest {
        /// Number of reports before.
        count: usize,
    },
    Demoting {
        instance: InstanceName,
    },
    Delivering {
        instance: InstanceName,
    },
    RecordingCall {
        instance: InstanceName,
    },
    Calling {
        instance: InstanceName,
        /// Whether it may have been called before.
        is_repeated: bool,
    },
    AwaitingLeadership {
        instance: InstanceName,
    },
    Sleeping,
}

/// Attempts to promote an instance until a time limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Choice {
    end: Timestamp,
    /// Term under which the replicas are paused.
    term: u64,
    /// Whether the decision relies on the reports of all replicas: the former primary may still
    /// have saves confirmed.
    needs_all: bool,
    /// Reports of the current attempt.
    reports: Vec<MemberReport>,
    receiving: Option<Receiving>,
    calls: UnrecordedCalls,
    /// Start of the accepted instance's process when it was called, in Unix milliseconds.
    accepted_start_ms: Option<u64>,
    /// Instances that the record names. A call that was refused leaves its instance there.
    recorded: PromotionCalls,
    state: State,
}

/// Result of one step of the choice.
#[derive(Debug)]
pub(super) enum Outcome {
    Continue(Box<Choice>, Action),
    /// The instance leads in this term.
    Promoted(InstanceName, u64),
    Failed,
}

impl Choice {
    pub(super) fn start(
        term: u64,
        calls: PromotionCalls,
        replaced: &Replaced<'_>,
        situation: &dyn Situation,
    ) -> Outcome {
        let choice = Self {
            end: situation.now() + PROMOTION_TIMEOUT,
            term,
            needs_all: false,
            reports: Vec::new(),
            receiving: None,
            calls: UnrecordedCalls {
                instances: calls.clone(),
                may_take_effect: false,
                accepted: None,
            },
            accepted_start_ms: None,
            recorded: calls,
            state: State::Sleeping,
        };
        choice.pause(replaced, situation)
    }

    pub(super) const fn receiving(&self) -> Option<&Receiving> {
        self.receiving.as_ref()
    }

    pub(super) fn on(
        mut self,
        event: Event,
        replaced: &Replaced<'_>,
        situation: &dyn Situation,
    ) -> Outcome {
        match (self.state.clone(), event) {
            (State::Pausing { instances }, Event::Reported(reports)) => {
                self.on_reports(instances, reports, replaced, situation)
            }
            // The former primary may have had saves confirmed by instances that this VM doesn't know.
            (State::ConfirmingLast, Event::Confirmed(true)) => {
                let pause_all = self.pause_all();
                self.proceed(State::PausingAll, pause_all)
            }
            (State::ConfirmingLast, Event::Confirmed(false)) => Outcome::Failed,
            (State::PausingAll, Event::AllPaused(paused)) => {
                self.take_reports(paused, replaced);
                let decision = decide(replaced, &self.calls, &self.reports);
                self.follow(decision, replaced, situation)
            }
            (State::CatchingUp { instance }, Event::Reached(true)) => {
                if self.needs_all {
                    let pause_all = self.pause_all();
                    return self.proceed(State::PausingCaughtUp { instance }, pause_all);
                }
                self.promote(instance, replaced, situation)
            }
            (State::CatchingUp { .. }, Event::Reached(false)) => {
                let count = self.reports.len();
                if self.needs_all {
                    let pause_all = self.pause_all();
                    return self.proceed(State::PausingFurthest { count }, pause_all);
                }
                self.promote_furthest(count, replaced, situation)
            }
            (State::PausingCaughtUp { instance }, Event::AllPaused(paused)) => {
                self.take_reports(paused, replaced);
                self.promote_caught_up(instance, replaced, situation)
            }
            (State::PausingFurthest { count }, Event::AllPaused(paused)) => {
                self.take_reports(paused, replaced);
                self.promote_furthest(count, replaced, situation)
            }
            (State::Sleeping, Event::Done) => self.pause(replaced, situation),
            (_, event) => self.on_promotion_event(event, replaced, situation),
        }
    }

    /// Proceeds with the promotion of the chosen instance.
    fn on_promotion_event(
        self,
        event: Event,
        replaced: &Replaced<'_>,
        situation: &dyn Situation,
    ) -> Outcome {
        match (self.state.clone(), event) {
            // Saves that the former primary accepted after its report may still be in transit to the
            // chosen replica. If they don't arrive in time, the next attempt decides again.
            (State::Demoting { instance }, Event::Demoted(Some(last_report))) => {
                let delivery = Action::AwaitDelivery {
                    instance: instance.clone(),
                    position: last_report.received,
                };
                self.proceed(State::Delivering { instance }, delivery)
            }
            (State::Delivering { instance }, Event::Reached(true)) => {
                self.call(instance, situation)
            }
            (State::RecordingCall { instance }, Event::Written(true)) => {
                self.call_recorded(instance, situation)
            }
            (State::RecordingCall { .. }, Event::Written(false)) => Outcome::Failed,
            (
                State::Calling {
                    instance,
                    is_repeated,
                },
                Event::Called(outcome),
            ) => self.on_called(instance, is_repeated, outcome, replaced),
            (State::AwaitingLeadership { instance }, Event::Led(Some(term))) => {
                Outcome::Promoted(instance, term)
            }
            (State::Demoting { .. }, Event::Demoted(None))
            | (State::Delivering { .. }, Event::Reached(false))
            | (State::AwaitingLeadership { .. }, Event::Led(None)) => self.sleep(),
            (state, event) => unreachable!("{event:?} in {state:?}"),
        }
    }

    fn proceed(mut self, state: State, action: Action) -> Outcome {
        self.state = state;
        Outcome::Continue(Box::new(self), action)
    }

    fn pause(mut self, replaced: &Replaced<'_>, situation: &dyn Situation) -> Outcome {
        if situation.now() >= self.end {
            return Outcome::Failed;
        }
        self.reports = Vec::new();
        self.calls.may_take_effect = situation.may_calls_take_effect();
        let pausing = State::Pausing {
            instances: replaced.instances,
        };
        let pause = Action::Pause { term: self.term };
        self.proceed(pausing, pause)
    }

    fn pause_all(&self) -> Action {
        Action::PauseAll { term: self.term }
    }

    fn on_reports(
        mut self,
        instances: usize,
        mut reports: Vec<MemberReport>,
        replaced: &Replaced<'_>,
        situation: &dyn Situation,
    ) -> Outcome {
        reports.retain(|member| !has_lost_log(&member.instance, &member.report, situation));
        // A promotion has no effect on an instance that isn't running at that time.
        let start_ms = self.accepted_start_ms;
        let is_running = |accepted: &InstanceName| situation.started_at_ms(accepted) == start_ms;
        self.calls.accepted = self.calls.accepted.filter(is_running);
        let before = Replaced {
            instances,
            ..*replaced
        };
        let decision = decide(&before, &self.calls, &reports);
        self.needs_all = needs_all_replicas(&before, &reports);
        self.reports = reports;
        let is_chosen = matches!(decision, Decision::Promote(_) | Decision::CatchUp(..));
        if self.needs_all && is_chosen {
            return self.proceed(State::ConfirmingLast, Action::AwaitConfirmations);
        }
        self.follow(decision, replaced, situation)
    }

    /// Takes the reports of replicas that were paused again, beside the former primary's.
    fn take_reports(&mut self, paused: Option<Vec<MemberReport>>, replaced: &Replaced<'_>) {
        let Some(paused) = paused else {
            self.reports.clear();
            return;
        };
        let is_former = |member: &MemberReport| member.instance == *replaced.primary;
        self.reports.retain(is_former);
        self.reports.extend(paused);
    }

    fn follow(
        self,
        decision: Decision,
        replaced: &Replaced<'_>,
        situation: &dyn Situation,
    ) -> Outcome {
        situation.note(Note::Decided {
            heard: self.reports.len(),
            decision: &decision,
        });
        match decision {
            Decision::AlreadyLeads(instance) => {
                let first_term = self.leading_term(&instance).unwrap_or(replaced.term);
                self.await_leadership(instance, first_term)
            }
            Decision::Promote(instance) => self.promote(instance, replaced, situation),
            Decision::CatchUp(instance, position) => {
                let catch_up = Action::CatchUp {
                    instance: instance.clone(),
                    position,
                };
                self.proceed(State::CatchingUp { instance }, catch_up)
            }
            Decision::Unheard | Decision::AwaitEffect => self.sleep(),
        }
    }

    /// Promotes the instance that has caught up. Replicas that have joined or restarted meanwhile may
    /// have confirmed further saves: nothing is promoted if another one has more.
    fn promote_caught_up(
        self,
        instance: InstanceName,
        replaced: &Replaced<'_>,
        situation: &dyn Situation,
    ) -> Outcome {
        let received = |member: &MemberReport| member.report.received;
        let furthest = self.reports.iter().map(received).max();
        let mut reports = self.reports.iter();
        let chosen = reports.find(|member| member.instance == instance);
        if chosen.is_some() && chosen.map(received) >= furthest {
            return self.promote(instance, replaced, situation);
        }
        self.sleep()
    }

    /// Promotes the instance with the furthest log if no instance leads.
    fn promote_furthest(
        self,
        count: usize,
        replaced: &Replaced<'_>,
        situation: &dyn Situation,
    ) -> Outcome {
        match furthest_without_leader(&self.reports) {
            Some(instance) if self.reports.len() >= count => {
                self.promote(instance, replaced, situation)
            }
            _ => self.sleep(),
        }
    }

    /// Promotes an instance. If the former primary still leads, it is deposed first: otherwise a
    /// replica that this VM doesn't know could acknowledge its saves in the meantime. If it may
    /// still acknowledge saves, the instance is the only one that receives them until it leads.
    fn promote(
        mut self,
        instance: InstanceName,
        replaced: &Replaced<'_>,
        situation: &dyn Situation,
    ) -> Outcome {
        self.receiving = self.needs_all.then(|| Receiving {
            instance: instance.clone(),
            reports: self.reports.clone(),
            term: self.term,
        });
        let leads = |member: &&MemberReport| {
            member.instance == *replaced.primary && member.report.is_primary
        };
        let Some(former) = self.reports.iter().find(leads) else {
            return self.call(instance, situation);
        };
        // Promoted again, it keeps its log and needn't stop.
        if former.instance == instance {
            return self.call(instance, situation);
        }
        if !situation.is_announced(&former.instance) {
            return self.sleep();
        }
        let demote = Action::Demote {
            instance: former.instance.clone(),
            term: former.report.term + 1,
        };
        self.proceed(State::Demoting { instance }, demote)
    }

    /// Calls the platform to promote an instance, once the record names it. If this VM ends, the next holder
    /// of the failover lease then knows that the instance may be promoted.
    fn call(self, instance: InstanceName, situation: &dyn Situation) -> Outcome {
        if self.recorded.may_include(&instance) {
            return self.call_recorded(instance, situation);
        }
        let record_call = Action::RecordCall {
            instance: instance.clone(),
        };
        self.proceed(State::RecordingCall { instance }, record_call)
    }

    fn call_recorded(mut self, instance: InstanceName, situation: &dyn Situation) -> Outcome {
        self.recorded.add(&instance);
        if !situation.holds_lease() {
            situation.note(Note::Outdated {
                instance: &instance,
            });
            return self.sleep();
        }
        let is_repeated = self.calls.instances.may_include(&instance);
        self.calls.instances.add(&instance);
        self.calls.accepted = None;
        self.accepted_start_ms = situation.started_at_ms(&instance);
        let call = Action::CallPromotion {
            instance: instance.clone(),
        };
        let calling = State::Calling {
            instance,
            is_repeated,
        };
        self.proceed(calling, call)
    }

    fn on_called(
        mut self,
        instance: InstanceName,
        is_repeated: bool,
        outcome: PromotionOutcome,
        replaced: &Replaced<'_>,
    ) -> Outcome {
        match outcome {
            PromotionOutcome::Accepted => self.calls.accepted = Some(instance.clone()),
            PromotionOutcome::NoAnswer => {}
            PromotionOutcome::NotRunning | PromotionOutcome::NotDone => {
                if !is_repeated {
                    self.calls.instances.remove(&instance);
                }
                return self.sleep();
            }
        }
        let former_term = self.leading_term(&instance).unwrap_or_default();
        let first_term = former_term.max(replaced.term) + 1;
        self.await_leadership(instance, first_term)
    }

    /// Returns the term in which an instance has reported that it leads.
    fn leading_term(&self, instance: &InstanceName) -> Option<u64> {
        let mut reports = self.reports.iter();
        let leading =
            |member: &&MemberReport| member.instance == *instance && member.report.is_primary;
        reports.find(leading).map(|member| member.report.term)
    }

    fn await_leadership(self, instance: InstanceName, first_term: u64) -> Outcome {
        let await_leadership = Action::AwaitLeadership {
            instance: instance.clone(),
            first_term,
        };
        self.proceed(State::AwaitingLeadership { instance }, await_leadership)
    }

    fn sleep(mut self) -> Outcome {
        self.receiving = None;
        self.reports = Vec::new();
        self.proceed(State::Sleeping, Action::Sleep)
    }
}
