use std::time::Duration;

use super::{Directory, Instance, InstanceState};
use crate::name::{DatabaseName, InstanceName, ZoneName};
use crate::time::Timestamp;

/// Announcement of an instance, as a VM receives it.
#[derive(Clone, Copy)]
struct Received {
    at_ms: u64,
    started_at_ms: u64,
    sequence: u64,
    cold_left_ms: u64,
}

fn received(at_ms: u64, started_at_ms: u64, sequence: u64, cold_left_ms: u64) -> Received {
    Received {
        at_ms,
        started_at_ms,
        sequence,
        cold_left_ms,
    }
}

fn instance(received: Received) -> Instance {
    Instance {
        name: InstanceName::from("i-1"),
        database: DatabaseName::from("db"),
        address: ([127, 0, 0, 1], 1).into(),
        availability_zone: ZoneName::from("a"),
        slots: 4,
        state: InstanceState::Serving,
        is_primary: false,
        started_at_ms: received.started_at_ms,
        sequence: received.sequence,
        cold_left: Duration::from_millis(received.cold_left_ms),
    }
}

#[test]
fn the_cold_time_of_a_process_is_not_prolonged() {
    struct Case {
        name: &'static str,
        announcements: Vec<Received>,
        expected_ms: Option<u64>,
    }
    let case = |name, announcements, expected_ms| Case {
        name,
        announcements,
        expected_ms,
    };
    let cases = [
        case("started warm", vec![received(100, 1, 1, 0)], None),
        case("cold", vec![received(100, 1, 1, 8_000)], Some(8_100)),
        case(
            "the same announcement read again",
            vec![received(100, 1, 1, 8_000), received(5_000, 1, 1, 8_000)],
            Some(8_100),
        ),
        case(
            "a later announcement, read late",
            vec![received(100, 1, 1, 8_000), received(5_000, 1, 2, 6_000)],
            Some(8_100),
        ),
        case(
            "a later announcement corrects an earlier one that was read late",
            vec![received(5_000, 1, 1, 8_000), received(5_100, 1, 2, 3_000)],
            Some(8_100),
        ),
        case(
            "warm now",
            vec![received(100, 1, 1, 8_000), received(7_000, 1, 2, 0)],
            Some(7_000),
        ),
        case(
            "restarted",
            vec![received(100, 1, 1, 8_000), received(5_000, 2, 1, 8_000)],
            Some(13_000),
        ),
        case(
            "restarted warm",
            vec![received(100, 1, 1, 8_000), received(5_000, 2, 1, 0)],
            None,
        ),
    ];
    for case in cases {
        let mut directory = Directory::default();
        for received in case.announcements {
            directory.update(instance(received), Timestamp::from_millis(received.at_ms));
        }
        let until = directory.cold_until(&InstanceName::from("i-1"));
        let expected = case.expected_ms.map(Timestamp::from_millis);
        assert_eq!(until, expected, "{}", case.name);
    }
}

#[test]
fn an_announcement_that_was_missing_for_a_while_does_not_prolong_the_cold_time() {
    let mut directory = Directory::default();
    let cold = received(100, 1, 1, 8_000);
    directory.update(instance(cold), Timestamp::from_millis(100));
    directory.remove("i-1", Timestamp::from_millis(200));
    directory.update(instance(cold), Timestamp::from_millis(5_000));
    let until = directory.cold_until(&InstanceName::from("i-1"));
    assert_eq!(until, Some(Timestamp::from_millis(8_100)));
}

#[test]
fn an_announcement_with_a_sequence_that_is_too_high_is_superseded() {
    struct Case {
        name: &'static str,
        sequences: Vec<u64>,
        expected: u64,
    }
    let case = |name, sequences, expected| Case {
        name,
        sequences,
        expected,
    };
    let cases = [
        case("in order", vec![1, 2, 3], 3),
        case("an older one came back", vec![5, 3], 5),
        case("the same older one again and again", vec![5, 3, 3, 3], 5),
        case("an older one came back between two", vec![5, 3, 6], 6),
        case("older ones in reverse", vec![5, 4, 3, 2], 5),
        case("of another writer", vec![4, u64::MAX, 5, 6, 7], 7),
        case(
            "of another writer, again and again",
            vec![4, u64::MAX, 5, 6, u64::MAX, 7, 8, 9],
            9,
        ),
    ];
    for case in cases {
        let mut directory = Directory::default();
        for sequence in case.sequences {
            directory.update(instance(received(0, 1, sequence, 0)), Timestamp::ZERO);
        }
        let known = directory.get(&InstanceName::from("i-1")).unwrap();
        assert_eq!(known.sequence, case.expected, "{}", case.name);
    }
}

