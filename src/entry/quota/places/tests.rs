use std::collections::HashSet;

use super::*;

struct Case {
    name: &'static str,
    refusals: u64,
    /// Milliseconds between two refusals.
    interval_ms: u64,
    /// Tokens per second.
    rate_per_s: f64,
    patience_ms: u64,
    /// Number of callers that must be told a time within their patience.
    min_in_time: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "a few hundred callers at once",
        refusals: 400,
        interval_ms: 0,
        rate_per_s: 50.0,
        patience_ms: 1_000,
        min_in_time: 49,
    },
    Case {
        name: "four times the rate for ten seconds",
        refusals: 1_500,
        interval_ms: 7,
        rate_per_s: 50.0,
        patience_ms: 1_000,
        min_in_time: 490,
    },
    Case {
        name: "a small share of a limit",
        refusals: 200,
        interval_ms: 20,
        rate_per_s: 2.0,
        patience_ms: 1_000,
        min_in_time: 8,
    },
];

/// Guards against delays that grow with the number of refusals (callers with a second left were told
/// to retry after 5 s in the median), and against callers that are told the same time.
#[test]
fn delays_stay_within_reach_of_the_callers() {
    for case in CASES {
        let mut places = Places::default();
        let spacing = Duration::from_secs_f64(1.0 / case.rate_per_s);
        let patience = Duration::from_millis(case.patience_ms);
        let mut in_time = 0;
        let mut returns_at = HashSet::new();
        for request in 0..case.refusals {
            let now = Timestamp::from_millis(100_000 + request * case.interval_ms);
            places.forget_missed(now);
            let place = Place {
                request,
                earliest: now + spacing,
                latest: now + patience,
                spacing,
            };
            let delay = places.book(place, now);
            assert!(delay <= patience * 2 + spacing, "{}: {delay:?}", case.name);
            in_time += usize::from(delay <= patience);
            returns_at.insert(now + delay);
        }
        // Two spread times may coincide by chance.
        let distinct = returns_at.len() as u64;
        assert!(
            distinct * 100 >= case.refusals * 99,
            "{}: {distinct}",
            case.name
        );
        assert!(in_time >= case.min_in_time, "{}: {in_time}", case.name);
    }
}
