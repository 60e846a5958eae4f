//! Command-line arguments of the lab.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Stand-ins, demo, replay and measurements of currantlb.
#[derive(Debug, FromArgs)]
pub(crate) struct App {
    #[argh(subcommand)]
    pub(crate) action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Action {
    Demo(Demo),
    StandIns(StandIns),
    Measure(Measure),
    Relay(Relay),
    Replay(Replay),
}

/// Runs VMs on stand-ins until the process receives a termination signal.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Demo {
    /// save and read through every VM, then exit with 0, or 1 on a failure
    #[argh(switch)]
    pub(crate) check: bool,

    /// file to write connection details for client programs to, once every VM serves
    #[argh(option)]
    pub(crate) connection_file: Option<PathBuf>,

    #[argh(option, default = "3")]
    /// number of VMs
    pub(crate) vms: usize,

    /// deployment: semenanjung or bagmati
    #[argh(option, default = "String::from(\"semenanjung\")")]
    pub(crate) deployment: String,

    /// replication lag in milliseconds
    #[argh(option, default = "20")]
    pub(crate) replication_lag_ms: u64,

    /// one-way network delay between a VM and a database, in milliseconds
    #[argh(option, default = "0")]
    pub(crate) vm_delay_ms: u64,

    /// time that each statement takes in a database, in milliseconds
    #[argh(option, default = "0")]
    pub(crate) service_time_ms: u64,
}

/// Runs only the stand-ins, and writes one settings file for each VM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "stand-ins")]
pub(crate) struct StandIns {
    /// directory for the settings files and certificates
    #[argh(option)]
    pub(crate) directory: PathBuf,

    /// number of VMs
    #[argh(option, default = "3")]
    pub(crate) vms: usize,

    /// deployment: semenanjung or bagmati
    #[argh(option, default = "String::from(\"semenanjung\")")]
    pub(crate) deployment: String,

    /// replication lag in milliseconds
    #[argh(option, default = "20")]
    pub(crate) replication_lag_ms: u64,
}

/// Runs measurements, and prints each figure with its baseline and target.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Measure {
    /// name of the measurement, or "all"
    #[argh(positional)]
    pub(crate) name: String,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Relays connections to one address, as a baseline for the measurements.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "relay")]
pub(crate) struct Relay {
    /// address to listen on; the bound address is printed
    #[argh(option)]
    pub(crate) listen: SocketAddr,

    /// address to relay to
    #[argh(option)]
    pub(crate) to: SocketAddr,
}

/// Replays traces against VMs on stand-ins; exits with 1 on a broken promise or missed outcome.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub(crate) struct Replay {
    /// trace files, in JSON lines
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,

    /// seed of the random choice of VMs by sessions
    #[argh(option, default = "1")]
    pub(crate) seed: u64,

    /// factor by which the times of the trace are divided
    #[argh(option, default = "1.0")]
    pub(crate) speed: f64,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}
