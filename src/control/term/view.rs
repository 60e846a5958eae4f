//! View of a group that is published to the traffic threads.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::TermState;
use super::evidence::Health;
use super::group::{Group, GroupContext};
use crate::control::blackboard::LocalVm;
use crate::control::configuration::ConfigurationState;
use crate::control::home::HomeState;
use crate::control::snapshot::{DatabaseView, InstanceView};
use crate::name::{DatabaseName, InstanceName};
use crate::position::{LogPosition, Term};
use crate::settings::ControlSettings;
use crate::time::Timestamp;

/// Published part of a group, compared to detect changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupDigest {
    term: Option<Term>,
    primary: Option<InstanceName>,
    writes_paused: bool,
    low_water_mark: Option<LogPosition>,
    instances: Vec<InstanceDigest>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct InstanceDigest {
    name: InstanceName,
    accepts_work: bool,
    reachable: bool,
    follows: bool,
}

/// Returns the published part of a group.
pub fn digest(group: &Group, cx: &GroupContext) -> GroupDigest {
    let term = group.term().cloned();
    let instances = cx.config.instances.iter().map(|record| {
        let evidence = group.evidence.get(&record.name);
        let has_reported = evidence.is_some_and(|evidence| evidence.report.is_some());
        let follows = evidence
            .zip(term.as_ref())
            .is_some_and(|(e, term)| e.follows(term));
        InstanceDigest {
            name: record.name.clone(),
            accepts_work: cx.accepts_work(&record.name),
            reachable: has_reported && group.health(&record.name, cx) < Health::Failed,
            follows,
        }
    });
    GroupDigest {
        instances: instances.collect(),
        primary: group.serving_primary(cx).cloned(),
        writes_paused: group.writes_paused(),
        low_water_mark: group.low_water_mark.clone(),
        term,
    }
}

impl TermState {
    /// Returns the databases that this VM is the home of, in the form that the traffic threads use.
    pub fn views(
        &self,
        local: &LocalVm,
        settings: &ControlSettings,
        configuration: &ConfigurationState,
        homes: &HomeState,
        now: Timestamp,
    ) -> BTreeMap<DatabaseName, Arc<DatabaseView>> {
        let mut views = BTreeMap::new();
        for (name, lease) in &homes.leases {
            let Some(config) = configuration.current.databases.get(name) else {
                continue;
            };
            let unknown = Group::default();
            let group = self.groups.get(name).unwrap_or(&unknown);
            let context = GroupContext {
                vm: &local.name,
                config,
                configuration: &configuration.current,
                lease: *lease,
                settings,
                now,
            };
            let view = view(digest(group, &context), &context);
            views.insert(name.clone(), Arc::new(view));
        }
        views
    }
}

fn view(digest: GroupDigest, cx: &GroupContext) -> DatabaseView {
    let instances = cx.config.instances.iter().zip(digest.instances);
    let instances = instances.map(|(record, digest)| InstanceView {
        name: record.name.clone(),
        address: record.address,
        availability_zone: record.availability_zone.clone(),
        slots: record.slots,
        connections: record.connections,
        accepts_work: digest.accepts_work,
        reachable: digest.reachable,
        follows: digest.follows,
    });
    DatabaseView {
        name: cx.config.name.clone(),
        lease: cx.lease,
        term: digest.term,
        primary: digest.primary,
        writes_paused: digest.writes_paused,
        low_water_mark: digest.low_water_mark,
        instances: instances.collect(),
    }
}
