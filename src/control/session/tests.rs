use proptest::prelude::*;

use super::*;
use crate::position::Term;

fn at(position: u64) -> LogPosition {
    LogPosition {
        term: Term {
            number: 1,
            promoter: "vm-1".into(),
        },
        position,
    }
}

fn session(number: u64) -> SessionKey {
    SessionKey {
        workspace: "crew".into(),
        session: (number > 0).then(|| format!("s{number}").into()),
    }
}

#[test]
fn a_read_needs_the_highest_of_low_water_mark_session_mark_and_token() {
    struct Case {
        name: &'static str,
        low_water_mark: Option<u64>,
        mark: Option<u64>,
        token: Option<u64>,
        required_position: Option<u64>,
    }
    let cases = [
        Case {
            name: "unknown without a low-water mark, even with a token",
            low_water_mark: None,
            mark: Some(5),
            token: Some(9),
            required_position: None,
        },
        Case {
            name: "a session without a mark needs the low-water mark",
            low_water_mark: Some(3),
            mark: None,
            token: None,
            required_position: Some(3),
        },
        Case {
            name: "own write",
            low_water_mark: Some(3),
            mark: Some(5),
            token: Some(4),
            required_position: Some(5),
        },
        Case {
            name: "token of another session",
            low_water_mark: Some(3),
            mark: Some(5),
            token: Some(9),
            required_position: Some(9),
        },
    ];
    for case in cases {
        let mut marks = SessionMarks::new(SessionSettings::default());
        if let Some(mark) = case.mark {
            marks.record_seen(&session(1), &at(mark));
        }
        if let Some(position) = case.low_water_mark {
            marks.raise_low_water_mark(&at(position));
        }
        let token = case.token.map(at);
        let required_position = marks.required_position(&session(1), token.as_ref());
        assert_eq!(
            required_position,
            case.required_position.map(at),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_token_of_one_request_does_not_affect_the_next() {
    let mut marks = SessionMarks::new(SessionSettings::default());
    marks.raise_low_water_mark(&at(1));
    assert_eq!(
        marks.required_position(&session(0), Some(&at(u64::MAX))),
        Some(at(u64::MAX))
    );
    assert_eq!(marks.required_position(&session(0), None), Some(at(1)));
}

proptest! {
    /// The required position of a session is never below what it has seen, whether or not the
    /// low-water mark is known at first, and the number of marks stays within its bound.
    #[test]
    fn the_required_position_is_never_below_what_the_session_has_seen(
        steps in prop::collection::vec((0..12_u64, 1..100_u64, 0..10_u8), 1..80),
        max_marks in 1..6_usize,
    ) {
        let mut marks = SessionMarks::new(SessionSettings { max_marks });
        let mut seen: BTreeMap<u64, u64> = BTreeMap::new();
        for (number, position, kind) in steps {
            if kind == 0 {
                marks.raise_low_water_mark(&at(position));
            } else {
                marks.record_seen(&session(number), &at(position));
                let mark = seen.entry(number).or_default();
                *mark = position.max(*mark);
            }
            prop_assert!(marks.len() <= max_marks);
            for (number, mark) in &seen {
                if let Some(required) = marks.required_position(&session(*number), None) {
                    prop_assert!(
                        required >= at(*mark),
                        "session {number} has seen {mark}, reads from {required}"
                    );
                }
            }
        }
    }
}
