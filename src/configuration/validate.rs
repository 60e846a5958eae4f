//! Validates a change against the whole configuration before it is accepted.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::record::{
    DatabaseGroup, InstanceState, Limits, Preset, PresetInForce, Record, RecordPath, Workspace,
};
use super::revision::Revision;
use super::view::Configuration;
use crate::name::{DatabaseName, InstanceName};

/// Minimum SCRAM iteration count of a workspace; RFC 7677 recommends at least 4,096.
const MIN_ITERATIONS: u32 = 4_096;

/// Maximum number of statements per second that one slot is assumed to serve: one per millisecond.
const MAX_STATEMENTS_PER_SLOT_S: f64 = 1_000.0;

/// Problem that a change would cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Field of the record, or kind of record that would become inconsistent.
    pub subject: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// Returns every problem that writing `record` would cause.
pub fn validate_write(before: &Configuration, record: &Record) -> Vec<Finding> {
    let mut after = before.clone();
    after.put(record.clone());
    let mut findings = Findings::default();
    match record {
        Record::Workspace(workspace) => check_workspace(&after, workspace, &mut findings),
        Record::Preset(preset) => check_preset(&after, preset, &mut findings),
        Record::Route(_) => {}
        Record::Database(group) => check_database(&after, group, &mut findings),
        Record::InForce(in_force) => check_switch(before, &after, in_force, &mut findings),
    }
    findings.found
}

/// Returns every problem that removing the record at `path` would cause.
pub fn validate_removal(before: &Configuration, path: &RecordPath) -> Vec<Finding> {
    let mut findings = Findings::default();
    match path {
        RecordPath::Workspace(name) => {
            for preset in before
                .presets
                .values()
                .filter(|p| p.limits.contains_key(name))
            {
                let problem = format!("preset {} sets limits for workspace {name}", preset.name);
                findings.push("presets", problem, "remove them from the preset first");
            }
        }
        RecordPath::Preset(name) => {
            if before
                .in_force
                .as_ref()
                .is_some_and(|in_force| in_force.preset == *name)
            {
                let problem = format!("preset {name} is in force");
                findings.push("in-force", problem, "switch to another preset first");
            }
        }
        RecordPath::Route(name) => {
            for preset in before
                .presets
                .values()
                .filter(|p| p.routes.contains_key(name))
            {
                let problem = format!("preset {} sets a policy for route {name}", preset.name);
                findings.push("presets", problem, "remove it from the preset first");
            }
        }
        RecordPath::Database(name) => {
            for workspace in before
                .workspaces
                .values()
                .filter(|w| w.databases.contains(name))
            {
                let problem = format!("workspace {} uses database {name}", workspace.name);
                findings.push("workspaces", problem, "take the database from it first");
            }
        }
        RecordPath::InForce => {
            let problem = "one preset must be in force".to_owned();
            findings.push("in-force", problem, "switch to another preset instead");
        }
    }
    findings.found
}

#[derive(Default)]
struct Findings {
    found: Vec<Finding>,
}

impl Findings {
    fn push(&mut self, subject: impl Into<String>, problem: String, remedy: &str) {
        let (subject, remedy) = (subject.into(), remedy.to_owned());
        self.found.push(Finding {
            subject,
            problem,
            remedy,
        });
    }
}

fn check_workspace(after: &Configuration, workspace: &Workspace, findings: &mut Findings) {
    if workspace.iterations < MIN_ITERATIONS {
        let problem = format!("{} SCRAM iterations are too few", workspace.iterations);
        findings.push("iterations", problem, "use at least 4096");
    }
    let mut ids = BTreeSet::new();
    for key in &workspace.keys {
        if !ids.insert(&key.id) {
            let problem = format!("key id {} is used twice", key.id);
            findings.push("keys", problem, "give each key an id of its own");
        }
    }
    for name in workspace
        .databases
        .iter()
        .filter(|name| !after.databases.contains_key(*name))
    {
        let problem = format!("database {name} does not exist");
        findings.push("databases", problem, "create it first, or correct its name");
    }
    let capacity = capacity(after, &workspace.databases);
    check_limits("limits", &workspace.limits, capacity, findings);
}

/// Returns the maximum number of statements per second that the slots of `databases` serve.
fn capacity(after: &Configuration, databases: &BTreeSet<DatabaseName>) -> f64 {
    let groups = databases
        .iter()
        .filter_map(|name| after.databases.get(name));
    let slots: u32 = groups
        .flat_map(|group| &group.instances)
        .map(|i| i.slots)
        .sum();
    f64::from(slots) * MAX_STATEMENTS_PER_SLOT_S
}

