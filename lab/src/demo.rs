//! Demo: runs VMs on stand-ins and serves callers until the process receives a termination signal.

use std::path::Path;
use std::time::Duration;

use currantlb::daemon;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::time::Instant;
use tokio_postgres::Client;

use crate::client::ClientError;
use crate::deployment::key_of;
use crate::fleet::{Fleet, FleetError, FleetSettings, OPERATOR_TOKEN, describe};

/// Time for which a caller retries a statement that was refused as "not run".
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before a caller retries.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Result of the demo.
pub type Result<T, E = DemoError> = std::result::Result<T, E>;

/// Error from the demo or its check.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// The fleet could not be started.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// Underlying error.
        source: FleetError,
    },
    /// A caller could not connect.
    #[snafu(display("{source}"), context(false))]
    Caller {
        /// Underlying error.
        source: ClientError,
    },
    /// A statement failed.
    #[snafu(display("{vm} refused {statement:?}: {reason}"))]
    Statement {
        /// Name of the VM that the caller is connected to.
        vm: String,
        /// Text of the statement.
        statement: String,
        /// SQLSTATE and message of the error.
        reason: String,
    },
    /// An acknowledged save was not found by a read.
    #[snafu(display("{vm} does not show save {id}, which was acknowledged"))]
    Missing {
        /// Name of the VM that served the read.
        vm: String,
        /// Session of the save.
        id: String,
    },
    /// The databases detected violations by the VMs.
    #[snafu(display("{count} violations, the first: {first}"))]
    Violations {
        /// Number of violations.
        count: usize,
        /// Description of the first violation.
        first: String,
    },
    /// The connection file could not be written.
    #[snafu(display(
        "the connection file can't be written: {source}; choose a directory that exists"
    ))]
    ConnectionFile {
        /// Underlying error.
        source: std::io::Error,
    },
    /// The signal handler could not be installed.
    #[snafu(display("{source}"))]
    Signal {
        /// Underlying error.
        source: currantlb::error::Error,
    },
}

/// Contents of the connection file: everything that a program needs to connect.
#[derive(Debug, Serialize)]
pub struct ConnectionFile {
    /// Host of the caller ports.
    pub host: String,
    /// Ports for callers, one for each running VM.
    pub ports: Vec<u16>,
    /// Name of the first workspace.
    pub user: String,
    /// Key of the first workspace.
    pub password: String,
    /// Name of the first database.
    pub dbname: String,
    /// Path of the certificate of the CA that signed the VMs' certificates.
    pub tls_ca_file: String,
    /// Base URL of the first VM's administration API.
    pub admin_url: String,
    /// Administration token of an operator.
    pub admin_token: String,
    /// All workspaces with their keys.
    pub workspaces: Vec<WorkspaceKey>,
}

/// A workspace and its key.
#[derive(Debug, Serialize)]
pub struct WorkspaceKey {
    /// Name of the workspace.
    pub name: String,
    /// Key of the workspace.
    pub key: String,
}

impl ConnectionFile {
    /// Collects the connection details of a running fleet.
    pub fn for_fleet(fleet: &Fleet) -> Self {
        let deployment = &fleet.stand_ins.deployment;
        let workspace = |(name, _): &(&str, _)| WorkspaceKey {
            name: (*name).to_owned(),
            key: key_of(name),
        };
        let first = deployment.workspaces[0].0;
        Self {
            host: fleet.caller_address(0).ip().to_string(),
            ports: fleet
                .running()
                .into_iter()
                .map(|index| fleet.caller_address(index).port())
                .collect(),
            user: first.to_owned(),
            password: key_of(first),
            dbname: deployment.databases[0].to_owned(),
            tls_ca_file: fleet.certificates.ca_file.display().to_string(),
            admin_url: format!("http://{}", fleet.administration_address(0)),
            admin_token: OPERATOR_TOKEN.to_owned(),
            workspaces: deployment.workspaces.iter().map(workspace).collect(),
        }
    }

    /// Returns a `psql` command that connects to the first VM.
    pub fn psql_line(&self) -> String {
        format!(
            "PGPASSWORD={} psql 'host={} port={} user={} dbname={} sslmode=verify-full sslrootcert={}'",
            self.password, self.host, self.ports[0], self.user, self.dbname, self.tls_ca_file
        )
    }
}

