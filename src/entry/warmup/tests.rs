use std::time::Duration;

use super::{Pace, WarmupSettings, share_per_s};
use crate::name::{InstanceName, VmName};
use crate::time::Timestamp;

#[test]
fn slots_grow_after_the_cold_time() {
    struct Case {
        name: &'static str,
        all: u32,
        warm_from_ms: Option<u64>,
        now_ms: u64,
        expected: u32,
    }
    let case = |name, all, warm_from_ms, now_ms, expected| Case {
        name,
        all,
        warm_from_ms,
        now_ms,
        expected,
    };
    let cases = [
        case(
            "an instance that started warm is used in full",
            6,
            None,
            0,
            6,
        ),
        case("cold", 6, Some(8_000), 0, 2),
        case("the last moment of the cold time", 6, Some(8_000), 8_000, 2),
        case("slow start", 6, Some(8_000), 10_500, 4),
        case("the end of the slow start", 6, Some(8_000), 13_000, 6),
        case("long after it", 6, Some(8_000), 100_000, 6),
        case("a small instance is used a little", 1, Some(8_000), 0, 1),
    ];
    for case in cases {
        let warm_from = case.warm_from_ms.map(Timestamp::from_millis);
        let now = Timestamp::from_millis(case.now_ms);
        let slots = WarmupSettings::default().slots(case.all, warm_from, now);
        assert_eq!(slots, case.expected, "{}", case.name);
    }
}

#[test]
fn a_cold_instance_gets_its_rate_over_all_gateways() {
    let cases = [(1.0, 8), (5.0, 8), (5.0, 1), (30.0, 8), (100.0, 50)];
    for (cold_per_s, gateways) in cases {
        let mut sent_ms = send_as_much_as_allowed(cold_per_s, gateways);
        sent_ms.sort_unstable();
        // The platform tolerates half as much again, and five statements.
        let most = cold_per_s * 1.5 + 5.0;
        for first in &sent_ms {
            let within = sent_ms
                .iter()
                .filter(|at| (*first..first + 1_000).contains(*at));
            let count = within.count() as f64;
            assert!(count <= most, "{count} of {most} with {gateways} gateways");
        }
        let least = cold_per_s * 9.0;
        assert!(
            sent_ms.len() as f64 >= least,
            "{} of {least}",
            sent_ms.len()
        );
    }
}

/// Returns when statements are sent to a cold instance within 10 s, in milliseconds, if every gateway
/// always has one to send.
fn send_as_much_as_allowed(cold_per_s: f64, gateways: usize) -> Vec<u64> {
    let instance = InstanceName::from("i-1");
    let gateways = (0..gateways).map(|index| VmName::from(format!("vm-{index}")));
    let gateways: Vec<_> = gateways.collect();
    let mut sent_ms = Vec::new();
    for own in &gateways {
        let per_s = share_per_s(cold_per_s, &instance, own, gateways.iter());
        let mut pace = Pace::default();
        let allowed = |at_ms: &u64| {
            let now = Timestamp::from_millis(*at_ms);
            pace.is_free(per_s, now) && pace.reserve(per_s, Duration::ZERO, now).is_ok()
        };
        sent_ms.extend((0..10_000).filter(allowed));
    }
    sent_ms
}

#[test]
fn a_gateway_without_a_registration_sends_nothing_to_a_cold_instance() {
    let (instance, own) = (InstanceName::from("i-1"), VmName::from("vm-0"));
    let others = [VmName::from("vm-1"), VmName::from("vm-2")];
    let per_s = share_per_s(30.0, &instance, &own, others.iter());
    let mut pace = Pace::default();
    let (wait, now) = (Duration::from_secs(9), Timestamp::ZERO);
    assert!(pace.reserve(per_s, wait, now).is_err());
}

#[test]
fn statements_that_wait_for_a_cold_instance_get_places_one_after_the_other() {
    let now = Timestamp::from_millis(1_000);
    let mut pace = Pace::default();
    let max_wait = Duration::from_millis(250);
    let waits: Vec<_> = (0..4).map(|_| pace.reserve(10.0, max_wait, now)).collect();
    let ms = Duration::from_millis;
    assert_eq!(waits, [Ok(ms(0)), Ok(ms(100)), Ok(ms(200)), Err(ms(300))]);
}
