//! Decides which VM runs the tasks of a session, and goes to another one when it is lost.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::channel::{ChannelError, PeerRequest, PeerResponse};
use super::gateway::{ChannelLease, Gateway};
use super::health::Health;
use super::node::Node;
use super::statement::{Failure, FailureKind, SessionState};
use super::task::{Reply, Task};
use super::worker::Worker;
use crate::telemetry::metrics::metrics;

/// Gateways that are tried for one task: those of the availability zone and one more.
const MAX_TRIED: usize = 3;

/// Time beyond a statement's time-out after which a gateway's answer counts as lost: the gateway
/// itself answers at the time-out.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Time after which a refused caller may find a gateway.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// VM that runs the tasks of an open transaction.
#[derive(Debug)]
pub enum Place {
    /// This one.
    Here(Worker),
    /// A gateway.
    There(ChannelLease),
}

/// Runs a task of a session without an open transaction; returns where a transaction that it
/// opened goes on.
pub async fn start(node: &Rc<Node>, task: Task) -> (Reply, Option<Place>) {
    if node.state.borrow().gateway {
        let mut worker = Worker::new(Rc::clone(node));
        let reply = worker.run(&task).await;
        return (reply, Some(Place::Here(worker)));
    }
    let deadline = deadline(&task);
    let mut gateways = node.gateways.ranked(node, &task.workspace);
    gateways.truncate(MAX_TRIED);
    for gateway in gateways.iter().filter(|gateway| gateway.is_willing()) {
        if let Some((reply, lease)) = offer(&task, gateway, false, deadline).await {
            return (reply, lease.map(Place::There));
        }
        if Instant::now() >= deadline {
            return (task.lost(), None);
        }
        log::info!(
            "event=task_moved id={} from={} kind=forward",
            task.id,
            gateway.vm()
        );
        metrics().count_move("forward");
    }
    // Every gateway would rather leave it to another: the first of them does what it can.
    if let Some(gateway) = gateways.iter().find(|gateway| !gateway.is_willing())
        && let Some((reply, lease)) = offer(&task, gateway, true, deadline).await
    {
        return (reply, lease.map(Place::There));
    }
    (unserved(node, &task), None)
}

/// Offers a task to a gateway; `None` when it has not run there and may run elsewhere.
async fn offer(
    task: &Task,
    gateway: &Rc<Gateway>,
    insist: bool,
    deadline: Instant,
) -> Option<(Reply, Option<ChannelLease>)> {
    let mut lease = match gateway.take().await {
        Ok(lease) => lease,
        Err(error) => {
            log::info!(
                "event=gateway_unreached id={} vm={} error=\"{error}\"",
                task.id,
                gateway.vm()
            );
            gateway.note_health(Health::failed);
            return None;
        }
    };
    match ask(&mut lease, task, insist, deadline).await {
        Ok(Some(reply)) => Some((reply, Some(lease))),
        Ok(None) => None,
        Err(error) => {
            note_loss(task, gateway, &error);
            (!task.is_repeatable()).then(|| (task.lost(), None))
        }
    }
}

/// Runs a task at a gateway; `None` when the gateway declined it.
async fn ask(
    lease: &mut ChannelLease,
    task: &Task,
    insist: bool,
    deadline: Instant,
) -> Result<Option<Reply>, ChannelError> {
    let gateway = Rc::clone(lease.gateway());
    let request = PeerRequest::Run {
        task: Box::new(task.clone()),
        insist,
    };
    gateway.note_health(Health::sent);
    lease.set_settled(false);
    let asking = lease.channel().ask(&request, deadline);
    // Nothing is known of a write that was sent: its answer may still come.
    let may_leave = task.is_repeatable();
    let answer = tokio::select! {
        answer = asking => answer,
        () = gateway.lost(), if may_leave => Err(ChannelError::TimedOut),
    };
    match answer {
        Ok(response) => {
            gateway.note_health(Health::answered);
            let PeerResponse::Done(reply) = response else {
                lease.set_settled(true);
                gateway.note_declined();
                return Ok(None);
            };
            lease.set_settled(reply.answer.state == SessionState::Idle);
            Ok(Some(*reply))
        }
        Err(error) => {
            gateway.note_health(Health::unanswered);
            Err(error)
        }
    }
}

impl Place {
    /// Runs a task of the open transaction.
    pub async fn run(&mut self, task: &Task) -> Reply {
        match self {
            Self::Here(worker) => worker.run(task).await,
            Self::There(lease) => match ask(lease, task, true, deadline(task)).await {
                Ok(Some(reply)) => reply,
                Ok(None) => task.lost(),
                Err(error) => {
                    note_loss(task, lease.gateway(), &error);
                    task.lost()
                }
            },
        }
    }
}

fn deadline(task: &Task) -> Instant {
    Instant::now() + task.route.statement_timeout + ANSWER_MARGIN
}

fn note_loss(task: &Task, gateway: &Gateway, error: &ChannelError) {
    log::warn!(
        "event=gateway_lost id={} vm={} error=\"{error}\"",
        task.id,
        gateway.vm()
    );
}

fn unserved(node: &Node, task: &Task) -> Reply {
    metrics().count_entry_refusal(&task.route.name, "no gateway");
    log::info!(
        "event=request_refused id={} route={} workspace={} reason=\"no gateway can be reached\" \
         vm={}",
        task.id,
        task.route.name,
        task.workspace,
        node.settings.vm
    );
    let retry_ms = RETRY_AFTER.as_millis();
    let text = format!("not run: no VM with connections can be reached; retry in {retry_ms} ms");
    Reply::failed(Failure::own(FailureKind::Busy, text), task.failed_state())
}