/// Runs a fleet until the process receives a termination signal.
///
/// # Errors
///
/// Fails when the fleet can't be started or does not serve in time, or when the connection file
/// can't be written.
pub async fn run(settings: FleetSettings, connection_file: Option<&Path>) -> Result<()> {
    let mut fleet = Fleet::start(settings).await?;
    fleet.wait_until_ready().await?;
    let connection = ConnectionFile::for_fleet(&fleet);
    println!(
        "{} VMs serve {} databases. Connect with:",
        fleet.len(),
        fleet.stand_ins.deployment.databases.len()
    );
    println!("    {}", connection.psql_line());
    println!(
        "Administration: {} with the token {}",
        connection.admin_url, connection.admin_token
    );
    if let Some(path) = connection_file {
        write_connection_file(path, &connection).context(ConnectionFileSnafu)?;
    }
    daemon::wait_for_signal().await.context(SignalSnafu)?;
    for index in fleet.running() {
        fleet.stop_vm(index).await;
    }
    Ok(())
}

/// Writes the file atomically, so that a program that waits for it never reads a partial file.
fn write_connection_file(path: &Path, connection: &ConnectionFile) -> std::io::Result<()> {
    let text = serde_json::to_string_pretty(connection).map_err(std::io::Error::other)?;
    let temporary = path.with_extension("part");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}

/// Starts a fleet, saves through every VM, and reads each save back through every VM.
///
/// # Errors
///
/// Fails when the fleet can't be started, a statement fails, a read does not show the save, or a
/// database detected a violation.
pub async fn check(settings: FleetSettings) -> Result<CheckReport> {
    let fleet = Fleet::start(settings).await?;
    fleet.wait_until_ready().await?;
    let mut report = CheckReport::default();
    for database in fleet.stand_ins.deployment.databases.clone() {
        for writer in fleet.running() {
            save_and_read(&fleet, database, writer, &mut report).await?;
        }
    }
    let violations = fleet.stand_ins.violations();
    if let Some(first) = violations.first() {
        let first = format!("{} at {}: {}", first.kind, first.instance, first.detail);
        return ViolationsSnafu {
            count: violations.len(),
            first,
        }
        .fail();
    }
    Ok(report)
}

/// Counts of a successful check.
#[derive(Debug, Default)]
pub struct CheckReport {
    /// Number of acknowledged saves.
    pub saves: u32,
    /// Number of reads that returned the save.
    pub reads: u32,
}

async fn save_and_read(
    fleet: &Fleet,
    database: &str,
    writer: usize,
    report: &mut CheckReport,
) -> Result<()> {
    let workspace = fleet.stand_ins.deployment.workspaces[writer % 2].0;
    let session = format!("check-{writer}");
    let client = fleet.connect(writer, workspace, database).await?;
    let save = format!(
        "INSERT INTO note (session, sequence) VALUES ('{session}', {}) /*session='{session}'*/",
        report.saves
    );
    execute(fleet, writer, &client, &save).await?;
    report.saves += 1;
    for reader in fleet.running() {
        let client = fleet.connect(reader, workspace, database).await?;
        let read = format!("SELECT sequence FROM note WHERE session = $1 /*session='{session}'*/");
        if !read_shows(fleet, reader, &client, &read, &session).await? {
            return MissingSnafu {
                vm: &fleet.vm(reader).name,
                id: session,
            }
            .fail();
        }
        report.reads += 1;
    }
    Ok(())
}

/// Returns whether a read through a VM shows the session's save; retries refused reads.
async fn read_shows(
    fleet: &Fleet,
    vm: usize,
    client: &Client,
    read: &str,
    session: &String,
) -> Result<bool> {
    let deadline = Instant::now() + RETRY_TIMEOUT;
    loop {
        let error = match client.query(read, &[session]).await {
            Ok(rows) => return Ok(!rows.is_empty()),
            Err(error) => error,
        };
        if !may_retry(&error) || Instant::now() >= deadline {
            return Err(statement_error(fleet, vm, read, &error));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns whether an error says that the statement did not run and when to retry.
fn may_retry(error: &tokio_postgres::Error) -> bool {
    let reason = describe(error);
    reason.contains("not run") && reason.contains("retry in")
}

/// Runs a statement; retries while the VM says that it did not run and when to retry.
async fn execute(fleet: &Fleet, vm: usize, client: &Client, statement: &str) -> Result<()> {
    let deadline = Instant::now() + RETRY_TIMEOUT;
    loop {
        let Err(error) = client.simple_query(statement).await else {
            return Ok(());
        };
        if !may_retry(&error) || Instant::now() >= deadline {
            return Err(statement_error(fleet, vm, statement, &error));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn statement_error(
    fleet: &Fleet,
    vm: usize,
    statement: &str,
    error: &tokio_postgres::Error,
) -> DemoError {
    let vm = fleet.vm(vm).name.clone();
    DemoError::Statement {
        vm,
        statement: statement.to_owned(),
        reason: describe(error),
    }
}
