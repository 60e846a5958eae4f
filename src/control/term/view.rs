//! What the traffic threads learn of a group.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::TermState;
use super::evidence::Health;
use super::group::{Group, Surroundings};
use crate::control::blackboard::LocalVm;
use crate::control::configuration::ConfigurationState;
use crate::control::home::HomeState;
use crate::control::snapshot::{DatabaseView, InstanceView};
use crate::name::{DatabaseName, InstanceName};
use crate::position::{LogPosition, Term};
use crate::settings::ControlSettings;
use crate::time::Timestamp;

/// The part of a group that is published, for telling whether it changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupDigest {
    term: Option<Term>,
    primary: Option<InstanceName>,
    writes_paused: bool,
    floor: Option<LogPosition>,
    instances: Vec<InstanceDigest>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct InstanceDigest {
    name: InstanceName,
    accepts_work: bool,
    reachable: bool,
    follows: bool,
}

/// Returns the part of a group that is published.
pub fn digest(group: &Group, s: &Surroundings) -> GroupDigest {
    let term = group.term().cloned();
    let instances = s.config.instances.iter().map(|record| {
        let evidence = group.evidence.get(&record.name);
        let heard = evidence.is_some_and(|evidence| evidence.report.is_some());
        let follows = evidence
            .zip(term.as_ref())
            .is_some_and(|(e, term)| e.follows(term));
        InstanceDigest {
            name: record.name.clone(),
            accepts_work: s.accepts_work(&record.name),
            reachable: heard && group.health(&record.name, s) < Health::Failed,
            follows,
        }
    });
    GroupDigest {
        instances: instances.collect(),
        primary: group.serving_primary(s).cloned(),
        writes_paused: group.writes_paused(),
        floor: group.floor.clone(),
        term,
    }
}

impl TermState {
    /// Returns the databases that this VM is the home of, as the traffic threads need them.
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
            let surroundings = Surroundings {
                vm: &local.name,
                config,
                configuration: &configuration.current,
                lease: *lease,
                settings,
                now,
            };
            let view = view(digest(group, &surroundings), &surroundings);
            views.insert(name.clone(), Arc::new(view));
        }
        views
    }
}

fn view(digest: GroupDigest, s: &Surroundings) -> DatabaseView {
    let instances = s.config.instances.iter().zip(digest.instances);
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
        name: s.config.name.clone(),
        lease: s.lease,
        term: digest.term,
        primary: digest.primary,
        writes_paused: digest.writes_paused,
        floor: digest.floor,
        instances: instances.collect(),
    }
}
