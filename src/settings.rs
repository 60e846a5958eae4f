//! Settings of one daemon, read from a file of JSON with comments.

mod check;
pub mod file;

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::name::{CellName, RegionName, VmName, ZoneName};

/// Settings of one daemon.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and location of the VM.
    pub vm: VmSettings,
    /// Listener for callers.
    pub callers: CallerSettings,
    /// Messages between VMs.
    pub peers: PeerSettings,
    /// Administration API.
    pub administration: AdministrationSettings,
    /// The platform's service.
    pub platform: PlatformSettings,
    /// Connections to database instances.
    pub databases: DatabaseSettings,
    /// Metrics, spans and logs.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// Intervals and bounds of the control code.
    #[serde(default)]
    pub control: ControlSettings,
}

/// Identity and location of the VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Name of the VM, unique in the fleet.
    pub name: VmName,
    /// Availability zone of the VM.
    pub availability_zone: ZoneName,
    /// Region of the VM.
    pub region: RegionName,
    /// Cell of the VM.
    pub cell: CellName,
}

impl Default for VmSettings {
    fn default() -> Self {
        Self {
            name: "vm-1".into(),
            availability_zone: "zone-a".into(),
            region: "region".into(),
            cell: "cell".into(),
        }
    }
}

/// Listener for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// Address that callers connect to.
    pub listen_address: SocketAddr,
    /// Certificate chain in PEM; without it callers connect in plain text.
    pub tls_certificate_file: Option<PathBuf>,
    /// Private key in PEM.
    pub tls_key_file: Option<PathBuf>,
    /// Maximum number of caller connections.
    pub max_connections: usize,
    /// Maximum number of connections that have not logged in.
    pub max_unauthenticated: usize,
    /// Time within which a caller must log in after it connects.
    pub login_timeout_ms: u64,
    /// Maximum size of a message from a caller.
    pub max_message_bytes: usize,
    /// Maximum number of parameters of one statement.
    pub max_parameters: u16,
    /// Timeout of a request that doesn't set its own.
    pub request_timeout_ms: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            listen_address: SocketAddr::from(([127, 0, 0, 1], 6432)),
            tls_certificate_file: None,
            tls_key_file: None,
            max_connections: 20_000,
            max_unauthenticated: 500,
            login_timeout_ms: 5_000,
            max_message_bytes: 16 * 1024 * 1024,
            max_parameters: 4_096,
            request_timeout_ms: 30_000,
        }
    }
}

/// Messages between VMs.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Address for TCP streams and UDP datagrams.
    pub listen_address: SocketAddr,
    /// Shared secrets. The first signs messages and all are accepted, so that secrets can be
    /// rotated without rejecting messages.
    pub secrets: Vec<String>,
    /// Flow control window of one stream: bytes sent and not yet consumed by the receiver.
    pub stream_window_bytes: u32,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            listen_address: SocketAddr::from(([127, 0, 0, 1], 7432)),
            secrets: Vec::new(),
            stream_window_bytes: 256 * 1024,
        }
    }
}

impl std::fmt::Debug for PeerSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerSettings")
            .field("listen_address", &self.listen_address)
            .field("secrets", &format_args!("[{} hidden]", self.secrets.len()))
            .field("stream_window_bytes", &self.stream_window_bytes)
            .finish()
    }
}

/// Permissions of an operator.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// May only read.
    Read,
    /// May read and write.
    Operate,
}

/// Bearer token of an operator.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorToken {
    /// Name of the operator, logged with each change that the operator makes.
    pub operator: String,
    /// Secret that the operator sends.
    pub token: String,
    /// Permissions of the operator.
    pub role: Role,
}

impl std::fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorToken")
            .field("operator", &self.operator)
            .field("role", &self.role)
            .finish_non_exhaustive()
    }
}

/// Administration API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdministrationSettings {
    /// Address of the API; metrics and health are served there too.
    pub listen_address: SocketAddr,
    /// Certificate chain in PEM; without it the API is served in plain text.
    pub tls_certificate_file: Option<PathBuf>,
    /// Private key in PEM.
    pub tls_key_file: Option<PathBuf>,
    /// Tokens of the operators.
    pub tokens: Vec<OperatorToken>,
}

