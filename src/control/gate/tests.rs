use std::time::Duration;

use proptest::prelude::*;

use super::*;

const DEADLINE: Timestamp = Timestamp::from_millis(1_000);

fn term(number: u64) -> Term {
    Term {
        number,
        promoter: "vm-1".into(),
    }
}

fn at(number: u64, position: u64) -> LogPosition {
    LogPosition {
        term: term(number),
        position,
    }
}

fn save(number: u64, position: u64) -> Save {
    Save {
        position: at(number, position),
        started_under: term(number),
        primary: "a".into(),
    }
}

fn report(adopted: u64, last: LogPosition) -> InstanceReport {
    InstanceReport {
        adopted: term(adopted),
        is_primary: false,
        last,
    }
}

fn gate() -> AnswerGate {
    AnswerGate::new(["a", "b", "c"].map(InstanceName::from))
}

#[test]
fn a_report_releases_or_refuses_a_waiting_response() {
    struct Case {
        name: &'static str,
        reports: Vec<(&'static str, InstanceReport)>,
        verdict: Option<Result<(), RefusalReason>>,
    }
    let cases = [
        Case {
            name: "the primary alone is not enough",
            reports: vec![("a", report(7, at(7, 20)))],
            verdict: None,
        },
        Case {
            name: "a second instance that has the save",
            reports: vec![("b", report(7, at(7, 10)))],
            verdict: Some(Ok(())),
        },
        Case {
            name: "a second instance that is one entry short",
            reports: vec![("b", report(7, at(7, 9)))],
            verdict: None,
        },
        Case {
            name: "the same position under an older term",
            reports: vec![("b", report(7, at(6, 99)))],
            verdict: None,
        },
        Case {
            name: "an instance that has adopted a newer term",
            reports: vec![("b", report(8, at(7, 10)))],
            verdict: Some(Err(RefusalReason::TermChanged)),
        },
        Case {
            name: "an instance outside the group",
            reports: vec![("z", report(7, at(7, 10)))],
            verdict: None,
        },
        Case {
            name: "a delayed report of an older term after a newer one",
            reports: vec![("b", report(8, at(8, 1))), ("c", report(7, at(7, 10)))],
            verdict: Some(Err(RefusalReason::TermChanged)),
        },
    ];
    for case in cases {
        let mut gate = gate();
        let decision = gate.hold(&save(7, 10), DEADLINE, Timestamp::ZERO);
        let GateDecision::Waiting(waiter) = decision else {
            panic!("{}: {decision:?}", case.name);
        };
        let mut verdict = None;
        for (instance, report) in case.reports {
            for release in gate.report(&instance.into(), &report) {
                assert_eq!(release.waiter, waiter, "{}", case.name);
                assert!(verdict.replace(release.verdict).is_none(), "{}", case.name);
            }
        }
        assert_eq!(verdict, case.verdict, "{}", case.name);
        assert_eq!(gate.is_empty(), case.verdict.is_some(), "{}", case.name);
    }
}

#[test]
fn one_report_releases_a_batch_in_order() {
    let mut gate = gate();
    for position in 1..=5_000 {
        let decision = gate.hold(&save(7, position), DEADLINE, Timestamp::ZERO);
        assert!(matches!(decision, GateDecision::Waiting(_)));
    }
    let released = gate.report(&"c".into(), &report(7, at(7, 4_000)));
    assert_eq!(released.len(), 4_000);
    assert!(released.iter().all(|release| release.verdict.is_ok()));
    assert_eq!(gate.len(), 1_000);
    let passed = gate.hold(&save(7, 4_000), DEADLINE, Timestamp::ZERO);
    assert_eq!(passed, GateDecision::Passed);
}

#[test]
fn a_waiting_response_is_refused_at_its_deadline() {
    let mut gate = gate();
    let decision = gate.hold(&save(7, 10), DEADLINE, Timestamp::ZERO);
    assert!(matches!(decision, GateDecision::Waiting(_)));
    assert_eq!(gate.next_deadline(), Some(DEADLINE));
    assert!(gate.expire(Timestamp::from_millis(999)).is_empty());
    let released = gate.expire(DEADLINE);
    assert_eq!(released[0].verdict, Err(RefusalReason::GateTimeout));
    assert_eq!(gate.next_deadline(), None);
    let late = gate.hold(&save(7, 11), DEADLINE, DEADLINE + Duration::from_millis(1));
    assert_eq!(late, GateDecision::Refused(RefusalReason::GateTimeout));
}

#[test]
fn a_save_of_an_older_term_is_refused() {
    let mut gate = gate();
    gate.report(&"a".into(), &report(8, at(7, 10)));
    gate.report(&"b".into(), &report(8, at(7, 10)));
    let replaced = gate.hold(&save(7, 10), DEADLINE, Timestamp::ZERO);
    assert_eq!(replaced, GateDecision::Refused(RefusalReason::TermChanged));
    // An entry of an older term may be lost although enough instances hold it. A retry that finds
    // the entry of its first attempt must therefore not be acknowledged by it.
    let found = Save {
        position: at(7, 10),
        started_under: term(8),
        primary: "a".into(),
    };
    let decision = gate.hold(&found, DEADLINE, Timestamp::ZERO);
    assert_eq!(decision, GateDecision::Refused(RefusalReason::TermChanged));
}

#[test]
fn a_group_of_one_needs_no_second_report() {
    let mut gate = AnswerGate::new([InstanceName::from("a")]);
    let decision = gate.hold(&save(7, 10), DEADLINE, Timestamp::ZERO);
    assert_eq!(decision, GateDecision::Passed);
}

#[derive(Debug, Clone)]
enum Step {
    Hold(u64, u64),
    Report(usize, u64, u64, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..4_u64, 1..6_u64).prop_map(|(number, position)| Step::Hold(number, position)),
        (0..3_usize, 1..4_u64, 0..3_u64, 1..6_u64)
            .prop_map(|(i, adopted, older, p)| Step::Report(i, adopted, older, p)),
    ]
}

