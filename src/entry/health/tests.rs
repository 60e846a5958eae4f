use super::{Health, Verdict};
use crate::time::Timestamp;

const fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test]
fn refused_connections_make_a_primary_unreachable_only_after_a_while() {
    let mut health = Health::default();
    health.failed(at(1_000));
    assert_eq!(health.verdict(at(1_100)), Verdict::Doubtful);
    health.failed(at(1_200));
    assert_eq!(health.verdict(at(1_240)), Verdict::Doubtful);
    assert_eq!(health.verdict(at(1_250)), Verdict::Unreachable);
}

#[test]
fn one_failure_alone_never_makes_a_primary_unreachable() {
    let mut health = Health::default();
    health.failed(at(1_000));
    assert_eq!(health.verdict(at(9_000)), Verdict::Doubtful);
}

#[test]
fn an_answer_clears_the_suspicion() {
    let mut health = Health::default();
    health.failed(at(1_000));
    health.failed(at(1_200));
    health.heard(at(1_300));
    assert_eq!(health.verdict(at(1_400)), Verdict::Healthy);
}

#[test]
fn silence_counts_only_while_a_statement_waits() {
    let mut health = Health::default();
    health.sent(at(1_000));
    assert_eq!(health.verdict(at(1_200)), Verdict::Healthy);
    assert_eq!(health.verdict(at(1_300)), Verdict::Doubtful);
    health.answered(at(1_310));
    assert_eq!(health.verdict(at(9_000)), Verdict::Healthy);
}

#[test]
fn saves_that_time_out_stall_a_primary_that_answers_reads() {
    let mut health = Health::default();
    health.saved(false);
    health.heard(at(1_000));
    assert_eq!(health.verdict(at(1_000)), Verdict::Healthy);
    health.saved(false);
    health.heard(at(2_000));
    assert_eq!(health.verdict(at(2_000)), Verdict::Stalled);
    health.saved(true);
    assert_eq!(health.verdict(at(2_000)), Verdict::Healthy);
}
