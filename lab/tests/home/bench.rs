//! A home with a stand-in database, and callers connected to it through a peer connection.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::{Buf, Bytes, BytesMut};
use currantlb::configuration::{
    Configuration, DatabaseGroup as GroupRecord, Key, KeyState, Limits, Record, Revision, Route,
    RoutePolicy, Workspace,
};
use currantlb::control::blackboard::{Incarnation, LocalVm};
use currantlb::control::bucket::Share;
use currantlb::control::snapshot::{
    DatabaseView, HomeLease, InstanceView, PeerView, Snapshot, Standing,
};
use currantlb::controller::{ControlMailbox, SharedSnapshot, control_mailbox};
use currantlb::peer::server::{PeerHandlers, PeerServer, PeerSockets};
use currantlb::peer::{CallerStream, PeerClient};
use currantlb::settings::{ControlSettings, PeerSettings, Settings};
use currantlb::time::{Clock, Timestamp};
use currantlb::traffic::{
    Access, CallerFrame, ExchangeHead, ExchangeId, HomeFrame, HomeIo, Homes, Refusal,
};
use currantlb_lab::database::{DatabaseGroup, DatabaseGroupSettings};
use postgres_protocol::message::frontend;

/// Time limit of every wait in these tests.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

pub struct Bench {
    pub group: DatabaseGroup,
    snapshot: SharedSnapshot,
    client: PeerClient,
    _server: PeerServer,
    _mailbox: ControlMailbox,
}

pub struct BenchSettings {
    pub group: DatabaseGroupSettings,
    pub settings: Settings,
    pub slots: u32,
    pub connections: u32,
}

impl Default for BenchSettings {
    fn default() -> Self {
        Self {
            group: DatabaseGroupSettings {
                schema: vec!["CREATE TABLE tree (id BIGINT PRIMARY KEY, name TEXT)".to_owned()],
                ..DatabaseGroupSettings::default()
            },
            settings: Settings::default(),
            slots: 3,
            connections: 20,
        }
    }
}

/// Messages of the database and refusal of the home that a caller received for a statement.
#[derive(Debug, Default)]
pub struct Response {
    pub messages: BytesMut,
    pub refusal: Option<Refusal>,
}

impl Response {
    /// Returns the type bytes of the messages, in order.
    pub fn tags(&self) -> String {
        self.bodies().into_iter().map(|(tag, _)| tag).collect()
    }

    /// Returns the first value of each row.
    pub fn values(&self) -> Vec<String> {
        let rows = self.bodies().into_iter().filter(|(tag, _)| *tag == 'D');
        let values = rows.map(|(_, mut body)| {
            body.advance(2);
            let length = body.get_u32() as usize;
            String::from_utf8_lossy(&body[..length]).into_owned()
        });
        values.collect()
    }

    fn bodies(&self) -> Vec<(char, Bytes)> {
        let mut rest = self.messages.clone().freeze();
        let mut bodies = Vec::new();
        while rest.len() >= 5 {
            let tag = char::from(rest.get_u8());
            let length = rest.get_u32() as usize;
            bodies.push((tag, rest.split_to(length - 4)));
        }
        assert!(rest.is_empty(), "the last message is incomplete");
        bodies
    }
}

/// Caller in the middle of an exchange.
pub struct Caller {
    end: CallerStream,
}

impl Caller {
    pub async fn send(&mut self, frame: CallerFrame) {
        self.end.send(frame).await.expect("the stream is open");
    }

    pub async fn query(&mut self, sql: &str) {
        let mut query = BytesMut::new();
        frontend::query(sql, &mut query).expect("a query without zero bytes");
        self.send(CallerFrame::Messages(query.freeze())).await;
    }

    /// Receives frames up to a `ReadyForQuery` within a transaction, or up to the end of the
    /// exchange.
    pub async fn response(&mut self) -> Response {
        let mut response = Response::default();
        loop {
            match self.next().await {
                HomeFrame::Messages(messages) => {
                    response.messages.extend_from_slice(&messages);
                    if response.messages.ends_with(b"Z\0\0\0\x05T") {
                        return response;
                    }
                }
                HomeFrame::Refused(refusal) => response.refusal = Some(refusal),
                HomeFrame::Seen(_) => {}
                HomeFrame::End => return response,
            }
        }
    }

    pub async fn next(&mut self) -> HomeFrame {
        let next = tokio::time::timeout(WAIT_LIMIT, self.end.recv()).await;
        next.expect("the home sends a frame")
            .expect("the stream is open")
    }
}

impl Bench {
    pub async fn start(bench: BenchSettings) -> Self {
        let group = DatabaseGroup::start(bench.group).await.expect("a group");
        let clock = Clock::start();
        let home = local("home");
        let caller = local("caller");
        let peers = PeerSettings {
            listen_address: ([127, 0, 0, 1], 0).into(),
            secrets: vec!["secret".to_owned()],
            ..PeerSettings::default()
        };
        let home_sockets = PeerSockets::bind(&peers, &home).await.expect("a port");
        let caller_sockets = PeerSockets::bind(&peers, &caller).await.expect("a port");
        let mut snapshot = snapshot(home, &group, bench.slots, bench.connections);
        let peer = PeerView {
            address: home_sockets.address(),
            incarnation: None,
            availability_zone: "zone-a".into(),
        };
        snapshot.peers = Arc::new(BTreeMap::from([("home".into(), peer)]));
        let snapshot: SharedSnapshot = Arc::new(ArcSwap::from_pointee(snapshot));
        let (events, mailbox) = control_mailbox();
        let homes = Homes::new(bench.settings, Arc::clone(&snapshot), clock, events);
        let runner = homes;
        let server = home_sockets.serve(PeerHandlers {
            message: Box::new(|_, _, _| {}),
            exchange: Box::new(move |head, mut end| {
                let homes = runner.clone();
                tokio::spawn(async move { homes.run(head, &mut HomeIo::Remote(&mut end)).await });
            }),
        });
        let client = caller_sockets.client(Arc::clone(&snapshot));
        let bench = Self {
            group,
            snapshot,
            client,
            _server: server,
            _mailbox: mailbox,
        };
        bench.wait_until_serving().await;
        bench
    }

