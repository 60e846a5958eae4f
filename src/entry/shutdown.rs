//! Planned stop of a VM.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::node::Node;
use super::registration;
use super::state::StopPhase;

/// Interval at which the sessions left are counted.
const POLL: Duration = Duration::from_millis(50);

/// Part of the time allowed after which the process ends whatever is left.
const LAST_PART: f64 = 0.9;

/// Stops the VM: the balancer sends callers elsewhere first, then sessions end between their
/// transactions.
pub async fn run(node: Rc<Node>) {
    let started = Instant::now();
    let end = started + node.settings.stop_within.mul_f64(LAST_PART);
    log::info!("event=stop_requested sessions={}", node.sessions.get());
    node.state.borrow_mut().stop = StopPhase::Leaving;
    let noticed = started + node.settings.balancer_notice;
    sleep_until(noticed.min(end)).await;
    node.state.borrow_mut().stop = StopPhase::Draining;
    node.stopping.notify_waiters();
    while node.sessions.get() + node.tasks.get() > 0 && Instant::now() < end {
        sleep(POLL).await;
    }
    log::info!("event=stopped sessions_left={}", node.sessions.get());
    registration::release(&node).await;
}
