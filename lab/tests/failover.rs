//! The whole path while primaries fail: clients, VMs and the stand-ins in one process.

use std::time::Duration;

use currantlb_lab::database::DatabaseGroup;
use currantlb_lab::fleet::{Fleet, FleetSettings};
use tokio::time::{Instant, sleep, timeout};
use tokio_postgres::{Client, SimpleQueryMessage};

const WORKSPACE: &str = "petaling";
const DATABASE: &str = "canopy-1";
const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Isolate,
    Kill,
    Pause,
}

/// Step of a transaction before which the primary fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Begin,
    Insert,
    Commit,
    AfterCommit,
}

const STEPS: [Step; 4] = [Step::Begin, Step::Insert, Step::Commit, Step::AfterCommit];

/// What the caller was told of its save.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Acknowledged,
    NotRun,
    Unknown,
}

impl Fault {
    fn strike(self, group: &DatabaseGroup, instance: &str) {
        match self {
            Self::Isolate => group.isolate(instance),
            Self::Kill => group.kill(instance),
            Self::Pause => group.pause(instance),
        }
    }

    fn mend(self, group: &DatabaseGroup, instance: &str) {
        match self {
            Self::Isolate => group.heal(instance),
            Self::Kill => group.restart(instance).expect("the address is free"),
            Self::Pause => group.resume(instance),
        }
    }
}

async fn until(what: &str, done: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < deadline, "{what} did not happen");
        sleep(Duration::from_millis(2)).await;
    }
}

/// Runs the statements of one transaction; the primary fails before `step`.
async fn transaction(client: &Client, sequence: usize, step: Step, strike: impl Fn()) -> Told {
    let insert = format!("INSERT INTO note (session, sequence) VALUES ('s', {sequence})");
    let statements = [
        (Step::Begin, "BEGIN"),
        (Step::Insert, insert.as_str()),
        (Step::Commit, "COMMIT"),
    ];
    for (at, statement) in statements {
        if at == step {
            strike();
        }
        let answer = timeout(PATIENCE, client.simple_query(statement)).await;
        let answer = answer.expect("every request gets an answer");
        if let Err(error) = answer {
            let message = error.as_db_error().map(|error| error.message().to_owned());
            return match message {
                Some(message) if message.starts_with("not run") => Told::NotRun,
                _ => Told::Unknown,
            };
        }
    }
    if step == Step::AfterCommit {
        strike();
    }
    Told::Acknowledged
}

/// Reads through a VM, trying again while it refuses.
async fn read(fleet: &Fleet, vm: usize, statement: &str) -> Vec<String> {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let client = fleet.connect(vm, WORKSPACE, DATABASE).await;
        if let Ok(client) = client
            && let Ok(messages) = client.simple_query(statement).await
        {
            let row = |message: &SimpleQueryMessage| match message {
                SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
                _ => None,
            };
            return messages.iter().filter_map(row).collect();
        }
        assert!(Instant::now() < deadline, "nothing answers");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn fails_at_each_step(fault: Fault) {
    let fleet = Fleet::start(FleetSettings::default()).await.unwrap();
    fleet.ready().await.unwrap();
    let group = fleet.stand_ins.group(DATABASE);
    let mut told = Vec::new();
    for (sequence, step) in STEPS.into_iter().enumerate() {
        let old = group.primary().unwrap();
        let vm = sequence % fleet.len();
        let client = fleet.connect(vm, WORKSPACE, DATABASE).await.unwrap();
        let strike = || fault.strike(group, &old);
        let answer = transaction(&client, sequence, step, strike).await;
        told.push((sequence, step, answer));

        until("a promotion", || {
            group.primary().is_some_and(|new| new != old)
        })
        .await;
        // A caller on another VM sees what was acknowledged, with the old primary still away.
        let statement = format!("SELECT count(*) FROM note WHERE sequence = {sequence}");
        let seen = read(&fleet, (vm + 1) % fleet.len(), &statement).await;
        if answer == Told::Acknowledged {
            assert_eq!(seen, ["1"], "{fault:?} {step:?}");
        }
        fault.mend(group, &old);
        until("the old primary to follow", || {
            let last = group.report(&group.primary().unwrap()).last;
            let report = group.report(&old);
            !report.is_primary && report.last == last
        })
        .await;
    }
    for (sequence, step, answer) in told {
        let statement = format!("SELECT count(*) FROM note WHERE sequence = {sequence}");
        let seen = read(&fleet, 0, &statement).await;
        let allowed: &[&str] = match answer {
            Told::Acknowledged => &["1"],
            Told::NotRun => &["0"],
            Told::Unknown => &["0", "1"],
        };
        assert!(
            allowed.contains(&seen[0].as_str()),
            "{fault:?} {step:?} {answer:?} {seen:?}"
        );
        if step == Step::AfterCommit {
            assert_eq!(answer, Told::Acknowledged);
        }
    }
    assert_eq!(fleet.stand_ins.violations(), []);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_isolated_primary_loses_no_acknowledged_save() {
    fails_at_each_step(Fault::Isolate).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_primary_loses_no_acknowledged_save() {
    fails_at_each_step(Fault::Kill).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_paused_primary_loses_no_acknowledged_save() {
    fails_at_each_step(Fault::Pause).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_session_that_roams_reads_its_writes_on_every_vm() {
    let fleet = Fleet::start(FleetSettings::default()).await.unwrap();
    fleet.ready().await.unwrap();
    let group = fleet.stand_ins.group(DATABASE);
    for replica in group.addresses().into_iter().map(|(name, _)| name).skip(1) {
        group.set_lag(&replica, Duration::from_millis(150));
    }
    let mut clients = Vec::new();
    for vm in 0..fleet.len() {
        clients.push(fleet.connect(vm, WORKSPACE, DATABASE).await.unwrap());
    }
    for sequence in 0..30_usize {
        let insert = format!("INSERT INTO note (session, sequence) VALUES ('r', {sequence})");
        let writer = &clients[sequence % clients.len()];
        writer.simple_query(&insert).await.unwrap();
        let statement = "SELECT count(*) FROM note WHERE session = 'r'";
        let reader = &clients[(sequence + 1) % clients.len()];
        let messages = reader.simple_query(statement).await.unwrap();
        let count = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        });
        assert_eq!(count, Some((sequence + 1).to_string()));
    }
    assert_eq!(fleet.stand_ins.violations(), []);
}