/// What a VM receives before it asks for how long an instance has been leaving.
#[derive(Clone, Copy)]
enum Step {
    CurrentAt(u64),
    Serving,
    Draining,
    Removed,
}

struct LeavingCase {
    name: &'static str,
    steps: Vec<Step>,
    expected: Duration,
}

fn leaving_cases() -> [LeavingCase; 8] {
    use Step::{CurrentAt, Draining, Removed, Serving};
    let case = |name, steps, expected| LeavingCase {
        name,
        steps,
        expected,
    };
    let second = Duration::from_secs(1);
    [
        case("serving", vec![Serving, CurrentAt(1_000)], Duration::ZERO),
        case(
            "seen to serve 1 s before",
            vec![Serving, CurrentAt(9_000), Draining],
            second,
        ),
        case(
            "not followed for a time",
            vec![Serving, CurrentAt(3_000), Draining, CurrentAt(9_000)],
            second * 7,
        ),
        case(
            "announced again",
            vec![
                Serving,
                CurrentAt(3_000),
                Draining,
                CurrentAt(9_000),
                Draining,
            ],
            second * 7,
        ),
        case(
            "leaving when first known",
            vec![CurrentAt(9_000), Draining],
            Duration::MAX,
        ),
        case(
            "never certain to be current",
            vec![Serving, Draining],
            Duration::MAX,
        ),
        case(
            "returned while it leaves",
            vec![Serving, CurrentAt(9_000), Removed, Draining],
            Duration::MAX,
        ),
        case(
            "serves again",
            vec![CurrentAt(9_000), Draining, Serving],
            Duration::ZERO,
        ),
    ]
}

#[test]
fn the_time_to_leave_counts_from_the_last_time_at_which_the_former_announcement_was_current() {
    for case in leaving_cases() {
        let now = Timestamp::from_millis(10_000);
        let mut directory = Directory::default();
        for (sequence, step) in (1..).zip(case.steps) {
            let mut announced = instance(received(0, 1, sequence, 0));
            match step {
                Step::CurrentAt(at_ms) => directory.record_current(Timestamp::from_millis(at_ms)),
                Step::Removed => drop(directory.remove("i-1", now)),
                Step::Serving => drop(directory.update(announced, now)),
                Step::Draining => {
                    announced.state = InstanceState::Draining;
                    directory.update(announced, now);
                }
            }
        }
        let name = InstanceName::from("i-1");
        assert_eq!(
            directory.draining_for(&name, now),
            case.expected,
            "{}",
            case.name
        );
    }
}

#[test]
fn an_instance_that_was_started_again_is_known_as_such() {
    struct Case {
        name: &'static str,
        starts_ms: &'static [u64],
        /// Time for which its announcement is missing before each start but the first.
        missing_for: Option<Duration>,
        expected: bool,
    }
    let cases = [
        Case {
            name: "one start",
            starts_ms: &[7],
            missing_for: None,
            expected: false,
        },
        Case {
            name: "the same announcement after it was missing",
            starts_ms: &[7, 7],
            missing_for: Some(Duration::from_secs(4)),
            expected: false,
        },
        Case {
            name: "another start, announced over the former one",
            starts_ms: &[7, 8],
            missing_for: None,
            expected: true,
        },
        Case {
            name: "another start after its announcement was missing",
            starts_ms: &[7, 8],
            missing_for: Some(Duration::from_secs(4)),
            expected: true,
        },
        Case {
            name: "another start, missing again since",
            starts_ms: &[7, 8, 8],
            missing_for: Some(Duration::from_secs(4)),
            expected: true,
        },
    ];
    for case in cases {
        let mut directory = Directory::default();
        let mut now = Timestamp::from_millis(10_000);
        for (sequence, started_at_ms) in (1..).zip(case.starts_ms) {
            if let Some(missing_for) = case.missing_for.filter(|_| sequence > 1) {
                directory.remove("i-1", now);
                now = now + missing_for;
            }
            directory.update(instance(received(0, *started_at_ms, sequence, 0)), now);
        }
        let has_restarted = directory.has_restarted(&InstanceName::from("i-1"));
        assert_eq!(has_restarted, case.expected, "{}", case.name);
    }
}
