//! The stand-in database, used through an ordinary client.

use std::time::Duration;

use currantlb_lab::database::{DatabaseGroup, DatabaseGroupSettings, ViolationKind};
use futures::{SinkExt, StreamExt, pin_mut};
use tokio_postgres::{AsyncMessage, Client, NoTls, SimpleQueryMessage};

async fn start(settings: DatabaseGroupSettings) -> DatabaseGroup {
    let schema = vec![
        "CREATE TABLE tree (id BIGINT PRIMARY KEY, name TEXT, height DOUBLE PRECISION)".to_owned(),
    ];
    DatabaseGroup::start(DatabaseGroupSettings { schema, ..settings })
        .await
        .expect("the group starts")
}

async fn connect(group: &DatabaseGroup, index: usize, application_name: &str) -> Client {
    let (_, address) = group.addresses()[index].clone();
    let text = format!(
        "host={} port={} user=currantlb dbname=d application_name={application_name}",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&text, NoTls)
        .await
        .expect("the instance accepts");
    tokio::spawn(connection);
    client
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), wait)
        .await
        .unwrap_or_else(|_| panic!("{what} did not happen"));
}

#[tokio::test]
async fn statements_run_and_replicate() {
    let group = start(DatabaseGroupSettings::default()).await;
    let client = connect(&group, 0, "test").await;
    let inserted = client
        .execute(
            "INSERT INTO tree (id, name, height) VALUES ($1, $2, $3)",
            &[&1_i64, &"oak", &2.5_f64],
        )
        .await
        .expect("the insert runs");
    assert_eq!(inserted, 1);
    let row = client
        .query_one("SELECT id, name, height FROM tree WHERE id = $1", &[&1_i64])
        .await
        .unwrap();
    assert_eq!(
        (
            row.get::<_, i64>(0),
            row.get::<_, &str>(1),
            row.get::<_, f64>(2)
        ),
        (1, "oak", 2.5)
    );
    let count = client
        .query_one("SELECT count(*) FROM tree", &[])
        .await
        .unwrap();
    assert_eq!(count.get::<_, i64>("count"), 1);
    wait_until("replication", || {
        group.report("instance-3").last.position == 2
    })
    .await;
    let replica = connect(&group, 2, "test").await;
    let row = replica
        .query_one("SELECT name FROM tree", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, &str>(0), "oak");
    let refused = replica
        .execute("DELETE FROM tree", &[])
        .await
        .expect_err("a replica refuses writes");
    assert_eq!(refused.code().unwrap().code(), "25006");
    assert!(group.violations().is_empty());
}

#[tokio::test]
async fn transactions_roll_back_and_report_their_status() {
    let group = start(DatabaseGroupSettings::default()).await;
    let mut client = connect(&group, 0, "test").await;
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO tree (id) VALUES (1)", &[])
        .await
        .unwrap();
    let duplicate = transaction
        .execute("INSERT INTO tree (id) VALUES (1)", &[])
        .await
        .expect_err("duplicate");
    assert_eq!(duplicate.code().unwrap().code(), "23505");
    let aborted = transaction
        .query("SELECT 1", &[])
        .await
        .expect_err("the transaction has failed");
    assert_eq!(aborted.code().unwrap().code(), "25P02");
    transaction.rollback().await.unwrap();
    client
        .batch_execute("INSERT INTO tree (id) VALUES (2); INSERT INTO tree (id) VALUES (3)")
        .await
        .unwrap();
    assert_eq!(
        group
            .query("instance-1", "SELECT id FROM tree ORDER BY id")
            .unwrap(),
        [["2"], ["3"]]
    );
    assert_eq!(group.log("instance-1").len(), 2);
}

#[tokio::test]
async fn copy_transfers_rows_in_both_directions() {
    let group = start(DatabaseGroupSettings::default()).await;
    let client = connect(&group, 0, "test").await;
    let sink = client
        .copy_in("COPY tree (id, name) FROM STDIN")
        .await
        .unwrap();
    pin_mut!(sink);
    sink.send(bytes::Bytes::from("1\toak\n2\t\\N\n"))
        .await
        .unwrap();
    assert_eq!(sink.finish().await.unwrap(), 2);
    let lines: Vec<_> = client
        .copy_out("COPY tree (id, name) TO STDOUT")
        .await
        .unwrap()
        .collect()
        .await;
    let text: Vec<_> = lines
        .into_iter()
        .map(|line| String::from_utf8(line.unwrap().to_vec()).unwrap())
        .collect();
    assert_eq!(text.concat(), "1\toak\n2\t\\N\n");
}

