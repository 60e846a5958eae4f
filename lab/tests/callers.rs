//! The protocol from end to end, with an ordinary driver, VMs and the stand-in databases.

use std::time::Duration;

use bytes::Bytes;
use currantlb_lab::fleet::{Fleet, FleetSettings};
use futures::{SinkExt, TryStreamExt};
use tokio::time::timeout;
use tokio_postgres::Client;
use tokio_postgres::error::SqlState;

const WORKSPACE: &str = "petaling";
const DATABASE: &str = "canopy-1";
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const COPIED_ROWS: i64 = 500;
const SELECT: &str = "SELECT sequence FROM note WHERE session = $1 ORDER BY sequence";

async fn start() -> Fleet {
    let fleet = Fleet::start(FleetSettings::default()).await.unwrap();
    fleet.wait_until_ready().await.unwrap();
    fleet
}

async fn connect(fleet: &Fleet, vm: usize) -> Client {
    fleet.connect(vm, WORKSPACE, DATABASE).await.unwrap()
}

/// Runs prepared statements and transactions through one VM, and reads the rows through the next
/// VM too.
async fn check_statements(fleet: &Fleet, vm: usize) {
    let mut client = connect(fleet, vm).await;
    let session = format!("prepared-{vm}");
    let insert = "INSERT INTO note (session, sequence) VALUES ($1, $2)";
    let insert = client.prepare(insert).await.unwrap();
    let select = client.prepare(SELECT).await.unwrap();
    for sequence in 0..5_i64 {
        assert_eq!(
            client
                .execute(&insert, &[&session, &sequence])
                .await
                .unwrap(),
            1
        );
    }

    let transaction = client.transaction().await.unwrap();
    transaction
        .execute(&insert, &[&session, &5_i64])
        .await
        .unwrap();
    transaction.rollback().await.unwrap();
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute(&insert, &[&session, &6_i64])
        .await
        .unwrap();
    let error = transaction
        .batch_execute("SELECT nothing FROM nowhere")
        .await;
    assert!(error.unwrap_err().as_db_error().is_some());
    transaction.rollback().await.unwrap();

    let other = connect(fleet, (vm + 1) % fleet.len()).await;
    let other_select = other.prepare(SELECT).await.unwrap();
    for (client, select) in [(&client, &select), (&other, &other_select)] {
        let rows = client.query(select, &[&session]).await.unwrap();
        let read: Vec<i64> = rows.iter().map(|row| row.get(0)).collect();
        assert_eq!(read, [0, 1, 2, 3, 4], "through VM {vm}");
    }
}

/// Copies rows in and out through one VM.
async fn check_copies(fleet: &Fleet, vm: usize) {
    let client = connect(fleet, vm).await;
    let copy = "COPY note (session, sequence) FROM STDIN";
    let sink = client.copy_in(copy).await.unwrap();
    futures::pin_mut!(sink);
    for sequence in 0..COPIED_ROWS {
        let line = format!("copied-{vm}\t{sequence}\n");
        sink.send(Bytes::from(line)).await.unwrap();
    }
    assert_eq!(sink.finish().await.unwrap(), COPIED_ROWS as u64);
    let rows: Vec<Bytes> = client
        .copy_out("COPY note (session, sequence) TO STDOUT")
        .await
        .unwrap()
        .try_collect()
        .await
        .unwrap();
    let text = String::from_utf8(rows.concat()).unwrap();
    let copied = text.matches(&format!("copied-{vm}\t")).count();
    assert_eq!(copied, COPIED_ROWS as usize, "through VM {vm}");
}

/// Cancels a statement through a VM other than the one that the caller is connected to.
async fn check_cancels(fleet: &Fleet, vm: usize) {
    let client = connect(fleet, vm).await;
    let cancel = client.cancel_token();
    let other_address = fleet.caller_address((vm + 1) % fleet.len());
    let running = tokio::spawn(async move {
        let result = client.batch_execute("SELECT pg_sleep(20)").await;
        (client, result)
    });
    // Repeated, because a request has no effect when the statement does not run yet or when the
    // request is lost between the VMs.
    while !running.is_finished() {
        assert!(fleet.connector().cancel(other_address, &cancel).await);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let (client, result) = running.await.unwrap();
    let error = result.unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::QUERY_CANCELED), "{error:?}");
    client.batch_execute("SELECT 1").await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_ordinary_driver_works_through_every_vm() {
    let fleet = start().await;
    for vm in 0..fleet.len() {
        timeout(WAIT_LIMIT, check_statements(&fleet, vm))
            .await
            .unwrap();
        timeout(WAIT_LIMIT, check_copies(&fleet, vm)).await.unwrap();
    }
    timeout(WAIT_LIMIT, check_cancels(&fleet, 0)).await.unwrap();
    timeout(WAIT_LIMIT, check_cancels(&fleet, 1)).await.unwrap();
    assert_eq!(fleet.stand_ins.group(DATABASE).violations(), []);
}
