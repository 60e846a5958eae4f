//! Failures of the primary, with clients, VMs and the stand-ins in one process.

use std::time::Duration;

use currantlb_lab::database::DatabaseGroup;
use currantlb_lab::fleet::{Fleet, FleetSettings};
use tokio::time::{Instant, sleep, timeout};
use tokio_postgres::{Client, SimpleQueryMessage};

const WORKSPACE: &str = "petaling";
const DATABASE: &str = "canopy-1";
const WAIT_LIMIT: Duration = Duration::from_secs(30);

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

/// Outcome of a save that was reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Acknowledged,
    NotRun,
    Unknown,
}

impl Fault {
    fn inject(self, group: &DatabaseGroup, instance: &str) {
        match self {
            Self::Isolate => group.isolate(instance),
            Self::Kill => group.kill(instance),
            Self::Pause => group.pause(instance),
        }
    }

    fn recover(self, group: &DatabaseGroup, instance: &str) {
        match self {
            Self::Isolate => group.restore_links(instance),
            Self::Kill => group.restart(instance).expect("the address is free"),
            Self::Pause => group.resume(instance),
        }
    }
}

async fn wait_until(what: &str, done: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !done() {
        assert!(Instant::now() < deadline, "{what} did not happen");
        sleep(Duration::from_millis(2)).await;
    }
}

/// Runs the statements of one transaction; the primary fails before `step`.
async fn run_transaction(
    client: &Client,
    sequence: usize,
    step: Step,
    inject: impl Fn(),
) -> Outcome {
    let insert = format!("INSERT INTO note (session, sequence) VALUES ('s', {sequence})");
    let statements = [
        (Step::Begin, "BEGIN"),
        (Step::Insert, insert.as_str()),
        (Step::Commit, "COMMIT"),
    ];
    for (next, statement) in statements {
        if next == step {
            inject();
        }
        let result = timeout(WAIT_LIMIT, client.simple_query(statement)).await;
        let result = result.expect("every request gets a response");
        if let Err(error) = result {
            let message = error.as_db_error().map(|error| error.message().to_owned());
            return match message {
                Some(message) if message.starts_with("not run") => Outcome::NotRun,
                _ => Outcome::Unknown,
            };
        }
    }
    if step == Step::AfterCommit {
        inject();
    }
    Outcome::Acknowledged
}

/// Reads through a VM, and retries while it refuses.
async fn read(fleet: &Fleet, vm: usize, statement: &str) -> Vec<String> {
    let deadline = Instant::now() + WAIT_LIMIT;
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
        assert!(
            Instant::now() < deadline,
            "the VM served no read within the wait limit"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Lets the primary fail before each step of a transaction, and checks that an acknowledged save is
/// kept and that a save reported as not run did not run.
async fn check_failure_at_each_step(fault: Fault) {
    let fleet = Fleet::start(FleetSettings::default()).await.unwrap();
    fleet.wait_until_ready().await.unwrap();
    let group = fleet.stand_ins.group(DATABASE);
    let mut outcomes = Vec::new();
    for (sequence, step) in STEPS.into_iter().enumerate() {
        let old = group.primary().unwrap();
        let vm = sequence % fleet.len();
        let client = fleet.connect(vm, WORKSPACE, DATABASE).await.unwrap();
        let inject = || fault.inject(group, &old);
        let outcome = run_transaction(&client, sequence, step, inject).await;
        outcomes.push((sequence, step, outcome));

        wait_until("a promotion", || {
            group.primary().is_some_and(|new| new != old)
        })
        .await;
        // A caller on another VM reads an acknowledged save while the old primary is still failed.
        let statement = format!("SELECT count(*) FROM note WHERE sequence = {sequence}");
        let seen = read(&fleet, (vm + 1) % fleet.len(), &statement).await;
        if outcome == Outcome::Acknowledged {
            assert_eq!(seen, ["1"], "{fault:?} {step:?}");
        }
        fault.recover(group, &old);
        wait_until("the old primary to follow", || {
            let last = group.report(&group.primary().unwrap()).last;
            let report = group.report(&old);
            !report.is_primary && report.last == last
        })
        .await;
    }
    for (sequence, step, outcome) in outcomes {
        let statement = format!("SELECT count(*) FROM note WHERE sequence = {sequence}");
        let seen = read(&fleet, 0, &statement).await;
        let allowed: &[&str] = match outcome {
            Outcome::Acknowledged => &["1"],
            Outcome::NotRun => &["0"],
            Outcome::Unknown => &["0", "1"],
        };
        assert!(
            allowed.contains(&seen[0].as_str()),
            "{fault:?} {step:?} {outcome:?} {seen:?}"
        );
        if step == Step::AfterCommit {
            assert_eq!(outcome, Outcome::Acknowledged);
        }
    }
    assert_eq!(fleet.stand_ins.violations(), []);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_isolated_primary_loses_no_acknowledged_save() {
    check_failure_at_each_step(Fault::Isolate).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_primary_loses_no_acknowledged_save() {
    check_failure_at_each_step(Fault::Kill).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_paused_primary_loses_no_acknowledged_save() {
    check_failure_at_each_step(Fault::Pause).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_session_that_changes_vms_reads_its_own_writes() {
    let fleet = Fleet::start(FleetSettings::default()).await.unwrap();
    fleet.wait_until_ready().await.unwrap();
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
