//! Handlers that manage, validate, compare and switch presets.

use std::collections::BTreeMap;

use axum::Json;
use axum::extract::{Path, State};
use axum::http::HeaderMap;
use serde_json::Value;

use super::AdminState;
use super::error::{ApiError, Result};
use super::model::{Difference, Versioned};
use super::records;
use super::request::WriteHeaders;
use super::write::Accepted;
use crate::configuration::validate::{Finding, validate_write};
use crate::configuration::{Preset, PresetInForce, Record, RecordPath};
use crate::name::PresetName;
use crate::settings::Role;

pub(super) async fn list(
    State(state): State<AdminState>,
    headers: HeaderMap,
) -> Result<Json<Vec<Preset>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let snapshot = state.snapshot.load();
    let presets = snapshot
        .configuration
        .presets
        .values()
        .map(|preset| Preset::clone(preset));
    Ok(Json(presets.collect()))
}

pub(super) async fn show(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<PresetName>,
) -> Result<Json<Versioned<Preset>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let path = RecordPath::Preset(name.clone());
    let select = |record| match record {
        Record::Preset(preset) => Some(preset),
        _ => None,
    };
    records::show(&state, &path, select, |cached| {
        cached
            .presets
            .get(&name)
            .map(|preset| Preset::clone(preset))
    })
    .await
}

pub(super) async fn put(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<PresetName>,
    Json(preset): Json<Preset>,
) -> Result<Json<Accepted>> {
    state.operators.authorize(&headers, Role::Operate)?;
    let write = WriteHeaders::read(&headers)?;
    let path = RecordPath::Preset(name.clone());
    let build = |_previous| Ok(Record::Preset(Preset { name, ..preset }));
    state.writer.write(&path, &write, build).await.map(Json)
}

pub(super) async fn remove(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<PresetName>,
) -> Result<Json<Accepted>> {
    records::remove(&state, &headers, RecordPath::Preset(name)).await
}

/// Responds with the findings that writing the preset would have; writes nothing.
pub(super) async fn validate(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<PresetName>,
    Json(preset): Json<Preset>,
) -> Result<Json<Vec<Finding>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let record = Record::Preset(Preset { name, ..preset });
    Ok(Json(validate_write(
        &state.snapshot.load().configuration,
        &record,
    )))
}

pub(super) async fn diff(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path((name, other)): Path<(PresetName, PresetName)>,
) -> Result<Json<Vec<Difference>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let snapshot = state.snapshot.load();
    let leaves_of = |name: &PresetName| {
        let not_found = || ApiError::NotFound {
            subject: RecordPath::Preset(name.clone()).to_string(),
        };
        let preset = snapshot
            .configuration
            .presets
            .get(name)
            .ok_or_else(not_found)?;
        Ok::<_, ApiError>(flatten(preset))
    };
    Ok(Json(differences(&leaves_of(&name)?, &leaves_of(&other)?)))
}

/// Puts a preset in force.
pub(super) async fn switch(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<PresetName>,
) -> Result<Json<Accepted>> {
    let operator = state.operators.authorize(&headers, Role::Operate)?;
    let write = WriteHeaders::read(&headers)?;
    let operation = write.operation.clone();
    let build = |previous| {
        let version = match previous {
            Some(Record::InForce(in_force)) => in_force.version,
            _ => 0,
        };
        let preset = name.clone();
        Ok(Record::InForce(PresetInForce {
            preset,
            version: version + 1,
            operation,
        }))
    };
    let accepted = state
        .writer
        .write(&RecordPath::InForce, &write, build)
        .await?;
    log::info!(
        "event=preset_switched preset={name} operator={:?}",
        operator.name
    );
    Ok(Json(accepted))
}

pub(super) async fn in_force(
    State(state): State<AdminState>,
    headers: HeaderMap,
) -> Result<Json<Versioned<PresetInForce>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let select = |record| match record {
        Record::InForce(in_force) => Some(in_force),
        _ => None,
    };
    records::show(&state, &RecordPath::InForce, select, |cached| {
        cached.in_force.clone()
    })
    .await
}

/// Returns the JSON leaf values of a preset by their paths, without its name.
fn flatten(preset: &Preset) -> BTreeMap<String, Value> {
    let mut leaves = BTreeMap::new();
    let value = serde_json::to_value(preset).expect("a preset has a JSON form");
    collect_leaves(String::new(), value, &mut leaves);
    leaves.remove("name");
    leaves
}

fn collect_leaves(path: String, value: Value, leaves: &mut BTreeMap<String, Value>) {
    let Value::Object(fields) = value else {
        leaves.insert(path, value);
        return;
    };
    for (name, value) in fields {
        let path = if path.is_empty() {
            name
        } else {
            format!("{path}.{name}")
        };
        collect_leaves(path, value, leaves);
    }
}

/// Returns the fields whose values differ, sorted by path.
fn differences(from: &BTreeMap<String, Value>, to: &BTreeMap<String, Value>) -> Vec<Difference> {
    let mut fields: Vec<_> = from.keys().chain(to.keys()).collect();
    fields.sort();
    fields.dedup();
    let differing = fields
        .into_iter()
        .filter(|field| from.get(*field) != to.get(*field));
    let difference = |field: &String| Difference {
        field: field.clone(),
        from: from.get(field).cloned(),
        to: to.get(field).cloned(),
    };
    differing.map(difference).collect()
}

#[cfg(test)]
mod tests;
