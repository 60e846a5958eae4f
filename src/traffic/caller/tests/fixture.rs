//! Fixture: the listener of one VM, whose only database has its home on another VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::watch;
use tokio_postgres::{Client, Config, NoTls};

use super::super::{CallerContext, CallerListener, serve};
use super::fake_home::{Arrival, FakeHome};
use crate::configuration::{
    Configuration, DatabaseGroup, Key, KeyState, Limits, Record, Revision, Workspace,
};
use crate::control::blackboard::{Incarnation, LocalVm};
use crate::control::snapshot::{HomeView, PeerView, Snapshot, Standing};
use crate::controller::{SharedSnapshot, control_mailbox};
use crate::peer::PeerMessage;
use crate::peer::server::{PeerHandlers, PeerServer, PeerSockets};
use crate::settings::{CallerSettings, PeerSettings, Settings};
use crate::time::{Clock, Timestamp};
use crate::traffic::{Homes, scram};

const ITERATIONS: u32 = 4;
pub(super) const KEY: &str = "council-key";
pub(super) const DATABASE: &str = "canopy-1";
pub(super) const WORKSPACE: &str = "council";

/// Running listener and the fake home that serves its database.
pub(super) struct Fixture {
    pub(super) home: FakeHome,
    pub(super) listener: CallerListener,
    pub(super) snapshot: SharedSnapshot,
    pub(super) shutdown: watch::Sender<bool>,
    _server: PeerServer,
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

fn workspace(name: &str, databases: &[&str]) -> Workspace {
    let salt = scram::new_salt();
    let verifier = scram::verifier(KEY, &salt, ITERATIONS).unwrap();
    let key = Key {
        id: "key-1".into(),
        stored_key: verifier.stored_key,
        server_key: verifier.server_key,
        state: KeyState::Active,
    };
    Workspace {
        name: name.into(),
        salt,
        iterations: ITERATIONS,
        keys: vec![key],
        databases: databases.iter().map(|name| (*name).into()).collect(),
        limits: Limits::default(),
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    configuration.put(Record::Workspace(workspace(WORKSPACE, &[DATABASE])));
    configuration.put(Record::Workspace(workspace("stranger", &[])));
    configuration.put(Record::Database(DatabaseGroup {
        name: DATABASE.into(),
        region: "region".into(),
        cell: "cell".into(),
        instances: Vec::new(),
    }));
    configuration
}

fn snapshot(peer: SocketAddr) -> Snapshot {
    let home = HomeView {
        vm: "vm-2".into(),
        epoch: 1,
    };
    let peer = PeerView {
        address: peer,
        incarnation: None,
        availability_zone: "zone".into(),
    };
    Snapshot {
        taken_at: Timestamp::ZERO,
        local: local("vm-1"),
        standing: Standing::Serving,
        configuration: Arc::new(configuration()),
        revision_everywhere: Revision::default(),
        homes: Arc::new(BTreeMap::from([(DATABASE.into(), home)])),
        databases: BTreeMap::new(),
        shares: Arc::default(),
        peers: Arc::new(BTreeMap::from([("vm-2".into(), peer)])),
    }
}

impl Fixture {
    pub(super) async fn start() -> Self {
        Self::start_with(CallerSettings::default()).await
    }

    pub(super) async fn start_with(settings: CallerSettings) -> Self {
        let peers = PeerSettings {
            listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            secrets: vec!["secret".to_owned()],
            ..PeerSettings::default()
        };
        let local_sockets = PeerSockets::bind(&peers, &local("vm-1")).await.unwrap();
        let home_sockets = PeerSockets::bind(&peers, &local("vm-2")).await.unwrap();
        let snapshot: SharedSnapshot =
            Arc::new(ArcSwap::from_pointee(snapshot(home_sockets.address())));
        let home = FakeHome::default();
        let (running, cancelled) = (home.clone(), home.clone());
        let server = home_sockets.serve(PeerHandlers {
            message: Box::new(move |_, _, message| {
                if let PeerMessage::Cancel(key) = message {
                    cancelled.record_arrival(Arrival::PeerCancel(key));
                }
            }),
            exchange: Box::new(move |head, end| {
                tokio::spawn(running.clone().run(head, end));
            }),
        });
        let (shutdown, stopping) = watch::channel(false);
        let (events, _mailbox) = control_mailbox();
        let listener = serve(CallerContext {
            settings: CallerSettings {
                listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
                ..settings
            },
            snapshot: Arc::clone(&snapshot),
            homes: Homes::new(
                Settings::default(),
                Arc::clone(&snapshot),
                Clock::start(),
                events,
            ),
            peers: local_sockets.client(Arc::clone(&snapshot)),
            shutdown: stopping,
        });
        Self {
            home,
            listener: listener.await.unwrap(),
            snapshot,
            shutdown,
            _server: server,
        }
    }

    pub(super) fn config(&self) -> Config {
        let mut config = Config::new();
        config
            .host("127.0.0.1")
            .port(self.listener.address.port())
            .user(WORKSPACE)
            .password(KEY)
            .dbname(DATABASE)
            .connect_timeout(Duration::from_secs(5));
        config
    }

    pub(super) async fn connect(&self) -> Client {
        connect(&self.config()).await.unwrap()
    }

    pub(super) fn configure(&self, change: impl FnOnce(&mut Configuration)) {
        let mut snapshot = Snapshot::clone(&self.snapshot.load());
        change(Arc::make_mut(&mut snapshot.configuration));
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Withdraws the key of the workspace.
    pub(super) fn withdraw_key(&self) {
        self.configure(|configuration| {
            let workspace = configuration.workspaces.get_mut(WORKSPACE).unwrap();
            Arc::make_mut(workspace).keys[0].state = KeyState::Withdrawn;
        });
    }
}

/// Connects with `tokio_postgres`; the connection runs in a task.
pub(super) async fn connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Returns the SQLSTATE of a driver error, or its text if it has none.
pub(super) fn sqlstate(error: &tokio_postgres::Error) -> String {
    error
        .code()
        .map_or_else(|| error.to_string(), |code| code.code().to_owned())
}
