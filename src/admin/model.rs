//! Request and response bodies of the API, shared with `currantctl`.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::configuration::{KeyState, Limits};
use crate::name::{
    CellName, DatabaseName, InstanceName, KeyId, PresetName, VmName, WorkspaceName, ZoneName,
};

/// Value of a record with its revision, which the next write must state as expected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Revision of the record. `None` when the value comes from this VM's snapshot because the
    /// service did not respond.
    pub revision: Option<u64>,
    /// The value.
    pub value: T,
}

/// Fields of a workspace that operators set.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceBody {
    /// Databases that the workspace may use.
    pub databases: BTreeSet<DatabaseName>,
    /// Limits that apply unless the preset in force sets others.
    pub limits: Limits,
}

/// Key of a workspace, without its verifier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyBody {
    /// Identifier of the key.
    pub id: KeyId,
    /// Whether the key is active or withdrawn.
    pub state: KeyState,
}

/// Workspace, without the verifiers of its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceView {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Databases that the workspace may use.
    pub databases: BTreeSet<DatabaseName>,
    /// The workspace's own limits.
    pub limits: Limits,
    /// Limits that apply now: those of the preset in force, or else the workspace's own.
    pub limits_in_force: Limits,
    /// Keys, oldest first.
    pub keys: Vec<KeyBody>,
}

/// Response to the issue of a key.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedKey {
    /// Identifier of the key.
    pub id: KeyId,
    /// The key itself, which is shown only once. `None` in the response to a repeated request: if
    /// the first response was lost, withdraw the key and issue another.
    pub key: Option<String>,
    /// Revision of the workspace record.
    pub revision: u64,
}

impl std::fmt::Debug for IssuedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("IssuedKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Field in which two presets differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Path of the field, such as `limits.council.rate_per_s`.
    pub field: String,
    /// Value in the first preset; `None` when the field isn't set.
    pub from: Option<serde_json::Value>,
    /// Value in the second preset; `None` when the field isn't set.
    pub to: Option<serde_json::Value>,
}

/// State of one VM as seen by the VM that responds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmView {
    /// Name of the VM.
    pub name: VmName,
    /// Availability zone of the VM.
    pub availability_zone: ZoneName,
    /// Address for peers.
    pub peer_address: String,
    /// Number that is greater for each later start of its process; `None` when the responding VM
    /// has received nothing from it.
    pub incarnation: Option<u64>,
    /// Databases whose home it is.
    pub homes: Vec<DatabaseName>,
}

/// State of an instance as seen by the home of its database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: InstanceName,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Whether it has responded recently.
    pub is_reachable: bool,
    /// Whether it takes new work.
    pub accepts_work: bool,
}

/// State of a database as seen by the VM that responds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseStatus {
    /// Name of the database.
    pub name: DatabaseName,
    /// Home of the database; `None` when none is known.
    pub home: Option<VmName>,
    /// Latest known term; `None` unless the responding VM is the database's home.
    pub term: Option<String>,
    /// Instances; empty unless the responding VM is the database's home.
    pub instances: Vec<InstanceStatus>,
}

/// State of the fleet as seen by the VM that responds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The responding VM.
    pub vm: VmName,
    /// Cell of the responding VM.
    pub cell: CellName,
    /// Whether the responding VM takes new work, and if not, why.
    pub standing: String,
    /// Revision of the configuration on the responding VM.
    pub revision: u64,
    /// Configuration revision that every VM of the cell is known to have.
    pub revision_everywhere: u64,
    /// Preset in force, if any.
    pub preset: Option<PresetName>,
    /// Version of the preset in force.
    pub preset_version: u64,
    /// State of every database.
    pub databases: Vec<DatabaseStatus>,
}
