use std::collections::BTreeMap;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::*;
use crate::configuration::{Configuration, Record, Revision, Route, RoutePolicy};
use crate::control::Snapshot;
use crate::control::configuration::ConfigurationMessage;
use crate::control::snapshot::{PeerView, Standing};
use crate::peer::client::PeerError;
use crate::time::Timestamp;
use crate::traffic::{Access, ExchangeId};

const SECRET: &str = "secret";

/// Timeout of each awaited event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

struct Vm {
    client: PeerClient,
    _server: PeerServer,
    exchanges: mpsc::UnboundedReceiver<HomeStream>,
    messages: mpsc::UnboundedReceiver<PeerMessage>,
}

fn local(name: &str) -> LocalVm {
    LocalVm {
        name: name.into(),
        incarnation: Incarnation(1),
        availability_zone: "zone".into(),
        region: "region".into(),
        cell: "cell".into(),
    }
}

fn settings() -> PeerSettings {
    PeerSettings {
        listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        secrets: vec![SECRET.to_owned()],
        ..PeerSettings::default()
    }
}

fn snapshot(name: &str, peers: &[(&str, SocketAddr)]) -> SharedSnapshot {
    let view = |address| PeerView {
        address,
        incarnation: None,
        availability_zone: "zone".into(),
    };
    let peers: BTreeMap<_, _> = peers
        .iter()
        .map(|&(name, address)| (VmName::from(name), view(address)))
        .collect();
    Arc::new(ArcSwap::from_pointee(Snapshot {
        taken_at: Timestamp::ZERO,
        local: local(name),
        standing: Standing::Serving,
        configuration: Arc::new(Configuration::default()),
        revision_everywhere: Revision::default(),
        homes: Arc::default(),
        databases: BTreeMap::new(),
        shares: Arc::default(),
        peers: Arc::new(peers),
    }))
}

async fn pair() -> (Vm, Vm) {
    let one = PeerSockets::bind(&settings(), &local("vm-1"))
        .await
        .unwrap();
    let two = PeerSockets::bind(&settings(), &local("vm-2"))
        .await
        .unwrap();
    let peers = [("vm-1", one.address()), ("vm-2", two.address())];
    (
        vm(one, snapshot("vm-1", &peers)),
        vm(two, snapshot("vm-2", &peers)),
    )
}

fn vm(sockets: PeerSockets, snapshot: SharedSnapshot) -> Vm {
    let client = sockets.client(snapshot);
    let (exchange_sender, exchanges) = mpsc::unbounded_channel();
    let (message_sender, messages) = mpsc::unbounded_channel();
    let server = sockets.serve(PeerHandlers {
        message: Box::new(move |_from, _incarnation, message| {
            let _ = message_sender.send(message);
        }),
        exchange: Box::new(move |_head, stream| {
            let _ = exchange_sender.send(stream);
        }),
    });
    Vm {
        client,
        _server: server,
        exchanges,
        messages,
    }
}

fn head() -> ExchangeHead {
    ExchangeHead {
        id: ExchangeId {
            vm: "vm-1".into(),
            incarnation: Incarnation(1),
            number: 1,
        },
        workspace: "workspace".into(),
        key: "key".into(),
        database: "database".into(),
        session: None,
        route: None,
        request: None,
        token: None,
        access: Access::Read,
        settings: Vec::new(),
        budget_ms: 1_000,
        traceparent: None,
        revision: Revision(1),
        preset_version: 1,
    }
}

async fn within<T>(future: impl Future<Output = T>) -> T {
    timeout(EVENT_TIMEOUT, future)
        .await
        .expect("the awaited event did not happen in time")
}

#[tokio::test]
async fn frames_pass_in_both_directions_until_the_exchange_ends() {
    let (one, mut two) = pair().await;
    let mut caller = one.client.open(&"vm-2".into(), head()).await.unwrap();
    let mut home = within(two.exchanges.recv()).await.unwrap();

    let request = CallerFrame::Messages(Bytes::from_static(b"request"));
    within(caller.send(request.clone())).await.unwrap();
    assert_eq!(within(home.recv()).await.unwrap(), request);

    let response = HomeFrame::Messages(Bytes::from_static(b"response"));
    within(home.send(response.clone())).await.unwrap();
    within(home.send(HomeFrame::End)).await.unwrap();
    drop(home);
    assert_eq!(within(caller.recv()).await.unwrap(), response);
    assert_eq!(within(caller.recv()).await.unwrap(), HomeFrame::End);
    assert!(within(caller.recv()).await.is_err());
}

