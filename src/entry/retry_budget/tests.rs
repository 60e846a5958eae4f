use super::*;

fn database() -> DatabaseName {
    "orders".into()
}

/// Guards against retries that grow with the failures instead of with the traffic.
#[test]
fn retries_are_at_most_a_fifth_of_the_first_attempts_and_the_reserve() {
    struct Case {
        first_attempts: u32,
        /// Attempts that fail after each first attempt.
        failures_each: u32,
        max_retries: u32,
        min_retries: u32,
    }
    let cases = [
        Case {
            first_attempts: 10,
            failures_each: 1,
            max_retries: 20,
            min_retries: 10,
        },
        Case {
            first_attempts: 1_000,
            failures_each: 1,
            max_retries: 220,
            min_retries: 210,
        },
        Case {
            first_attempts: 1_000,
            failures_each: 4,
            max_retries: 220,
            min_retries: 210,
        },
        Case {
            first_attempts: 0,
            failures_each: 0,
            max_retries: 0,
            min_retries: 0,
        },
    ];
    for case in cases {
        let mut budgets = RetryBudgets::default();
        let mut retries = 0;
        for _ in 0..case.first_attempts {
            budgets.on_first_attempt(&database());
            let taken = (0..case.failures_each).map(|_| budgets.take(&database(), 1));
            retries += u32::try_from(taken.flatten().count()).unwrap();
        }
        let allowed = case.min_retries..=case.max_retries;
        assert!(allowed.contains(&retries), "{retries} of {allowed:?}");
    }
}

/// Guards against a quiet hour that saves up retries for the next failure.
#[test]
fn first_attempts_restore_the_budget_up_to_the_reserve() {
    let mut budgets = RetryBudgets::default();
    let take_all = |budgets: &mut RetryBudgets| {
        (0..100)
            .filter(|_| budgets.take(&database(), 1).is_ok())
            .count()
    };
    assert_eq!(take_all(&mut budgets), 20);
    assert_eq!(budgets.take(&database(), 1), Err(Denial::Budget));
    assert_eq!(budgets.take(&"other".into(), 1), Ok(()));
    for _ in 0..10_000 {
        budgets.on_first_attempt(&database());
    }
    assert_eq!(take_all(&mut budgets), 20);
}

/// Guards against attempts of VM, gateway and instance that multiply.
#[test]
fn a_statement_has_a_bounded_number_of_attempts() {
    let mut budgets = RetryBudgets::default();
    for attempts in 1..5 {
        assert_eq!(budgets.take(&database(), attempts), Ok(()));
    }
    assert_eq!(budgets.take(&database(), 5), Err(Denial::Attempts));
}
