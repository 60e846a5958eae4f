use super::{Health, Verdict};
use crate::time::Timestamp;

const fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test]
fn an_instance_is_unreachable_after_two_failures_over_250_ms() {
    let mut health = Health::default();
    health.on_failed(at(1_000));
    assert_eq!(health.verdict(at(1_100)), Verdict::Doubtful);
    health.on_failed(at(1_200));
    assert_eq!(health.verdict(at(1_240)), Verdict::Doubtful);
    assert_eq!(health.verdict(at(1_250)), Verdict::Unreachable);
}

#[test]
fn an_instance_with_a_single_failure_is_only_doubtful() {
    let mut health = Health::default();
    health.on_failed(at(1_000));
    assert_eq!(health.verdict(at(9_000)), Verdict::Doubtful);
}

#[test]
fn a_response_after_failures_makes_an_instance_healthy() {
    let mut health = Health::default();
    health.on_failed(at(1_000));
    health.on_failed(at(1_200));
    health.on_response(at(1_300));
    assert_eq!(health.verdict(at(1_400)), Verdict::Healthy);
}

#[test]
fn an_instance_is_doubtful_only_while_a_statement_awaits_its_response() {
    let mut health = Health::default();
    health.on_sent(at(1_000));
    assert_eq!(health.verdict(at(1_200)), Verdict::Healthy);
    assert_eq!(health.verdict(at(1_300)), Verdict::Doubtful);
    health.on_statement_response(at(1_310));
    assert_eq!(health.verdict(at(9_000)), Verdict::Healthy);
}

#[test]
fn a_primary_is_stalled_after_two_saves_timed_out_although_reads_succeed() {
    let mut health = Health::default();
    health.on_save(false);
    health.on_response(at(1_000));
    assert_eq!(health.verdict(at(1_000)), Verdict::Healthy);
    health.on_save(false);
    health.on_response(at(2_000));
    assert_eq!(health.verdict(at(2_000)), Verdict::Stalled);
    health.on_save(true);
    assert_eq!(health.verdict(at(2_000)), Verdict::Healthy);
}

#[test]
fn a_stalled_primary_without_a_replica_admits_one_save_an_interval() {
    let mut health = Health::default();
    health.on_save(false);
    assert!(health.admits_save(at(1_000)));
    health.on_save(false);
    let admitted = (1_000..3_500).step_by(100);
    let admitted: Vec<_> = admitted.filter(|ms| health.admits_save(at(*ms))).collect();
    assert_eq!(admitted, [2_000, 3_000]);
    health.on_save(true);
    assert!(health.admits_save(at(3_500)));
}
