//! Calls the production decision code, caches its results by their arguments, and injects defects.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};

use currantlb::control::event::InstanceReport;
use currantlb::control::gate::{AnswerGate, GateDecision, Save};
use currantlb::control::term::promotion::choose_candidate;
use currantlb::name::{InstanceName, VmName};
use currantlb::position::{LogPosition, Term};
use currantlb::time::Timestamp;

use super::state::{FIRST_TERM, INSTANCES, Instance, Last, TermId};

/// Defect that a test injects into the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Responses are sent as soon as the primary has committed, without the answer gate.
    NoGate,
    /// A promotion needs the response of one instance instead of a majority.
    NoMajority,
    /// Positions are compared without their terms.
    IgnoreTerms,
}

/// Decision of the answer gate on a waiting response, after one report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Pass,
    Wait,
    Refuse,
}

/// Ends of the logs that the instances sent in response to a promotion.
type Responses = [Option<Last>; INSTANCES];
/// Position and term of the save, its primary, and the reporting instance with its adopted term
/// and end of log.
type GateInput = (Last, TermId, u8, usize, TermId, Last);

pub struct Decisions {
    pub defect: Option<Defect>,
    names: [InstanceName; INSTANCES],
    vms: [VmName; 2],
    candidates: RefCell<HashMap<Responses, Vec<usize>>>,
    verdicts: RefCell<HashMap<GateInput, Verdict>>,
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

    /// Returns the instance that is chosen for promotion and those that tie with it.
    pub fn candidates(&self, responses: &Responses) -> Vec<usize> {
        if let Some(cached) = self.candidates.borrow().get(responses) {
            return cached.clone();
        }
        let chosen = self.choose(responses).map(|chosen| responses[chosen]);
        let ties = (0..INSTANCES).filter(|i| Some(responses[*i]) == chosen);
        let ties: Vec<_> = ties.collect();
        self.candidates
            .borrow_mut()
            .insert(*responses, ties.clone());
        ties
    }

    fn choose(&self, responses: &Responses) -> Option<usize> {
        let instances = match self.defect {
            Some(Defect::NoMajority) => 1,
            _ => INSTANCES,
        };
        let comparable = |last: Last| match self.defect {
            Some(Defect::IgnoreTerms) => self.position(Last {
                term: FIRST_TERM,
                ..last
            }),
            _ => self.position(last),
        };
        let responses: BTreeMap<_, _> = self
            .names
            .iter()
            .zip(responses)
            .filter_map(|(name, last)| Some((name.clone(), comparable((*last)?))))
            .collect();
        let chosen = choose_candidate(&responses, instances, |_| true, false)?;
        self.names.iter().position(|name| *name == chosen)
    }

    /// Returns the decision of the answer gate on a save after a report from instance `reporter`.
    pub fn gate(
        &self,
        at: Last,
        started_under: TermId,
        primary: u8,
        reporter: usize,
        state: Instance,
    ) -> Verdict {
        if self.defect == Some(Defect::NoGate) {
            return Verdict::Pass;
        }
        let input = (
            at,
            started_under,
            primary,
            reporter,
            state.adopted,
            state.log.last(),
        );
        if let Some(cached) = self.verdicts.borrow().get(&input) {
            return *cached;
        }
        let verdict = self.run_gate(&input);
        self.verdicts.borrow_mut().insert(input, verdict);
        verdict
    }

    fn run_gate(&self, input: &GateInput) -> Verdict {
        let (at, started_under, primary, reporter, adopted, last) = *input;
        let mut gate = AnswerGate::new(self.names.clone());
        let save = Save {
            position: self.position(at),
            started_under: self.term(started_under),
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
