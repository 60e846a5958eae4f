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

/// Part of a route's objective for which a request waits for a token rather than being refused:
/// short enough that a refusal still comes early.
const PACING_PART: f64 = 0.2;

/// Spends a token of the workspace: of other VMs where this one has none left, or one that comes in
/// a moment.
///
/// # Errors
///
/// Fails with what the caller is told when there is no token.
pub async fn admit(
    node: &Rc<Node>,
    route: &Route,
    workspace: &Workspace,
    id: &Arc<str>,
) -> Result<(), Failure> {
    if try_admit(node, workspace).is_ok() {
        return Ok(());
    }
    let borrowed = borrowing::borrow(node, &workspace.name).await;
    if borrowed && try_admit(node, workspace).is_ok() {
        return Ok(());
    }
    await_token(node, route, workspace).await;
    try_admit(node, workspace).map_err(|wait| refusal(route, workspace, id, wait))
}

fn try_admit(node: &Node, workspace: &Workspace) -> Result<(), Duration> {
    let mut state = node.state.borrow_mut();
    state.quota.admit(workspace, clock::now())
}

/// Waits for a token that comes within a small part of the route's objective.
async fn await_token(node: &Node, route: &Route, workspace: &Workspace) {
    let patience = route.objective.mul_f64(PACING_PART);
    let wait = {
        let mut state = node.state.borrow_mut();
        state.quota.queue(&workspace.name, patience, clock::now())
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
    Failure::own(
        FailureKind::Busy,
        format!("not run: the workspace is over its rate; retry in {retry_ms} ms"),
    )
}
