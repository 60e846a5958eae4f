//! Records of the operators' configuration, one value of the platform's service each.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::name::{
    CellName, DatabaseName, InstanceName, KeyId, OperationId, PresetName, RegionName, RouteName,
    WorkspaceName, ZoneName,
};

/// Rate and burst of a workspace, over all VMs together, and its weight in fair queueing.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Statements a second.
    pub rate_per_s: f64,
    /// Statements that may run at once above the rate.
    pub burst: f64,
    /// Share of slot time relative to the other workspaces.
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
    /// The key is refused at login and on live connections.
    Withdrawn,
}

/// Verifier of one key; the key itself is never stored.
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

/// Workspace with its keys; all keys share one salt, so that a login needs no key id.
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
    /// Limits unless the preset in force sets others.
    pub limits: Limits,
}

/// Class of a route in fair queueing.
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
    /// Served first, within a bound.
    Urgent,
    /// Served by weight.
    #[default]
    Normal,
    /// Served with what the other classes leave, and shed first.
    Background,
}

/// How requests of a route are treated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutePolicy {
    /// Class in fair queueing.
    pub class: RouteClass,
    /// Whether a request runs for any workspace's key, or none.
    pub open_to_all: bool,
    /// Largest staleness that reads accept beyond their session's own writes.
    pub max_staleness_ms: u32,
    /// Whether a request may be sent upstream again when no answer came.
    pub repeatable: bool,
}

/// Named kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, as callers tag their statements.
    pub name: RouteName,
    /// How its requests are treated.
    pub policy: RoutePolicy,
}

/// Set of limits and policies that operators switch as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Name of the preset.
    pub name: PresetName,
    /// What the preset is for, shown to operators.
    #[serde(default)]
    pub description: String,
    /// Limits by workspace; a workspace that isn't listed keeps its own.
    #[serde(default)]
    pub limits: BTreeMap<WorkspaceName, Limits>,
    /// Policies by route; a route that isn't listed keeps its own.
    #[serde(default)]
    pub routes: BTreeMap<RouteName, RoutePolicy>,
    /// Instances in maintenance, which get no new work.
    #[serde(default)]
    pub maintenance: BTreeSet<InstanceName>,
}

/// The one preset in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetInForce {
    /// Name of the preset.
    pub preset: PresetName,
    /// Count of switches; never falls.
    pub version: u64,
    /// Operation that made the switch.
    pub operation: OperationId,
}

/// Whether an instance takes new work, as operators and the platform state it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// Takes new work.
    Live,
    /// Gets no new work; running transactions end.
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
    /// Statements that the instance runs at once.
    pub slots: u32,
    /// Connections that all VMs together may hold.
    pub connections: u32,
    /// Whether the instance takes new work.
    pub state: InstanceState,
}

/// Database group: one primary and its replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DatabaseGroup {
    /// Name of the database, as callers connect to it.
    pub name: DatabaseName,
    /// Region of the instances.
    pub region: RegionName,
    /// Cell whose VMs hold the connections.
    pub cell: CellName,
    /// Instances, in no order of rank.
    pub instances: Vec<InstanceRecord>,
}

/// Value of one configuration record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Workspace and its keys.
    Workspace(Workspace),
    /// Preset, in force or prepared.
    Preset(Preset),
    /// Route.
    Route(Route),
    /// Database group.
    Database(DatabaseGroup),
    /// The preset in force.
    InForce(PresetInForce),
}

impl Record {
    /// Returns the place of the record.
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

/// Place of a record below the configuration's prefix in the platform's service.
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
    /// Parses the text that `Display` writes; `None` for a path of no known kind.
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
