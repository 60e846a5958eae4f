//! Health and metrics, which need no token.

use axum::extract::State;
use axum::http::StatusCode;

use super::AdminState;
use crate::control::snapshot::Standing;
use crate::telemetry::metrics;

/// Answers as long as the process runs.
pub(super) async fn alive() -> &'static str {
    "ok\n"
}

/// Answers whether the VM takes new work.
pub(super) async fn ready(State(state): State<AdminState>) -> (StatusCode, String) {
    let standing = state.snapshot.load().standing;
    let status = match standing {
        Standing::Serving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{standing}\n"))
}

/// Answers with the metrics in Prometheus text form.
pub(super) async fn metrics() -> String {
    metrics::render()
}
