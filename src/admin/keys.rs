//! Handlers that list, issue and withdraw the keys of workspaces.

use axum::Json;
use axum::extract::{Path, State};
use axum::http::HeaderMap;
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;

use super::AdminState;
use super::error::{ApiError, Result};
use super::model::{IssuedKey, KeyBody, Versioned};
use super::records;
use super::request::WriteHeaders;
use super::workspaces::key_bodies;
use super::write::Accepted;
use crate::configuration::{Key, KeyState, Record, RecordPath, Workspace};
use crate::name::{KeyId, WorkspaceName};
use crate::settings::Role;
use crate::traffic::scram;

/// Number of random bytes in a key.
const KEY_BYTES: usize = 24;

/// Number of bytes of the operation's digest that form a key's id.
const KEY_ID_BYTES: usize = 6;

pub(super) async fn list(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<WorkspaceName>,
) -> Result<Json<Versioned<Vec<KeyBody>>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let path = RecordPath::Workspace(name.clone());
    let select = |record| match record {
        Record::Workspace(workspace) => Some(key_bodies(&workspace.keys)),
        _ => None,
    };
    records::show(&state, &path, select, |cached| {
        cached
            .workspaces
            .get(&name)
            .map(|workspace| key_bodies(&workspace.keys))
    })
    .await
}

pub(super) async fn issue(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<WorkspaceName>,
) -> Result<Json<IssuedKey>> {
    let operator = state.operators.authorize(&headers, Role::Operate)?;
    let write = WriteHeaders::read(&headers)?;
    let path = RecordPath::Workspace(name.clone());
    let secret = BASE64_URL_SAFE_NO_PAD.encode(rand::random::<[u8; KEY_BYTES]>());
    // Derive the id from the operation, so that the response to a repeated request names the same
    // key.
    let id = key_id(&write);
    let build =
        |previous| {
            let mut workspace = workspace_of(&path, previous)?;
            let verifier = scram::verifier(&secret, &workspace.salt, workspace.iterations)
                .map_err(|error| ApiError::Malformed {
                    message: error.to_string(),
                })?;
            workspace.keys.push(Key {
                id: id.clone(),
                stored_key: verifier.stored_key,
                server_key: verifier.server_key,
                state: KeyState::Active,
            });
            Ok(Record::Workspace(workspace))
        };
    let accepted = state.writer.write(&path, &write, build).await?;
    log::info!(
        "event=key_issued workspace={name} key={id} operator={:?}",
        operator.name
    );
    let key = (!accepted.is_repeated).then_some(secret);
    Ok(Json(IssuedKey {
        id,
        key,
        revision: accepted.revision,
    }))
}

pub(super) async fn withdraw(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path((name, id)): Path<(WorkspaceName, KeyId)>,
) -> Result<Json<Accepted>> {
    let operator = state.operators.authorize(&headers, Role::Operate)?;
    let write = WriteHeaders::read(&headers)?;
    let path = RecordPath::Workspace(name.clone());
    let build = |previous| {
        let mut workspace = workspace_of(&path, previous)?;
        let key = workspace.keys.iter_mut().find(|key| key.id == id);
        let not_found = || ApiError::NotFound {
            subject: format!("key {id} of workspace {name}"),
        };
        key.ok_or_else(not_found)?.state = KeyState::Withdrawn;
        Ok(Record::Workspace(workspace))
    };
    let accepted = state.writer.write(&path, &write, build).await?;
    log::info!(
        "event=key_withdrawn workspace={name} key={id} operator={:?}",
        operator.name
    );
    Ok(Json(accepted))
}

fn workspace_of(path: &RecordPath, previous: Option<Record>) -> Result<Workspace> {
    match previous {
        Some(Record::Workspace(workspace)) => Ok(workspace),
        _ => Err(ApiError::NotFound {
            subject: path.to_string(),
        }),
    }
}

fn key_id(write: &WriteHeaders) -> KeyId {
    use sha2::{Digest, Sha256};
    let digest = Sha256::digest(write.operation.as_bytes());
    KeyId::from(BASE64_URL_SAFE_NO_PAD.encode(&digest[..KEY_ID_BYTES]))
}
