//! Steps of a holder of the failover lease: each outcome of the action that its state machine asks for.

use currantlb::entry::adapter::PromotionOutcome;
use currantlb::entry::position::Position;
use currantlb::entry::promotion::MemberReport;
use currantlb::entry::record::{Phase, PromotionCalls};
use currantlb::entry::replacement::{Action, Answer, Event, Reason};

use super::steps::Step;
use super::world::{
    Defect, FORMER, Holder, JOINING, Known, REPLICA, Record, RecordPhase, Running, Violation,
    World, index, name,
};

/// Step of one holder that is being built: its outcomes.
struct Outcomes<'a> {
    world: &'a World,
    holder: usize,
    running: &'a Running,
    defect: Defect,
    steps: &'a mut Vec<Step>,
}

/// Returns the instances that may have been called, one bit each.
fn called(calls: &PromotionCalls) -> u8 {
    let called = (0..3).filter(|index| calls.may_include(&name(*index)));
    called.fold(0, |calls, index| calls | 1 << index)
}

pub fn steps(world: &World, holder: usize, defect: Defect, steps: &mut Vec<Step>) {
    let Holder::Running(running) = &world.holders[holder] else {
        return;
    };
    let mut outcomes = Outcomes {
        world,
        holder,
        running,
        defect,
        steps,
    };
    outcomes.receiving();
    outcomes.all();
}

