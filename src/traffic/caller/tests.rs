mod fake_home;
mod fixture;
mod tls;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::NoTls;
use tokio_postgres::error::SqlState;

use self::fake_home::{Arrival, unknown_home_refusal};
use self::fixture::{DATABASE, Fixture, connect, sqlstate};
use super::{CallerRegistry, CancelKey};
use crate::settings::CallerSettings;
use crate::traffic::{Access, Refusal, RefusalReason};

/// Time limit for any event that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn within_timeout<T>(operation: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, operation)
        .await
        .expect("the operation ends before the time limit")
}

#[tokio::test]
async fn failed_logins_get_the_matching_sqlstate() {
    struct Case {
        user: &'static str,
        password: &'static str,
        database: &'static str,
        sqlstate: &'static str,
    }
    let fixture = Fixture::start().await;
    let cases = [
        ("council", "another", DATABASE, "28P01"),
        ("nobody", "council-key", DATABASE, "28P01"),
        ("council", "council-key", "nowhere", "3D000"),
        ("stranger", "council-key", DATABASE, "42501"),
    ];
    for (user, password, database, sqlstate) in cases {
        let case = Case {
            user,
            password,
            database,
            sqlstate,
        };
        let mut config = fixture.config();
        config
            .user(case.user)
            .password(case.password)
            .dbname(case.database);
        let error = connect(&config).await.unwrap_err();
        assert_eq!(
            fixture::sqlstate(&error),
            case.sqlstate,
            "{user}: {error:?}"
        );
    }
}

#[tokio::test]
async fn tags_and_access_reach_the_home() {
    let fixture = Fixture::start().await;
    let mut config = fixture.config();
    config.options("-c currantlb.route=catalogue -c currantlb.session=desk-7 -c TimeZone=UTC");
    let client = connect(&config).await.unwrap();
    client.batch_execute("SELECT 1").await.unwrap();
    let trace = "00-0af7651916cd43dd8448eb211c80319c";
    let statement = format!(
        "INSERT INTO t VALUES (1) \
         /*route='order-lock',request='r-1',traceparent='{trace}-b7ad6b7169203331-01'*/"
    );
    client.batch_execute(&statement).await.unwrap();
    let heads = fixture.home.heads();
    assert_eq!(heads[0].access, Access::Read);
    assert_eq!(heads[0].route, Some("catalogue".into()));
    assert_eq!(heads[0].session, Some("desk-7".into()));
    assert_eq!(heads[0].token, None);
    assert_eq!(heads[1].access, Access::Write);
    assert_eq!(heads[1].route, Some("order-lock".into()));
    assert_eq!(heads[1].request, Some("r-1".into()));
    // The span ID differs if another test in this process exports spans.
    let traceparent = heads[1].traceparent.as_deref().unwrap();
    assert!(traceparent.starts_with(trace), "{traceparent}");
    let token = heads[1].token.as_ref().unwrap().to_string();
    assert_eq!(token, format!("{DATABASE}/1@vm-2:7"));
}

#[tokio::test]
async fn prepared_statements_are_usable_in_later_exchanges() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    let statement = client.prepare("SELECT a FROM t").await.unwrap();
    fixture.home.take();
    client.execute(&statement, &[]).await.unwrap();
    let arrivals = fixture.home.take();
    let [
        Arrival::Head(head),
        Arrival::Definition(name),
        Arrival::Message(b'B', _),
        ..,
    ] = &*arrivals
    else {
        panic!("{arrivals:?}");
    };
    assert_eq!(head.access, Access::Read);
    assert!(name.starts_with("cl_") && name.len() == 19, "{name}");
    // A second caller gets the same shared name.
    let other = fixture.connect().await;
    let same = other.prepare("SELECT a FROM t").await.unwrap();
    fixture.home.take();
    other.execute(&same, &[]).await.unwrap();
    assert!(
        fixture
            .home
            .take()
            .contains(&Arrival::Definition(name.clone()))
    );
}

#[tokio::test]
async fn a_statement_that_fails_to_parse_is_removed() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    let error = client.prepare("SELECT syntax error").await.unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::SYNTAX_ERROR));
    client.prepare("SELECT 2").await.unwrap();
    assert_eq!(client.simple_query("SELECT 3").await.unwrap().len(), 1);
}

