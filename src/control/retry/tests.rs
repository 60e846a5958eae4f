use super::*;

fn request(attempts: u32) -> RetryRequest {
    RetryRequest {
        attempts,
        time_left: Duration::from_secs(1),
        expected: Duration::from_millis(5),
        jitter: 0.5,
    }
}

#[test]
fn a_retry_is_granted_within_attempts_and_deadline() {
    struct Case {
        name: &'static str,
        request: RetryRequest,
        delay_ms: Option<u64>,
    }
    let cases = [
        Case {
            name: "first retry",
            request: request(1),
            delay_ms: Some(5),
        },
        Case {
            name: "second retry waits twice as long",
            request: request(2),
            delay_ms: Some(10),
        },
        Case {
            name: "attempts used up",
            request: request(3),
            delay_ms: None,
        },
        Case {
            name: "would end after the deadline",
            request: RetryRequest {
                time_left: Duration::from_millis(9),
                ..request(1)
            },
            delay_ms: None,
        },
        Case {
            name: "no jitter means no delay",
            request: RetryRequest {
                jitter: 0.0,
                ..request(1)
            },
            delay_ms: Some(0),
        },
    ];
    for case in cases {
        let mut budget = RetryBudget::new(RetrySettings::default());
        let delay = budget.take(&"crew".into(), &case.request);
        let expected = case.delay_ms.map(Duration::from_millis);
        assert_eq!(delay, expected, "{}", case.name);
    }
}

#[test]
fn retries_of_one_workspace_stay_within_the_ratio_and_do_not_affect_others() {
    let settings = RetrySettings::default();
    let mut budget = RetryBudget::new(settings);
    let retrying = WorkspaceName::from("retrying");
    let mut granted = 0_u32;
    for _ in 0..10_000 {
        budget.record_first_attempt(&retrying);
        granted += u32::from(budget.take(&retrying, &request(1)).is_some());
    }
    assert!((1_000..=1_011).contains(&granted), "{granted}");
    assert!(budget.take(&"other".into(), &request(1)).is_some());
}