impl Outcomes<'_> {
    /// Adds the state in which the action has this outcome, after a change of the world.
    fn add(&mut self, event: Event, change: impl FnOnce(&mut World)) {
        let mut next = self.world.clone();
        change(&mut next);
        let name = format!(
            "holder {}: {:?} -> {event:?}",
            self.holder, self.running.action
        );
        let Holder::Running(mut running) =
            std::mem::replace(&mut next.holders[self.holder], Holder::Ended)
        else {
            unreachable!("the holder runs");
        };
        let known = Known {
            world: &next,
            holder: self.holder,
            knows_joining: running.knows_joining,
            group_size: running.group_size,
            is_confirmed: running.is_confirming && !running.awaits_vm,
            defect: self.defect,
        };
        running.action = running.machine.on(event, &known);
        if matches!(running.action, Action::End { .. }) {
            // The lease is released, unless a call may still take effect.
            next.leases[self.holder] &= !next.promoting.is_empty();
        } else {
            next.holders[self.holder] = Holder::Running(running);
        }
        self.steps.push((name, next));
    }

    fn holds(&self) -> bool {
        self.world.leases[self.holder]
    }

    /// Adds what is done while one instance receives alone.
    fn receiving(&mut self) {
        let Some(receiving) = self.running.machine.receiving().cloned() else {
            return;
        };
        if !self.holds() {
            return;
        }
        let receiver = index(&receiving.instance);
        if self.world.members[receiver].paused.is_some() {
            let mut next = self.world.clone();
            next.members[receiver].paused = None;
            self.steps
                .push((format!("{receiver} receives alone"), next));
        }
        let joining = &self.world.members[JOINING];
        let is_other = receiver != JOINING && self.running.knows_joining;
        if is_other && joining.is_alive && joining.paused.is_none() && !joining.leads {
            let mut next = self.world.clone();
            next.members[JOINING].paused = Some(receiving.term);
            self.steps
                .push(("the joined instance is paused".to_owned(), next));
        }
    }

    fn all(&mut self) {
        match self.running.action.clone() {
            Action::AskPrimary => {
                let primary = &self.world.members[self.running.former];
                if self.world.is_reachable(self.running.former) {
                    let report = primary.report();
                    self.add(Event::Answered(Answer::Report(report)), |_| {});
                }
                self.add(Event::Answered(Answer::Silent), |_| {});
            }
            Action::ClearSuspicion | Action::SendRecord | Action::Sleep => {
                self.add(Event::Done, |_| {});
            }
            Action::StartConfirming => {
                let holder = self.holder;
                self.add(Event::Done, |next| {
                    let is_registered = next.vm.is_valid;
                    if let Holder::Running(running) = &mut next.holders[holder] {
                        running.is_confirming = true;
                        running.awaits_vm = is_registered;
                    }
                });
            }
            Action::AwaitConfirmations => {
                let is_early = self.defect == Defect::PromotionBeforeConfirmations
                    && matches!(self.world.record.phase, RecordPhase::Moving(_));
                if !self.running.awaits_vm || is_early {
                    self.add(Event::Confirmed(true), |_| {});
                }
            }
            Action::Collect => self.reports(None, true, false),
            Action::Pause { term } => self.reports(Some(term), true, false),
            Action::PauseAll { term } => self.reports(Some(term), false, true),
            Action::Write {
                primary,
                term,
                phase,
                instances,
                promotion_calls,
            } => self.write(Record {
                primary: index(&primary),
                term,
                phase: self.phase(&phase),
                instances,
                revision: self.running.revision,
                calls: called(&promotion_calls),
            }),
            Action::RecordCall { instance } => self.write(Record {
                calls: self.world.record.calls | 1 << index(&instance),
                revision: self.running.revision,
                ..self.world.record
            }),
            Action::Finish { former, term, .. } => self.finish(index(&former), term),
            action => self.promotion(action),
        }
    }

    /// Adds the outcomes of an action of the promotion.
    fn promotion(&mut self, action: Action) {
        match action {
            Action::Demote { instance, term } => self.demote(index(&instance), term),
            Action::CatchUp { instance, position } => self.catch_up(index(&instance), position),
            Action::AwaitDelivery { instance, position } => {
                self.deliver(index(&instance), position);
            }
            Action::CallPromotion { instance } => self.call(index(&instance)),
            Action::AwaitLeadership {
                instance,
                first_term,
            } => {
                let member = &self.world.members[index(&instance)];
                let counts =
                    member.term >= first_term || self.defect == Defect::FormerLeadershipCounts;
                if self.world.is_reachable(index(&instance)) && member.leads && counts {
                    let term = member.term;
                    self.add(Event::Led(Some(term)), |_| {});
                }
                // An accepted call takes effect within the time limit.
                let is_pending = !self.world.promoting.is_empty();
                if !is_pending || self.defect == Defect::LateEffect {
                    self.add(Event::Led(None), |_| {});
                }
            }
            action => unreachable!("{action:?} has no outcome"),
        }
    }

    /// Adds the reports of each set of instances. Pauses of unheard ones may have been carried out.
    fn reports(&mut self, pause_term: Option<u64>, with_former: bool, is_last: bool) {
        let is_refreshed = is_last && self.defect != Defect::JoinedNotCounted;
        let knows_joining = if is_refreshed {
            self.world.members[JOINING].is_announced
        } else {
            self.running.knows_joining && !(is_last && self.defect == Defect::JoinedNotCounted)
        };
        let former = self.running.former;
        let asked: Vec<usize> = (0..3)
            .filter(|member| *member != JOINING || knows_joining)
            .filter(|member| with_former || *member != former)
            .collect();
        // Bits of the instances that aren't heard, and of those among them that aren't paused either.
        for unheard in 0..1_u8 << asked.len() {
            for unpaused in 0..=unheard {
                if unpaused & !unheard == 0 && unheard.count_ones() <= u32::from(self.world.faults)
                {
                    self.report_set(
                        &asked,
                        unheard,
                        unpaused,
                        pause_term,
                        knows_joining,
                        is_last,
                    );
                }
            }
        }
        if is_last && self.world.faults > 0 {
            self.add(Event::AllPaused(None), |next| next.faults -= 1);
        }
    }

    fn report_set(
        &mut self,
        asked: &[usize],
        unheard: u8,
        unpaused: u8,
        pause_term: Option<u64>,
        knows_joining: bool,
        is_last: bool,
    ) {
        let mut next = self.world.clone();
        let mut reports: Vec<MemberReport> = Vec::new();
        let former = self.running.former;
        for (bit, member) in asked.iter().copied().enumerate() {
            let (is_heard, is_paused) = (unheard & 1 << bit == 0, unpaused & 1 << bit == 0);
            let is_alive = next.is_reachable(member);
            if !is_alive && !is_heard || member == former && unpaused & 1 << bit != 0 {
                return;
            }
            let may_pause = member != former && !next.members[member].leads && self.holds();
            if let Some(term) = pause_term.filter(|_| is_alive && is_paused && may_pause) {
                let paused = &mut next.members[member].paused;
                *paused = (*paused).max(Some(term));
            }
            // A command of a holder whose lease has ended isn't sent.
            let is_sent = pause_term.is_none() || self.holds();
            if is_alive && is_heard && is_sent {
                let mut report = next.report(member);
                report.has_lost_log &= self.defect != Defect::LostReplicaCounts;
                report.may_lead |= self.defect == Defect::LeavingPrimaryKept
                    && self.running.reason == Reason::Unfinished;
                reports.push(report);
            }
        }
        next.faults -= unheard.count_ones() as u8;
        let heard_replica = reports
            .iter()
            .any(|report| index(&report.instance) == REPLICA);
        if let Holder::Running(running) = &mut next.holders[self.holder] {
            running.group_size = running
                .group_size
                .max(2 + usize::from(running.knows_joining));
            running.knows_joining = knows_joining;
            running.heard_replica = heard_replica;
        }
        let event = if is_last {
            Event::AllPaused(Some(reports))
        } else {
            Event::Reported(reports)
        };
        self.add(event, |world| *world = next);
    }

    const fn phase(&self, phase: &Phase) -> RecordPhase {
        match phase {
            Phase::Steady => RecordPhase::Steady,
            Phase::Moving { .. } => RecordPhase::Moving(self.holder),
            Phase::Settling { .. } => RecordPhase::Settling(self.holder),
        }
    }

    /// Adds that a record is written if the store still has the revision that it names.
    fn write(&mut self, record: Record) {
        let holder = self.holder;
        if self.world.record.revision != record.revision {
            self.add(Event::Written(false), |_| {});
            return;
        }
        let keeps_leaving = record.phase == RecordPhase::Steady
            && record.primary == FORMER
            && self.world.is_leaving
            && self.world.members[FORMER].term == 1
            && self.running.heard_replica;
        let is_moving = matches!(record.phase, RecordPhase::Moving(_));
        let mut members = self.world.members.iter();
        let is_replaced = members.any(|member| member.leads && member.term > record.term);
        let write = |next: &mut World| {
            next.record = Record {
                revision: record.revision + 1,
                ..record
            };
            if keeps_leaving {
                next.violation = Some(Violation::LeavingPrimaryKept);
            }
            if is_replaced && !is_moving {
                next.violation = Some(Violation::FormerPrimaryRecorded);
            }
            if let Holder::Running(running) = &mut next.holders[holder] {
                running.revision = next.record.revision;
            }
        };
        self.add(Event::Written(true), write);
        if self.world.faults > 0 {
            self.add(Event::Written(false), |next| {
                write(next);
                next.faults -= 1;
            });
        }
    }

    fn finish(&mut self, former: usize, term: u64) {
        let primary = self.world.record.primary;
        let is_demoted = self.world.members[former].term < term && self.world.is_reachable(former);
        let holds = self.holds();
        self.add(Event::Done, |_| {});
        self.add(Event::Done, |next| {
            for (index, member) in next.members.iter_mut().enumerate() {
                if index == primary {
                    continue;
                }
                if index == former && is_demoted && member.is_alive {
                    (member.leads, member.term) = (false, term);
                } else if index != former && holds {
                    member.paused = None;
                }
            }
        });
    }

    fn demote(&mut self, instance: usize, term: u64) {
        let member = &self.world.members[instance];
        let is_reachable = self.world.is_reachable(instance);
        let is_carried_out = self.holds() && is_reachable && member.term < term;
        if is_carried_out {
            let mut demoted = self.world.clone();
            (
                demoted.members[instance].leads,
                demoted.members[instance].term,
            ) = (false, term);
            let report = demoted.members[instance].report();
            let lost = demoted.clone();
            self.add(Event::Demoted(Some(report)), |next| *next = demoted);
            if self.world.faults > 0 {
                self.add(Event::Demoted(None), |next| {
                    *next = lost;
                    next.faults -= 1;
                });
            }
        }
        if !is_carried_out || self.world.faults > 0 {
            self.add(Event::Demoted(None), |next| {
                next.faults = next.faults.saturating_sub(u8::from(is_carried_out));
            });
        }
    }

    fn catch_up(&mut self, instance: usize, position: Position) {
        let mut resumed = self.world.clone();
        if self.holds() && resumed.is_reachable(instance) {
            resumed.members[instance].paused = None;
        }
        if let Some(from) = resumed.leader()
            && from != instance
            && resumed.members[from].is_alive
            && resumed.is_reachable(instance)
            && resumed.members[instance].paused.is_none()
        {
            let mut received = resumed.clone();
            received.members[instance]
                .log
                .clone_from(&resumed.members[from].log);
            received.members[instance].term = resumed.members[from].term;
            if received.members[instance].received() >= position {
                self.add(Event::Reached(true), |next| *next = received);
            }
        }
        self.add(Event::Reached(false), |next| *next = resumed);
    }

    /// Adds that what a demoted primary has sent arrives, or doesn't.
    fn deliver(&mut self, instance: usize, position: Position) {
        let member = &self.world.members[instance];
        if !self.world.is_reachable(instance) {
        } else if member.received() >= position {
            self.add(Event::Reached(true), |_| {});
        } else if member.paused.is_none() {
            let log = self.world.members[self.running.former].log.clone();
            self.add(Event::Reached(true), |next| {
                next.members[instance].log = log;
            });
        }
        self.add(Event::Reached(false), |_| {});
    }

    fn call(&mut self, instance: usize) {
        let holder = self.holder;
        let is_sent = self.holds() || self.defect == Defect::SuspendedHolderPromotes;
        if is_sent && self.world.members[instance].is_alive {
            let call = |next: &mut World| {
                if !next.leases[holder] {
                    next.violation = Some(Violation::TwoPrimaries);
                }
                next.promoting.push(instance);
            };
            self.add(Event::Called(PromotionOutcome::Accepted), call);
            if self.world.faults > 0 {
                self.add(Event::Called(PromotionOutcome::NoAnswer), |next| {
                    call(next);
                    next.faults -= 1;
                });
                self.add(Event::Called(PromotionOutcome::NoAnswer), |next| {
                    next.faults -= 1;
                });
            }
        }
        if !self.holds() || !self.world.members[instance].is_alive {
            self.add(Event::Called(PromotionOutcome::NotDone), |_| {});
        }
    }
}
