use super::*;

/// Fixed delay that callers were told before, for a replacement and for a lack of capacity.
const FORMER_DELAY: Duration = Duration::from_millis(100);

fn database() -> DatabaseName {
    "orders".into()
}

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn delays() -> RetryDelays {
    RetryDelays::new(RetryDelaySettings::default(), at(0))
}

#[test]
fn the_delay_of_a_replacement_is_what_is_left_of_the_usual_duration() {
    struct Case {
        name: &'static str,
        /// Durations of the replacements seen before.
        seen_ms: Vec<u64>,
        elapsed_ms: u64,
        expected_ms: u64,
    }
    let case = |name, seen_ms: &[u64], elapsed_ms, expected_ms| Case {
        name,
        seen_ms: seen_ms.to_vec(),
        elapsed_ms,
        expected_ms,
    };
    let cases = [
        case("none seen: first guess", &[], 0, 1_500),
        case("less what has passed", &[], 400, 1_100),
        case("one seen", &[800], 300, 500),
        case("mean of the last ones", &[800, 1_200], 300, 600),
        case("about to end", &[800], 790, 50),
        case("overdue: as long again", &[800], 1_400, 600),
        case("never longer than callers wait", &[60_000], 0, 2_000),
    ];
    for case in cases {
        let mut delays = delays();
        for seen_ms in case.seen_ms {
            delays.on_primary_unavailable(&"other".into(), at(10_000));
            delays.on_primary_available(&"other".into(), at(10_000 + seen_ms));
        }
        delays.on_primary_unavailable(&database(), at(100_000));
        let delay = delays.replacement(&database(), at(100_000 + case.elapsed_ms));
        assert_eq!(delay, ms(case.expected_ms), "{}", case.name);
    }
}

#[test]
fn other_causes_have_delays_of_their_own() {
    let drain = Drain {
        expected: ms(300),
        interval: ms(4),
    };
    let mut delays = delays();
    assert_eq!(delays.drain(&database(), drain, at(0)), ms(300));
    assert_eq!(delays.drain(&database(), drain, at(0)), ms(304));
    assert_eq!(delays.drain(&"other".into(), drain, at(0)), ms(300));
    assert_eq!(delays.starting(at(400)), ms(600));
    assert_eq!(delays.no_lease(ms(1_000), at(5_000)), ms(500));
    assert_eq!(delays.no_gateway(at(1_000)), ms(1_000));
    assert_eq!(delays.no_gateway(at(1_600)), ms(400));
    delays.on_gateway_reached(at(1_700));
    assert_eq!(delays.no_gateway(at(9_000)), ms(700));
}

/// Replays callers that are refused for some time and retry when they were told; returns the share
/// that finds the cause over within its two retries, and the largest number of retries that arrive
/// in the same 20 ms after it.
fn replay(ends_at: u64, delay: impl Fn(&mut RetryDelays, Timestamp) -> Duration) -> (f64, usize) {
    const CALLERS: u64 = 120;
    let mut delays = delays();
    let mut attempts: Vec<_> = (0..CALLERS).map(|caller| (at(caller * 5), 0)).collect();
    let (mut served, mut arrivals) = (0_u32, HashMap::<u64, usize>::new());
    while let Some(next) = (0..attempts.len()).min_by_key(|place| attempts[*place].0) {
        let (now, retries) = attempts.swap_remove(next);
        if now >= at(ends_at) {
            served += 1;
            *arrivals.entry(now.as_micros() / 20_000).or_default() += 1;
        } else if retries < 2 {
            attempts.push((now + delay(&mut delays, now), retries + 1));
        }
    }
    let most = arrivals.values().max().copied().unwrap_or_default();
    (f64::from(served) / CALLERS as f64, most)
}

/// Guards against callers that use up their retries before the cause is over, or return together.
#[test]
fn callers_return_when_the_cause_is_over_and_not_together() {
    type Delay = fn(&mut RetryDelays, Timestamp) -> Duration;
    struct Case {
        name: &'static str,
        ends_at_ms: u64,
        delay: Delay,
        /// Largest share that the fixed delay lets find the cause over.
        former: f64,
    }
    let replacement: Delay = |delays, now| delays.replacement(&database(), now);
    let drain: Delay = |delays, now| {
        let expected = Duration::from_millis(700).saturating_sub(now.since(at(0)));
        let interval = ms(4);
        delays.drain(&database(), Drain { expected, interval }, now)
    };
    let cases = [
        Case {
            name: "replacement as long as guessed",
            ends_at_ms: 1_500,
            delay: replacement,
            former: 0.0,
        },
        Case {
            name: "replacement that ends early",
            ends_at_ms: 900,
            delay: replacement,
            former: 0.0,
        },
        Case {
            name: "queue that drains",
            ends_at_ms: 700,
            delay: drain,
            former: 0.2,
        },
    ];
    for case in cases {
        let (former, _) = replay(case.ends_at_ms, |_, _| FORMER_DELAY);
        let (served, most) = replay(case.ends_at_ms, case.delay);
        let report = format!("{}: {former} -> {served}, {most} at once", case.name);
        assert!(served >= 0.99 && most <= 12, "{report}");
        assert!(former <= case.former, "{report}");
    }
}

#[test]
fn callers_of_a_primary_without_a_replica_return_late_and_one_after_another() {
    let mut delays = delays();
    assert_eq!(delays.no_replica(at(0)), ms(1_500));
    assert_eq!(delays.no_replica(at(10)), ms(1_505));
    let settings = RetryDelaySettings::default();
    let longest = (0..1_000).map(|_| delays.no_replica(at(20))).max();
    assert!(longest <= Some(settings.max), "{longest:?}");
}
