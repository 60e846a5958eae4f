use std::time::Duration;

use super::{LagBounds, LagSettings, ReplicaLag};

const MS: Duration = Duration::from_millis(1);

#[derive(Clone, Copy)]
enum Event {
    Shows { at_least_ms: u32, at_most_ms: u32 },
    Rejects { age_ms: Option<u32> },
    Silent { ms: u32 },
}

struct Case {
    name: &'static str,
    events: Vec<Event>,
    expected_ms: std::ops::RangeInclusive<u128>,
}

fn apply(lag: &mut ReplicaLag, event: Event) {
    match event {
        Event::Shows {
            at_least_ms,
            at_most_ms,
        } => lag.record(&LagBounds {
            at_least: MS * at_least_ms,
            at_most: Some(MS * at_most_ms),
        }),
        Event::Rejects { age_ms } => lag.record_rejection(age_ms.map(|age_ms| MS * age_ms)),
        Event::Silent { ms } => lag.decay(MS * ms),
    }
}

const USUAL: Event = Event::Shows {
    at_least_ms: 80,
    at_most_ms: 110,
};

const LOW: Event = Event::Shows {
    at_least_ms: 0,
    at_most_ms: 10,
};

const REJECTS_OLD: Event = Event::Rejects {
    age_ms: Some(2_000),
};

const REJECTS_NEW: Event = Event::Rejects { age_ms: None };

const QUIET: Event = Event::Silent { ms: 9_000 };

/// Guards against reads that are sent to replicas which haven't reached their position, and against
/// replicas that are no longer used after they were behind once.
#[test]
fn the_estimate_follows_the_lag() {
    let case = |name, events: &[Event], expected_ms| Case {
        name,
        events: events.to_vec(),
        expected_ms,
    };
    let cases = [
        case("without evidence, it is the initial one", &[], 30..=30),
        case(
            "a response that shows more counts at once",
            &[USUAL],
            80..=80,
        ),
        case("one that shows less lowers it a little", &[LOW], 28..=28),
        case("several lower it gradually", &[LOW; 10], 11..=20),
        case(
            "a rejection raises it at once",
            &[USUAL, REJECTS_NEW],
            120..=120,
        ),
        case(
            "that of an old position to its age",
            &[REJECTS_OLD],
            2_000..=2_000,
        ),
        case("without use it falls", &[REJECTS_OLD, QUIET], 249..=251),
        case("it stays bounded", &[REJECTS_NEW; 100], 10_000..=10_000),
    ];
    for case in cases {
        let mut lag = ReplicaLag::new(LagSettings::default());
        for event in case.events {
            apply(&mut lag, event);
        }
        let estimate_ms = lag.estimate().as_millis();
        assert!(
            case.expected_ms.contains(&estimate_ms),
            "{}: {estimate_ms}",
            case.name
        );
    }
}

#[test]
fn a_position_is_waited_for_until_it_is_as_old_as_the_lag() {
    let mut lag = ReplicaLag::default();
    lag.record_rejection(Some(MS * 90));
    for (age_ms, wait_ms) in [(None, 90), (Some(0), 90), (Some(60), 30), (Some(200), 0)] {
        let wait = lag.wait(age_ms.map(|age_ms| MS * age_ms));
        assert_eq!(wait, MS * wait_ms, "age {age_ms:?}");
    }
}
