//! Admits requests within the rate and burst of their workspace.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::borrowing;
use super::catalog::{Route, Workspace};
use super::clock;
use super::node::Node;
use super::statement::{Failure, FailureKind};
use crate::telemetry::metrics::metrics;

/// Maximum time that a request waits for a token instead of being refused, as a fraction of its
/// route's latency objective: short enough that a refusal is still sent early.
const MAX_WAIT_FRACTION: f64 = 0.2;

/// Spends a token of the workspace. If this VM has none left, borrows tokens from other VMs, or
/// else waits briefly for the next one.
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
    if try_admit(node, workspace).is_ok() {
        return Ok(());
    }
    let borrowed = borrowing::borrow_tokens(node, &workspace.name).await;
    if borrowed && try_admit(node, workspace).is_ok() {
        return Ok(());
    }
    wait_for_token(node, route, workspace).await;
    try_admit(node, workspace).map_err(|wait| refusal(route, workspace, id, wait))
}

fn try_admit(node: &Node, workspace: &Workspace) -> Result<(), Duration> {
    let mut state = node.state.borrow_mut();
    state.quota.admit(workspace, clock::now())
}

/// Waits for the next token if it is due within [`MAX_WAIT_FRACTION`] of the route's latency
/// objective.
async fn wait_for_token(node: &Node, route: &Route, workspace: &Workspace) {
    let max_wait = route.latency_objective.mul_f64(MAX_WAIT_FRACTION);
    let wait = {
        let mut state = node.state.borrow_mut();
        state.quota.queue(&workspace.name, max_wait, clock::now())
    };
    if let Some(wait) = wait {
        tokio::time::sleep(wait).await;
        node.state.borrow_mut().quota.leave_queue(&workspace.name);
    }
}

fn refusal(route: &Route, workspace: &Workspace, id: &Arc<str>, wait: Duration) -> Failure {
    let retry_ms = wait.as_millis().max(1);
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
