//! Answers what other VMs ask: tasks of their sessions, and the configuration.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::channel::{Channel, PeerRequest, PeerResponse, Result};
use super::clock;
use super::node::Node;
use super::state::StopPhase;
use super::task::{Action, Task};
use super::worker::Worker;

/// Time after which a connection without requests is closed: longer than the other end keeps it.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Time beyond the limit for idle transactions, which the VM of the caller enforces, after which a
/// transaction counts as abandoned.
const ABANDONED_AFTER: Duration = Duration::from_secs(1);

/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers other VMs until the process ends.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(Rc::clone(&node), stream));
            }
            Err(error) => {
                log::warn!("event=peer_unaccepted error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream) {
    let mut worker = Worker::new(Rc::clone(&node));
    if let Err(error) = converse(&node, &mut worker, stream).await {
        log::debug!("event=peer_lost error=\"{error}\"");
    }
    // The caller's VM has gone, or has left the transaction.
    worker.roll_back().await;
}

async fn converse(node: &Rc<Node>, worker: &mut Worker, stream: TcpStream) -> Result<()> {
    let mut channel = Channel::new(stream)?;
    loop {
        let patience = patience(node, worker);
        let Ok(received) = timeout(patience, channel.receive()).await else {
            return Ok(());
        };
        let Some(request) = received? else {
            return Ok(());
        };
        // A VM that was suspended finds requests of long ago.
        if channel.is_abandoned() {
            log::info!("event=request_abandoned");
            return Ok(());
        }
        let response = match request {
            PeerRequest::Configuration => {
                let held = node.state.borrow().catalog_value.clone();
                PeerResponse::Configuration(held.map(|(revision, value)| (revision.0, value)))
            }
            PeerRequest::Ping => PeerResponse::Pong,
            PeerRequest::Run { task, insist } => run_task(node, worker, &task, insist).await,
        };
        channel.send(&response).await?;
    }
}

async fn run_task(node: &Rc<Node>, worker: &mut Worker, task: &Task, insist: bool) -> PeerResponse {
    let bound = worker.is_open() || matches!(task.action, Action::Inside(_));
    if !bound && !insist && !takes_tasks(node) {
        return PeerResponse::Declined;
    }
    node.tasks.set(node.tasks.get() + 1);
    let reply = worker.run(task).await;
    node.tasks.set(node.tasks.get() - 1);
    PeerResponse::Done(Box::new(reply))
}

/// Returns whether this VM can serve the sessions of others well.
fn takes_tasks(node: &Node) -> bool {
    let state = node.state.borrow();
    state.stop == StopPhase::Running && state.gateway && state.is_informed(clock::now())
}

fn patience(node: &Node, worker: &Worker) -> Duration {
    let limit = node.catalog().and_then(|catalog| catalog.transaction_idle);
    match limit.filter(|_| worker.is_open()) {
        Some(limit) => limit + ABANDONED_AFTER,
        None => IDLE_LIMIT,
    }
}
