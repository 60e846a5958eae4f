//! The real decisions, remembered by their arguments, and the defects that may be seeded.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};

use currantlb::control::event::InstanceReport;
use currantlb::control::gate::{AnswerGate, GateDecision, Save};
use currantlb::control::term::promotion::choose_candidate;
use currantlb::name::{InstanceName, VmName};
use currantlb::position::{LogPosition, Term};
use currantlb::time::Timestamp;

use super::state::{FIRST_TERM, INSTANCES, Instance, Last, TermId};

/// Fault put into the decisions on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Answers are sent as soon as the primary has committed.
    NoGate,
    /// A promotion hears one instance only.
    HearOne,
    /// Positions are compared without their terms.
    IgnoreTerms,
}

/// What the gate says to a waiting answer after one report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Pass,
    Wait,
    Refuse,
}

type Heard = [Option<Last>; INSTANCES];
type GateQuestion = (Last, TermId, u8, usize, TermId, Last);

pub struct Decisions {
    pub defect: Option<Defect>,
    names: [InstanceName; INSTANCES],
    vms: [VmName; 2],
    candidates: RefCell<HashMap<Heard, Vec<usize>>>,
    verdicts: RefCell<HashMap<GateQuestion, Verdict>>,
}

impl Decisions {
    pub fn new(defect: Option<Defect>) -> Self {
        Self {
            defect,
            names: ["a", "b", "c"].map(InstanceName::from),
            vms: ["vm-0", "vm-1"].map(VmName::from),
            candidates: RefCell::default(),
            verdicts: RefCell::default(),
        }
    }

    /// Returns the instance that is chosen, and those that a tie might have put in its place.
    pub fn candidates(&self, heard: &Heard) -> Vec<usize> {
        if let Some(known) = self.candidates.borrow().get(heard) {
            return known.clone();
        }
        let chosen = self.choose(heard).map(|chosen| heard[chosen]);
        let ties = (0..INSTANCES).filter(|i| Some(heard[*i]) == chosen);
        let ties: Vec<_> = ties.collect();
        self.candidates.borrow_mut().insert(*heard, ties.clone());
        ties
    }

    fn choose(&self, heard: &Heard) -> Option<usize> {
        let instances = match self.defect {
            Some(Defect::HearOne) => 1,
            _ => INSTANCES,
        };
        let comparable = |last: Last| match self.defect {
            Some(Defect::IgnoreTerms) => self.position(Last {
                term: FIRST_TERM,
                ..last
            }),
            _ => self.position(last),
        };
        let heard: BTreeMap<_, _> = self
            .names
            .iter()
            .zip(heard)
            .filter_map(|(name, last)| Some((name.clone(), comparable((*last)?))))
            .collect();
        let chosen = choose_candidate(&heard, instances, |_| true, false)?;
        self.names.iter().position(|name| *name == chosen)
    }

    /// Lets the gate decide on a save after `reporter` has reported.
    pub fn gate(
        &self,
        at: Last,
        under: TermId,
        primary: u8,
        reporter: usize,
        state: Instance,
    ) -> Verdict {
        if self.defect == Some(Defect::NoGate) {
            return Verdict::Pass;
        }
        let question = (
            at,
            under,
            primary,
            reporter,
            state.adopted,
            state.log.last(),
        );
        if let Some(known) = self.verdicts.borrow().get(&question) {
            return *known;
        }
        let verdict = self.ask_gate(&question);
        self.verdicts.borrow_mut().insert(question, verdict);
        verdict
    }

    fn ask_gate(&self, question: &GateQuestion) -> Verdict {
        let (at, under, primary, reporter, adopted, last) = *question;
        let mut gate = AnswerGate::new(self.names.clone());
        let save = Save {
            at: self.position(at),
            started_under: self.term(under),
            primary: self.names[usize::from(primary)].clone(),
        };
        let deadline = Timestamp::from_millis(1);
        match gate.hold(&save, deadline, Timestamp::ZERO) {
            GateDecision::Passed => return Verdict::Pass,
            GateDecision::Refused(_) => return Verdict::Refuse,
            GateDecision::Waiting(_) => {}
        }
        let report = InstanceReport {
            adopted: self.term(adopted),
            is_primary: false,
            last: self.position(last),
        };
        let released = gate.report(&self.names[reporter], &report);
        match released.first().map(|release| release.verdict) {
            Some(Ok(())) => Verdict::Pass,
            Some(Err(_)) => Verdict::Refuse,
            None => Verdict::Wait,
        }
    }

    fn term(&self, id: TermId) -> Term {
        Term {
            number: u64::from(id / 2),
            promoter: self.vms[usize::from(id % 2)].clone(),
        }
    }

    fn position(&self, last: Last) -> LogPosition {
        LogPosition {
            term: self.term(last.term),
            position: u64::from(last.len),
        }
    }
}
