//! Planned stop of a VM.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::node::Node;
use super::registration;
use super::state::StopPhase;
use super::statement::{Failure, FailureKind};

/// Interval at which the remaining sessions and tasks are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Share of the stop's time limit after which remaining sessions and tasks are abandoned. The rest
/// is left for revoking the registration.
const DRAIN_SHARE: f64 = 0.9;

/// Share of the stop's time limit after which further requests are refused, so that those that run
/// end in time. A caller that never pauses is told so, instead of being cut off.
const CLOSING_SHARE: f64 = 0.75;

/// Time for which a stopped gateway still declines tasks. Other VMs ask twice a second whether the
/// list of gateways has changed; a task that is sent to an ended process counts as possibly run.
const LINGER_TIME: Duration = Duration::from_millis(600);

/// Stops the VM. First waits until the balancer sends new callers to other VMs, then ends sessions
/// when their callers pause between transactions, and refuses what arrives shortly before the end.
pub async fn run(node: Rc<Node>) {
    let started = Instant::now();
    let end = started + node.settings.stop_within.mul_f64(DRAIN_SHARE);
    log::info!("event=stop_requested sessions={}", node.sessions.get());
    node.state.borrow_mut().stop = StopPhase::Leaving;
    let detected_by = started + node.settings.balancer_detection_time;
    sleep_until(detected_by.min(end)).await;
    node.state.borrow_mut().stop = StopPhase::Draining;
    node.sessions_must_move.notify_waiters();
    await_end_of_work(
        &node,
        started + node.settings.stop_within.mul_f64(CLOSING_SHARE),
    )
    .await;
    node.state.borrow_mut().stop = StopPhase::Closing;
    await_end_of_work(&node, end).await;
    log::info!(
        "event=stopped sessions_left={} tasks_left={}",
        node.sessions.get(),
        node.tasks.get()
    );
    let was_gateway = node.state.borrow().gateway;
    let limit = started + node.settings.stop_within;
    // A lease that isn't revoked by then lapses by itself, as after a crash.
    if timeout_at(limit, registration::release(&node))
        .await
        .is_err()
    {
        log::warn!("event=lease_not_revoked error=\"the stop's time limit has passed\"");
    }
    if was_gateway {
        sleep_until(end.min(Instant::now() + LINGER_TIME)).await;
    }
}

/// Builds the failure for a request that arrives shortly before the process ends.
pub fn refusal() -> Failure {
    let text = "not run: this VM is stopping; reconnect to reach another one";
    Failure::local(FailureKind::Busy, text)
}

/// Builds the failure for a request of a transaction that was rolled back because of the stop.
pub fn transaction_ended() -> Failure {
    let text = "not kept: this VM is stopping; reconnect to reach another one";
    Failure::local(FailureKind::Aborted, text)
}

/// Waits until no session is open and no task runs for another VM, at most until `end`.
async fn await_end_of_work(node: &Node, end: Instant) {
    while node.sessions.get() + node.tasks.get() > 0 && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
}
