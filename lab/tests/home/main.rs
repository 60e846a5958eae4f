//! The home of a database, against the stand-in database and over a real peer connection.

mod bench;

use std::sync::Arc;
use std::time::Duration;

use bench::{Bench, BenchSettings, head, until};
use currantlb::control::snapshot::{Snapshot, Standing};
use currantlb::settings::Settings;
use currantlb::time::Timestamp;
use currantlb::traffic::{
    Access, CallerFrame, ExchangeHead, Refusal, RefusalReason, SessionSetting,
};
use currantlb_lab::database::{InstanceSettings, InstanceShape};

const INSERT: &str = "INSERT INTO tree (id, name) VALUES (1, 'oak')";

#[tokio::test]
async fn statements_run_and_are_read_back() {
    let bench = Bench::start(BenchSettings::default()).await;
    let saved = bench.run(Access::Write, INSERT).await;
    assert_eq!((saved.refusal, saved.tags().as_str()), (None, "CZ"));
    let read = bench.run(Access::Read, "SELECT name FROM tree").await;
    assert_eq!(read.values(), ["oak"], "{read:?}");
    assert_eq!(bench.group.violations(), []);
}

#[tokio::test]
async fn a_save_is_held_until_a_second_instance_has_it() {
    let bench = Bench::start(BenchSettings {
        settings: bench::short_gate(),
        ..BenchSettings::default()
    })
    .await;
    for replica in ["instance-2", "instance-3"] {
        bench.group.set_lag(replica, Duration::from_mins(1));
    }
    let saved = bench.run(Access::Write, INSERT).await;
    let reason = saved.refusal.map(|refusal| refusal.reason);
    assert_eq!(
        (reason, saved.tags().as_str()),
        (Some(RefusalReason::GateTimeout), "")
    );
}

#[tokio::test]
async fn transactions_of_two_callers_do_not_mix() {
    let bench = Bench::start(BenchSettings::default()).await;
    let mut lost = bench.open(head(Access::Write)).await;
    lost.query("BEGIN").await;
    assert_eq!(lost.answer().await.tags(), "CZ");
    lost.query(INSERT).await;
    lost.answer().await;
    lost.send(CallerFrame::Disconnected).await;
    drop(lost);
    until("the transaction's connection closes", || {
        bench.group.connections("instance-1") <= 4
    })
    .await;
    let count = bench.run(Access::Write, "SELECT count(*) FROM tree").await;
    assert_eq!(count.values(), ["0"], "{count:?}");
    assert_eq!(bench.group.violations(), []);
}

#[tokio::test]
async fn a_home_answers_only_while_it_is_one() {
    struct Case {
        name: &'static str,
        change: fn(&mut Snapshot),
        reason: RefusalReason,
    }
    let cases = [
        Case {
            name: "lease lapsed",
            change: |snapshot| {
                for view in snapshot.databases.values_mut() {
                    Arc::make_mut(view).lease.valid_until = Timestamp::ZERO;
                }
            },
            reason: RefusalReason::HomeUnknown,
        },
        Case {
            name: "home moved",
            change: |snapshot| snapshot.databases.clear(),
            reason: RefusalReason::HomeUnknown,
        },
        Case {
            name: "vm stops",
            change: |snapshot| snapshot.standing = Standing::Draining,
            reason: RefusalReason::HomeUnknown,
        },
        Case {
            name: "vm cut off",
            change: |snapshot| snapshot.standing = Standing::Isolated,
            reason: RefusalReason::Isolated,
        },
        Case {
            name: "workspace removed",
            change: |snapshot| {
                Arc::make_mut(&mut snapshot.configuration)
                    .workspaces
                    .clear();
            },
            reason: RefusalReason::KeyWithdrawn,
        },
        Case {
            name: "database removed",
            change: |snapshot| Arc::make_mut(&mut snapshot.configuration).databases.clear(),
            reason: RefusalReason::DatabaseUnknown,
        },
    ];
    for case in cases {
        let bench = Bench::start(BenchSettings::default()).await;
        bench.change(case.change);
        let answer = bench.run(Access::Write, INSERT).await;
        let reason = answer.refusal.map(|refusal| refusal.reason);
        assert_eq!(reason, Some(case.reason), "{}", case.name);
        let rows = bench
            .group
            .query("instance-1", "SELECT id FROM tree")
            .unwrap();
        assert!(rows.is_empty(), "{}: a refused save ran", case.name);
    }
}

