//! Endpoints for health and metrics, which need no token.

use axum::extract::State;
use axum::http::StatusCode;

use super::AdminState;
use crate::control::snapshot::Standing;
use crate::telemetry::metrics;

/// Liveness: responds with 200 as long as the process runs.
pub(super) async fn alive() -> &'static str {
    "ok\n"
}

/// Readiness: responds with 200 while the VM takes new work, and with 503 otherwise.
pub(super) async fn ready(State(state): State<AdminState>) -> (StatusCode, String) {
    let standing = state.snapshot.load().standing;
    let status = match standing {
        Standing::Serving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{standing}\n"))
}

/// Responds with the metrics in the Prometheus text format.
pub(super) async fn metrics() -> String {
    metrics::render()
}
