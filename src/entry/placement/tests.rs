use std::time::Duration;

use super::{Availability, Candidate, NoCandidate, choose};

const IDLE: Candidate = Candidate {
    is_primary: false,
    is_same_zone: true,
    load: 0,
    connection: Availability::Idle,
    latency: Duration::from_millis(20),
    mean_latency: Duration::from_millis(20),
    is_contended: false,
    view_age: Duration::ZERO,
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

const CASES: [Case; 12] = [
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
        name: "a busy replica is preferred to a primary that others need",
        candidates: [
            Candidate {
                is_contended: true,
                ..PRIMARY
            },
            Candidate { load: 2, ..IDLE },
        ],
        expected: 1,
    },
    Case {
        name: "short statements ahead cost less than long ones",
        candidates: [
            Candidate { load: 2, ..IDLE },
            Candidate {
                load: 3,
                mean_latency: Duration::from_millis(5),
                ..IDLE
            },
        ],
        expected: 1,
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
        let chosen = choose(&case.candidates, 0.0);
        assert_eq!(chosen, Ok(case.expected), "{}", case.name);
    }
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
        assert_eq!(choose(&candidates, 0.0), expected, "{candidates:?}");
    }
}

/// Guards against all VMs choosing the same instance with the same old view of it.
#[test]
fn with_an_old_view_similar_candidates_share_the_reads() {
    let old = Candidate {
        view_age: Duration::from_secs(1),
        ..IDLE
    };
    let similar = Candidate {
        latency: Duration::from_millis(21),
        ..old
    };
    let slow = Candidate {
        latency: Duration::from_millis(90),
        ..old
    };
    let cases = [
        ("an old view", [old, similar, slow], [75, 25, 0]),
        ("a new view", [IDLE, similar, slow], [100, 0, 0]),
        ("one candidate stands out", [old, slow, slow], [100, 0, 0]),
    ];
    for (name, candidates, expected) in cases {
        let mut chosen = [0; 3];
        for step in 0..100 {
            let random = f64::from(step) / 100.0;
            chosen[choose(&candidates, random).unwrap()] += 1;
        }
        assert_eq!(chosen, expected, "{name}");
    }
}

/// A choice must take less than 2 us. Run by hand:
/// `cargo test --release -p currantlb --lib choice_among_24 -- --ignored --nocapture`
#[test]
#[ignore = "benchmark"]
fn choice_among_24_instances_takes_less_than_2_us() {
    const ROUNDS: u32 = 100_000;
    let candidates: Vec<_> = (0..24)
        .map(|index| Candidate {
            load: index % 5,
            latency: Duration::from_millis(10 + u64::from(index * 7 % 24)),
            view_age: Duration::from_secs(1),
            is_primary: index == 0,
            ..IDLE
        })
        .collect();
    let started_at = std::time::Instant::now();
    for round in 0..ROUNDS {
        let random = f64::from(round) / f64::from(ROUNDS);
        std::hint::black_box(choose(std::hint::black_box(&candidates), random)).unwrap();
    }
    let each = started_at.elapsed() / ROUNDS;
    println!("{} ns a choice", each.as_nanos());
}
