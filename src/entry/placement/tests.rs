use std::time::Duration;

use super::{Availability, Candidate, Latency, choose};
use crate::entry::position::Position;

const IDLE: Candidate = Candidate {
    is_primary: false,
    is_same_zone: true,
    load: 0,
    connection: Availability::Idle,
    latency: Duration::from_millis(20),
    position: Some(Position {
        term: 1,
        number: 100,
    }),
};

struct Case {
    name: &'static str,
    candidates: [Candidate; 2],
    expected: usize,
}

const PRIMARY: Candidate = Candidate {
    is_primary: true,
    ..IDLE
};

const CASES: [Case; 6] = [
    Case {
        name: "a replica is preferred to the primary",
        candidates: [PRIMARY, IDLE],
        expected: 1,
    },
    Case {
        name: "the primary is preferred to a busy replica",
        candidates: [PRIMARY, Candidate { load: 2, ..IDLE }],
        expected: 0,
    },
    Case {
        name: "an idle connection is preferred to a new one",
        candidates: [
            Candidate {
                connection: Availability::NotOpen,
                ..IDLE
            },
            IDLE,
        ],
        expected: 1,
    },
    Case {
        name: "a replica known to be fresh is preferred to one that isn't",
        candidates: [
            Candidate {
                position: None,
                ..IDLE
            },
            IDLE,
        ],
        expected: 1,
    },
    Case {
        name: "an instance in the same availability zone is preferred to one in another",
        candidates: [
            Candidate {
                is_same_zone: false,
                ..IDLE
            },
            IDLE,
        ],
        expected: 1,
    },
    Case {
        name: "a fast instance is preferred to a slow one",
        candidates: [
            Candidate {
                latency: Duration::from_millis(90),
                ..IDLE
            },
            IDLE,
        ],
        expected: 1,
    },
];

#[test]
fn the_cheapest_candidate_is_chosen() {
    let need = Some(Position {
        term: 1,
        number: 90,
    });
    for case in CASES {
        assert_eq!(
            choose(need, &case.candidates),
            Some(case.expected),
            "{}",
            case.name
        );
    }
}

#[test]
fn the_expected_latency_of_a_slow_instance_falls_without_measurements() {
    let mut latency = Latency::default();
    for _ in 0..20 {
        latency.record(Duration::from_millis(200));
    }
    assert!(latency.expected() > Duration::from_millis(150));
    latency.decay(Duration::from_secs(10));
    assert!(latency.expected() < Duration::from_millis(30));
}