#[tokio::test]
async fn cancel_requests_end_the_running_statement() {
    let group = start(DatabaseGroupSettings::default()).await;
    let client = connect(&group, 0, "test").await;
    let token = client.cancel_token();
    let sleeping = client.simple_query("SELECT pg_sleep(60)");
    let cancelling = async {
        // The request is repeated because it has no effect before the statement runs.
        loop {
            token.cancel_query(NoTls).await.unwrap();
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let error = tokio::select! {
        result = sleeping => result.expect_err("the statement was cancelled"),
        () = cancelling => unreachable!("cancelling never ends"),
    };
    assert_eq!(error.code().unwrap().code(), "57014");
}

#[tokio::test]
async fn a_replaced_primary_drops_saves_that_were_not_replicated() {
    let group = start(DatabaseGroupSettings::default()).await;
    let old = connect(&group, 0, "test").await;
    old.batch_execute("INSERT INTO tree (id) VALUES (1)")
        .await
        .unwrap();
    wait_until("replication", || {
        group.report("instance-2").last.position == 2
    })
    .await;
    group.isolate_from_instances("instance-1");
    old.batch_execute("INSERT INTO tree (id) VALUES (2)")
        .await
        .unwrap();
    for index in [1, 2] {
        let client = connect(&group, index, "test").await;
        let adopt = "SELECT adopted, is_primary, last FROM currantlb_adopt('2@vm-1')";
        assert_eq!(status(&client, adopt).await[0], "2@vm-1");
    }
    let new = connect(&group, 1, "test").await;
    let promote = "SELECT adopted, is_primary, last FROM currantlb_promote('2@vm-1')";
    assert_eq!(status(&new, promote).await, ["2@vm-1", "t", "2@vm-1:3"]);
    let follow = "SELECT adopted, is_primary, last FROM currantlb_follow('2@vm-1', 'instance-2', '127.0.0.1:1')";
    status(&old, follow).await;
    status(&connect(&group, 2, "test").await, follow).await;
    new.batch_execute("INSERT INTO tree (id) VALUES (3)")
        .await
        .unwrap();
    group.restore_links("instance-1");
    wait_until("catching up", || {
        group.report("instance-1").last == group.report("instance-2").last
    })
    .await;
    assert_eq!(
        group
            .query("instance-1", "SELECT id FROM tree ORDER BY id")
            .unwrap(),
        [["1"], ["3"]]
    );
    let refused = old
        .batch_execute("INSERT INTO tree (id) VALUES (4)")
        .await
        .expect_err("the replaced primary refuses writes");
    assert_eq!(refused.code().unwrap().code(), "25006");
}

async fn status(client: &Client, text: &str) -> Vec<String> {
    let messages = client.simple_query(text).await.expect("the call runs");
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => {
            Some((0..3).map(|i| row.get(i).unwrap().to_owned()).collect())
        }
        _ => None,
    });
    row.expect("the call returns a row")
}

#[tokio::test]
async fn position_reports_are_sent_to_listening_clients() {
    let group = start(DatabaseGroupSettings::default()).await;
    let (_, address) = group.addresses()[2].clone();
    let text = format!(
        "host={} port={} user=currantlb",
        address.ip(),
        address.port()
    );
    let (client, mut connection) = tokio_postgres::connect(&text, NoTls).await.unwrap();
    let mut messages = Box::pin(futures::stream::poll_fn(move |context| {
        connection.poll_message(context)
    }));
    let listening = client.batch_execute("LISTEN currantlb_position");
    let writer = connect(&group, 0, "test").await;
    let next = async {
        loop {
            if let Some(Ok(AsyncMessage::Notification(notification))) = messages.next().await {
                return notification;
            }
        }
    };
    let write = async {
        listening.await.unwrap();
        writer
            .batch_execute("INSERT INTO tree (id) VALUES (1)")
            .await
            .unwrap();
    };
    let (notification, ()) = tokio::join!(next, write);
    assert_eq!(notification.channel(), "currantlb_position");
    assert!(
        notification
            .payload()
            .starts_with("1@platform f 1@platform:"),
        "{}",
        notification.payload()
    );
}

#[tokio::test]
async fn caller_keys_and_mixed_transactions_are_recorded_as_violations() {
    let settings = DatabaseGroupSettings {
        forbidden_keys: vec!["secret-key".to_owned()],
        ..DatabaseGroupSettings::default()
    };
    let group = start(settings).await;
    let client = connect(&group, 0, "currantlb/vm-1/1").await;
    client.batch_execute("SELECT 'secret-key'").await.unwrap();
    client
        .batch_execute("BEGIN; SELECT 1 /*session='a'*/")
        .await
        .unwrap();
    client
        .batch_execute("SELECT 1 /*session='b'*/")
        .await
        .unwrap();
    let kinds: Vec<_> = group
        .violations()
        .iter()
        .map(|violation| violation.kind)
        .collect();
    assert_eq!(
        kinds,
        [
            ViolationKind::CallerKeySeen,
            ViolationKind::TransactionsMixed
        ]
    );
}

#[tokio::test]
async fn a_new_home_terminates_the_connections_of_the_previous_home() {
    let group = start(DatabaseGroupSettings::default()).await;
    let previous = connect(&group, 0, "currantlb/vm-1/1").await;
    previous
        .batch_execute("BEGIN; INSERT INTO tree (id) VALUES (9)")
        .await
        .unwrap();
    let home = connect(&group, 0, "currantlb/vm-2/2").await;
    let fence = "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name LIKE 'currantlb/%' \
                 AND application_name <> 'currantlb/vm-2/2'";
    home.batch_execute(fence).await.unwrap();
    wait_until("the end of the connection", || previous.is_closed()).await;
    home.batch_execute("INSERT INTO tree (id) VALUES (9)")
        .await
        .expect("the row was rolled back");
}

#[tokio::test]
async fn a_killed_instance_keeps_its_rows_after_a_restart() {
    let group = start(DatabaseGroupSettings::default()).await;
    let client = connect(&group, 0, "test").await;
    client
        .batch_execute("INSERT INTO tree (id) VALUES (1)")
        .await
        .unwrap();
    group.kill("instance-1");
    wait_until("the end of the connection", || client.is_closed()).await;
    group.restart("instance-1").unwrap();
    let reconnected = connect(&group, 0, "test").await;
    let row = reconnected
        .query_one("SELECT count(*) FROM tree", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), 1);
}
