//! Handlers that report the state of the fleet as seen by this VM.

use std::collections::BTreeMap;

use axum::Json;
use axum::extract::State;
use axum::http::HeaderMap;

use super::AdminState;
use super::error::Result;
use super::model::{DatabaseStatus, InstanceStatus, Status, VmView};
use crate::control::Snapshot;
use crate::control::snapshot::DatabaseView;
use crate::name::{DatabaseName, VmName};
use crate::settings::Role;

pub(super) async fn status(
    State(state): State<AdminState>,
    headers: HeaderMap,
) -> Result<Json<Status>> {
    state.operators.authorize(&headers, Role::Read)?;
    let snapshot = state.snapshot.load();
    let configuration = &snapshot.configuration;
    let databases = configuration
        .databases
        .keys()
        .map(|name| database(&snapshot, name));
    Ok(Json(Status {
        vm: snapshot.local.name.clone(),
        cell: snapshot.local.cell.clone(),
        standing: snapshot.standing.to_string(),
        revision: configuration.revision.0,
        revision_everywhere: snapshot.revision_everywhere.0,
        preset: configuration
            .in_force
            .as_ref()
            .map(|in_force| in_force.preset.clone()),
        preset_version: configuration.preset_version(),
        databases: databases.collect(),
    }))
}

pub(super) async fn vms(
    State(state): State<AdminState>,
    headers: HeaderMap,
) -> Result<Json<Vec<VmView>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let snapshot = state.snapshot.load();
    let mut homes: BTreeMap<&VmName, Vec<DatabaseName>> = BTreeMap::new();
    for (database, home) in &*snapshot.homes {
        homes.entry(&home.vm).or_default().push(database.clone());
    }
    let view = |(name, peer): (&VmName, &crate::control::snapshot::PeerView)| VmView {
        name: name.clone(),
        availability_zone: peer.availability_zone.clone(),
        peer_address: peer.address.to_string(),
        incarnation: peer.incarnation.map(|incarnation| incarnation.0),
        homes: homes.get(name).cloned().unwrap_or_default(),
    };
    Ok(Json(snapshot.peers.iter().map(view).collect()))
}

/// Returns the state of one database as seen by this VM.
pub(super) fn database(snapshot: &Snapshot, name: &DatabaseName) -> DatabaseStatus {
    let home = snapshot.homes.get(name);
    let view = snapshot.databases.get(name);
    DatabaseStatus {
        name: name.clone(),
        home: home.map(|home| home.vm.clone()),
        term: view
            .and_then(|view| view.term.as_ref())
            .map(ToString::to_string),
        instances: view.map(|view| instances(view)).unwrap_or_default(),
    }
}

fn instances(view: &DatabaseView) -> Vec<InstanceStatus> {
    let status = |instance: &crate::control::snapshot::InstanceView| InstanceStatus {
        name: instance.name.clone(),
        is_primary: view.primary.as_ref() == Some(&instance.name),
        is_reachable: instance.reachable,
        accepts_work: instance.accepts_work,
    };
    view.instances.iter().map(status).collect()
}