#[tokio::test]
async fn writes_wait_while_a_switchover_is_under_way() {
    let bench = Bench::start(BenchSettings::default()).await;
    bench.change_view(|view| view.writes_paused = true);
    let mut caller = bench.open(head(Access::Write)).await;
    caller.query(INSERT).await;
    let read = bench.run(Access::Read, "SELECT name FROM tree").await;
    assert!(read.values().is_empty(), "the save ran too early");
    bench.change_view(|view| view.writes_paused = false);
    assert_eq!(caller.answer().await.tags(), "CZ");
}

#[tokio::test]
async fn a_caller_that_goes_in_mid_statement_leaves_nothing_to_the_next() {
    let bench = Bench::start(BenchSettings {
        slots: 1,
        ..BenchSettings::default()
    })
    .await;
    for _ in 0..3 {
        let mut lost = bench.open(head(Access::Write)).await;
        lost.query("SELECT pg_sleep(60)").await;
        tokio::task::yield_now().await;
        lost.send(CallerFrame::Disconnected).await;
        drop(lost);
        let next = bench.run(Access::Write, "SELECT 'next'").await;
        assert_eq!(
            (next.refusal, next.values()),
            (None, vec!["next".to_owned()])
        );
    }
    assert_eq!(bench.group.violations(), []);
}

#[tokio::test]
async fn a_lost_answer_is_never_called_not_run() {
    let bench = Bench::start(BenchSettings::default()).await;
    let mut caller = bench.open(head(Access::Write)).await;
    caller.query("SELECT pg_sleep(60)").await;
    until("the statement runs", || {
        bench.group.running("instance-1") == 1
    })
    .await;
    bench.group.kill("instance-1");
    let reason = caller.answer().await.refusal.map(|refusal| refusal.reason);
    assert_eq!(reason, Some(RefusalReason::AnswerLost));
}

#[tokio::test]
async fn a_transaction_lost_between_statements_is_said_to_be_rolled_back() {
    let bench = Bench::start(BenchSettings::default()).await;
    let mut caller = bench.open(head(Access::Write)).await;
    caller.query("BEGIN").await;
    caller.answer().await;
    bench.group.kill("instance-1");
    caller.query(INSERT).await;
    let reason = caller.answer().await.refusal.map(|refusal| refusal.reason);
    assert_eq!(reason, Some(RefusalReason::TransactionLost));
}

#[tokio::test]
async fn an_idle_transaction_is_rolled_back_and_told_so_when_it_next_asks() {
    let mut settings = Settings::default();
    settings.databases.idle_in_transaction_timeout_ms = 50;
    let bench = Bench::start(BenchSettings {
        settings,
        slots: 1,
        ..BenchSettings::default()
    })
    .await;
    let mut caller = bench.open(head(Access::Write)).await;
    caller
        .query("BEGIN; INSERT INTO tree (id, name) VALUES (1, 'oak')")
        .await;
    caller.answer().await;
    let mut other = bench.open(head(Access::Write)).await;
    other.query("BEGIN").await;
    other.answer().await;
    // Beside the other's connection there is then only the one for control.
    until("the first connection closes", || {
        bench.group.connections("instance-1") == 2
    })
    .await;
    caller.query("COMMIT").await;
    let reason = caller.answer().await.refusal.map(|refusal| refusal.reason);
    assert_eq!(reason, Some(RefusalReason::IdleInTransaction));
    let rows = bench
        .group
        .query("instance-1", "SELECT id FROM tree")
        .unwrap();
    assert!(rows.is_empty(), "the transaction was kept");
}

