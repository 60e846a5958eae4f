//! Handlers for database groups, and for draining their instances.

use axum::Json;
use axum::extract::{Path, State};
use axum::http::HeaderMap;

use super::AdminState;
use super::error::{ApiError, Result};
use super::model::{DatabaseStatus, Versioned};
use super::request::WriteHeaders;
use super::write::Accepted;
use super::{records, status};
use crate::configuration::{DatabaseGroup, InstanceState, Record, RecordPath};
use crate::name::{DatabaseName, InstanceName};
use crate::settings::Role;

pub(super) async fn list(
    State(state): State<AdminState>,
    headers: HeaderMap,
) -> Result<Json<Vec<DatabaseStatus>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let snapshot = state.snapshot.load();
    let names = snapshot.configuration.databases.keys();
    Ok(Json(
        names
            .map(|name| status::database(&snapshot, name))
            .collect(),
    ))
}

pub(super) async fn show(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<DatabaseName>,
) -> Result<Json<Versioned<DatabaseGroup>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let path = RecordPath::Database(name.clone());
    let select = |record| match record {
        Record::Database(group) => Some(group),
        _ => None,
    };
    records::show(&state, &path, select, |cached| {
        cached
            .databases
            .get(&name)
            .map(|group| DatabaseGroup::clone(group))
    })
    .await
}

pub(super) async fn put(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<DatabaseName>,
    Json(group): Json<DatabaseGroup>,
) -> Result<Json<Accepted>> {
    state.operators.authorize(&headers, Role::Operate)?;
    let write = WriteHeaders::read(&headers)?;
    let path = RecordPath::Database(name.clone());
    let build = |_previous| Ok(Record::Database(DatabaseGroup { name, ..group }));
    state.writer.write(&path, &write, build).await.map(Json)
}

pub(super) async fn remove(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<DatabaseName>,
) -> Result<Json<Accepted>> {
    records::remove(&state, &headers, RecordPath::Database(name)).await
}

pub(super) async fn drain(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path((name, instance)): Path<(DatabaseName, InstanceName)>,
) -> Result<Json<Accepted>> {
    set_state(&state, &headers, name, &instance, InstanceState::Leaving).await
}

pub(super) async fn undrain(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path((name, instance)): Path<(DatabaseName, InstanceName)>,
) -> Result<Json<Accepted>> {
    set_state(&state, &headers, name, &instance, InstanceState::Live).await
}

async fn set_state(
    state: &AdminState,
    headers: &HeaderMap,
    name: DatabaseName,
    instance: &InstanceName,
    new: InstanceState,
) -> Result<Json<Accepted>> {
    state.operators.authorize(headers, Role::Operate)?;
    let write = WriteHeaders::read(headers)?;
    let path = RecordPath::Database(name);
    let build = |previous| {
        let not_found = || ApiError::NotFound {
            subject: format!("instance {instance} of {path}"),
        };
        let Some(Record::Database(mut group)) = previous else {
            return Err(not_found());
        };
        let found = group
            .instances
            .iter_mut()
            .find(|found| found.name == *instance);
        found.ok_or_else(not_found)?.state = new;
        Ok(Record::Database(group))
    };
    state.writer.write(&path, &write, build).await.map(Json)
}
