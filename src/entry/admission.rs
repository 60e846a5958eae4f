//! Admits requests within the rate and burst of their workspace.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::catalog::{Route, Workspace};
use super::limiter;
use super::node::Node;
use super::quota::holding::{Arrival, Decision};
use super::statement::{Failure, FailureKind};
use crate::telemetry::metrics::metrics;

/// Maximum time that a request waits for a token instead of being refused, as a fraction of its
/// route's latency objective: the rest is left for running it.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Spends a token of the workspace. If this VM has none left, waits for the next one if it is
/// expected in time.
///
/// # Errors
///
/// Fails with the failure to report to the caller when there is no token.
pub async fn admit(
    node: &Rc<Node>,
    route: &Route,
    workspace: &Workspace,
    id: &Arc<str>,
) -> Result<(), Failure> {
    let max_wait = route.latency_objective.mul_f64(MAX_WAIT_FRACTION);
    let arrival = Arrival {
        request: xxhash_rust::xxh3::xxh3_64(id.as_bytes()),
        priority: route.priority,
        max_wait: max_wait.min(route.statement_timeout),
        patience: route.statement_timeout,
    };
    match limiter::take_token(node, workspace, arrival).await {
        Decision::Admitted => Ok(()),
        Decision::Refused(delay) => Err(refusal(route, workspace, id, delay)),
        Decision::Waits => Err(refusal(route, workspace, id, max_wait)),
        Decision::WorkspaceRemoved => Err(removal(route, workspace, id)),
    }
}

fn removal(route: &Route, workspace: &Workspace, id: &Arc<str>) -> Failure {
    metrics().count_entry_refusal(&route.name, "workspace_removed");
    log::info!(
        "event=request_refused id={id} route={} workspace={} reason=workspace_removed",
        route.name,
        workspace.name
    );
    Failure::unauthorized()
}

fn refusal(route: &Route, workspace: &Workspace, id: &Arc<str>, delay: Duration) -> Failure {
    let retry_ms = delay.as_millis().max(1);
    metrics().count_entry_refusal(&route.name, "over_rate");
    log::info!(
        "event=request_refused id={id} route={} workspace={} reason=over_rate rate_per_s={} \
         retry_ms={retry_ms}",
        route.name,
        workspace.name,
        workspace.rate_per_s
    );
    Failure::local(
        FailureKind::Busy,
        format!("not run: the workspace is over its rate; retry in {retry_ms} ms"),
    )
}
