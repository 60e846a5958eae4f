use strum::IntoEnumIterator;

use super::*;

#[test]
fn only_an_unknown_outcome_uses_08007() {
    for reason in RefusalReason::iter() {
        let unknown = reason.outcome() == Outcome::Unknown;
        assert_eq!(reason.sqlstate() == "08007", unknown, "{reason}");
        let message = Refusal::without_retry(reason).message();
        assert_eq!(message.starts_with("not run: "), !unknown, "{message}");
    }
}

#[test]
fn message_says_when_to_retry() {
    let refusal = Refusal::with_retry(RefusalReason::RateExceeded, Duration::from_millis(120));
    assert!(refusal.message().ends_with("retry in 120 ms"));
}
