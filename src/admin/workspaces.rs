//! Handlers for workspaces, with their databases and limits.

use axum::Json;
use axum::extract::{Path, State};
use axum::http::HeaderMap;

use super::AdminState;
use super::error::Result;
use super::model::{KeyBody, Versioned, WorkspaceBody, WorkspaceView};
use super::records;
use super::request::WriteHeaders;
use super::write::Accepted;
use crate::configuration::{Configuration, Key, Record, RecordPath, Workspace};
use crate::name::WorkspaceName;
use crate::settings::Role;
use crate::traffic::scram;

/// SCRAM iterations of a new workspace, the minimum that RFC 7677 recommends.
const SCRAM_ITERATIONS: u32 = 4_096;

pub(super) async fn list(
    State(state): State<AdminState>,
    headers: HeaderMap,
) -> Result<Json<Vec<WorkspaceView>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let snapshot = state.snapshot.load();
    let configuration = &snapshot.configuration;
    let views = configuration
        .workspaces
        .values()
        .map(|workspace| view(configuration, workspace));
    Ok(Json(views.collect()))
}

pub(super) async fn show(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<WorkspaceName>,
) -> Result<Json<Versioned<WorkspaceView>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let path = RecordPath::Workspace(name.clone());
    let snapshot = state.snapshot.load_full();
    let select = |record| match record {
        Record::Workspace(workspace) => Some(view(&snapshot.configuration, &workspace)),
        _ => None,
    };
    let from_snapshot = |cached: &Configuration| Some(view(cached, cached.workspaces.get(&name)?));
    records::show(&state, &path, select, from_snapshot).await
}

pub(super) async fn put(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<WorkspaceName>,
    Json(body): Json<WorkspaceBody>,
) -> Result<Json<Accepted>> {
    state.operators.authorize(&headers, Role::Operate)?;
    let write = WriteHeaders::read(&headers)?;
    let path = RecordPath::Workspace(name.clone());
    let build = |previous| {
        let workspace = match previous {
            Some(Record::Workspace(workspace)) => workspace,
            _ => new_workspace(name),
        };
        let WorkspaceBody { databases, limits } = body;
        Ok(Record::Workspace(Workspace {
            databases,
            limits,
            ..workspace
        }))
    };
    state.writer.write(&path, &write, build).await.map(Json)
}

pub(super) async fn remove(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<WorkspaceName>,
) -> Result<Json<Accepted>> {
    records::remove(&state, &headers, RecordPath::Workspace(name)).await
}

/// Returns the keys of a workspace without their verifiers.
pub(super) fn key_bodies(keys: &[Key]) -> Vec<KeyBody> {
    keys.iter()
        .map(|key| KeyBody {
            id: key.id.clone(),
            state: key.state,
        })
        .collect()
}

fn new_workspace(name: WorkspaceName) -> Workspace {
    let WorkspaceBody { databases, limits } = WorkspaceBody::default();
    let salt = scram::new_salt();
    Workspace {
        name,
        salt,
        iterations: SCRAM_ITERATIONS,
        keys: Vec::new(),
        databases,
        limits,
    }
}

fn view(configuration: &Configuration, workspace: &Workspace) -> WorkspaceView {
    WorkspaceView {
        name: workspace.name.clone(),
        databases: workspace.databases.clone(),
        limits: workspace.limits,
        limits_in_force: configuration
            .limits(&workspace.name)
            .unwrap_or(workspace.limits),
        keys: key_bodies(&workspace.keys),
    }
}
