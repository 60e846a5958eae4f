use std::time::Duration;

use super::{Availability, Candidate, Latency, NoCandidate, choose};

const IDLE: Candidate = Candidate {
    is_primary: false,
    is_same_zone: true,
    load: 0,
    connection: Availability::Idle,
    latency: Duration::from_millis(20),
    lag_wait: Duration::ZERO,
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

const CASES: [Case; 10] = [
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
                lag_wait: Duration::from_millis(1),
                ..IDLE
            },
            IDLE,
        ],
        expected: 1,
    },
    // With the former rule, a fixed cost of 8 ms, the replica is chosen and rejects the read.
    Case {
        name: "the primary completes first if the replica is far behind",
        candidates: [
            Candidate {
                lag_wait: Duration::from_millis(45),
                ..IDLE
            },
            PRIMARY,
        ],
        expected: 1,
    },
    Case {
        name: "waiting a few ms is better than a busy primary",
        candidates: [
            Candidate {
                lag_wait: Duration::from_millis(15),
                ..IDLE
            },
            Candidate { load: 1, ..PRIMARY },
        ],
        expected: 0,
    },
    // With the former rule, 8 ms, the replica that lags has the lower cost.
    Case {
        name: "a replica that lags is left for a slower one that doesn't",
        candidates: [
            Candidate {
                lag_wait: Duration::from_millis(45),
                ..IDLE
            },
            Candidate {
                latency: Duration::from_millis(30),
                ..IDLE
            },
        ],
        expected: 1,
    },
    Case {
        name: "a replica that is seconds behind isn't waited for, however busy the primary is",
        candidates: [
            Candidate {
                lag_wait: Duration::from_secs(2),
                ..IDLE
            },
            Candidate {
                load: 200,
                ..PRIMARY
            },
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
    for case in CASES {
        let chosen = choose(&case.candidates);
        assert_eq!(chosen, Ok(case.expected), "{}", case.name);
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

#[test]
fn without_a_primary_a_read_waits_longer_for_a_replica_and_not_for_seconds() {
    let lagging = |ms| Candidate {
        lag_wait: Duration::from_millis(ms),
        ..IDLE
    };
    let after = Duration::from_secs(2);
    let cases = [
        (vec![lagging(90), lagging(3_000)], Ok(0)),
        (
            vec![lagging(3_000), lagging(2_000)],
            Err(NoCandidate::Lagging { after }),
        ),
        (vec![], Err(NoCandidate::Missing)),
    ];
    for (candidates, expected) in cases {
        assert_eq!(choose(&candidates), expected, "{candidates:?}");
    }
}
