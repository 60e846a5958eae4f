use super::*;

struct Case {
    name: &'static str,
    is_primary: bool,
    known_term: u64,
    received: (u64, u64),
    holds_save: bool,
}

const SAVE: Position = Position {
    term: 3,
    number: 20,
};

const CASES: &[Case] = &[
    Case {
        name: "a replica that has received the save",
        is_primary: false,
        known_term: 3,
        received: (3, 20),
        holds_save: true,
    },
    Case {
        name: "a replica that hasn't",
        is_primary: false,
        known_term: 3,
        received: (3, 19),
        holds_save: false,
    },
    Case {
        name: "a replica that is paused for a replacement",
        is_primary: false,
        known_term: 4,
        received: (3, 20),
        holds_save: false,
    },
    Case {
        name: "the next primary, whose numbers go on",
        is_primary: true,
        known_term: 4,
        received: (4, 25),
        holds_save: false,
    },
    Case {
        name: "an instance that leads in an earlier term",
        is_primary: true,
        known_term: 2,
        received: (2, 40),
        holds_save: false,
    },
];

#[test]
fn a_save_is_held_by_a_replica_that_follows_its_primary_and_has_received_it() {
    for case in CASES {
        let (term, number) = case.received;
        let report = InstanceReport {
            is_primary: case.is_primary,
            term: case.known_term,
            received: Position { term, number },
        };
        let holds_save = follows(&report, SAVE.term) && covers(report.received, SAVE);
        assert_eq!(holds_save, case.holds_save, "{}", case.name);
    }
}
