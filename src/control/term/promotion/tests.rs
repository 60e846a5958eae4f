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
    positions: &'static [(&'static str, u64, u64)],
    ineligible: &'static str,
    only_eligible: bool,
    candidate: Option<&'static str>,
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "one of three instances is too few",
            positions: &[("b", 1, 10)],
            ineligible: "a",
            only_eligible: false,
            candidate: None,
        },
        Case {
            name: "higher position",
            positions: &[("b", 1, 10), ("c", 1, 11)],
            ineligible: "a",
            only_eligible: true,
            candidate: Some("c"),
        },
        Case {
            name: "a newer term outranks a higher position",
            positions: &[("b", 2, 3), ("c", 1, 11)],
            ineligible: "a",
            only_eligible: true,
            candidate: Some("b"),
        },
        Case {
            name: "the replaced primary is skipped when two others have reported",
            positions: &[("a", 1, 20), ("b", 1, 10), ("c", 1, 11)],
            ineligible: "a",
            only_eligible: false,
            candidate: Some("c"),
        },
        Case {
            name: "the replaced primary is chosen when only one other has reported",
            positions: &[("a", 1, 20), ("b", 1, 10)],
            ineligible: "a",
            only_eligible: false,
            candidate: Some("a"),
        },
        Case {
            name: "no choice yet while only eligible instances are considered",
            positions: &[("a", 1, 20), ("b", 1, 10)],
            ineligible: "a",
            only_eligible: true,
            candidate: None,
        },
        Case {
            name: "an eligible instance wins at equal positions",
            positions: &[("a", 1, 10), ("b", 1, 10)],
            ineligible: "a",
            only_eligible: false,
            candidate: Some("b"),
        },
    ]
}

#[test]
fn the_candidate_has_the_highest_position_of_enough_instances() {
    for case in cases() {
        let positions = case.positions.iter();
        let positions = positions
            .map(|(name, number, position)| (InstanceName::from(*name), at(*number, *position)));
        let eligible = |name: &InstanceName| **name != *case.ineligible;
        let candidate = choose_candidate(&positions.collect(), 3, eligible, case.only_eligible);
        assert_eq!(candidate.as_deref(), case.candidate, "{}", case.name);
    }
}
