use super::*;

const EXPECTED: Duration = Duration::from_millis(10);

fn observe(limit: &mut ConcurrencyLimit, samples: u32, millis: u64) {
    for _ in 0..samples {
        limit.observe(Duration::from_millis(millis), EXPECTED);
    }
}

#[test]
fn a_slowed_instance_gets_less_and_a_recovered_one_all_slots() {
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
fn one_slow_statement_changes_nothing() {
    let mut limit = ConcurrencyLimit::new(3);
    observe(&mut limit, 1, 10_000);
    observe(&mut limit, 2 * WINDOW_SAMPLES, 10);
    assert_eq!(limit.limit(), 3);
}
