use super::*;

const TTL: Duration = Duration::from_millis(1_500);

#[test]
fn a_lease_is_not_relied_on_after_a_suspension() {
    struct Case {
        name: &'static str,
        sent_before: Duration,
        is_valid: bool,
    }
    let cases = [
        Case {
            name: "just granted",
            sent_before: Duration::ZERO,
            is_valid: true,
        },
        Case {
            name: "renewed before a suspension that outlasts it",
            sent_before: TTL,
            is_valid: false,
        },
        Case {
            name: "about to lapse",
            sent_before: Duration::from_millis(1_300),
            is_valid: false,
        },
    ];
    for case in cases {
        let now = clock::now();
        let sent_at = Timestamp::ZERO + now.since(Timestamp::ZERO + case.sent_before);
        let lease = FailoverLease::default();
        lease.renew(sent_at, TTL);
        assert_eq!(lease.is_valid(), case.is_valid, "{}", case.name);
    }
}

#[test]
fn a_released_lease_is_not_valid() {
    let lease = FailoverLease::default();
    lease.renew(clock::now(), TTL);
    lease.end();
    assert!(!lease.is_valid());
    assert_eq!(lease.time_left(), Duration::ZERO);
}

#[test]
fn a_lease_is_not_released_while_a_call_that_was_given_up_may_arrive() {
    let lease = FailoverLease::default();
    lease.begin_call();
    lease.begin_call();
    lease.end_call();
    assert!(lease.has_unanswered_call());
    lease.end_call();
    assert!(!lease.has_unanswered_call());
}