#[tokio::test]
async fn a_cancel_request_ends_its_own_statement_only() {
    let bench = Bench::start(BenchSettings::default()).await;
    let mut cancelled = bench.open(head(Access::Write)).await;
    let mut other = bench.open(head(Access::Write)).await;
    cancelled.query("SELECT pg_sleep(60)").await;
    other.query("SELECT pg_sleep(0.3)").await;
    until("both statements run", || {
        bench.group.running("instance-1") == 2
    })
    .await;
    cancelled.send(CallerFrame::Cancel).await;
    assert_eq!(cancelled.answer().await.tags().replace('T', ""), "EZ");
    let other = other.answer().await;
    assert!(other.tags().ends_with("CZ"), "{}", other.tags());
}

#[tokio::test]
async fn settings_follow_the_caller_and_not_the_connection() {
    let bench = Bench::start(BenchSettings::default()).await;
    let zone = |value: &str| SessionSetting {
        name: "timezone".to_owned(),
        value: value.to_owned(),
    };
    for value in ["Asia/Kuala_Lumpur", "Asia/Kathmandu", "Asia/Kuala_Lumpur"] {
        let mut caller = bench
            .open(ExchangeHead {
                settings: vec![zone(value)],
                ..head(Access::Write)
            })
            .await;
        caller.query("SHOW timezone").await;
        let answer = caller.answer().await;
        assert_eq!(answer.values(), [value], "{answer:?}");
    }
    let plain = bench.run(Access::Write, "SHOW timezone").await.values();
    assert!(
        !plain[0].starts_with("Asia/"),
        "a setting was left behind: {plain:?}"
    );
}

async fn save_in_transaction(bench: &Bench, sql: &str) -> Option<Refusal> {
    let mut caller = bench.open(head(Access::Write)).await;
    for statement in ["BEGIN", sql, "COMMIT"] {
        caller.query(statement).await;
        let refusal = caller.answer().await.refusal;
        if refusal.is_some() {
            return refusal;
        }
    }
    None
}

#[tokio::test]
async fn many_callers_exceed_neither_slots_nor_connections() {
    let shape = InstanceShape {
        slots: 2,
        connections: 6,
        ..InstanceShape::default()
    };
    let instances = ["instance-1", "instance-2", "instance-3"].map(|name| InstanceSettings {
        name: name.to_owned(),
        shape: shape.clone(),
        ..InstanceSettings::default()
    });
    let mut settings = BenchSettings {
        slots: 2,
        connections: 6,
        ..BenchSettings::default()
    };
    settings.group.instances = instances.to_vec();
    let bench = Bench::start(settings).await;
    let save = async |number: u32| {
        let sql = format!("INSERT INTO tree (id, name) VALUES ({number}, 'oak')");
        if number.is_multiple_of(4) {
            return save_in_transaction(&bench, &sql).await;
        }
        bench.run(Access::Write, &sql).await.refusal
    };
    let refusals: Vec<_> = futures::future::join_all((0..100).map(save)).await;
    assert!(refusals.iter().all(Option::is_none), "{refusals:?}");
    let count = bench.run(Access::Write, "SELECT count(*) FROM tree").await;
    assert_eq!(count.values(), ["100"]);
    assert_eq!(bench.group.violations(), []);
}

#[tokio::test]
async fn a_transaction_that_holds_locks_ends_however_busy_the_slots_are() {
    let bench = Bench::start(BenchSettings {
        slots: 2,
        ..BenchSettings::default()
    })
    .await;
    let mut caller = bench.open(head(Access::Write)).await;
    for statement in ["BEGIN", INSERT] {
        caller.query(statement).await;
        assert_eq!(caller.answer().await.refusal, None);
    }
    // As statements do that wait for the transaction's locks.
    let busy = async || bench.run(Access::Write, "SELECT pg_sleep(3)").await.refusal;
    let commit = async {
        until("a slot is busy", || bench.group.running("instance-1") > 0).await;
        let start = tokio::time::Instant::now();
        caller.query("COMMIT").await;
        assert_eq!(caller.answer().await.refusal, None);
        start.elapsed()
    };
    let (first, second, took) = tokio::join!(busy(), busy(), commit);
    assert_eq!((first, second), (None, None));
    assert!(took < Duration::from_secs(1), "the commit took {took:?}");
}
