use super::*;

fn at(number: u64, position: u64) -> LogPosition {
    LogPosition {
        term: Term {
            number,
            promoter: "vm-1".into(),
        },
        position,
    }
}

struct Case {
    name: &'static str,
    heard: &'static [(&'static str, u64, u64)],
    ineligible: &'static str,
    only_eligible: bool,
    candidate: Option<&'static str>,
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "one of three is too few",
            heard: &[("b", 1, 10)],
            ineligible: "a",
            only_eligible: false,
            candidate: None,
        },
        Case {
            name: "higher position",
            heard: &[("b", 1, 10), ("c", 1, 11)],
            ineligible: "a",
            only_eligible: true,
            candidate: Some("c"),
        },
        Case {
            name: "a later term outranks a higher position",
            heard: &[("b", 2, 3), ("c", 1, 11)],
            ineligible: "a",
            only_eligible: true,
            candidate: Some("b"),
        },
        Case {
            name: "the replaced primary is passed over when two others are heard",
            heard: &[("a", 1, 20), ("b", 1, 10), ("c", 1, 11)],
            ineligible: "a",
            only_eligible: false,
            candidate: Some("c"),
        },
        Case {
            name: "the replaced primary counts when only one other is heard",
            heard: &[("a", 1, 20), ("b", 1, 10)],
            ineligible: "a",
            only_eligible: false,
            candidate: Some("a"),
        },
        Case {
            name: "unless there is time to wait for another",
            heard: &[("a", 1, 20), ("b", 1, 10)],
            ineligible: "a",
            only_eligible: true,
            candidate: None,
        },
        Case {
            name: "an eligible one among equals",
            heard: &[("a", 1, 10), ("b", 1, 10)],
            ineligible: "a",
            only_eligible: false,
            candidate: Some("b"),
        },
    ]
}

#[test]
fn chooses_the_highest_of_enough() {
    for case in cases() {
        let heard = case.heard.iter();
        let heard = heard
            .map(|(name, number, position)| (InstanceName::from(*name), at(*number, *position)));
        let eligible = |name: &InstanceName| **name != *case.ineligible;
        let candidate = choose_candidate(&heard.collect(), 3, eligible, case.only_eligible);
        assert_eq!(candidate.as_deref(), case.candidate, "{}", case.name);
    }
}
