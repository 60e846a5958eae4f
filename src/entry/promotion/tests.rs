use super::{
    Decision, Knowledge, MemberReport, RecordCheck, Replaced, check_record, decide,
    furthest_without_leader,
};
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
        is_cold: false,
        has_lost_log: false,
    }
}

fn without_log(instance: &str) -> MemberReport {
    MemberReport {
        has_lost_log: true,
        ..member_report(instance, 0)
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

fn replaced(primary: &InstanceName, term: u64, knowledge: Knowledge) -> Replaced<'_> {
    Replaced {
        primary,
        term,
        instances: 3,
        knowledge,
    }
}

struct Case {
    name: &'static str,
    reports: Vec<MemberReport>,
    expected: Decision,
}

fn lost_log_cases() -> [Case; 3] {
    [
        Case {
            name: "a replica that has lost its log may have held the last save",
            reports: vec![member_report("a", 20), without_log("b")],
            expected: Decision::Unheard,
        },
        Case {
            name: "so may each of two",
            reports: vec![without_log("a"), without_log("b")],
            expected: Decision::Unheard,
        },
        Case {
            name: "the former primary has every save",
            reports: vec![
                member_report("p", 30),
                member_report("a", 30),
                without_log("b"),
            ],
            expected: Decision::Promote(InstanceName::from("a")),
        },
    ]
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
    for case in cases().into_iter().chain(lost_log_cases()) {
        let primary = InstanceName::from("p");
        let decision = decide(&replaced(&primary, 3, Knowledge::Former), &case.reports);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

/// The replacement used to go on until its time limit although the primary led all the while.
#[test]
fn a_primary_that_leads_is_kept_if_no_other_instance_may_lead() {
    let primary = InstanceName::from("p");
    let cases = [
        Case {
            name: "only the former primary responded, and it still leads",
            reports: vec![member_report("p", 30)],
            expected: Decision::AlreadyLeads(InstanceName::from("p")),
        },
        Case {
            name: "the former primary still leads, and the only other instance leaves",
            reports: vec![member_report("p", 30), draining("a", 30)],
            expected: Decision::AlreadyLeads(InstanceName::from("p")),
        },
        Case {
            name: "only the former primary responded, which was demoted and leaves",
            reports: vec![MemberReport {
                may_lead: false,
                ..deposed("p", 30)
            }],
            expected: Decision::Unheard,
        },
    ];
    for case in cases {
        let decision = decide(&replaced(&primary, 3, Knowledge::Former), &case.reports);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

/// A leaving instance that alone holds the last save used to be waited for until it was gone, and
/// the save with it.
#[test]
fn the_furthest_log_is_promoted_where_nobody_leads() {
    struct Case {
        name: &'static str,
        reports: Vec<MemberReport>,
        expected: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "the deposed primary, which leaves, accepted one more save",
            reports: vec![
                MemberReport {
                    may_lead: false,
                    ..deposed("p", 31)
                },
                member_report("a", 30),
                member_report("b", 30),
            ],
            expected: Some("p"),
        },
        Case {
            name: "the primary is gone, a leaving replica holds the last save",
            reports: vec![member_report("a", 20), draining("b", 30)],
            expected: Some("b"),
        },
        Case {
            name: "the primary still leads and sends its log",
            reports: vec![member_report("p", 30), member_report("a", 20)],
            expected: None,
        },
    ];
    for case in cases {
        let holder = furthest_without_leader(&case.reports);
        let expected = case.expected.map(InstanceName::from);
        assert_eq!(holder, expected, "{}", case.name);
    }
}

#[test]
fn of_two_replicas_with_the_latest_position_the_warm_one_is_promoted() {
    let primary = InstanceName::from("p");
    for (cold, warm) in [("a", "b"), ("b", "a")] {
        let mut reports = [member_report("a", 30), member_report("b", 30)];
        for member in &mut reports {
            member.is_cold = &*member.instance == cold;
        }
        let decision = decide(&replaced(&primary, 3, Knowledge::Former), &reports);
        assert_eq!(decision, Decision::Promote(InstanceName::from(warm)));
    }
}

#[test]
fn nothing_is_promoted_while_the_zones_of_all_instances_are_evacuated() {
    let primary = InstanceName::from("p");
    let reports = ["p", "a", "b"].map(|name| draining(name, 30));
    let decision = decide(&replaced(&primary, 3, Knowledge::Former), &reports);
    assert_eq!(decision, Decision::AlreadyLeads(primary.clone()));
    let mut demoted = reports.clone();
    demoted[0].report.is_primary = false;
    let decision = decide(&replaced(&primary, 3, Knowledge::Former), &demoted);
    assert_eq!(decision, Decision::Unheard);
    let of_former_term = decide(&replaced(&primary, 4, Knowledge::Former), &reports);
    assert_eq!(of_former_term, Decision::Unheard);
}

#[test]
fn an_unfinished_replacement_keeps_a_primary_that_leads_the_recorded_term() {
    let primary = InstanceName::from("p");
    let mut serving = member_report("p", 30);
    serving.may_lead = true;
    let reports = [serving, member_report("a", 30)];
    let kept = decide(&replaced(&primary, 3, Knowledge::Unfinished), &reports);
    assert_eq!(kept, Decision::AlreadyLeads(primary.clone()));
    let promoted = decide(&replaced(&primary, 4, Knowledge::Unfinished), &reports);
    assert_eq!(promoted, Decision::Promote(InstanceName::from("a")));
}

/// Callers' statements used to reach such a primary until the next replacement.
#[test]
fn an_unfinished_replacement_goes_on_if_the_primary_is_about_to_leave() {
    let primary = InstanceName::from("p");
    let replaced = replaced(&primary, 3, Knowledge::Unfinished);
    let reports = [draining("p", 30), member_report("a", 30)];
    let decision = decide(&replaced, &reports);
    assert_eq!(decision, Decision::Promote(InstanceName::from("a")));
    let alone = decide(&replaced, &[draining("p", 30), draining("a", 30)]);
    assert_eq!(alone, Decision::AlreadyLeads(primary.clone()));
}

fn with_term(member: MemberReport, term: u64) -> MemberReport {
    let mut member = member;
    member.report.term = term;
    member.report.received.term = term;
    member
}

#[test]
fn a_restored_record_is_not_trusted_where_a_later_primary_may_have_led() {
    struct Case {
        name: &'static str,
        reports: Vec<MemberReport>,
        expected: Decision,
        check: RecordCheck,
    }
    let [p, a, b] = ["p", "a", "b"].map(InstanceName::from);
    let cases = [
        Case {
            name: "the recorded primary leads",
            reports: vec![
                member_report("p", 30),
                member_report("a", 30),
                member_report("b", 20),
            ],
            expected: Decision::AlreadyLeads(p.clone()),
            check: RecordCheck::Confirmed,
        },
        Case {
            name: "one instance is missing, none knows a later term",
            reports: vec![member_report("p", 30), member_report("a", 30)],
            expected: Decision::AlreadyLeads(p.clone()),
            check: RecordCheck::Incomplete,
        },
        Case {
            name: "the other two may hold saves of a later term",
            reports: vec![member_report("p", 30)],
            expected: Decision::Unheard,
            check: RecordCheck::Incomplete,
        },
        Case {
            name: "the recorded primary was deposed, and may lack saves",
            reports: vec![deposed("p", 30)],
            expected: Decision::Unheard,
            check: RecordCheck::Refuted,
        },
        Case {
            name: "a replica has saves of a later primary that is gone",
            reports: vec![member_report("p", 30), with_term(member_report("a", 7), 4)],
            expected: Decision::Promote(a),
            check: RecordCheck::Refuted,
        },
        Case {
            name: "a later primary leads",
            reports: vec![deposed("p", 30), leading("b", 31)],
            expected: Decision::AlreadyLeads(b),
            check: RecordCheck::Refuted,
        },
    ];
    for case in cases {
        let replaced = replaced(&p, 3, Knowledge::Restored);
        let decision = decide(&replaced, &case.reports);
        assert_eq!(decision, case.expected, "{}", case.name);
        let check = check_record(&replaced, &case.reports);
        assert_eq!(check, case.check, "{}", case.name);
    }
}
