//! Runs the VMs of one deployment in this process, against the stand-ins.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use currantlb::control::membership::{VmRecord, VmState};
use currantlb::daemon::Daemon;
use currantlb::settings::{
    AdministrationSettings, CallerSettings, ControlSettings, DatabaseSettings, OperatorToken,
    PeerSettings, Role, Settings, VmSettings,
};
use snafu::{ResultExt, Snafu};
use tempfile::TempDir;
use tokio::time::Instant;
use tokio_postgres::Client;

use crate::certificate::{self, CertificateError, CertificateFiles};
use crate::client::{self, ClientError, Connector, Login};
use crate::loopback;
use crate::processes::ADMINISTRATION_PORT;
use crate::stand_ins::{DATABASE_PASSWORD, StandInSettings, StandIns};

/// Administration token of the lab's operator.
pub const OPERATOR_TOKEN: &str = "lab-operator-token";

/// Shared secret with which the lab's VMs authenticate to each other.
const PEER_SECRET: &str = "lab-secret-between-vms";

/// Time within which every VM of a fleet must serve every database.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay between attempts to run a statement while a fleet starts.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Result of running a fleet.
pub type Result<T, E = FleetError> = std::result::Result<T, E>;

/// Error from starting or using a fleet.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A stand-in could not be started.
    #[snafu(display("a stand-in can't start: {source}; free the address that it names"))]
    StandIn {
        /// Underlying error.
        source: std::io::Error,
    },
    /// The certificates could not be created.
    #[snafu(display("{source}"))]
    Certificate {
        /// Underlying error.
        source: CertificateError,
    },
    /// A VM could not be started.
    #[snafu(display("{vm} can't start: {source}"))]
    Vm {
        /// Name of the VM.
        vm: String,
        /// Underlying error.
        source: currantlb::error::Error,
    },
    /// The connector for callers could not be set up.
    #[snafu(display("{source}"))]
    Caller {
        /// Underlying error.
        source: ClientError,
    },
    /// A VM did not serve a database within the start-up time limit.
    #[snafu(display("{vm} does not serve {database} after {} s: {reason}", READY_TIMEOUT.as_secs()))]
    NotReady {
        /// Name of the VM.
        vm: String,
        /// Name of the database.
        database: String,
        /// Error of the last attempt.
        reason: String,
    },
}

/// Settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Settings of the stand-ins.
    pub stand_ins: StandInSettings,
    /// Number of VMs.
    pub vms: usize,
    /// Delay after which a change to the platform's list of VMs becomes visible.
    pub vm_list_lag: Duration,
    /// Control settings of the VMs: intervals and time limits.
    pub control: ControlSettings,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            stand_ins: StandInSettings::default(),
            vms: 3,
            vm_list_lag: Duration::ZERO,
            control: ControlSettings::default(),
        }
    }
}

/// One VM of a fleet.
#[derive(Debug)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    settings: Settings,
    daemon: Option<Daemon>,
}

/// Running VMs and their stand-ins; all are stopped when the fleet is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Platform and databases that the VMs use.
    pub stand_ins: StandIns,
    /// Files of the TLS certificate that the VMs present to callers.
    pub certificates: CertificateFiles,
    vms: Vec<Vm>,
    vm_list_lag: Duration,
    connector: Connector,
    directory: TempDir,
}

impl Fleet {
    /// Starts the stand-ins and the VMs, without waiting until the VMs serve; see
    /// [`Fleet::wait_until_ready`].
    ///
    /// # Errors
    ///
    /// Fails when a stand-in or a VM can't be started.
    pub async fn start(settings: FleetSettings) -> Result<Self> {
        let stand_ins = StandIns::start(settings.stand_ins.clone())
            .await
            .context(StandInSnafu)?;
        let directory = TempDir::with_prefix("currantlb-lab-").context(StandInSnafu)?;
        let names = vec!["localhost".to_owned(), Ipv4Addr::LOCALHOST.to_string()];
        let certificates =
            certificate::create(directory.path(), names).context(CertificateSnafu)?;
        let connector = Connector::new(&certificates.ca_file).context(CallerSnafu)?;
        let mut fleet = Self {
            stand_ins,
            certificates,
            vms: Vec::new(),
            vm_list_lag: settings.vm_list_lag,
            connector,
            directory,
        };
        for number in 1..=settings.vms {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let addresses = VmAddresses {
                callers: any,
                peers: any,
                administration: SocketAddr::from((loopback::next_host(), ADMINISTRATION_PORT)),
            };
            let vm_settings =
                vm_settings(&fleet.stand_ins, &fleet.certificates, number, &addresses);
            let vm_settings = Settings {
                control: settings.control.clone(),
                ..vm_settings
            };
            let name = vm_settings.vm.name.to_string();
            fleet.vms.push(Vm {
                name,
                settings: vm_settings,
                daemon: None,
            });
            fleet.start_vm(number - 1).await?;
        }
        Ok(fleet)
    }

    /// Starts a VM that is not running, and adds it to the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// Fails when the VM can't be started.
    pub async fn start_vm(&mut self, index: usize) -> Result<()> {
        let vm = &mut self.vms[index];
        let starting = Daemon::start(vm.settings.clone()).await;
        let daemon = starting.context(VmSnafu { vm: &vm.name })?;
        let record = vm_record(&vm.settings.vm, daemon.peer_address(), VmState::Live);
        vm.daemon = Some(daemon);
        self.stand_ins.platform.list_vm(&record, self.vm_list_lag);
        Ok(())
    }

    /// Stops a VM abruptly, as a crash would.
    pub fn kill_vm(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if let Some(daemon) = vm.daemon.take() {
            daemon.kill();
            self.stand_ins
                .platform
                .unlist_vm(&vm.settings.vm.name, self.vm_list_lag);
        }
    }

