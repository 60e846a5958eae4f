use std::time::Duration;

use super::{InstanceLatency, RouteTimes, StatementKind};
use crate::name::RouteName;

const MS: Duration = Duration::from_millis(1);

/// Guards against an instance that counts as slow because its route is: with one mean for all
/// routes, the instance with the long statements has five times the latency of the other.
#[test]
fn instances_are_compared_by_route() {
    let mut times = RouteTimes::default();
    let (short, long) = (RouteName::from("short"), RouteName::from("long"));
    let [mut first, mut second] = [InstanceLatency::default(); 2];
    for _ in 0..50 {
        first.record(MS * 6, times.record(&short, StatementKind::Read, MS * 6));
        second.record(MS * 30, times.record(&long, StatementKind::Read, MS * 30));
    }
    for (route, expected_ms) in [(&short, 5..=7), (&long, 28..=32)] {
        let usual = times.usual(route, StatementKind::Read);
        for instance in [first, second] {
            let expected = instance.expected(usual).as_millis();
            assert!(expected_ms.contains(&expected), "{route}: {expected}");
        }
    }
}

#[test]
fn the_usual_time_hardly_changes_with_one_slow_instance_of_three() {
    let mut times = RouteTimes::default();
    let route = RouteName::from("route");
    for round in 0..300 {
        let taken = if round % 3 == 0 { MS * 100 } else { MS * 15 };
        times.record(&route, StatementKind::Read, taken);
    }
    let usual = times.usual(&route, StatementKind::Read).as_millis();
    assert!((14..=20).contains(&usual), "{usual}");
    let unknown = times.usual(&route, StatementKind::Save);
    assert_eq!(unknown, MS * 15, "kinds are separate");
}

struct Case {
    name: &'static str,
    record: fn(&mut InstanceLatency),
    decay: Duration,
    expected_ms: std::ops::RangeInclusive<u128>,
}

#[test]
fn a_slow_or_rejecting_instance_costs_more_until_it_has_not_been_for_some_time() {
    let cases = [
        Case {
            name: "as usual",
            record: |latency| latency.record(MS * 30, MS * 30),
            decay: Duration::ZERO,
            expected_ms: 30..=30,
        },
        Case {
            name: "six times slower",
            record: |latency| latency.record(MS * 180, MS * 30),
            decay: Duration::ZERO,
            expected_ms: 160..=180,
        },
        // With the former rule, a mean that includes rejections, it would be the fastest.
        Case {
            name: "rejections",
            record: InstanceLatency::record_rejection,
            decay: Duration::ZERO,
            expected_ms: 110..=120,
        },
        Case {
            name: "lost responses",
            record: InstanceLatency::record_loss,
            decay: Duration::ZERO,
            expected_ms: 220..=240,
        },
        // With the former rule, it decays to 15 ms, half of the route's usual time.
        Case {
            name: "slow some time ago",
            record: |latency| latency.record(MS * 180, MS * 30),
            decay: Duration::from_secs(20),
            expected_ms: 30..=31,
        },
    ];
    for case in cases {
        let mut latency = InstanceLatency::default();
        for _ in 0..20 {
            (case.record)(&mut latency);
        }
        latency.decay(case.decay);
        let expected = latency.expected(MS * 30).as_millis();
        assert!(
            case.expected_ms.contains(&expected),
            "{}: {expected}",
            case.name
        );
    }
}

#[test]
fn only_times_of_routes_that_are_gone_are_dropped() {
    let mut times = RouteTimes::default();
    let routes = ["kept", "gone"].map(RouteName::from);
    for route in &routes {
        times.record(route, StatementKind::Read, MS * 40);
    }
    times.retain(routes[..1].iter());
    let usual = |route| times.usual(route, StatementKind::Read);
    assert_eq!(routes.each_ref().map(usual), [MS * 40, MS * 15]);
}
