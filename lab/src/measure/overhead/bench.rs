//! Stand-ins, two VMs and a relay for the overhead measurement.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::time::Duration;

use currantlb::configuration::Limits;
use snafu::{OptionExt, ResultExt, Snafu};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio_postgres::{Client, Config, NoTls};

use super::load::{AccessPath, Caller};
use crate::daemons::{DaemonProcess, daemon_binary};
use crate::deployment::{Deployment, key_of, semenanjung};
use crate::processes::{self, ProcessError, ProcessIndex};
use crate::stand_ins::{DATABASE_PASSWORD, StandInSettings, StandIns};

/// Database that the callers read.
const DATABASE: &str = "canopy-1";

/// Workspace of the callers.
const WORKSPACE: &str = "petaling";

/// Slots and connections of an instance: so many that no statement waits for a slot, and only the
/// paths are compared.
const SLOTS: u32 = 64;
const CONNECTIONS: u32 = 200;

/// Time within which the VMs must serve.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Statement that the callers run.
const SELECT: &str = "SELECT name FROM layer WHERE id = $1";

pub(super) type Result<T, E = BenchError> = std::result::Result<T, E>;

/// Error from the overhead measurement.
#[derive(Debug, Snafu)]
pub(super) enum BenchError {
    #[snafu(display("the daemon is not built; run cargo build --release first"))]
    NoDaemon,
    #[snafu(
        display("a process can't be started: {source}"),
        visibility(pub(super))
    )]
    Process { source: std::io::Error },
    #[snafu(display("{source}"), context(false))]
    Files { source: ProcessError },
    #[snafu(
        display("a statement failed: {}", crate::fleet::describe(source)),
        context(false)
    )]
    Statement { source: tokio_postgres::Error },
    #[snafu(display("the VMs did not serve the database in time"))]
    NotReady,
}

/// Stand-ins and processes that are measured.
#[derive(Debug)]
pub(super) struct Bench {
    pub(super) stand_ins: StandIns,
    pub(super) daemons: Vec<DaemonProcess>,
    index: ProcessIndex,
    relay_address: SocketAddr,
    _relay: Child,
    _directory: TempDir,
}

impl Bench {
    pub(super) async fn start() -> Result<Self> {
        let binary = daemon_binary().context(NoDaemonSnafu)?;
        let directory = TempDir::with_prefix("currantlb-overhead-").context(ProcessSnafu)?;
        let settings = StandInSettings {
            deployment: unlimited(),
            ..StandInSettings::default()
        };
        let plain = processes::Transport::Plain;
        let (stand_ins, index) =
            processes::prepare_with(settings, 2, directory.path(), plain).await?;
        let mut daemons = Vec::new();
        for vm in &index.vms {
            daemons.push(DaemonProcess::start(&binary, vm).context(ProcessSnafu)?);
        }
        let (_, instance) = stand_ins.group(DATABASE).addresses()[0].clone();
        let (relay, relay_address) = start_relay(instance).await.context(ProcessSnafu)?;
        let bench = Self {
            stand_ins,
            daemons,
            index,
            relay_address,
            _relay: relay,
            _directory: directory,
        };
        let ready = tokio::time::timeout(READY_TIMEOUT, bench.wait_until_ready()).await;
        ready.ok().context(NotReadySnafu)?;
        Ok(bench)
    }

    async fn wait_until_ready(&self) {
        for path in [AccessPath::Home, AccessPath::Forward] {
            while self.clients(path, 1).await.is_err() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Returns the index of the VM that is home of the database.
    pub(super) fn home(&self) -> usize {
        usize::from(self.daemons[1].home_epoch(DATABASE) > self.daemons[0].home_epoch(DATABASE))
    }

    /// Connects callers and prepares their statement.
    pub(super) async fn clients(&self, path: AccessPath, count: usize) -> Result<Vec<Caller>> {
        let mut callers = Vec::new();
        for _ in 0..count {
            let client = self.connect(path).await?;
            let statement = client.prepare(SELECT).await?;
            client.query_one(&statement, &[&1_i64]).await?;
            callers.push(Caller { client, statement });
        }
        Ok(callers)
    }

    /// Connects one caller.
    pub(super) async fn connect(&self, path: AccessPath) -> Result<Client> {
        let (client, connection) = self.config(path).connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Returns the address that callers connect to on a path.
    pub(super) fn caller_address(&self, path: AccessPath) -> SocketAddr {
        let home = self.home();
        match path {
            AccessPath::Direct => self.stand_ins.group(DATABASE).addresses()[0].1,
            AccessPath::Relay => self.relay_address,
            AccessPath::Home => self.index.vms[home].caller_address,
            AccessPath::Forward => self.index.vms[1 - home].caller_address,
        }
    }

    /// Returns the connection settings of a caller.
    pub(super) fn config(&self, path: AccessPath) -> Config {
        let address = self.caller_address(path);
        let (user, password) = match path {
            AccessPath::Direct | AccessPath::Relay => ("lab", DATABASE_PASSWORD.to_owned()),
            AccessPath::Home | AccessPath::Forward => (WORKSPACE, key_of(WORKSPACE)),
        };
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(user)
            .password(password)
            .dbname(DATABASE);
        config
    }
}

/// Returns a deployment with limits so high that they never take effect.
fn unlimited() -> Deployment {
    let mut deployment = semenanjung();
    let limits = Limits {
        rate_per_s: 1e7,
        burst: 1e7,
        weight: 1,
    };
    for (_, workspace_limits) in &mut deployment.workspaces {
        *workspace_limits = limits;
    }
    Deployment {
        slots: SLOTS,
        connections: CONNECTIONS,
        ..deployment
    }
}

/// Starts this program as a relay; reads the relay's address from its first line of output.
async fn start_relay(to: SocketAddr) -> std::io::Result<(Child, SocketAddr)> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut relay = Command::new(std::env::current_exe()?)
        .args([
            "relay",
            "--listen",
            &any.to_string(),
            "--to",
            &to.to_string(),
        ])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let stdout = relay
        .stdout
        .take()
        .ok_or_else(|| std::io::Error::other("the relay has no output"))?;
    let line = BufReader::new(stdout)
        .lines()
        .next_line()
        .await?
        .unwrap_or_default();
    let address = line.trim().parse().map_err(std::io::Error::other)?;
    Ok((relay, address))
}