#[tokio::test]
async fn pipelined_statements_are_answered_in_order() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    let good = client.prepare("INSERT INTO t VALUES (1)").await.unwrap();
    let bad = client.prepare("FAIL").await.unwrap();
    let (first, second, third) = within_timeout(futures::future::join3(
        client.execute(&good, &[]),
        client.execute(&bad, &[]),
        client.execute(&good, &[]),
    ))
    .await;
    assert_eq!((first.unwrap(), third.unwrap()), (1, 1));
    assert_eq!(sqlstate(&second.unwrap_err()), "22012");
    assert_eq!(fixture.home.heads().len(), 5);
}

#[tokio::test]
async fn refusals_carry_sqlstate_outcome_and_retry_hint() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    let wait = Duration::from_millis(120);
    fixture
        .home
        .refuse(Refusal::with_retry(RefusalReason::RateExceeded, wait));
    let error = client.batch_execute("SELECT 1").await.unwrap_err();
    let error = error.as_db_error().unwrap();
    assert_eq!(error.code().code(), "53400");
    assert!(error.message().starts_with("not run"), "{error}");
    assert_eq!(error.hint(), Some("retry after 120 ms"));
    fixture
        .home
        .refuse(Refusal::without_retry(RefusalReason::AnswerLost));
    let error = client
        .execute("INSERT INTO t VALUES (1)", &[])
        .await
        .unwrap_err();
    assert_eq!(sqlstate(&error), "08007");
    client.batch_execute("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn a_request_is_retried_until_the_home_is_known() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    fixture.home.refuse(unknown_home_refusal());
    fixture.home.refuse(unknown_home_refusal());
    within_timeout(client.batch_execute("INSERT INTO t VALUES (1)"))
        .await
        .unwrap();
    let arrivals = fixture.home.take();
    let is_insert = |arrival: &&Arrival| matches!(arrival, Arrival::Message(b'Q', _));
    assert_eq!(arrivals.iter().filter(is_insert).count(), 1, "{arrivals:?}");
}

#[tokio::test]
async fn home_retries_end_within_half_of_the_request_timeout() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    for _ in 0..100 {
        fixture.home.refuse(unknown_home_refusal());
    }
    let statement = "SELECT 1 /*timeout_ms='100'*/";
    let error = within_timeout(client.batch_execute(statement))
        .await
        .unwrap_err();
    assert_eq!(sqlstate(&error), "57P03");
    // Half of 100 ms has room for three attempts that are 20 ms apart.
    assert!(fixture.home.heads().len() <= 3);
}

#[tokio::test]
async fn session_settings_are_answered_locally_and_sent_with_each_exchange() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    client
        .batch_execute("SET search_path = a, b; SET lock_timeout TO '5s'")
        .await
        .unwrap();
    client
        .execute("SET extra_float_digits = 3", &[])
        .await
        .unwrap();
    assert_eq!(fixture.home.take(), [], "the session answers by itself");
    client.batch_execute("SELECT 1").await.unwrap();
    let heads = fixture.home.heads();
    let settings: Vec<_> = heads[0]
        .settings
        .iter()
        .map(|setting| format!("{}={}", setting.name, setting.value))
        .collect();
    let expected = [
        "extra_float_digits=3",
        "lock_timeout=5s",
        "search_path=a, b",
    ];
    assert_eq!(settings, expected);
    client.batch_execute("DISCARD ALL").await.unwrap();
    client.batch_execute("SELECT 1").await.unwrap();
    assert_eq!(fixture.home.heads()[0].settings, []);
}

#[tokio::test]
async fn a_setting_changed_in_a_transaction_is_kept_only_on_commit() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    for (end, kept) in [("ROLLBACK", 0), ("COMMIT", 1)] {
        for statement in ["BEGIN", "SET TimeZone = 'Asia/Kathmandu'", end] {
            client.batch_execute(statement).await.unwrap();
        }
        let arrivals = fixture.home.take();
        let sent = Arrival::Message(b'Q', "SET LOCAL timezone TO 'Asia/Kathmandu'".to_owned());
        assert!(arrivals.contains(&sent), "{arrivals:?}");
        client.batch_execute("SELECT 1").await.unwrap();
        assert_eq!(fixture.home.heads()[0].settings.len(), kept, "{end}");
    }
}