fn check_limits(subject: &str, limits: &Limits, capacity: f64, findings: &mut Findings) {
    let positive = |value: f64| value.is_finite() && value > 0.0;
    if !positive(limits.rate_per_s) {
        let problem = format!("a rate of {} a second admits nothing", limits.rate_per_s);
        findings.push(
            format!("{subject}.rate_per_s"),
            problem,
            "use a positive number",
        );
    }
    if !positive(limits.burst) || limits.burst < 1.0 {
        let problem = format!("a burst of {} admits nothing", limits.burst);
        findings.push(format!("{subject}.burst"), problem, "use 1 or more");
    }
    if limits.weight == 0 {
        let problem = "a weight of 0 gets no slot time".to_owned();
        findings.push(format!("{subject}.weight"), problem, "use 1 or more");
    }
    if capacity > 0.0 && limits.rate_per_s > capacity {
        let rate = limits.rate_per_s;
        let problem = format!("{rate} a second is beyond the {capacity} that the slots can serve");
        findings.push(
            format!("{subject}.rate_per_s"),
            problem,
            "lower it, or add databases",
        );
    }
}

fn check_preset(after: &Configuration, preset: &Preset, findings: &mut Findings) {
    for (name, limits) in &preset.limits {
        let subject = format!("limits.{name}");
        let Some(workspace) = after.workspaces.get(name) else {
            let problem = format!("workspace {name} does not exist");
            findings.push(subject, problem, "create it first, or correct its name");
            continue;
        };
        let capacity = capacity(after, &workspace.databases);
        check_limits(&subject, limits, capacity, findings);
    }
    for name in preset
        .routes
        .keys()
        .filter(|name| !after.routes.contains_key(*name))
    {
        let problem = format!("route {name} does not exist");
        findings.push(
            format!("routes.{name}"),
            problem,
            "create it first, or correct its name",
        );
    }
    check_maintenance(after, preset, findings);
}

fn check_maintenance(after: &Configuration, preset: &Preset, findings: &mut Findings) {
    let instances = after.databases.values().flat_map(|group| &group.instances);
    let known: BTreeSet<&InstanceName> = instances.map(|instance| &instance.name).collect();
    for name in preset
        .maintenance
        .iter()
        .filter(|name| !known.contains(name))
    {
        let problem = format!("instance {name} does not exist");
        findings.push("maintenance", problem, "correct its name");
    }
    for group in after.databases.values() {
        let is_working = |instance: &&super::InstanceRecord| {
            instance.state == InstanceState::Live && !preset.maintenance.contains(&instance.name)
        };
        let working = group.instances.iter().filter(is_working).count();
        let is_affected = group
            .instances
            .iter()
            .any(|i| preset.maintenance.contains(&i.name));
        // A save must be stored by a majority of the instances before it is acknowledged.
        if is_affected && working * 2 <= group.instances.len() {
            let problem = format!(
                "{working} of {} instances of database {} would be left, too few for saves",
                group.instances.len(),
                group.name
            );
            findings.push(
                "maintenance",
                problem,
                "keep most instances of each database working",
            );
        }
    }
}

fn check_database(after: &Configuration, group: &DatabaseGroup, findings: &mut Findings) {
    if group.instances.is_empty() {
        let problem = "a database without instances can't serve".to_owned();
        findings.push("instances", problem, "add at least one instance");
    }
    for instance in &group.instances {
        if instance.slots == 0 {
            let problem = format!("instance {} has no slots", instance.name);
            findings.push("instances", problem, "use 1 or more");
        }
        if instance.connections <= instance.slots {
            let problem = format!(
                "instance {} has {} connections for {} slots and one control connection",
                instance.name, instance.connections, instance.slots
            );
            findings.push("instances", problem, "allow more connections than slots");
        }
    }
    let mut names = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for other in after.databases.values() {
        for instance in &other.instances {
            let same_name = names.insert(&instance.name, &other.name);
            let same_address = addresses.insert(instance.address, &other.name);
            let involves_group =
                |earlier: &&DatabaseName| **earlier == group.name || other.name == group.name;
            if same_name.as_ref().is_some_and(involves_group) {
                let problem = format!("instance {} exists twice", instance.name);
                findings.push("instances", problem, "give each instance a name of its own");
            }
            if same_address.as_ref().is_some_and(involves_group) {
                let problem = format!("address {} is used twice", instance.address);
                findings.push("instances", problem, "correct the address");
            }
        }
    }
}

fn check_switch(
    before: &Configuration,
    after: &Configuration,
    in_force: &PresetInForce,
    findings: &mut Findings,
) {
    if in_force.version != before.preset_version() + 1 && before.revision > Revision::default() {
        let problem = format!(
            "version {} does not follow the one in force",
            in_force.version
        );
        findings.push("version", problem, "read the preset in force and try again");
    }
    let Some(preset) = after.presets.get(&in_force.preset) else {
        let problem = format!("preset {} does not exist", in_force.preset);
        findings.push("preset", problem, "create it first, or correct its name");
        return;
    };
    // Records may have changed since the preset was written.
    check_preset(after, preset, findings);
}

#[cfg(test)]
mod tests;
