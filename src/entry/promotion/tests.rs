use super::{Decision, MemberReport, decide};
use crate::entry::position::Position;
use crate::entry::statement::InstanceReport;
use crate::name::InstanceName;

fn member_report(instance: &str, number: u64) -> MemberReport {
    MemberReport {
        instance: InstanceName::from(instance),
        report: InstanceReport {
            is_primary: instance == "p",
            term: 3,
            received: Position { term: 3, number },
        },
        may_lead: instance != "p",
    }
}

fn deposed(instance: &str, number: u64) -> MemberReport {
    let mut deposed = member_report(instance, number);
    deposed.report.is_primary = false;
    deposed.may_lead = true;
    deposed
}

fn draining(instance: &str, number: u64) -> MemberReport {
    MemberReport {
        may_lead: false,
        ..member_report(instance, number)
    }
}

fn leading(instance: &str, number: u64) -> MemberReport {
    let mut leading = member_report(instance, number);
    leading.report.is_primary = true;
    leading.report.term = 4;
    leading
}

struct Case {
    name: &'static str,
    reports: Vec<MemberReport>,
    expected: Decision,
}

fn cases() -> [Case; 8] {
    let [a, b] = ["a", "b"].map(|name| move || InstanceName::from(name));
    [
        Case {
            name: "the replica with the latest position is promoted",
            reports: vec![member_report("a", 20), member_report("b", 30)],
            expected: Decision::Promote(b()),
        },
        Case {
            name: "a replica that didn't respond may hold the last save",
            reports: vec![member_report("a", 20)],
            expected: Decision::Unheard,
        },
        Case {
            name: "a replica behind the former primary must catch up",
            reports: vec![member_report("p", 30), member_report("a", 20)],
            expected: Decision::CatchUp(
                a(),
                Position {
                    term: 3,
                    number: 30,
                },
            ),
        },
        Case {
            name: "a replica at the former primary's position is promoted",
            reports: vec![member_report("p", 30), member_report("a", 30)],
            expected: Decision::Promote(a()),
        },
        Case {
            name: "a draining replica has the latest position",
            reports: vec![member_report("a", 20), draining("b", 30)],
            expected: Decision::CatchUp(
                a(),
                Position {
                    term: 3,
                    number: 30,
                },
            ),
        },
        Case {
            name: "the promotion call of a former holder took effect",
            reports: vec![member_report("a", 20), leading("b", 31)],
            expected: Decision::AlreadyLeads(b()),
        },
        Case {
            name: "only the former primary, deposed, has the last save",
            reports: vec![deposed("p", 30), member_report("a", 20)],
            expected: Decision::Promote(InstanceName::from("p")),
        },
        Case {
            name: "no instance responded",
            reports: vec![],
            expected: Decision::Unheard,
        },
    ]
}

#[test]
fn decide_never_promotes_an_instance_that_lacks_an_acknowledged_save() {
    for case in cases() {
        let decision = decide(&InstanceName::from("p"), 3, &case.reports, 3, false);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

#[test]
fn with_keep_leader_a_primary_that_leads_the_recorded_term_stays() {
    let reports = [member_report("p", 30), member_report("a", 30)];
    let primary = InstanceName::from("p");
    let kept = decide(&primary, 3, &reports, 3, true);
    assert_eq!(kept, Decision::AlreadyLeads(primary.clone()));
    let replaced = decide(&primary, 4, &reports, 3, true);
    assert_eq!(replaced, Decision::Promote(InstanceName::from("a")));
}
