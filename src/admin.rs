//! The administration API, which is JSON over HTTP, and the endpoints for health and metrics.

pub mod auth;
mod databases;
pub mod error;
mod health;
mod keys;
pub mod model;
mod openapi;
mod presets;
mod records;
mod request;
pub mod server;
mod status;
mod tls;
mod workspaces;
pub mod write;

use std::sync::Arc;

use axum::Router;
use axum::routing::{get, post};

use self::auth::Operators;
use self::write::Writer;
use crate::controller::SharedSnapshot;
use crate::store::Platform;

/// State shared by all handlers.
#[derive(Debug, Clone)]
pub struct AdminState {
    pub(crate) snapshot: SharedSnapshot,
    pub(crate) writer: Writer,
    pub(crate) operators: Arc<Operators>,
}

impl AdminState {
    /// Builds the state for the API of this VM.
    pub fn new(snapshot: SharedSnapshot, platform: Platform, operators: Operators) -> Self {
        let writer = Writer::new(platform, Arc::clone(&snapshot));
        Self {
            snapshot,
            writer,
            operators: Arc::new(operators),
        }
    }
}

/// Builds the router with all endpoints of the API.
pub fn router(state: AdminState) -> Router {
    Router::new()
        .route("/healthz", get(health::alive))
        .route("/readyz", get(health::ready))
        .route("/metrics", get(health::metrics))
        .route("/openapi.json", get(openapi::describe))
        .route("/v1/status", get(status::status))
        .route("/v1/vms", get(status::vms))
        .route("/v1/workspaces", get(workspaces::list))
        .route(
            "/v1/workspaces/{name}",
            get(workspaces::show)
                .put(workspaces::put)
                .delete(workspaces::remove),
        )
        .route(
            "/v1/workspaces/{name}/keys",
            get(keys::list).post(keys::issue),
        )
        .route(
            "/v1/workspaces/{name}/keys/{key}/withdraw",
            post(keys::withdraw),
        )
        .route("/v1/presets", get(presets::list))
        .route(
            "/v1/presets/{name}",
            get(presets::show).put(presets::put).delete(presets::remove),
        )
        .route("/v1/presets/{name}/validate", post(presets::validate))
        .route("/v1/presets/{name}/diff/{other}", get(presets::diff))
        .route("/v1/presets/{name}/switch", post(presets::switch))
        .route("/v1/in-force", get(presets::in_force))
        .route("/v1/routes", get(records::list_routes))
        .route(
            "/v1/routes/{name}",
            get(records::show_route)
                .put(records::put_route)
                .delete(records::remove_route),
        )
        .route("/v1/databases", get(databases::list))
        .route(
            "/v1/databases/{name}",
            get(databases::show)
                .put(databases::put)
                .delete(databases::remove),
        )
        .route(
            "/v1/databases/{name}/instances/{instance}/drain",
            post(databases::drain),
        )
        .route(
            "/v1/databases/{name}/instances/{instance}/undrain",
            post(databases::undrain),
        )
        .with_state(state)
}
