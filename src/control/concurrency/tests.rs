use super::*;

const EXPECTED: Duration = Duration::from_millis(10);

fn observe(limit: &mut ConcurrencyLimit, samples: u32, millis: u64) {
    for _ in 0..samples {
        limit.observe(Duration::from_millis(millis), EXPECTED);
    }
}

#[test]
fn the_limit_falls_for_a_slow_instance_and_recovers_with_it() {
    struct Case {
        millis: u64,
        limit: usize,
    }
    let cases = [
        Case {
            millis: 10,
            limit: 3,
        },
        Case {
            millis: 15,
            limit: 3,
        },
        Case {
            millis: 40,
            limit: 1,
        },
        Case {
            millis: 10,
            limit: 3,
        },
    ];
    let mut limit = ConcurrencyLimit::new(3);
    for case in cases {
        observe(&mut limit, 10 * WINDOW_SAMPLES, case.millis);
        assert_eq!(limit.limit(), case.limit, "{} ms", case.millis);
    }
}

#[test]
fn one_slow_statement_does_not_lower_the_limit() {
    let mut limit = ConcurrencyLimit::new(3);
    observe(&mut limit, 1, 10_000);
    observe(&mut limit, 2 * WINDOW_SAMPLES, 10);
    assert_eq!(limit.limit(), 3);
}
