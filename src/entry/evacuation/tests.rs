use std::time::Duration;

use self::Expected::{ClosedAt, ReturnedAt};
use super::EvacuatedZones;
use crate::configuration::{Revision, Timeline};
use crate::name::ZoneName;
use crate::time::Timestamp;

/// What a VM hears of the zone `b`.
enum News {
    /// The watch delivers a request or its withdrawal.
    Watched { is_requested: bool },
    /// The zones are read from the store.
    Listed { is_requested: bool },
    /// Another VM has so many milliseconds left until it closes the zone.
    Received { left_ms: u64 },
}

/// State of the zone in the end, with a time in milliseconds.
#[derive(Debug, PartialEq, Eq)]
enum Expected {
    /// It is evacuated; from this time on nothing may be sent there.
    ClosedAt(u64),
    /// The request was withdrawn at this time.
    ReturnedAt(u64),
}

struct Case {
    name: &'static str,
    /// Time in milliseconds, timeline and number of the revision, and the news.
    news: Vec<(u64, u64, u64, News)>,
    expected: Expected,
}

fn watched(is_requested: bool) -> News {
    News::Watched { is_requested }
}

fn listed(is_requested: bool) -> News {
    News::Listed { is_requested }
}

fn cases() -> [Case; 9] {
    [
        Case {
            name: "statements that need an instance of the zone run for 3 s",
            news: vec![(1_000, 0, 5, watched(true))],
            expected: ClosedAt(4_000),
        },
        Case {
            name: "a request that is read again, or written again, keeps its limit",
            news: vec![
                (1_000, 0, 5, watched(true)),
                (2_000, 0, 6, listed(true)),
                (2_500, 0, 7, watched(true)),
            ],
            expected: ClosedAt(4_000),
        },
        Case {
            name: "a request of unknown age, at the start of a VM, takes effect at once",
            news: vec![(1_000, 0, 5, listed(true))],
            expected: ClosedAt(1_000),
        },
        Case {
            name: "a VM without the store has as much time as the VM that it hears of it from",
            news: vec![(1_000, 0, 5, News::Received { left_ms: 700 })],
            expected: ClosedAt(1_700),
        },
        Case {
            name: "another VM can't prolong the time",
            news: vec![
                (1_000, 0, 5, watched(true)),
                (3_000, 0, 9, News::Received { left_ms: 2_900 }),
            ],
            expected: ClosedAt(4_000),
        },
        Case {
            name: "a withdrawal ends it, and a second request has a limit of its own",
            news: vec![
                (1_000, 0, 5, watched(true)),
                (2_000, 0, 6, watched(false)),
                (3_000, 0, 7, watched(true)),
            ],
            expected: ClosedAt(6_000),
        },
        Case {
            name: "a change that the list contained already is ignored when the watch repeats it",
            news: vec![(1_000, 0, 8, listed(true)), (1_100, 0, 6, watched(false))],
            expected: ClosedAt(1_000),
        },
        Case {
            name: "a withdrawal that only a list shows",
            news: vec![(1_000, 0, 5, watched(true)), (2_000, 0, 9, listed(false))],
            expected: ReturnedAt(2_000),
        },
        Case {
            name: "a restoration that lost the request, although its revision is lower",
            news: vec![(1_000, 0, 50, watched(true)), (2_000, 1, 3, listed(false))],
            expected: ReturnedAt(2_000),
        },
    ]
}

#[test]
fn requests_limit_statements_from_when_they_were_learned() {
    let zone = ZoneName::from("b");
    for case in cases() {
        let mut zones = EvacuatedZones::default();
        for (at_ms, timeline, number, news) in case.news {
            let now = Timestamp::from_millis(at_ms);
            let at = Revision::new(Timeline(timeline), number);
            let requested = |is_requested: bool| is_requested.then(|| zone.clone());
            match news {
                News::Watched { is_requested } => zones.apply(zone.clone(), is_requested, at, now),
                News::Listed { is_requested } => {
                    zones.replace(requested(is_requested).into_iter().collect(), at, now);
                }
                News::Received { left_ms } => {
                    let left = Duration::from_millis(left_ms);
                    zones.receive(vec![(zone.clone(), left)], at, now);
                }
            }
        }
        let is_closed = |at_ms: &u64| zones.is_closed(&zone, Timestamp::from_millis(*at_ms));
        let actual = match zones.returned_at(&zone) {
            Some(at) => Expected::ReturnedAt(at.as_micros() / 1_000),
            None => Expected::ClosedAt((0..100_000).find(is_closed).unwrap()),
        };
        assert_eq!(actual, case.expected, "{}", case.name);
        assert_eq!(
            zones.contains(&zone),
            matches!(actual, Expected::ClosedAt(_))
        );
    }
}
