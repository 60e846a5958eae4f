//! In-memory configuration of one VM: every record up to a revision.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::record::{
    DatabaseGroup, Limits, Preset, PresetInForce, Record, RecordPath, Route, RoutePolicy, Workspace,
};
use super::revision::Revision;
use crate::name::{DatabaseName, InstanceName, PresetName, RouteName, WorkspaceName};

/// One record written or removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Revision of the write.
    pub revision: Revision,
    /// Path of the record.
    pub path: RecordPath,
    /// New value; `None` when the record was removed.
    pub record: Option<Record>,
}

/// Every record up to `revision`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Latest revision applied.
    pub revision: Revision,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<Workspace>>,
    /// Presets by name.
    pub presets: BTreeMap<PresetName, Arc<Preset>>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// Database groups by name.
    pub databases: BTreeMap<DatabaseName, Arc<DatabaseGroup>>,
    /// The preset in force; `None` until operators select one.
    pub in_force: Option<PresetInForce>,
}

impl Configuration {
    /// Applies the changes that are newer than the current revision, then advances it to `up_to`.
    ///
    /// Several changes may share one revision; all of them are applied.
    pub fn apply_batch(&mut self, changes: Vec<ConfigurationChange>, up_to: Revision) {
        let applied = self.revision;
        for change in changes
            .into_iter()
            .filter(|change| change.revision > applied)
        {
            match change.record {
                Some(record) => self.put(record),
                None => self.remove(&change.path),
            }
        }
        self.revision = self.revision.max(up_to);
    }

    /// Inserts or replaces a record regardless of its revision, for example from a full snapshot.
    pub fn put(&mut self, record: Record) {
        match record {
            Record::Workspace(workspace) => {
                self.workspaces
                    .insert(workspace.name.clone(), Arc::new(workspace));
            }
            Record::Preset(preset) => {
                self.presets.insert(preset.name.clone(), Arc::new(preset));
            }
            Record::Route(route) => {
                self.routes.insert(route.name.clone(), Arc::new(route));
            }
            Record::Database(group) => {
                self.databases.insert(group.name.clone(), Arc::new(group));
            }
            Record::InForce(in_force) => self.in_force = Some(in_force),
        }
    }

    fn remove(&mut self, path: &RecordPath) {
        match path {
            RecordPath::Workspace(name) => {
                self.workspaces.remove(name);
            }
            RecordPath::Preset(name) => {
                self.presets.remove(name);
            }
            RecordPath::Route(name) => {
                self.routes.remove(name);
            }
            RecordPath::Database(name) => {
                self.databases.remove(name);
            }
            RecordPath::InForce => self.in_force = None,
        }
    }

    /// Returns the preset in force; `None` when none is selected or its record doesn't exist.
    pub fn preset(&self) -> Option<&Arc<Preset>> {
        self.presets.get(&self.in_force.as_ref()?.preset)
    }

    /// Returns the version of the preset in force, or 0 when none is selected.
    pub fn preset_version(&self) -> u64 {
        self.in_force
            .as_ref()
            .map_or(0, |in_force| in_force.version)
    }

    /// Returns the limits in force for a workspace; `None` when the workspace doesn't exist.
    pub fn limits(&self, workspace: &WorkspaceName) -> Option<Limits> {
        let own = self.workspaces.get(workspace)?.limits;
        let from_preset = self
            .preset()
            .and_then(|preset| preset.limits.get(workspace).copied());
        Some(from_preset.unwrap_or(own))
    }

    /// Returns the policy in force for a route, or the default policy when the route is unknown.
    pub fn route_policy(&self, route: Option<&RouteName>) -> RoutePolicy {
        let Some(name) = route else {
            return RoutePolicy::default();
        };
        let from_preset = self
            .preset()
            .and_then(|preset| preset.routes.get(name).copied());
        let own = self.routes.get(name).map(|route| route.policy);
        from_preset.or(own).unwrap_or_default()
    }

    /// Returns whether the preset in force lists the instance as being in maintenance.
    pub fn in_maintenance(&self, instance: &InstanceName) -> bool {
        self.preset()
            .is_some_and(|preset| preset.maintenance.contains(instance))
    }
}
