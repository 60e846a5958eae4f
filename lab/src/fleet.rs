//! VMs of one deployment, run in this process around the stand-ins.

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

/// Token of the lab's operator.
pub const OPERATOR_TOKEN: &str = "lab-operator-token";

/// Secret that the lab's VMs share.
const PEER_SECRET: &str = "lab-secret-between-vms";

/// Time in which a fleet must serve every database through every VM.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two tries of a statement while a fleet starts.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Result of running a fleet.
pub type Result<T, E = FleetError> = std::result::Result<T, E>;

/// Why a fleet does not run.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A stand-in could not start.
    #[snafu(display("a stand-in can't start: {source}; free the address that it names"))]
    StandIn {
        /// Cause.
        source: std::io::Error,
    },
    /// Certificates could not be made.
    #[snafu(display("{source}"))]
    Certificate {
        /// Cause.
        source: CertificateError,
    },
    /// A VM could not start.
    #[snafu(display("{vm} can't start: {source}"))]
    Vm {
        /// The VM.
        vm: String,
        /// Cause.
        source: currantlb::error::Error,
    },
    /// A VM's callers can't be served.
    #[snafu(display("{source}"))]
    Caller {
        /// Cause.
        source: ClientError,
    },
    /// The fleet did not serve in time.
    #[snafu(display("{vm} does not serve {database} after {} s: {reason}", READY_TIMEOUT.as_secs()))]
    NotReady {
        /// The VM.
        vm: String,
        /// The database.
        database: String,
        /// Last refusal.
        reason: String,
    },
}

/// Shape of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// The stand-ins.
    pub stand_ins: StandInSettings,
    /// Number of VMs.
    pub vms: usize,
    /// Lag of the platform's list of VMs.
    pub vm_list_lag: Duration,
    /// Intervals and bounds of the VMs' control code.
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

/// Running VMs with their stand-ins; dropping it ends them.
#[derive(Debug)]
pub struct Fleet {
    /// The stand-ins.
    pub stand_ins: StandIns,
    /// Files of the certificates that callers meet.
    pub certificates: CertificateFiles,
    vms: Vec<Vm>,
    vm_list_lag: Duration,
    connector: Connector,
    directory: TempDir,
}

impl Fleet {
    /// Starts stand-ins and VMs; [`Fleet::ready`] waits until they serve.
    ///
    /// # Errors
    ///
    /// Fails when a stand-in or a VM can't start.
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

    /// Starts a VM that was stopped or killed.
    ///
    /// # Errors
    ///
    /// Fails when the VM can't start.
    pub async fn start_vm(&mut self, index: usize) -> Result<()> {
        let vm = &mut self.vms[index];
        let starting = Daemon::start(vm.settings.clone()).await;
        let daemon = starting.context(VmSnafu { vm: &vm.name })?;
        let record = vm_record(&vm.settings.vm, daemon.peer_address(), VmState::Live);
        vm.daemon = Some(daemon);
        self.stand_ins.platform.list_vm(&record, self.vm_list_lag);
        Ok(())
    }

    /// Ends a VM at once, as a crash would.
    pub fn kill_vm(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if let Some(daemon) = vm.daemon.take() {
            daemon.kill();
            self.stand_ins
                .platform
                .unlist_vm(&vm.settings.vm.name, self.vm_list_lag);
        }
    }

    /// Takes a VM out of service without cutting a request.
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

    /// Returns how many VMs the fleet has, stopped ones among them.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Returns whether the fleet has no VM.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Returns the running VMs' numbers.
    pub fn running(&self) -> Vec<usize> {
        (0..self.vms.len())
            .filter(|index| self.vms[*index].daemon.is_some())
            .collect()
    }

    /// Returns a VM.
    pub fn vm(&self, index: usize) -> &Vm {
        &self.vms[index]
    }

    /// Returns the address that callers of a VM connect to.
    ///
    /// # Panics
    ///
    /// Panics when the VM does not run.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.daemon(index).caller_address()
    }

    /// Returns the address of a VM's administration API.
    pub fn administration_address(&self, index: usize) -> SocketAddr {
        self.vms[index].settings.administration.listen_address
    }

    fn daemon(&self, index: usize) -> &Daemon {
        let vm = &self.vms[index];
        vm.daemon
            .as_ref()
            .unwrap_or_else(|| panic!("{} does not run; start it first", vm.name))
    }

    /// Returns what connects callers.
    pub fn connector(&self) -> &Connector {
        &self.connector
    }

    /// Returns the directory of the fleet's files.
    pub fn directory(&self) -> PathBuf {
        self.directory.path().to_owned()
    }

    /// Connects a workspace to a database through a VM.
    ///
    /// # Errors
    ///
    /// Fails when the VM refuses.
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

    /// Waits until every VM serves every database.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than 20 s.
    pub async fn ready(&self) -> Result<()> {
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
                    tokio::time::sleep(RETRY_PAUSE).await;
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

/// Returns the words of a server's error, or of the client's.
pub fn describe(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(refusal) => format!("{} {}", refusal.code().code(), refusal.message()),
        None => error.to_string(),
    }
}

/// Addresses of one VM.
#[derive(Debug, Clone, Copy)]
pub struct VmAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
    /// For operators.
    pub administration: SocketAddr,
}

/// Returns the settings of the VM of a number, from 1.
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
            availability_zone: deployment.zone(number - 1),
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

/// Returns the entry of a VM in the platform's list.
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