impl Default for AdministrationSettings {
    fn default() -> Self {
        Self {
            listen_address: SocketAddr::from(([127, 0, 0, 1], 8432)),
            tls_certificate_file: None,
            tls_key_file: None,
            tokens: Vec::new(),
        }
    }
}

/// The platform's service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Base addresses of the service, tried in order, such as `http://127.0.0.1:2379`.
    pub endpoints: Vec<String>,
    /// Prefix of every key that the fleet writes.
    pub prefix: String,
    /// Prefix of the platform's list of VMs.
    pub vm_list_prefix: String,
    /// Timeout of one call.
    pub timeout_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            prefix: "/currantlb/".to_owned(),
            vm_list_prefix: "/platform/vms/".to_owned(),
            timeout_ms: 1_000,
        }
    }
}

/// Connections to database instances.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DatabaseSettings {
    /// User that the VM logs in as.
    pub user: String,
    /// Password of that user.
    pub password: String,
    /// Timeout for opening and authenticating a connection.
    pub connect_timeout_ms: u64,
    /// Maximum number of connections to one instance that are being opened concurrently.
    pub max_opening: usize,
    /// Time after which an idle connection beyond an instance's slots is closed.
    pub idle_timeout_ms: u64,
    /// Time after which a transaction whose caller sends nothing is rolled back.
    pub idle_in_transaction_timeout_ms: u64,
}

impl Default for DatabaseSettings {
    fn default() -> Self {
        Self {
            user: "currantlb".to_owned(),
            password: String::new(),
            connect_timeout_ms: 2_000,
            max_opening: 2,
            idle_timeout_ms: 60_000,
            idle_in_transaction_timeout_ms: 10_000,
        }
    }
}

impl std::fmt::Debug for DatabaseSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DatabaseSettings")
            .field("user", &self.user)
            .field("connect_timeout_ms", &self.connect_timeout_ms)
            .field("max_opening", &self.max_opening)
            .field("idle_timeout_ms", &self.idle_timeout_ms)
            .field(
                "idle_in_transaction_timeout_ms",
                &self.idle_in_transaction_timeout_ms,
            )
            .finish_non_exhaustive()
    }
}

/// Metrics, spans and logs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// OTLP over HTTP endpoint for spans, such as `http://127.0.0.1:4318/v1/traces`.
    pub otlp_endpoint: Option<String>,
    /// File that spans are appended to, one JSON object per line.
    pub span_file: Option<PathBuf>,
    /// Fraction of traces that are sampled when the caller sends no trace context.
    pub span_sample_ratio: f64,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self {
            otlp_endpoint: None,
            span_file: None,
            span_sample_ratio: 0.01,
        }
    }
}

/// Intervals and bounds of the control code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Interval between ticks of the control thread.
    pub tick_ms: u64,
    /// Interval between heartbeats of a VM to its cell's leader.
    pub heartbeat_ms: u64,
    /// Time after which the holder of a lease stops using it unless it was renewed.
    pub lease_ms: u64,
    /// Additional time after `lease_ms` before the lease may be granted to another VM.
    pub lease_margin_ms: u64,
    /// Interval between probes of an idle instance.
    pub probe_interval_ms: u64,
    /// Interval between probes of a suspected instance.
    pub suspect_probe_interval_ms: u64,
    /// Time without any response after which an instance is suspected to have failed.
    pub suspect_after_ms: u64,
    /// Time without any response after which a primary is replaced.
    pub fail_after_ms: u64,
    /// Maximum time that a response to a save waits for a second instance to report the save.
    pub gate_timeout_ms: u64,
    /// Time without contact to the platform's service and to peers after which a VM stops serving.
    pub isolation_limit_ms: u64,
    /// Maximum time that a stopping VM waits for running work to finish.
    pub shutdown_timeout_ms: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            tick_ms: 20,
            heartbeat_ms: 500,
            lease_ms: 3_000,
            lease_margin_ms: 500,
            probe_interval_ms: 5_000,
            suspect_probe_interval_ms: 40,
            suspect_after_ms: 100,
            fail_after_ms: 200,
            gate_timeout_ms: 5_000,
            isolation_limit_ms: 10_000,
            shutdown_timeout_ms: 30_000,
        }
    }
}
