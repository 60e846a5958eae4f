//! Exhaustive model of terms, the answer gate and promotion in one group.
//!
//! The model has three instances, two VMs that both act as the home (which happens when one was
//! paused beyond the end of its lease), and two callers with one save each, which may be retried.
//! Messages may be lost or late, instances may restart, and either VM may promote at any time. The
//! decisions are made by the production code: [`currantlb::control::gate::AnswerGate`] and
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

/// Prints the steps of a path. States are in canonical form, so the numbers of instances 1 and 2
/// may be exchanged between two steps.
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
fn no_reachable_state_violates_a_guarantee() {
    struct Case {
        bounds: Bounds,
        min_states: usize,
    }
    let cases = [
        Case {
            bounds: Bounds {
                callers: 2,
                faults: 0,
                retries: 0,
            },
            min_states: 3_000_000,
        },
        Case {
            bounds: Bounds {
                callers: 1,
                faults: 1,
                retries: 0,
            },
            min_states: 1_000_000,
        },
        Case {
            bounds: Bounds {
                callers: 1,
                faults: 0,
                retries: 1,
            },
            min_states: 500_000,
        },
    ];
    for case in cases {
        let exploration = explore(State::initial(case.bounds), None);
        println!("{:?}: {} states", case.bounds, exploration.states);
        if let Some(path) = exploration.violation {
            print_path(&path, None);
            panic!("a reachable state violates a guarantee");
        }
        assert!(
            exploration.states >= case.min_states,
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
    // Ignoring the terms has an effect only when the log of a previous primary is as long as that
    // of its successor.
    let unreplicated_saves = State::with_unreplicated_saves(Bounds {
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
            defect: Defect::NoMajority,
            start: one_caller,
            steps: 6,
        },
        Case {
            defect: Defect::IgnoreTerms,
            start: unreplicated_saves,
            steps: 15,
        },
    ];
    for case in cases {
        let without_defect = explore(case.start, None);
        assert!(without_defect.violation.is_none(), "{:?}", case.defect);
        let exploration = explore(case.start, Some(case.defect));
        let path = exploration
            .violation
            .unwrap_or_else(|| panic!("{:?} is not caught", case.defect));
        println!("{:?}, after {} states:", case.defect, exploration.states);
        print_path(&path, Some(case.defect));
        assert_eq!(path.len() - 1, case.steps, "{:?}", case.defect);
    }
}
