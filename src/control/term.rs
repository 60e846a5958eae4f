//! Controller of terms: which instance of each database is the primary.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::blackboard::Blackboard;
use super::command::{Command, InstanceRequest};
use super::configuration::ConfigurationState;
use super::event::{Event, InstanceEvent, InstanceReport};
use super::home::HomeState;
use super::snapshot::{DatabaseView, InstanceView};
use crate::configuration::InstanceState;
use crate::name::{DatabaseName, InstanceName};
use crate::position::Term;
use crate::time::Timestamp;

/// Latest report of an instance.
#[derive(Debug, Clone)]
pub struct InstanceEvidence {
    /// What the instance said.
    pub report: InstanceReport,
    /// When it was asked.
    pub asked_at: Timestamp,
}

/// What the term controller knows.
#[derive(Debug, Default)]
pub struct TermState {
    evidence: BTreeMap<(DatabaseName, InstanceName), InstanceEvidence>,
    probed_at: Option<Timestamp>,
}

/// Messages about terms between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TermMessage {
    /// A term has started.
    Started {
        /// The database.
        database: DatabaseName,
        /// The term.
        term: Term,
        /// Primary of the term.
        primary: InstanceName,
    },
}

impl TermState {
    /// Returns the databases that this VM is the home of, as the traffic threads need them.
    pub fn views(
        &self,
        configuration: &ConfigurationState,
        homes: &HomeState,
    ) -> BTreeMap<DatabaseName, Arc<DatabaseView>> {
        let mut views = BTreeMap::new();
        for (name, lease) in &homes.leases {
            let Some(group) = configuration.current.databases.get(name) else {
                continue;
            };
            let reports = || {
                group
                    .instances
                    .iter()
                    .filter_map(|i| self.evidence_of(name, &i.name))
            };
            let term = reports()
                .map(|evidence| evidence.report.adopted.clone())
                .max();
            let is_primary = |instance: &InstanceName| {
                self.evidence_of(name, instance).is_some_and(|evidence| {
                    evidence.report.is_primary && Some(&evidence.report.adopted) == term.as_ref()
                })
            };
            let primary = group.instances.iter().find(|i| is_primary(&i.name));
            let instances = group.instances.iter().map(|instance| InstanceView {
                name: instance.name.clone(),
                address: instance.address,
                availability_zone: instance.availability_zone.clone(),
                slots: instance.slots,
                connections: instance.connections,
                accepts_work: instance.state == InstanceState::Live
                    && !configuration.current.in_maintenance(&instance.name),
                reachable: self.evidence_of(name, &instance.name).is_some(),
                follows: false,
            });
            let view = DatabaseView {
                name: name.clone(),
                lease: *lease,
                primary: primary.map(|instance| instance.name.clone()),
                writes_paused: false,
                floor: reports().map(|evidence| evidence.report.last.clone()).max(),
                instances: instances.collect(),
                term,
            };
            views.insert(name.clone(), Arc::new(view));
        }
        views
    }

    fn evidence_of(
        &self,
        database: &DatabaseName,
        instance: &InstanceName,
    ) -> Option<&InstanceEvidence> {
        self.evidence.get(&(database.clone(), instance.clone()))
    }
}

/// Handles one event.
pub fn handle(board: &mut Blackboard, event: &Event, now: Timestamp) -> Vec<Command> {
    match event {
        Event::Tick => probe_all(board, now),
        Event::Instance(InstanceEvent::Reported {
            database,
            instance,
            report,
            asked_at,
        }) => {
            let evidence = InstanceEvidence {
                report: report.clone(),
                asked_at: *asked_at,
            };
            board
                .terms
                .evidence
                .insert((database.clone(), instance.clone()), evidence);
            vec![Command::Publish]
        }
        _ => Vec::new(),
    }
}

fn probe_all(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let interval = std::time::Duration::from_millis(board.settings.probe_interval_ms);
    if board
        .terms
        .probed_at
        .is_some_and(|at| now.since(at) < interval)
    {
        return Vec::new();
    }
    board.terms.probed_at = Some(now);
    let mut commands = Vec::new();
    for name in board.homes.leases.keys() {
        let Some(group) = board.configuration.current.databases.get(name) else {
            continue;
        };
        commands.extend(group.instances.iter().map(|instance| Command::Instance {
            database: name.clone(),
            instance: instance.name.clone(),
            request: InstanceRequest::Probe,
        }));
    }
    commands
}