#[tokio::test]
async fn unsupported_session_state_is_refused_without_ending_the_transaction() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    client.batch_execute("BEGIN").await.unwrap();
    let error = client.batch_execute("LISTEN c").await.unwrap_err();
    assert_eq!(sqlstate(&error), "0A000");
    let error = client
        .prepare("SELECT pg_advisory_lock(1)")
        .await
        .unwrap_err();
    assert_eq!(sqlstate(&error), "0A000");
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(fixture.home.heads().len(), 1);
}

#[tokio::test]
async fn copy_data_reaches_the_home() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    let sink = client.copy_in("COPY t FROM STDIN").await.unwrap();
    futures::pin_mut!(sink);
    let row = Bytes::from(vec![b'x'; 1_000]);
    for _ in 0..200 {
        sink.send(row.clone()).await.unwrap();
    }
    assert_eq!(within_timeout(sink.finish()).await.unwrap(), 200_000);
    client.batch_execute("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn an_empty_query_is_answered_without_the_home() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    client.batch_execute("").await.unwrap();
    client.execute("", &[]).await.unwrap();
    assert_eq!(fixture.home.take(), []);
}

#[tokio::test]
async fn a_cancel_request_cancels_only_the_statement_of_its_key() {
    let fixture = Fixture::start().await;
    let (client, other) = (fixture.connect().await, fixture.connect().await);
    let cancel = client.cancel_token();
    // No statement is running yet, so this request must have no effect.
    cancel.cancel_query(NoTls).await.unwrap();
    let hanging = tokio::spawn(async move { client.batch_execute("HANG").await });
    let is_hang = |arrival: &Arrival| matches!(arrival, Arrival::Message(b'Q', _));
    within_timeout(fixture.home.wait_for(is_hang)).await;
    other.cancel_token().cancel_query(NoTls).await.unwrap();
    other.batch_execute("SELECT 1").await.unwrap();
    assert!(!hanging.is_finished());
    cancel.cancel_query(NoTls).await.unwrap();
    let error = within_timeout(hanging).await.unwrap().unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::QUERY_CANCELED));
    let cancels = fixture.home.take();
    let count = cancels
        .iter()
        .filter(|arrival| **arrival == Arrival::Cancel)
        .count();
    assert_eq!(count, 1);
}

#[tokio::test]
async fn a_cancel_request_is_forwarded_to_the_vm_that_issued_the_key() {
    let fixture = Fixture::start().await;
    let registry = Arc::new(CallerRegistry::new(&"vm-2".into()));
    let remote_registration = registry.register(&"council".into(), &"key-1".into());
    let key = remote_registration.cancel_key;
    let mut request = vec![0, 0, 0, 16, 4, 210, 22, 46];
    request.extend_from_slice(&key.process.to_be_bytes());
    request.extend_from_slice(&key.secret.to_be_bytes());
    let mut stream = TcpStream::connect(fixture.listener.address).await.unwrap();
    stream.write_all(&request).await.unwrap();
    within_timeout(
        fixture
            .home
            .wait_for(|arrival| *arrival == Arrival::PeerCancel(key)),
    )
    .await;
    remote_registration.signal.start_statement();
    registry.cancel(CancelKey {
        secret: key.secret.wrapping_add(1),
        ..key
    });
    assert!(!remote_registration.signal.take_cancel());
    registry.cancel(key);
    assert!(remote_registration.signal.take_cancel());
}

#[tokio::test]
async fn withdrawing_a_key_closes_idle_connections_and_open_transactions() {
    let fixture = Fixture::start().await;
    let (idle, busy) = (fixture.connect().await, fixture.connect().await);
    busy.batch_execute("BEGIN").await.unwrap();
    fixture.withdraw_key();
    let closed = async {
        while !idle.is_closed() || !busy.is_closed() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(1), closed)
        .await
        .expect("both are closed within a second");
    within_timeout(
        fixture
            .home
            .wait_for(|arrival| *arrival == Arrival::Disconnected),
    )
    .await;
    let error = connect(&fixture.config()).await.unwrap_err();
    assert_eq!(sqlstate(&error), "28P01");
}

