//! Serves the requests of other VMs: tasks of their sessions, the configuration and pings.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::channel::{Channel, ChannelError, PeerRequest, PeerResponse, Result};
use super::clock;
use super::connections::Tracked;
use super::counted::Counted;
use super::gateways;
use super::input_budget::Peer;
use super::node::Node;
use super::record::GatewayList;
use super::shutdown;
use super::state::StopPhase;
use super::task::{Action, Reply, Task};
use super::worker::Worker;
use crate::telemetry::metrics::metrics;

/// Idle time after which a connection is closed. It is longer than the idle time limit at the other
/// end, so that the requesting VM closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time beyond the idle limit for transactions after which a transaction counts as abandoned. The
/// caller's VM enforces the limit itself.
const ABANDON_MARGIN: Duration = Duration::from_secs(1);

/// Delay after a connection could not be accepted, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of other VMs and serves them until the process ends.
pub async fn run(node: Rc<Node>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let tracked = node.connections.track(Peer::Vm, address);
                tokio::task::spawn_local(serve(Rc::clone(&node), stream, tracked));
            }
            Err(error) => {
                log::warn!("event=peer_unaccepted error=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream, tracked: Tracked) {
    let mut worker = Worker::new(Rc::clone(&node));
    if let Err(error) = serve_requests(&node, &mut worker, stream, &tracked).await {
        log::debug!("event=peer_lost error=\"{error}\"");
    }
    // The connection ended or was idle for too long: an open transaction is abandoned.
    worker.roll_back().await;
}

async fn serve_requests(
    node: &Rc<Node>,
    worker: &mut Worker,
    stream: TcpStream,
    tracked: &Tracked,
) -> Result<()> {
    let mut channel = Channel::new(stream)?;
    // A planned stop waits for a reply until it is sent, and for an open transaction.
    let mut counted = None;
    loop {
        let idle_timeout = idle_timeout(node, worker);
        let receiving = receive(node, &mut channel, tracked);
        let Ok(received) = timeout(idle_timeout, receiving).await else {
            return Ok(());
        };
        let Some(request) = received? else {
            return Ok(());
        };
        // After this VM was suspended, it may read old requests that nobody waits for any more.
        if channel.is_abandoned() {
            log::info!("event=request_abandoned");
            return Ok(());
        }
        let response = match request {
            PeerRequest::Configuration => {
                let held = node.state.borrow().encoded_configuration.clone();
                PeerResponse::Configuration(held)
            }
            PeerRequest::Gateways => {
                let state = node.state.borrow();
                PeerResponse::Gateways(GatewayList {
                    revision: state.gateways_revision,
                    gateways: state.gateways.clone(),
                })
            }
            PeerRequest::Ping => PeerResponse::Pong,
            PeerRequest::Run { task, force } => {
                counted.get_or_insert_with(|| Counted::new(Rc::clone(node), |node| &node.tasks));
                run_task(node, worker, &task, force).await
            }
        };
        channel.send(&response).await?;
        counted = counted.filter(|_| worker.is_open());
    }
}

/// Receives a request, unless the connection must be closed because its input costs too much.
async fn receive(
    node: &Node,
    channel: &mut Channel,
    tracked: &Tracked,
) -> Result<Option<PeerRequest>> {
    let limit = node.settings.message_timeout;
    let receiving = channel.receive_within(limit, |bytes| tracked.set_pending(bytes));
    let received = tokio::select! {
        biased;
        cause = tracked.must_close() => {
            log::debug!("event=peer_too_costly cause={cause}");
            return Ok(None);
        }
        received = receiving => received,
    };
    if matches!(received, Err(ChannelError::TimedOut)) {
        tracked.record_slow_message();
    }
    received
}

async fn run_task(node: &Rc<Node>, worker: &mut Worker, task: &Task, force: bool) -> PeerResponse {
    let in_transaction = worker.is_open() || matches!(task.action, Action::InTransaction(_));
    let is_closing = node.state.borrow().stop >= StopPhase::Closing;
    let may_decline = !in_transaction && !force;
    let is_unable = may_decline && !accepts_tasks(node);
    if is_unable || (is_closing && !in_transaction) {
        metrics().count_declined_task("unable");
        return PeerResponse::Declined;
    }
    if may_decline && node.overload.borrow_mut().declines_task() {
        metrics().count_declined_task("overloaded");
        return PeerResponse::Declined;
    }
    let reply = if is_closing {
        worker.roll_back().await;
        Reply::failed(shutdown::transaction_ended(), task.failed_state())
    } else {
        worker.run(task).await
    };
    PeerResponse::Done {
        reply: Box::new(reply),
        primary_zone: gateways::other_primary_zone(node, task),
    }
}

/// Returns whether this VM accepts tasks of other VMs: it is a gateway, isn't stopping, and knows
/// routes, keys and primaries.
fn accepts_tasks(node: &Node) -> bool {
    let state = node.state.borrow();
    state.stop == StopPhase::Running && state.gateway && state.has_initial_data(clock::now())
}

fn idle_timeout(node: &Node, worker: &Worker) -> Duration {
    let limit = node.catalog().and_then(|catalog| catalog.transaction_idle);
    match limit.filter(|_| worker.is_open()) {
        Some(limit) => limit + ABANDON_MARGIN,
        None => IDLE_TIMEOUT,
    }
}