    /// Waits until the home serves statements.
    async fn wait_until_serving(&self) {
        let mut last = None;
        for _ in 0..20 {
            last = self.run(Access::Write, "SELECT 1").await.refusal;
            if last.is_none() {
                return;
            }
        }
        panic!("the home does not serve statements: {last:?}");
    }

    /// Opens an exchange.
    pub async fn open(&self, head: ExchangeHead) -> Caller {
        let home = "home".into();
        let end = self.client.open(&home, head).await.expect("a stream");
        Caller { end }
    }

    /// Runs one statement in a separate exchange.
    pub async fn run(&self, access: Access, sql: &str) -> Response {
        let mut caller = self.open(head(access)).await;
        caller.query(sql).await;
        caller.response().await
    }

    /// Publishes a changed copy of the snapshot.
    pub fn change(&self, change: impl Fn(&mut Snapshot)) {
        let mut snapshot = Snapshot::clone(&self.snapshot.load());
        change(&mut snapshot);
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Publishes a snapshot in which the view of the database is changed.
    pub fn change_view(&self, change: impl Fn(&mut DatabaseView)) {
        self.change(|snapshot| {
            for view in snapshot.databases.values_mut() {
                change(Arc::make_mut(view));
            }
        });
    }
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_LIMIT, wait).await;
    waited.unwrap_or_else(|_| panic!("{what} did not happen"));
}

/// Returns the head of an exchange of the test caller.
pub fn head(access: Access) -> ExchangeHead {
    ExchangeHead {
        id: ExchangeId {
            vm: "caller".into(),
            incarnation: Incarnation(1),
            number: 1,
        },
        workspace: "council".into(),
        key: "key-1".into(),
        database: "canopy".into(),
        session: None,
        route: None,
        request: None,
        token: None,
        access,
        settings: Vec::new(),
        budget_ms: 5_000,
        traceparent: None,
        revision: Revision(1),
        preset_version: 0,
    }
}

fn local(name: &str) -> LocalVm {
    LocalVm {
        name: name.into(),
        incarnation: Incarnation(1),
        availability_zone: "zone-a".into(),
        region: "region".into(),
        cell: "cell".into(),
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    let workspace = |name: &str, databases: &[&str]| Workspace {
        name: name.into(),
        salt: String::new(),
        iterations: 1,
        keys: vec![Key {
            id: "key-1".into(),
            stored_key: String::new(),
            server_key: String::new(),
            state: KeyState::Active,
        }],
        databases: databases
            .iter()
            .map(|name| (*name).into())
            .collect::<BTreeSet<_>>(),
        limits: Limits::default(),
    };
    configuration.put(Record::Workspace(workspace("council", &["canopy"])));
    configuration.put(Record::Workspace(workspace("stranger", &[])));
    configuration.put(Record::Route(Route {
        name: "map-view".into(),
        policy: RoutePolicy {
            repeatable: true,
            ..RoutePolicy::default()
        },
    }));
    configuration.put(Record::Database(GroupRecord {
        name: "canopy".into(),
        region: "region".into(),
        cell: "cell".into(),
        instances: Vec::new(),
    }));
    configuration
}

fn snapshot(local: LocalVm, group: &DatabaseGroup, slots: u32, connections: u32) -> Snapshot {
    let instances = group
        .addresses()
        .into_iter()
        .map(|(name, address)| InstanceView {
            name: name.as_str().into(),
            address,
            availability_zone: "zone-a".into(),
            slots,
            connections,
            accepts_work: true,
            reachable: true,
            follows: true,
        });
    let report = group.report("instance-1");
    let view = DatabaseView {
        name: "canopy".into(),
        lease: HomeLease {
            epoch: 1,
            valid_until: Timestamp::from_millis(u64::from(u32::MAX)),
        },
        term: Some(report.adopted.clone()),
        primary: Some("instance-1".into()),
        writes_paused: false,
        low_water_mark: Some(report.last.clone()),
        instances: instances.collect(),
    };
    let share = Share {
        rate_per_s: 100_000.0,
        burst: 100_000.0,
        weight: 1,
    };
    let shares = BTreeMap::from([("council".into(), share)]);
    Snapshot {
        taken_at: Timestamp::ZERO,
        local,
        standing: Standing::Serving,
        configuration: Arc::new(configuration()),
        revision_everywhere: Revision::default(),
        homes: Arc::default(),
        databases: BTreeMap::from([("canopy".into(), Arc::new(view))]),
        shares: Arc::new(BTreeMap::from([("canopy".into(), Arc::new(shares))])),
        peers: Arc::default(),
    }
}

/// Returns settings with a short timeout of the answer gate.
pub fn short_gate_timeout() -> Settings {
    Settings {
        control: ControlSettings {
            gate_timeout_ms: 200,
            ..ControlSettings::default()
        },
        ..Settings::default()
    }
}
