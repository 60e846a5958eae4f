//! Planned stop of a VM.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::node::Node;
use super::registration;
use super::state::StopPhase;

/// Interval at which the remaining sessions and tasks are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Share of the stop's time limit after which remaining sessions and tasks are abandoned. The rest
/// is left for revoking the registration.
const DRAIN_SHARE: f64 = 0.9;

/// Stops the VM. First waits until the balancer sends new callers to other VMs, then ends sessions
/// between their transactions.
pub async fn run(node: Rc<Node>) {
    let started = Instant::now();
    let end = started + node.settings.stop_within.mul_f64(DRAIN_SHARE);
    log::info!("event=stop_requested sessions={}", node.sessions.get());
    node.state.borrow_mut().stop = StopPhase::Leaving;
    let detected_by = started + node.settings.balancer_detection_time;
    sleep_until(detected_by.min(end)).await;
    node.state.borrow_mut().stop = StopPhase::Draining;
    node.sessions_must_move.notify_waiters();
    while node.sessions.get() + node.tasks.get() > 0 && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
    log::info!("event=stopped sessions_left={}", node.sessions.get());
    registration::release(&node).await;
}