proptest! {
    /// Under any sequence of saves and reports, a response passes only if two instances of the
    /// group are known to hold the save under its own term.
    #[test]
    fn passes_only_saves_that_two_instances_hold(steps in prop::collection::vec(step(), 1..40)) {
        let names = ["a", "b", "c"].map(InstanceName::from);
        let mut gate = gate();
        let mut known: Vec<(usize, Term, LogPosition)> = Vec::new();
        let mut waiting = Vec::new();
        for step in steps {
            let mut passed = Vec::new();
            match step {
                Step::Hold(number, position) => {
                    let save = save(number, position);
                    known.push((0, term(number), save.position.clone()));
                    match gate.hold(&save, DEADLINE, Timestamp::ZERO) {
                        GateDecision::Passed => passed.push(save.position),
                        GateDecision::Waiting(waiter) => waiting.push((waiter, save.position)),
                        GateDecision::Refused(_) => {}
                    }
                }
                Step::Report(i, adopted, older, position) => {
                    let last = at(adopted.saturating_sub(older).max(1), position);
                    known.push((i, term(adopted), last.clone()));
                    for release in gate.report(&names[i], &report(adopted, last)) {
                        let index = waiting.iter().position(|(w, _)| *w == release.waiter).unwrap();
                        let (_, at) = waiting.remove(index);
                        if release.verdict.is_ok() {
                            passed.push(at);
                        }
                    }
                }
            }
            for at in passed {
                let holds = |i: usize| known.iter().any(|(instance, adopted, last)| {
                    *instance == i && *adopted == at.term && last.term == at.term && *last >= at
                });
                prop_assert!((0..3).filter(|i| holds(*i)).count() >= 2, "{at}");
            }
            prop_assert_eq!(gate.len(), waiting.len());
        }
    }
}
