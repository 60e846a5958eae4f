//! Explores every state of terms, answer gate and promotion for one group.
//!
//! Three instances, two VMs that both believe they are the home (as when one was paused past its
//! lease), two callers with one save each, of which either may be retried. Messages may be lost
//! or late, instances restart, and either VM promotes without any cause. What decides is the real
//! code: [`currantlb::control::gate::AnswerGate`] and
//! [`currantlb::control::term::promotion::choose_candidate`].

use std::cell::Cell;

use pathfinding::prelude::bfs;

#[path = "model/decisions.rs"]
mod decisions;
#[path = "model/state.rs"]
mod state;
#[path = "model/steps.rs"]
mod steps;

use decisions::{Decisions, Defect};
use state::{Bounds, State};
use steps::successors;

struct Exploration {
    states: usize,
    violation: Option<Vec<State>>,
}

fn explore(start: State, defect: Option<Defect>) -> Exploration {
    let decisions = Decisions::new(defect);
    let states = Cell::new(0);
    let violation = bfs(
        &start,
        |state| {
            successors(state, &decisions)
                .into_iter()
                .map(|(_, next)| next)
        },
        |state| {
            states.set(states.get() + 1);
            state.violation().is_some()
        },
    );
    Exploration {
        states: states.get(),
        violation,
    }
}

/// Prints the steps; each state is shown as the mirror image that stands for it, so that
/// instances 1 and 2 may change places between two steps.
fn print_path(path: &[State], defect: Option<Defect>) {
    let decisions = Decisions::new(defect);
    for pair in path.windows(2) {
        let step = successors(&pair[0], &decisions)
            .into_iter()
            .find(|(_, next)| *next == pair[1]);
        println!("  {}", step.expect("the path consists of steps").0);
    }
    let last = path.last().and_then(State::violation);
    println!("  => {}", last.expect("the path ends in a violation"));
}

#[test]
fn every_state_is_safe() {
    struct Case {
        bounds: Bounds,
        least_states: usize,
    }
    let cases = [
        Case {
            bounds: Bounds {
                callers: 2,
                faults: 0,
                retries: 0,
            },
            least_states: 3_000_000,
        },
        Case {
            bounds: Bounds {
                callers: 1,
                faults: 1,
                retries: 0,
            },
            least_states: 1_000_000,
        },
        Case {
            bounds: Bounds {
                callers: 1,
                faults: 0,
                retries: 1,
            },
            least_states: 500_000,
        },
    ];
    for case in cases {
        let exploration = explore(State::initial(case.bounds), None);
        println!("{:?}: {} states", case.bounds, exploration.states);
        if let Some(path) = exploration.violation {
            print_path(&path, None);
            panic!("a state is unsafe");
        }
        assert!(
            exploration.states >= case.least_states,
            "{}",
            exploration.states
        );
    }
}

#[test]
fn seeded_defects_are_caught() {
    struct Case {
        defect: Defect,
        start: State,
        steps: usize,
    }
    let one_caller = State::initial(Bounds {
        callers: 1,
        faults: 0,
        retries: 0,
    });
    // The defect shows only once a former primary's log is as long as its successor's.
    let unheard_saves = State::with_unheard_saves(Bounds {
        callers: 2,
        faults: 0,
        retries: 1,
    });
    let cases = [
        Case {
            defect: Defect::NoGate,
            start: one_caller,
            steps: 5,
        },
        Case {
            defect: Defect::HearOne,
            start: one_caller,
            steps: 6,
        },
        Case {
            defect: Defect::IgnoreTerms,
            start: unheard_saves,
            steps: 15,
        },
    ];
    for case in cases {
        let sound = explore(case.start, None);
        assert!(sound.violation.is_none(), "{:?}", case.defect);
        let exploration = explore(case.start, Some(case.defect));
        let path = exploration
            .violation
            .unwrap_or_else(|| panic!("{:?} is not caught", case.defect));
        println!("{:?}, after {} states:", case.defect, exploration.states);
        print_path(&path, Some(case.defect));
        assert_eq!(path.len() - 1, case.steps, "{:?}", case.defect);
    }
}