#[tokio::test]
async fn no_statement_runs_under_a_withdrawn_key() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    fixture.withdraw_key();
    let error = client.batch_execute("SELECT 1").await.unwrap_err();
    // If the connection is closed first, the driver reports an error without a code.
    assert!(
        sqlstate(&error) == "28000" || error.is_closed(),
        "{error:?}"
    );
    assert_eq!(fixture.home.take(), []);
}

#[tokio::test]
async fn the_home_is_notified_when_a_caller_disconnects() {
    let fixture = Fixture::start().await;
    let client = fixture.connect().await;
    client.batch_execute("BEGIN").await.unwrap();
    drop(client);
    within_timeout(
        fixture
            .home
            .wait_for(|arrival| *arrival == Arrival::Disconnected),
    )
    .await;
}

#[tokio::test]
async fn shutdown_waits_for_open_transactions() {
    let fixture = Fixture::start().await;
    let (idle, busy) = (fixture.connect().await, fixture.connect().await);
    busy.batch_execute("BEGIN").await.unwrap();
    fixture.shutdown.send(true).unwrap();
    within_timeout(async {
        while !idle.is_closed() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    busy.batch_execute("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    busy.batch_execute("COMMIT").await.unwrap();
    within_timeout(fixture.listener.stopped()).await;
    let error = busy.batch_execute("SELECT 1").await.unwrap_err();
    assert!(
        error.is_closed() || sqlstate(&error) == "57P01",
        "{error:?}"
    );
}

#[tokio::test]
async fn malformed_input_does_not_affect_other_callers() {
    let settings = CallerSettings {
        max_unauthenticated: 2,
        login_timeout_ms: 100,
        max_message_bytes: 10_000,
        ..CallerSettings::default()
    };
    let fixture = Fixture::start_with(settings).await;
    let address = fixture.listener.address;
    let client = fixture.connect().await;
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 0, 0, 4],
        &[0, 0, 0, 9, 0, 3, 0, 0, 0],
        &[0, 0, 0, 8, 4, 210, 22, 47, 0, 0, 0, 8, 4, 210, 22, 46],
        &[0, 0],
    ] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut response = Vec::new();
        // The connection may be closed or reset.
        let _ = within_timeout(stream.read_to_end(&mut response)).await;
    }
    let text = "SELECT ".to_owned() + &"1".repeat(10_000);
    let error = client.batch_execute(&text).await.unwrap_err();
    assert_eq!(sqlstate(&error), "54000");
    fixture
        .connect()
        .await
        .batch_execute("SELECT 1")
        .await
        .unwrap();
}

#[tokio::test]
async fn connections_beyond_the_limit_are_rejected() {
    let settings = CallerSettings {
        max_connections: 1,
        ..CallerSettings::default()
    };
    let fixture = Fixture::start_with(settings).await;
    let first = fixture.connect().await;
    let error = connect(&fixture.config()).await.unwrap_err();
    assert_eq!(sqlstate(&error), "53300");
    drop(first);
    within_timeout(async {
        while connect(&fixture.config()).await.is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

#[tokio::test]
async fn set_is_reported_by_parameter_status() {
    let fixture = Fixture::start().await;
    let (client, mut connection) = fixture.config().connect(NoTls).await.unwrap();
    let reported = |connection: &tokio_postgres::Connection<_, _>, name: &str| {
        connection.parameter(name).map(str::to_owned)
    };
    let running = client.batch_execute("SET TimeZone = 'Asia/Kathmandu'");
    futures::pin_mut!(running);
    within_timeout(async {
        loop {
            tokio::select! {
                _ = futures::future::poll_fn(|cx| connection.poll_message(cx)) => {}
                result = &mut running => break result.unwrap(),
            }
        }
    })
    .await;
    let time_zone = reported(&connection, "TimeZone");
    assert_eq!(time_zone.as_deref(), Some("Asia/Kathmandu"));
}
