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
        let at = Timestamp::from_millis(at_ms);
        freshness.record(position, at, at);
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

#[test]
fn positions_tell_the_lag_of_a_replica() {
    let mut freshness = Freshness::default();
    let at = Timestamp::from_millis;
    let position = |number| Position { term: 1, number };
    for (number, requested_ms, reported_ms) in [(10, 1_000, 1_010), (20, 1_100, 1_110)] {
        freshness.record(position(number), at(requested_ms), at(reported_ms));
    }
    let cases = [
        (5, 190, None),
        (10, 90, Some(200)),
        (15, 90, Some(200)),
        (20, 0, Some(100)),
    ];
    for (number, at_least_ms, at_most_ms) in cases {
        let bounds = freshness.lag_bounds(position(number), at(1_200));
        assert_eq!(bounds.at_least.as_millis(), at_least_ms, "{number}");
        let at_most = bounds.at_most.map(|at_most| at_most.as_millis());
        assert_eq!(at_most, at_most_ms, "{number}");
    }
    for (number, age_ms) in [(10, Some(190)), (11, Some(90)), (21, None)] {
        let age = freshness.age(position(number), at(1_200));
        assert_eq!(age.map(|age| age.as_millis()), age_ms, "{number}");
    }
}

/// Guards against the reads of one lag after a gap: with only a new position known, replicas that
/// haven't reached it would reject them.
#[test]
fn a_newer_position_is_fetched_before_the_known_one_is_too_old() {
    let mut freshness = Freshness::default();
    let at = Timestamp::from_millis;
    let (staleness, lag) = (Duration::from_millis(1_500), Duration::from_millis(90));
    assert!(!freshness.needs_renewal(at(0), staleness, lag));
    let position = Position { term: 1, number: 1 };
    freshness.record(position, at(1_000), at(1_000));
    let cases = [(1_500, false), (2_200, true), (2_250, false), (2_360, true)];
    for (now_ms, expected) in cases {
        let needs = freshness.needs_renewal(at(now_ms), staleness, lag);
        assert_eq!(needs, expected, "at {now_ms} ms");
        assert!(freshness.bound(at(now_ms - 20), staleness).is_some());
    }
}
