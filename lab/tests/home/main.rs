//! The home of a database, with the stand-in database and a real peer connection.

mod bench;

use std::sync::Arc;
use std::time::Duration;

use bench::{Bench, BenchSettings, head, wait_until};
use currantlb::control::snapshot::{Snapshot, Standing};
use currantlb::settings::Settings;
use currantlb::time::Timestamp;
use currantlb::traffic::{
    Access, CallerFrame, ExchangeHead, Refusal, RefusalReason, SessionSetting,
};
use currantlb_lab::database::{InstanceLimits, InstanceSettings};

const INSERT: &str = "INSERT INTO tree (id, name) VALUES (1, 'oak')";

#[tokio::test]
async fn a_save_is_acknowledged_and_read_back() {
    let bench = Bench::start(BenchSettings::default()).await;
    let saved = bench.run(Access::Write, INSERT).await;
    assert_eq!((saved.refusal, saved.tags().as_str()), (None, "CZ"));
    let read = bench.run(Access::Read, "SELECT name FROM tree").await;
    assert_eq!(read.values(), ["oak"], "{read:?}");
    assert_eq!(bench.group.violations(), []);
}

#[tokio::test]
async fn a_save_that_no_replica_has_times_out_at_the_answer_gate() {
    let bench = Bench::start(BenchSettings {
        settings: bench::short_gate_timeout(),
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
async fn the_transaction_of_a_disconnected_caller_is_rolled_back() {
    let bench = Bench::start(BenchSettings::default()).await;
    let mut disconnected = bench.open(head(Access::Write)).await;
    disconnected.query("BEGIN").await;
    assert_eq!(disconnected.response().await.tags(), "CZ");
    disconnected.query(INSERT).await;
    disconnected.response().await;
    disconnected.send(CallerFrame::Disconnected).await;
    drop(disconnected);
    wait_until("the transaction's connection closes", || {
        bench.group.connections("instance-1") <= 4
    })
    .await;
    let count = bench.run(Access::Write, "SELECT count(*) FROM tree").await;
    assert_eq!(count.values(), ["0"], "{count:?}");
    assert_eq!(bench.group.violations(), []);
}

#[tokio::test]
async fn a_home_that_may_not_serve_refuses_statements_without_running_them() {
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
            name: "vm isolated",
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
        let response = bench.run(Access::Write, INSERT).await;
        let reason = response.refusal.map(|refusal| refusal.reason);
        assert_eq!(reason, Some(case.reason), "{}", case.name);
        let rows = bench
            .group
            .query("instance-1", "SELECT id FROM tree")
            .unwrap();
        assert!(rows.is_empty(), "{}: a refused save ran", case.name);
    }
}

#[tokio::test]
async fn a_read_is_answered_although_the_lease_of_its_home_lapses_meanwhile() {
    let bench = Bench::start(BenchSettings::default()).await;
    let mut caller = bench.open(head(Access::Read)).await;
    caller.query("SELECT pg_sleep(0.2)").await;
    let instances = ["instance-1", "instance-2", "instance-3"];
    wait_until("the read runs", || {
        let running = instances.map(|instance| bench.group.running(instance));
        running.iter().sum::<u32>() == 1
    })
    .await;
    bench.change_view(|view| view.lease.valid_until = Timestamp::ZERO);
    let response = caller.response().await;
    assert_eq!(response.refusal, None, "{response:?}");
    let next = bench.run(Access::Read, "SELECT name FROM tree").await;
    let reason = next.refusal.map(|refusal| refusal.reason);
    assert_eq!(reason, Some(RefusalReason::HomeUnknown));
}

#[tokio::test]
async fn writes_wait_until_a_switchover_has_ended() {
    let bench = Bench::start(BenchSettings::default()).await;
    bench.change_view(|view| view.writes_paused = true);
    let mut caller = bench.open(head(Access::Write)).await;
    caller.query(INSERT).await;
    let read = bench.run(Access::Read, "SELECT name FROM tree").await;
    assert!(read.values().is_empty(), "the save ran too early");
    bench.change_view(|view| view.writes_paused = false);
    assert_eq!(caller.response().await.tags(), "CZ");
}

#[tokio::test]
async fn a_caller_that_disconnects_during_a_statement_does_not_affect_the_next() {
    let bench = Bench::start(BenchSettings {
        slots: 1,
        ..BenchSettings::default()
    })
    .await;
    for _ in 0..3 {
        let mut disconnected = bench.open(head(Access::Write)).await;
        disconnected.query("SELECT pg_sleep(60)").await;
        tokio::task::yield_now().await;
        disconnected.send(CallerFrame::Disconnected).await;
        drop(disconnected);
        let next = bench.run(Access::Write, "SELECT 'next'").await;
        assert_eq!(
            (next.refusal, next.values()),
            (None, vec!["next".to_owned()])
        );
    }
    assert_eq!(bench.group.violations(), []);
}

#[tokio::test]
async fn a_lost_answer_is_not_reported_as_not_run() {
    let bench = Bench::start(BenchSettings::default()).await;
    let mut caller = bench.open(head(Access::Write)).await;
    caller.query("SELECT pg_sleep(60)").await;
    wait_until("the statement runs", || {
        bench.group.running("instance-1") == 1
    })
    .await;
    bench.group.kill("instance-1");
    let reason = caller
        .response()
        .await
        .refusal
        .map(|refusal| refusal.reason);
    assert_eq!(reason, Some(RefusalReason::AnswerLost));
}

#[tokio::test]
async fn a_transaction_lost_between_statements_is_reported_as_lost() {
    let bench = Bench::start(BenchSettings::default()).await;
    let mut caller = bench.open(head(Access::Write)).await;
    caller.query("BEGIN").await;
    caller.response().await;
    bench.group.kill("instance-1");
    caller.query(INSERT).await;
    let reason = caller
        .response()
        .await
        .refusal
        .map(|refusal| refusal.reason);
    assert_eq!(reason, Some(RefusalReason::TransactionLost));
}

#[tokio::test]
async fn an_idle_transaction_is_rolled_back_and_its_next_statement_refused() {
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
    caller.response().await;
    let mut other = bench.open(head(Access::Write)).await;
    other.query("BEGIN").await;
    other.response().await;
    // The connection of the other caller and the control connection remain.
    wait_until("the first connection closes", || {
        bench.group.connections("instance-1") == 2
    })
    .await;
    caller.query("COMMIT").await;
    let reason = caller
        .response()
        .await
        .refusal
        .map(|refusal| refusal.reason);
    assert_eq!(reason, Some(RefusalReason::IdleInTransaction));
    let rows = bench
        .group
        .query("instance-1", "SELECT id FROM tree")
        .unwrap();
    assert!(rows.is_empty(), "the transaction was not rolled back");
}

#[tokio::test]
async fn a_cancel_request_ends_its_own_statement_only() {
    let bench = Bench::start(BenchSettings::default()).await;
    let mut cancelled = bench.open(head(Access::Write)).await;
    let mut other = bench.open(head(Access::Write)).await;
    cancelled.query("SELECT pg_sleep(60)").await;
    other.query("SELECT pg_sleep(0.3)").await;
    wait_until("both statements run", || {
        bench.group.running("instance-1") == 2
    })
    .await;
    cancelled.send(CallerFrame::Cancel).await;
    assert_eq!(cancelled.response().await.tags().replace('T', ""), "EZ");
    let other = other.response().await;
    assert!(other.tags().ends_with("CZ"), "{}", other.tags());
}

#[tokio::test]
async fn settings_of_a_caller_apply_to_that_caller_only() {
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
        let response = caller.response().await;
        assert_eq!(response.values(), [value], "{response:?}");
    }
    let default_zone = bench.run(Access::Write, "SHOW timezone").await.values();
    assert!(
        !default_zone[0].starts_with("Asia/"),
        "a setting of an earlier caller is still in effect: {default_zone:?}"
    );
}

async fn save_in_transaction(bench: &Bench, sql: &str) -> Option<Refusal> {
    let mut caller = bench.open(head(Access::Write)).await;
    for statement in ["BEGIN", sql, "COMMIT"] {
        caller.query(statement).await;
        let refusal = caller.response().await.refusal;
        if refusal.is_some() {
            return refusal;
        }
    }
    None
}

#[tokio::test]
async fn many_callers_exceed_neither_slots_nor_connections() {
    let limits = InstanceLimits {
        slots: 2,
        connections: 6,
        ..InstanceLimits::default()
    };
    let instances = ["instance-1", "instance-2", "instance-3"].map(|name| InstanceSettings {
        name: name.to_owned(),
        limits: limits.clone(),
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
async fn a_commit_is_not_delayed_while_all_slots_are_busy() {
    let bench = Bench::start(BenchSettings {
        slots: 2,
        ..BenchSettings::default()
    })
    .await;
    let mut caller = bench.open(head(Access::Write)).await;
    for statement in ["BEGIN", INSERT] {
        caller.query(statement).await;
        assert_eq!(caller.response().await.refusal, None);
    }
    // Occupies a slot, as a statement that waits for locks of the transaction does.
    let busy = async || bench.run(Access::Write, "SELECT pg_sleep(3)").await.refusal;
    let commit = async {
        wait_until("a slot is busy", || bench.group.running("instance-1") > 0).await;
        let start = tokio::time::Instant::now();
        caller.query("COMMIT").await;
        assert_eq!(caller.response().await.refusal, None);
        start.elapsed()
    };
    let (first, second, took) = tokio::join!(busy(), busy(), commit);
    assert_eq!((first, second), (None, None));
    assert!(took < Duration::from_secs(1), "the commit took {took:?}");
}
