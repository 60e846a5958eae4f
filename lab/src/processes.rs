//! Stand-ins and settings files for VMs that run as separate processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use currantlb::control::membership::VmState;
use currantlb::daemon;
use currantlb::settings::Settings;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::certificate::{self, CertificateError};
use crate::fleet::{VmAddresses, vm_record, vm_settings};
use crate::loopback;
use crate::stand_ins::{StandInSettings, StandIns};

const CALLER_PORT: u16 = 6432;
const PEER_PORT: u16 = 7432;
pub(crate) const ADMINISTRATION_PORT: u16 = 8432;

/// Name of the index of the written files; it is written last, when all others are complete.
pub const INDEX_FILE: &str = "vms.json";

/// Result of preparing processes.
pub type Result<T, E = ProcessError> = std::result::Result<T, E>;

/// Error from starting the stand-ins or writing the files.
#[derive(Debug, Snafu)]
pub enum ProcessError {
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
    /// A file could not be written.
    #[snafu(display("{} can't be written: {source}; create the directory first", file.display()))]
    Write {
        /// Path of the file.
        file: PathBuf,
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

/// Index of the files that were written for the VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProcessIndex {
    /// Certificate of the CA that signed the VMs' certificates.
    pub tls_ca_file: PathBuf,
    /// Files and addresses of each VM.
    pub vms: Vec<VmFiles>,
}

/// Files and addresses of one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmFiles {
    /// Name of the VM.
    pub name: String,
    /// Path of the settings file.
    pub settings_file: PathBuf,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
}

/// Transport between callers and VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// TLS.
    Tls,
    /// Unencrypted TCP, for comparison with a plain TCP relay.
    Plain,
}

/// Starts the stand-ins and writes a settings file for each VM; callers connect over TLS.
///
/// Each VM has its own IP address on the loopback network, so all VMs use the same ports.
///
/// # Errors
///
/// Fails when a stand-in can't be started or a file can't be written.
pub async fn prepare(
    settings: StandInSettings,
    vms: usize,
    directory: &Path,
) -> Result<(StandIns, ProcessIndex)> {
    prepare_with(settings, vms, directory, Transport::Tls).await
}

/// Like [`prepare`], with a given transport for callers.
///
/// # Errors
///
/// Fails when a stand-in can't be started or a file can't be written.
pub async fn prepare_with(
    settings: StandInSettings,
    vms: usize,
    directory: &Path,
    transport: Transport,
) -> Result<(StandIns, ProcessIndex)> {
    let stand_ins = StandIns::start(settings).await.context(StandInSnafu)?;
    let hosts: Vec<_> = (0..vms).map(|_| loopback::next_host()).collect();
    let names = hosts.iter().map(ToString::to_string).collect();
    let certificates = certificate::create(directory, names).context(CertificateSnafu)?;
    let mut index = ProcessIndex {
        tls_ca_file: certificates.ca_file.clone(),
        vms: Vec::new(),
    };
    for (number, host) in (1..).zip(hosts) {
        let addresses = VmAddresses {
            callers: SocketAddr::from((host, CALLER_PORT)),
            peers: SocketAddr::from((host, PEER_PORT)),
            administration: SocketAddr::from((host, ADMINISTRATION_PORT)),
        };
        let mut vm = vm_settings(&stand_ins, &certificates, number, &addresses);
        if transport == Transport::Plain {
            vm.callers.tls_certificate_file = None;
            vm.callers.tls_key_file = None;
        }
        let settings_file = write_settings(directory, &vm)?;
        let record = vm_record(&vm.vm, addresses.peers, VmState::Live);
        stand_ins
            .platform
            .list_vm(&record, std::time::Duration::ZERO);
        index.vms.push(VmFiles {
            name: vm.vm.name.to_string(),
            settings_file,
            caller_address: addresses.callers,
        });
    }
    let text = serde_json::to_string_pretty(&index).unwrap_or_default();
    write(directory.join(INDEX_FILE), &text)?;
    Ok((stand_ins, index))
}

/// Runs the stand-ins until the process receives a termination signal.
///
/// # Errors
///
/// Fails when a stand-in can't be started or a file can't be written.
pub async fn run(settings: StandInSettings, vms: usize, directory: &Path) -> Result<()> {
    let (_stand_ins, index) = prepare(settings, vms, directory).await?;
    for vm in &index.vms {
        println!(
            "currantlb --config {}    # callers: {}",
            vm.settings_file.display(),
            vm.caller_address
        );
    }
    daemon::wait_for_signal().await.context(SignalSnafu)
}

fn write_settings(directory: &Path, settings: &Settings) -> Result<PathBuf> {
    let text = serde_json::to_string_pretty(settings).unwrap_or_default();
    write(directory.join(format!("{}.jsonc", settings.vm.name)), &text)
}

fn write(file: PathBuf, text: &str) -> Result<PathBuf> {
    std::fs::write(&file, text).with_context(|_| WriteSnafu { file: file.clone() })?;
    Ok(file)
}
