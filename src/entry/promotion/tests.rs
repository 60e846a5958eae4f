use super::{
    Decision, Knowledge, MemberReport, RecordCheck, Replaced, UnrecordedCalls, check_record,
    furthest_without_leader,
};
use crate::entry::position::Position;
use crate::entry::record::PromotionCalls;
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

/// Decides where no promotion call is unrecorded.
fn decide(replaced: &Replaced<'_>, reports: &[MemberReport]) -> Decision {
    super::decide(replaced, &calls(PromotionCalls::NONE), reports)
}

/// Calls that can't take effect any more.
fn calls(instances: PromotionCalls) -> UnrecordedCalls {
    UnrecordedCalls {
        instances,
        may_take_effect: false,
        accepted: None,
    }
}

fn named(instances: &[&str]) -> PromotionCalls {
    let instances = instances.iter().map(|name| InstanceName::from(*name));
    PromotionCalls::Named(instances.collect())
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
            name: "one instance is missing, which may have been promoted",
            reports: vec![member_report("p", 30), member_report("a", 30)],
            expected: Decision::Promote(p.clone()),
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
        let decision = super::decide(&replaced, &calls(PromotionCalls::Unknown), &case.reports);
        assert_eq!(decision, case.expected, "{}", case.name);
        let check = check_record(&replaced, &case.reports);
        assert_eq!(check, case.check, "{}", case.name);
    }
}

/// Reports where promotion calls aren't recorded as successful, of a database whose former primary is `p`.
struct CallCase {
    name: &'static str,
    calls: UnrecordedCalls,
    reports: Vec<MemberReport>,
    expected: Decision,
}

/// Calls of which one may still take effect.
fn pending(instances: &[&str]) -> UnrecordedCalls {
    UnrecordedCalls {
        may_take_effect: true,
        ..calls(named(instances))
    }
}

/// Report of an instance that has every save and may lead.
fn able(instance: &str) -> MemberReport {
    MemberReport {
        may_lead: true,
        ..member_report(instance, 30)
    }
}

fn keep() -> Decision {
    Decision::AlreadyLeads(InstanceName::from("p"))
}

fn promote(instance: &str) -> Decision {
    Decision::Promote(InstanceName::from(instance))
}

fn assert_decisions(cases: impl IntoIterator<Item = CallCase>) {
    let primary = InstanceName::from("p");
    for case in cases {
        let replaced = replaced(&primary, 3, Knowledge::Unfinished);
        let decision = super::decide(&replaced, &case.calls, &case.reports);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

/// Such a primary used to be kept on its own report, and the saves that it took were cut from its log when
/// the instance that had been promoted returned.
#[test]
fn a_former_primary_is_kept_only_if_no_other_instance_may_have_been_promoted() {
    assert_decisions([
        CallCase {
            name: "no call was made",
            calls: calls(PromotionCalls::NONE),
            reports: vec![able("p"), able("a")],
            expected: keep(),
        },
        CallCase {
            name: "the called instance isn't heard",
            calls: calls(named(&["b"])),
            reports: vec![able("p"), able("a")],
            expected: promote("p"),
        },
        CallCase {
            name: "the called instance isn't heard, and its call may still take effect",
            calls: pending(&["b"]),
            reports: vec![able("p"), able("a")],
            expected: Decision::AwaitEffect,
        },
        CallCase {
            name: "the called instance follows, but its call may still take effect",
            calls: pending(&["b"]),
            reports: vec![able("p"), able("a"), able("b")],
            expected: Decision::AwaitEffect,
        },
        CallCase {
            name: "the called instance follows",
            calls: calls(named(&["b"])),
            reports: vec![able("p"), able("b")],
            expected: keep(),
        },
        CallCase {
            name: "the called instance was started again without its log",
            calls: calls(named(&["b"])),
            reports: vec![able("p"), able("a"), without_log("b")],
            expected: promote("p"),
        },
        CallCase {
            name: "the platform has accepted to promote the former primary, which changed nothing",
            calls: UnrecordedCalls {
                accepted: Some(InstanceName::from("p")),
                ..calls(named(&["b", "p"]))
            },
            reports: vec![able("p"), able("a")],
            expected: keep(),
        },
        CallCase {
            name: "the calls are unknown, and an instance isn't heard",
            calls: calls(PromotionCalls::Unknown),
            reports: vec![able("p"), able("a")],
            expected: promote("p"),
        },
        CallCase {
            name: "the calls are unknown, and all instances are heard",
            calls: calls(PromotionCalls::Unknown),
            reports: vec![able("p"), able("a"), able("b")],
            expected: keep(),
        },
    ]);
}

#[test]
fn an_instance_that_leads_is_the_primary_only_if_no_later_one_was_promoted() {
    assert_decisions([
        CallCase {
            name: "the called instance leads",
            calls: pending(&["b"]),
            reports: vec![able("p"), leading("b", 31)],
            expected: Decision::AlreadyLeads(InstanceName::from("b")),
        },
        CallCase {
            name: "of two called instances that lead, the one of the later term is the primary",
            calls: calls(named(&["a", "b"])),
            reports: vec![leading("a", 31), with_term(leading("b", 31), 5)],
            expected: Decision::AlreadyLeads(InstanceName::from("b")),
        },
        CallCase {
            name: "one of two called instances leads, and the other one isn't heard",
            calls: calls(named(&["a", "b"])),
            reports: vec![able("p"), leading("a", 31)],
            expected: promote("a"),
        },
    ]);
}

#[test]
fn no_instance_is_promoted_before_the_call_for_another_one_has_taken_effect() {
    assert_decisions([
        CallCase {
            name: "the called instance must be called again",
            calls: pending(&["a"]),
            reports: vec![able("a"), able("b")],
            expected: promote("a"),
        },
        CallCase {
            name: "another one has more of the log",
            calls: pending(&["a"]),
            reports: vec![member_report("a", 20), able("b")],
            expected: Decision::AwaitEffect,
        },
    ]);
}
