use proptest::prelude::*;

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
fn a_new_bucket_is_empty_and_refills_up_to_its_burst() {
    struct Case {
        at_ms: u64,
        tokens: f64,
    }
    let cases = [
        Case {
            at_ms: 0,
            tokens: 0.0,
        },
        Case {
            at_ms: 100,
            tokens: 1.0,
        },
        Case {
            at_ms: 1_500,
            tokens: 15.0,
        },
        Case {
            at_ms: 2_000,
            tokens: 20.0,
        },
        Case {
            at_ms: 60_000,
            tokens: 20.0,
        },
    ];
    for case in cases {
        let mut bucket = Bucket::empty(SHARE, at(0));
        let tokens = bucket.tokens(at(case.at_ms));
        assert!(
            (tokens - case.tokens).abs() < 1e-6,
            "{} ms: {tokens}",
            case.at_ms
        );
    }
}

#[test]
fn available_at_is_when_the_rate_has_refilled_the_tokens() {
    let mut bucket = Bucket::empty(SHARE, at(0));
    assert!(!bucket.try_take(1.0, at(50)));
    assert_eq!(bucket.available_at(1.0, at(50)), Some(at(100)));
    assert!(bucket.try_take(1.0, at(100)));
    assert_eq!(bucket.available_at(21.0, at(100)), None);
}

#[test]
fn the_capacity_of_sent_tokens_returns_after_the_hold() {
    let mut bucket = Bucket::empty(SHARE, at(0));
    assert!((bucket.withdraw(15.0, at(10_000)) - 15.0).abs() < 1e-9);
    assert!((bucket.tokens(at(10_090)) - 5.0).abs() < 1e-6);
    assert!((bucket.tokens(at(10_200)) - 6.0).abs() < 1e-6);
}

#[test]
fn received_tokens_may_exceed_the_burst_until_the_hold_ends() {
    let mut bucket = Bucket::empty(SHARE, at(0));
    bucket.deposit(30.0, at(10_500), at(10_000));
    assert!((bucket.tokens(at(10_499)) - 50.0).abs() < 1e-6);
    assert!((bucket.tokens(at(10_500)) - 20.0).abs() < 1e-6);
}

#[test]
fn tokens_received_after_the_hold_are_dropped() {
    let mut bucket = Bucket::empty(SHARE, at(0));
    bucket.deposit(30.0, at(100), at(200));
    assert!((bucket.tokens(at(200)) - 2.0).abs() < 1e-6);
}

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Take {
        home: usize,
        tokens: u8,
    },
    Transfer {
        giver: usize,
        tokens: u8,
        delay_ms: u64,
    },
    Scale {
        home: usize,
        halved: bool,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0_u64..150).prop_map(Step::Wait),
        (0_usize..3, 1_u8..12).prop_map(|(home, tokens)| Step::Take { home, tokens }),
        (0_usize..3, 1_u8..40, 0_u64..200).prop_map(|(giver, tokens, delay_ms)| Step::Transfer {
            giver,
            tokens,
            delay_ms
        }),
        (0_usize..3, any::<bool>()).prop_map(|(home, halved)| Step::Scale { home, halved }),
    ];
    prop::collection::vec(step, 1..120)
}

struct InFlight {
    home: usize,
    tokens: f64,
    until: Timestamp,
    arrives: Timestamp,
}

proptest! {
    /// Under any sequence of transfers, delays and changes of shares, no window admits more than
    /// rate and burst.
    #[test]
    fn no_window_admits_more_than_rate_and_burst(steps in steps()) {
        let mut now = at(0);
        let mut buckets: Vec<_> = (0..3).map(|_| Bucket::empty(SHARE, now)).collect();
        let mut in_flight: Vec<InFlight> = Vec::new();
        let mut admitted: Vec<(Timestamp, f64)> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(millis) => now = now + Duration::from_millis(millis),
                Step::Take { home, tokens } => {
                    if buckets[home].try_take(f64::from(tokens), now) {
                        admitted.push((now, f64::from(tokens)));
                    }
                }
                Step::Transfer { giver, tokens, delay_ms } => in_flight.push(InFlight {
                    home: (giver + 1) % 3,
                    tokens: buckets[giver].withdraw(f64::from(tokens), now),
                    until: now + TRANSFER_HOLD,
                    arrives: now + Duration::from_millis(delay_ms),
                }),
                Step::Scale { home, halved } => {
                    let scale = if halved { 0.5 } else { 1.0 };
                    let share = Share { rate_per_s: 10.0 * scale, burst: 20.0 * scale, weight: 1 };
                    buckets[home].set_share(share, now);
                }
            }
            for transfer in in_flight.extract_if(.., |transfer| transfer.arrives <= now) {
                buckets[transfer.home].deposit(transfer.tokens, transfer.until, now);
            }
        }
        for (first, (from, _)) in admitted.iter().enumerate() {
            let mut sum = 0.0;
            for (to, tokens) in &admitted[first..] {
                sum += tokens;
                let bound = 60.0 + 30.0 * to.since(*from).as_secs_f64();
                prop_assert!(sum <= bound + 1e-6, "{sum} above {bound} in {from}..{to}");
            }
        }
    }
}
