//! Records of the operator configuration. Each is stored as one value in the platform's service.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::name::{
    CellName, DatabaseName, InstanceName, KeyId, OperationId, PresetName, RegionName, RouteName,
    WorkspaceName, ZoneName,
};

/// Rate limit of a workspace, summed over all VMs, and its weight in fair queueing.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Sustained rate, in statements per second.
    pub rate_per_s: f64,
    /// Token bucket capacity: statements that may be admitted in one burst.
    pub burst: f64,
    /// Share of slot time, relative to the weights of the other workspaces.
    pub weight: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rate_per_s: 100.0,
            burst: 200.0,
            weight: 1,
        }
    }
}

/// Whether a key may still be used.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum KeyState {
    /// Callers may log in with the key.
    Active,
    /// The key is rejected at login and on open connections.
    Withdrawn,
}

/// SCRAM verifier of one key. The key itself is never stored.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Identifier of the key.
    pub id: KeyId,
    /// SCRAM-SHA-256 stored key, in base64.
    pub stored_key: String,
    /// SCRAM-SHA-256 server key, in base64.
    pub server_key: String,
    /// Whether the key may still be used.
    pub state: KeyState,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

/// Workspace and its keys. All keys share one salt, so a client can log in without a key id.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// SCRAM salt, in base64.
    pub salt: String,
    /// SCRAM iteration count.
    pub iterations: u32,
    /// Keys, oldest first.
    pub keys: Vec<Key>,
    /// Databases that the workspace may use.
    pub databases: BTreeSet<DatabaseName>,
    /// Limits that apply unless the preset in force overrides them.
    pub limits: Limits,
}

/// Scheduling class of a route in fair queueing.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RouteClass {
    /// Served first, except for the shares of slot time guaranteed to the other classes.
    Urgent,
    /// Served after urgent requests, by the weights of the workspaces.
    #[default]
    Normal,
    /// Served with the slot time that the other classes leave, and shed first under overload.
    Background,
}

/// How requests on a route are scheduled, authorised and routed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutePolicy {
    /// Scheduling class in fair queueing.
    pub class: RouteClass,
    /// Whether a request may run with the key of any workspace, or without a key.
    pub open_to_all: bool,
    /// Maximum replica staleness that reads accept. Reads always see their own session's writes.
    pub max_staleness_ms: u32,
    /// Whether a request may be resent upstream when no response was received.
    pub repeatable: bool,
}

/// Named kind of request, with the policy for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, as given in the tags of callers' statements.
    pub name: RouteName,
    /// Policy that applies unless the preset in force overrides it.
    pub policy: RoutePolicy,
}

/// Set of limits and policies that operators put in force as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Name of the preset.
    pub name: PresetName,
    /// Purpose of the preset, shown to operators.
    #[serde(default)]
    pub description: String,
    /// Limits by workspace; workspaces that aren't listed keep their own limits.
    #[serde(default)]
    pub limits: BTreeMap<WorkspaceName, Limits>,
    /// Policies by route; routes that aren't listed keep their own policies.
    #[serde(default)]
    pub routes: BTreeMap<RouteName, RoutePolicy>,
    /// Instances in maintenance, which receive no new work.
    #[serde(default)]
    pub maintenance: BTreeSet<InstanceName>,
}

/// Selects the preset that is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetInForce {
    /// Name of the preset.
    pub preset: PresetName,
    /// Number of the switch; each switch increments it.
    pub version: u64,
    /// Operation that performed the switch.
    pub operation: OperationId,
}

/// Whether an instance accepts new work, as set by operators or the platform.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// Accepts new work.
    Live,
    /// Receives no new work; running transactions may finish.
    Leaving,
}

/// One instance of a database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address that VMs connect to.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub availability_zone: ZoneName,
    /// Maximum number of statements that the instance runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that all VMs together may hold.
    pub connections: u32,
    /// Whether the instance accepts new work.
    pub state: InstanceState,
}

/// Database group: one primary and its replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DatabaseGroup {
    /// Name of the database that callers connect to.
    pub name: DatabaseName,
    /// Region of the instances.
    pub region: RegionName,
    /// Cell whose VMs hold the connections.
    pub cell: CellName,
    /// Instances, in no particular order.
    pub instances: Vec<InstanceRecord>,
}

/// Value of one configuration record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A workspace and its keys.
    Workspace(Workspace),
    /// A preset, whether in force or not.
    Preset(Preset),
    /// A route.
    Route(Route),
    /// A database group.
    Database(DatabaseGroup),
    /// The preset in force.
    InForce(PresetInForce),
}

impl Record {
    /// Returns the path under which the record is stored.
    pub fn path(&self) -> RecordPath {
        match self {
            Self::Workspace(workspace) => RecordPath::Workspace(workspace.name.clone()),
            Self::Preset(preset) => RecordPath::Preset(preset.name.clone()),
            Self::Route(route) => RecordPath::Route(route.name.clone()),
            Self::Database(group) => RecordPath::Database(group.name.clone()),
            Self::InForce(_) => RecordPath::InForce,
        }
    }
}

/// Path of a record, relative to the configuration's prefix in the platform's service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordPath {
    /// `workspaces/NAME`
    Workspace(WorkspaceName),
    /// `presets/NAME`
    Preset(PresetName),
    /// `routes/NAME`
    Route(RouteName),
    /// `databases/NAME`
    Database(DatabaseName),
    /// `in-force`
    InForce,
}

impl fmt::Display for RecordPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(name) => write!(f, "workspaces/{name}"),
            Self::Preset(name) => write!(f, "presets/{name}"),
            Self::Route(name) => write!(f, "routes/{name}"),
            Self::Database(name) => write!(f, "databases/{name}"),
            Self::InForce => f.write_str("in-force"),
        }
    }
}

impl RecordPath {
    /// Parses the form that `Display` writes; returns `None` for an unknown kind of record.
    pub fn parse(text: &str) -> Option<Self> {
        if text == "in-force" {
            return Some(Self::InForce);
        }
        let (kind, name) = text.split_once('/')?;
        match kind {
            "workspaces" => Some(Self::Workspace(name.into())),
            "presets" => Some(Self::Preset(name.into())),
            "routes" => Some(Self::Route(name.into())),
            "databases" => Some(Self::Database(name.into())),
            _ => None,
        }
    }
}