#[tokio::test]
async fn a_slow_receiver_stops_the_sender_within_one_window() {
    let (one, mut two) = pair().await;
    let mut caller = one.client.open(&"vm-2".into(), head()).await.unwrap();
    let mut home = within(two.exchanges.recv()).await.unwrap();
    let window = settings().stream_window_bytes as usize;
    let chunk = Bytes::from(vec![0; 16 * 1024]);

    let mut sent = 0;
    while let Ok(done) = timeout(
        Duration::from_millis(200),
        home.send(HomeFrame::Messages(chunk.clone())),
    )
    .await
    {
        done.unwrap();
        sent += chunk.len();
        assert!(
            sent <= window,
            "{sent} bytes were sent into a window of {window}"
        );
    }
    assert!(sent > window / 2);

    let sending = tokio::spawn(async move {
        home.send(HomeFrame::Messages(chunk)).await.unwrap();
        home.send(HomeFrame::End).await.unwrap();
        home
    });
    let mut received = 0;
    loop {
        match within(caller.recv()).await.unwrap() {
            HomeFrame::Messages(messages) => received += messages.len(),
            other => {
                assert_eq!(other, HomeFrame::End);
                break;
            }
        }
    }
    assert_eq!(received, sent + 16 * 1024);
    drop(sending.await.unwrap());
}

#[tokio::test]
async fn a_connection_survives_a_suspension_of_both_processes() {
    let (one, mut two) = pair().await;
    let mut caller = one.client.open(&"vm-2".into(), head()).await.unwrap();
    let home = within(two.exchanges.recv()).await.unwrap();
    // Neither side could send or receive anything meanwhile.
    tokio::time::pause();
    for _ in 0..3 {
        tokio::time::advance(Duration::from_secs(3)).await;
        tokio::time::resume();
        timeout(Duration::from_millis(100), caller.recv())
            .await
            .expect_err("the stream must stay open");
        tokio::time::pause();
    }
    tokio::time::resume();
    within(home.sender().send(HomeFrame::End)).await.unwrap();
    assert_eq!(within(caller.recv()).await.unwrap(), HomeFrame::End);
}

#[tokio::test]
async fn full_windows_in_both_directions_do_not_deadlock() {
    let (one, mut two) = pair().await;
    let mut caller = one.client.open(&"vm-2".into(), head()).await.unwrap();
    let mut home = within(two.exchanges.recv()).await.unwrap();
    let frames = 4 * settings().stream_window_bytes as usize / (16 * 1024);
    let chunk = Bytes::from(vec![0; 16 * 1024]);

    // The home sends every response before it reads; the caller receives while it sends.
    let response = HomeFrame::Messages(chunk.clone());
    let responding = async {
        for _ in 0..frames {
            home.send(response.clone()).await.unwrap();
        }
        for _ in 0..frames {
            home.recv().await.unwrap();
        }
    };
    let sender = caller.sender();
    let sending = async {
        for _ in 0..frames {
            sender
                .send(CallerFrame::Messages(chunk.clone()))
                .await
                .unwrap();
        }
    };
    let receiving = async {
        for _ in 0..frames {
            caller.recv().await.unwrap();
        }
    };
    within(async { tokio::join!(responding, sending, receiving) }).await;
}

#[tokio::test]
async fn a_frame_larger_than_the_window_passes() {
    let (one, mut two) = pair().await;
    let mut caller = one.client.open(&"vm-2".into(), head()).await.unwrap();
    let mut home = within(two.exchanges.recv()).await.unwrap();
    let large = CallerFrame::Messages(Bytes::from(vec![1; 3 * 1024 * 1024]));
    for _ in 0..3 {
        let sending = caller.send(large.clone());
        let (sent, received) = within(async { tokio::join!(sending, home.recv()) }).await;
        sent.unwrap();
        assert_eq!(received.unwrap(), large);
    }
}

#[tokio::test]
async fn streams_fail_after_the_peer_has_stopped() {
    let (one, mut two) = pair().await;
    let mut caller = one.client.open(&"vm-2".into(), head()).await.unwrap();
    let home = within(two.exchanges.recv()).await.unwrap();
    drop(two);
    assert!(within(caller.recv()).await.is_err());
    drop(home);
    let again = one.client.open(&"vm-2".into(), head()).await;
    assert!(matches!(again, Err(PeerError::Connect { .. })));
}

#[tokio::test]
async fn control_messages_of_any_size_arrive() {
    let (one, mut two) = pair().await;
    for records in [0, 1, 500] {
        let route = |number| Route {
            name: format!("route-{number}").into(),
            policy: RoutePolicy::default(),
        };
        let mut configuration = Configuration::default();
        for number in 0..records {
            configuration.put(Record::Route(route(number)));
        }
        let configuration = Arc::new(configuration);
        let full = ConfigurationMessage::Full { configuration };
        let message = PeerMessage::Configuration(full);
        one.client.send(&"vm-2".into(), message.clone());
        assert_eq!(within(two.messages.recv()).await.unwrap(), message);
    }
}
