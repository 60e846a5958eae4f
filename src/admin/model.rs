//! Bodies of the API's requests and responses, shared with the operators' tool.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::configuration::{KeyState, Limits};
use crate::name::{
    CellName, DatabaseName, InstanceName, KeyId, PresetName, VmName, WorkspaceName, ZoneName,
};

/// Value with the revision that the next write must expect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Revision of the record; `None` when it came from this VM's memory, because the service
    /// gave no answer.
    pub revision: Option<u64>,
    /// The value.
    pub value: T,
}

/// What operators set of a workspace.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceBody {
    /// Databases that the workspace may use.
    pub databases: BTreeSet<DatabaseName>,
    /// Limits unless the preset in force sets others.
    pub limits: Limits,
}

/// Key without its verifier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyBody {
    /// Identifier of the key.
    pub id: KeyId,
    /// Whether the key may still be used.
    pub state: KeyState,
}

/// Workspace without its verifiers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceView {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Databases that the workspace may use.
    pub databases: BTreeSet<DatabaseName>,
    /// Limits of its own.
    pub limits: Limits,
    /// Limits in force, from the preset or its own.
    pub limits_in_force: Limits,
    /// Keys, oldest first.
    pub keys: Vec<KeyBody>,
}

/// Key that was issued.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedKey {
    /// Identifier of the key.
    pub id: KeyId,
    /// The key itself, shown this once; `None` when this answer repeats a lost one: withdraw the
    /// key then and issue another.
    pub key: Option<String>,
    /// Revision of the workspace.
    pub revision: u64,
}

impl std::fmt::Debug for IssuedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("IssuedKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Difference between two presets in one field.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Field, such as `limits.council.rate_per_s`.
    pub field: String,
    /// Value in the first preset; `None` when it has none.
    pub from: Option<serde_json::Value>,
    /// Value in the second preset; `None` when it has none.
    pub to: Option<serde_json::Value>,
}

/// State of one VM as the answering VM sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmView {
    /// Name of the VM.
    pub name: VmName,
    /// Availability zone of the VM.
    pub availability_zone: ZoneName,
    /// Address for peers.
    pub peer_address: String,
    /// Start count of its process; `None` when it was not heard.
    pub incarnation: Option<u64>,
    /// Databases that it is the home of.
    pub homes: Vec<DatabaseName>,
}

/// State of an instance as the home of its database sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: InstanceName,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Whether it has answered lately.
    pub is_reachable: bool,
    /// Whether it takes new work.
    pub accepts_work: bool,
}

/// State of a database as the answering VM sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseStatus {
    /// Name of the database.
    pub name: DatabaseName,
    /// Home of the database; `None` when none is known.
    pub home: Option<VmName>,
    /// Latest term; `None` unless the answering VM is the home.
    pub term: Option<String>,
    /// Instances; empty unless the answering VM is the home.
    pub instances: Vec<InstanceStatus>,
}

/// State of the fleet as the answering VM sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The answering VM.
    pub vm: VmName,
    /// Cell of the answering VM.
    pub cell: CellName,
    /// Whether it takes new work.
    pub standing: String,
    /// Configuration revision that it has.
    pub revision: u64,
    /// Revision that every VM of the cell is known to have.
    pub revision_everywhere: u64,
    /// Preset in force.
    pub preset: Option<PresetName>,
    /// Version of the preset in force.
    pub preset_version: u64,
    /// Databases.
    pub databases: Vec<DatabaseStatus>,
}
