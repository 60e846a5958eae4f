use std::time::Duration;

use super::Freshness;
use crate::entry::position::Position;
use crate::time::Timestamp;

struct Case {
    name: &'static str,
    now_ms: u64,
    staleness_ms: u64,
    expected: Option<u64>,
}

#[test]
fn the_bound_is_the_oldest_sample_within_the_staleness() {
    let mut freshness = Freshness::default();
    for (number, at_ms) in [(10, 1_000), (20, 1_500), (30, 2_000), (35, 2_010)] {
        let position = Position { term: 1, number };
        freshness.record(position, Timestamp::from_millis(at_ms));
    }
    let cases = [
        Case {
            name: "all samples qualify",
            now_ms: 2_100,
            staleness_ms: 1_500,
            expected: Some(10),
        },
        Case {
            name: "the first is too old",
            now_ms: 2_400,
            staleness_ms: 1_500,
            expected: Some(20),
        },
        Case {
            name: "only the last qualifies",
            now_ms: 3_100,
            staleness_ms: 1_500,
            expected: Some(30),
        },
        Case {
            name: "all are too old",
            now_ms: 4_000,
            staleness_ms: 1_500,
            expected: None,
        },
        Case {
            name: "the last is within the staleness but not within the margin",
            now_ms: 3_400,
            staleness_ms: 1_500,
            expected: None,
        },
    ];
    for case in cases {
        let now = Timestamp::from_millis(case.now_ms);
        let bound = freshness.bound(now, Duration::from_millis(case.staleness_ms));
        assert_eq!(
            bound.map(|position| position.number),
            case.expected,
            "{}",
            case.name
        );
    }
}
