use super::*;

const SHARE: Share = Share {
    rate_per_s: 10.0,
    burst: 20.0,
    weight: 1,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn tokens_are_requested_from_other_homes_before_a_request_is_refused() {
    let mut allowance = Allowance::new(SHARE, at(0));
    assert_eq!(allowance.admit(1.0, at(1)), Admission::AwaitingTransfer);
    assert!(
        allowance
            .tokens_to_request(at(1))
            .is_some_and(|tokens| tokens >= 0.9)
    );
    assert_eq!(
        allowance.tokens_to_request(at(2)),
        None,
        "the last request is too recent"
    );
    allowance.deposit(1.0, at(100), at(5));
    assert_eq!(
        allowance.admit_after_transfer(1.0, at(5)),
        Admission::Granted
    );
}

#[test]
fn refused_requests_get_distinct_retry_times_at_once() {
    let mut allowance = Allowance::new(SHARE, at(0));
    allowance.admit(1.0, at(0));
    allowance.transfers_ended(at(4));
    let retry_after: Vec<_> = (0..3)
        .map(|_| match allowance.admit(1.0, at(4)) {
            Admission::Refused { retry_after } => retry_after.as_millis(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(retry_after, [96, 196, 296]);
}

#[test]
fn a_home_transfers_tokens_beyond_its_own_demand() {
    struct Case {
        demand_per_s: u64,
        requested: f64,
        given: f64,
    }
    let cases = [
        Case {
            demand_per_s: 0,
            requested: 5.0,
            given: 5.0,
        },
        Case {
            demand_per_s: 0,
            requested: 50.0,
            given: 20.0,
        },
        Case {
            demand_per_s: 10,
            requested: 50.0,
            given: 19.0,
        },
    ];
    for case in cases {
        let mut allowance = Allowance::new(SHARE, at(0));
        for request in 0..case.demand_per_s * 5 {
            allowance.admit(1.0, at(10_000 + request * 1_000 / case.demand_per_s));
        }
        let given = allowance.withdraw(case.requested, at(15_000));
        assert!(
            (given - case.given).abs() < 1.0,
            "{given} of {}",
            case.requested
        );
    }
}

#[test]
fn tokens_are_requested_ahead_of_demand() {
    let share = Share {
        rate_per_s: 10.0,
        burst: 100.0,
        weight: 1,
    };
    let mut allowance = Allowance::new(share, at(0));
    let mut requested = Vec::new();
    for millis in 20_000..22_000 {
        if millis % 10 == 0 {
            assert_eq!(
                allowance.admit(1.0, at(millis)),
                Admission::Granted,
                "at {millis} ms"
            );
        }
        if let Some(tokens) = allowance.tokens_to_request(at(millis)) {
            requested.push(tokens);
            allowance.deposit(tokens, at(millis + 100), at(millis));
        }
    }
    assert!(
        !requested.is_empty() && requested.len() < 20,
        "{requested:?}"
    );
}
