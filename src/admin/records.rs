//! Reading and removing of records of any kind, and the handlers for routes, which need nothing
//! else.

use axum::Json;
use axum::extract::{Path, State};
use axum::http::HeaderMap;

use super::AdminState;
use super::error::{ApiError, Result};
use super::model::Versioned;
use super::request::WriteHeaders;
use super::write::Accepted;
use crate::configuration::{Configuration, Record, RecordPath, Route, RoutePolicy};
use crate::name::RouteName;
use crate::settings::Role;

/// Reads a record from the service with `select`, or, when the service does not respond, from this
/// VM's snapshot with `from_snapshot`.
pub(super) async fn show<T>(
    state: &AdminState,
    path: &RecordPath,
    select: impl Fn(Record) -> Option<T>,
    from_snapshot: impl Fn(&Configuration) -> Option<T>,
) -> Result<Json<Versioned<T>>> {
    let not_found = || ApiError::NotFound {
        subject: path.to_string(),
    };
    match state.writer.read(path).await {
        Ok(Some(current)) => {
            let revision = Some(current.revision.0);
            let value = select(current.stored.record).ok_or_else(not_found)?;
            Ok(Json(Versioned { revision, value }))
        }
        Ok(None) => Err(not_found()),
        Err(ApiError::Unavailable) => {
            let value =
                from_snapshot(&state.snapshot.load().configuration).ok_or_else(not_found)?;
            Ok(Json(Versioned {
                revision: None,
                value,
            }))
        }
        Err(error) => Err(error),
    }
}

/// Removes a record at the expected revision.
pub(super) async fn remove(
    state: &AdminState,
    headers: &HeaderMap,
    path: RecordPath,
) -> Result<Json<Accepted>> {
    state.operators.authorize(headers, Role::Operate)?;
    let headers = WriteHeaders::read(headers)?;
    state.writer.remove(&path, &headers).await.map(Json)
}

pub(super) async fn list_routes(
    State(state): State<AdminState>,
    headers: HeaderMap,
) -> Result<Json<Vec<Route>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let snapshot = state.snapshot.load();
    let routes = snapshot
        .configuration
        .routes
        .values()
        .map(|route| Route::clone(route));
    Ok(Json(routes.collect()))
}

pub(super) async fn show_route(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<RouteName>,
) -> Result<Json<Versioned<Route>>> {
    state.operators.authorize(&headers, Role::Read)?;
    let path = RecordPath::Route(name.clone());
    let select = |record| match record {
        Record::Route(route) => Some(route),
        _ => None,
    };
    show(&state, &path, select, |cached| {
        cached.routes.get(&name).map(|route| Route::clone(route))
    })
    .await
}

pub(super) async fn put_route(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<RouteName>,
    Json(policy): Json<RoutePolicy>,
) -> Result<Json<Accepted>> {
    state.operators.authorize(&headers, Role::Operate)?;
    let write = WriteHeaders::read(&headers)?;
    let path = RecordPath::Route(name.clone());
    let build = |_previous| Ok(Record::Route(Route { name, policy }));
    state.writer.write(&path, &write, build).await.map(Json)
}

pub(super) async fn remove_route(
    State(state): State<AdminState>,
    headers: HeaderMap,
    Path(name): Path<RouteName>,
) -> Result<Json<Accepted>> {
    remove(&state, &headers, RecordPath::Route(name)).await
}
