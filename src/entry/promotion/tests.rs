use super::{Decision, Heard, decide};
use crate::entry::position::Position;
use crate::entry::statement::InstanceReport;
use crate::name::InstanceName;

fn heard(instance: &str, number: u64) -> Heard {
    Heard {
        instance: InstanceName::from(instance),
        report: InstanceReport {
            is_primary: instance == "p",
            term: 3,
            received: Position { term: 3, number },
        },
        may_lead: instance != "p",
    }
}

fn deposed(instance: &str, number: u64) -> Heard {
    let mut deposed = heard(instance, number);
    deposed.report.is_primary = false;
    deposed.may_lead = true;
    deposed
}

fn leaving(instance: &str, number: u64) -> Heard {
    Heard {
        may_lead: false,
        ..heard(instance, number)
    }
}

fn leading(instance: &str, number: u64) -> Heard {
    let mut leading = heard(instance, number);
    leading.report.is_primary = true;
    leading.report.term = 4;
    leading
}

struct Case {
    name: &'static str,
    heard: Vec<Heard>,
    expected: Decision,
}

fn cases() -> [Case; 8] {
    let [a, b] = ["a", "b"].map(|name| move || InstanceName::from(name));
    [
        Case {
            name: "the furthest of all replicas",
            heard: vec![heard("a", 20), heard("b", 30)],
            expected: Decision::Promote(b()),
        },
        Case {
            name: "a replica that wasn't heard may hold the last save",
            heard: vec![heard("a", 20)],
            expected: Decision::Unheard,
        },
        Case {
            name: "the old primary knows every save",
            heard: vec![heard("p", 30), heard("a", 20)],
            expected: Decision::CatchUp(
                a(),
                Position {
                    term: 3,
                    number: 30,
                },
            ),
        },
        Case {
            name: "a replica as far as the old primary",
            heard: vec![heard("p", 30), heard("a", 30)],
            expected: Decision::Promote(a()),
        },
        Case {
            name: "the furthest is leaving",
            heard: vec![heard("a", 20), leaving("b", 30)],
            expected: Decision::CatchUp(
                a(),
                Position {
                    term: 3,
                    number: 30,
                },
            ),
        },
        Case {
            name: "a former holder's call took effect",
            heard: vec![heard("a", 20), leading("b", 31)],
            expected: Decision::AlreadyLeads(b()),
        },
        Case {
            name: "only the former primary, deposed, has the last save",
            heard: vec![deposed("p", 30), heard("a", 20)],
            expected: Decision::Promote(InstanceName::from("p")),
        },
        Case {
            name: "nobody was heard",
            heard: vec![],
            expected: Decision::Unheard,
        },
    ]
}

#[test]
fn no_acknowledged_save_is_left_behind() {
    for case in cases() {
        let decision = decide(&InstanceName::from("p"), 3, &case.heard, 3, false);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

#[test]
fn an_unfinished_replacement_keeps_a_primary_that_leads() {
    let reports = [heard("p", 30), heard("a", 30)];
    let primary = InstanceName::from("p");
    let kept = decide(&primary, 3, &reports, 3, true);
    assert_eq!(kept, Decision::AlreadyLeads(primary.clone()));
    let replaced = decide(&primary, 4, &reports, 3, true);
    assert_eq!(replaced, Decision::Promote(InstanceName::from("a")));
}
