use super::*;
use crate::position::Term;

const REPLICA: &str = "b";

fn at(position: u64) -> LogPosition {
    LogPosition {
        term: Term {
            number: 1,
            promoter: "vm-1".into(),
        },
        position,
    }
}

const fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Simulates a primary that writes every 10 ms, and a replica 40 ms behind it.
fn steady(until_ms: u64) -> Rotation {
    let mut rotation = Rotation::new(RotationSettings::default());
    for time in (0..=until_ms).step_by(10) {
        rotation.primary_reached(&at(time / 10), ms(time));
        if time >= 40 {
            rotation.replica_reached(&REPLICA.into(), &at((time - 40) / 10), ms(time));
        }
    }
    rotation
}

#[test]
fn the_expected_wait_follows_the_typical_replication_delay() {
    struct Case {
        name: &'static str,
        required_position: u64,
        now_ms: u64,
        fresh_in_ms: Option<u64>,
    }
    let cases = [
        Case {
            name: "reached",
            required_position: 96,
            now_ms: 1_000,
            fresh_in_ms: Some(0),
        },
        Case {
            name: "written 30 ms ago",
            required_position: 97,
            now_ms: 1_000,
            fresh_in_ms: Some(10),
        },
        Case {
            name: "just written",
            required_position: 100,
            now_ms: 1_000,
            fresh_in_ms: Some(40),
        },
        Case {
            name: "overdue by 60 ms",
            required_position: 100,
            now_ms: 1_100,
            fresh_in_ms: Some(61),
        },
        Case {
            name: "not written yet",
            required_position: 101,
            now_ms: 1_000,
            fresh_in_ms: None,
        },
    ];
    let rotation = steady(1_000);
    for case in cases {
        let fresh_in = rotation.fresh_in(
            &REPLICA.into(),
            &at(case.required_position),
            ms(case.now_ms),
        );
        let expected = case.fresh_in_ms.map(Duration::from_millis);
        assert_eq!(fresh_in, expected, "{}", case.name);
    }
}

#[test]
fn a_staleness_bound_maps_to_a_position_that_is_never_too_low() {
    let rotation = steady(1_000);
    let required_position = |session, staleness_ms| {
        let staleness = Duration::from_millis(staleness_ms);
        rotation.required_position(Some(at(session)), staleness, ms(1_000))
    };
    assert_eq!(required_position(0, 0), Some(at(100)));
    assert_eq!(required_position(0, 300), Some(at(70)));
    assert_eq!(required_position(0, 305), Some(at(69)));
    assert_eq!(required_position(90, 300), Some(at(90)));
    assert_eq!(required_position(0, 60_000), Some(at(0)));
    assert_eq!(
        rotation.required_position(None, Duration::ZERO, ms(1_000)),
        None
    );
}

#[test]
fn a_lagging_replica_leaves_and_reenters_rotation_without_flapping() {
    let mut rotation = steady(1_000);
    let replica = InstanceName::from(REPLICA);
    assert!(rotation.in_rotation(&replica));
    for time in (1_010..=3_500).step_by(10) {
        rotation.primary_reached(&at(time / 10), ms(time));
        rotation.refresh(ms(time));
    }
    assert!(!rotation.in_rotation(&replica), "no report for 2.5 s");
    assert_eq!(rotation.fresh_in(&replica, &at(1), ms(3_500)), None);

    let mut changes = 0;
    let mut returned_at = None;
    for time in (3_510..=8_000).step_by(10) {
        rotation.primary_reached(&at(time / 10), ms(time));
        // Catches up 4 entries per step, then alternates between 100 and 900 ms of lag.
        let caught_up = (96 + (time - 3_500) / 10 * 4).min((time - 100) / 10);
        let swing = if time > 6_000 && time / 500 % 2 == 0 {
            80
        } else {
            0
        };
        let before = rotation.in_rotation(&replica);
        rotation.replica_reached(&replica, &at(caught_up - swing), ms(time));
        let after = rotation.in_rotation(&replica);
        changes += u32::from(before != after);
        if after {
            returned_at.get_or_insert(time);
        }
    }
    assert_eq!(changes, 1);
    assert!(
        (5_000..6_000).contains(&returned_at.unwrap()),
        "{returned_at:?}"
    );
}

#[test]
fn a_new_term_discards_positions_of_the_former_one() {
    let mut rotation = steady(1_000);
    rotation.start_term(&at(50), ms(1_010));
    assert_eq!(rotation.history().latest(), Some(&at(50)));
    assert!(!rotation.in_rotation(&REPLICA.into()));
    rotation.replica_reached(&REPLICA.into(), &at(50), ms(1_020));
    let required_position = rotation
        .required_position(Some(at(0)), Duration::ZERO, ms(1_020))
        .unwrap();
    let fresh_in = rotation.fresh_in(&REPLICA.into(), &required_position, ms(1_020));
    assert_eq!(fresh_in, Some(Duration::ZERO));
}