    /// Stops a VM gracefully: it finishes the requests in progress first.
    pub async fn stop_vm(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if let Some(daemon) = vm.daemon.take() {
            let record = vm_record(&vm.settings.vm, daemon.peer_address(), VmState::Leaving);
            self.stand_ins.platform.list_vm(&record, self.vm_list_lag);
            daemon.stop().await;
            self.stand_ins
                .platform
                .unlist_vm(&vm.settings.vm.name, self.vm_list_lag);
        }
    }

    /// Returns the number of VMs in the fleet, including stopped ones.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Returns whether the fleet has no VMs.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Returns the indexes of the running VMs.
    pub fn running(&self) -> Vec<usize> {
        (0..self.vms.len())
            .filter(|index| self.vms[*index].daemon.is_some())
            .collect()
    }

    /// Returns the VM at an index, whether it is running or not.
    pub fn vm(&self, index: usize) -> &Vm {
        &self.vms[index]
    }

    /// Returns the address that a VM's callers connect to.
    ///
    /// # Panics
    ///
    /// Panics when the VM is not running.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.daemon(index).caller_address()
    }

    /// Returns the address of a VM's administration API; the VM need not be running.
    pub fn administration_address(&self, index: usize) -> SocketAddr {
        self.vms[index].settings.administration.listen_address
    }

    fn daemon(&self, index: usize) -> &Daemon {
        let vm = &self.vms[index];
        vm.daemon
            .as_ref()
            .unwrap_or_else(|| panic!("{} is not running; start it first", vm.name))
    }

    /// Returns the connector for callers, which trusts the fleet's certificates.
    pub fn connector(&self) -> &Connector {
        &self.connector
    }

    /// Returns the temporary directory of the fleet's files, deleted when the fleet is dropped.
    pub fn directory(&self) -> PathBuf {
        self.directory.path().to_owned()
    }

    /// Connects to a database through a VM, with the key of a workspace.
    ///
    /// # Errors
    ///
    /// Fails when the VM can't be reached or refuses the login.
    pub async fn connect(
        &self,
        index: usize,
        workspace: &str,
        database: &str,
    ) -> client::Result<Client> {
        let login = Login {
            workspace: workspace.to_owned(),
            database: database.to_owned(),
            ..Login::default()
        };
        self.connector
            .connect(self.caller_address(index), &login)
            .await
    }

    /// Waits until every running VM serves every database.
    ///
    /// # Errors
    ///
    /// Fails when a database is not served within 20 s.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let workspace = self.stand_ins.deployment.workspaces[0].0;
        for index in self.running() {
            for database in &self.stand_ins.deployment.databases {
                while let Err(reason) = self.try_statement(index, workspace, database).await {
                    if Instant::now() >= deadline {
                        let vm = &self.vms[index].name;
                        return NotReadySnafu {
                            vm,
                            database: *database,
                            reason,
                        }
                        .fail();
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        Ok(())
    }

    async fn try_statement(
        &self,
        index: usize,
        workspace: &str,
        database: &str,
    ) -> Result<(), String> {
        let client = self
            .connect(index, workspace, database)
            .await
            .map_err(|error| error.to_string())?;
        let statements = "DELETE FROM note WHERE id = 0; SELECT count(*) FROM note";
        client
            .simple_query(statements)
            .await
            .map_err(|error| describe(&error))?;
        Ok(())
    }
}

/// Returns the SQLSTATE and message of a server's error, or the text of a client error.
pub fn describe(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(refusal) => format!("{} {}", refusal.code().code(), refusal.message()),
        None => error.to_string(),
    }
}

/// Listen addresses of one VM.
#[derive(Debug, Clone, Copy)]
pub struct VmAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other VMs.
    pub peers: SocketAddr,
    /// Address of the administration API.
    pub administration: SocketAddr,
}

/// Returns the settings of a VM; `number` counts from 1.
pub fn vm_settings(
    stand_ins: &StandIns,
    certificates: &CertificateFiles,
    number: usize,
    addresses: &VmAddresses,
) -> Settings {
    let deployment = &stand_ins.deployment;
    Settings {
        vm: VmSettings {
            name: format!("vm-{number}").into(),
            availability_zone: deployment.availability_zone(number - 1),
            region: deployment.region.into(),
            cell: deployment.region.into(),
        },
        callers: CallerSettings {
            listen_address: addresses.callers,
            tls_certificate_file: Some(certificates.certificate_file.clone()),
            tls_key_file: Some(certificates.key_file.clone()),
            ..CallerSettings::default()
        },
        peers: PeerSettings {
            listen_address: addresses.peers,
            secrets: vec![PEER_SECRET.to_owned()],
            ..PeerSettings::default()
        },
        administration: AdministrationSettings {
            listen_address: addresses.administration,
            tokens: vec![OperatorToken {
                operator: "lab".to_owned(),
                token: OPERATOR_TOKEN.to_owned(),
                role: Role::Operate,
            }],
            ..AdministrationSettings::default()
        },
        platform: stand_ins.platform.settings(),
        databases: DatabaseSettings {
            password: DATABASE_PASSWORD.to_owned(),
            ..DatabaseSettings::default()
        },
        ..Settings::default()
    }
}

/// Returns the record of a VM for the platform's list of VMs.
pub fn vm_record(vm: &VmSettings, peer_address: SocketAddr, state: VmState) -> VmRecord {
    VmRecord {
        name: vm.name.clone(),
        peer_address,
        availability_zone: vm.availability_zone.clone(),
        region: vm.region.clone(),
        cell: vm.cell.clone(),
        state,
    }
}
