//! Selects the VM that runs the tasks of a session, and retries on another one when it fails.

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

/// Maximum number of gateways tried for one task: those of the availability zone and one more.
const MAX_TRIED: usize = 3;

/// Time beyond a statement's time-out after which a gateway's reply counts as lost. The gateway
/// itself replies at the time-out.
const REPLY_MARGIN: Duration = Duration::from_millis(150);

/// Retry delay suggested to a refused caller, after which a gateway may be reachable.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// VM that runs the tasks of an open transaction.
#[derive(Debug)]
pub enum Executor {
    /// This VM.
    Local(Worker),
    /// Another VM, which is a gateway.
    Remote(ChannelLease),
}

/// Runs a task of a session without an open transaction. Returns the reply and the VM that runs the
/// following tasks if the task opened a transaction.
pub async fn start(node: &Rc<Node>, task: Task) -> (Reply, Option<Executor>) {
    if node.state.borrow().gateway {
        let mut worker = Worker::new(Rc::clone(node));
        let reply = worker.run(&task).await;
        return (reply, Some(Executor::Local(worker)));
    }
    let deadline = deadline(&task);
    let mut gateways = node.gateways.ranked(node, &task.workspace);
    gateways.truncate(MAX_TRIED);
    for gateway in gateways.iter().filter(|gateway| gateway.accepts_tasks()) {
        if let Some((reply, lease)) = try_gateway(&task, gateway, false, deadline).await {
            return (reply, lease.map(Executor::Remote));
        }
        if Instant::now() >= deadline {
            return (task.lost_reply(), None);
        }
        log::info!(
            "event=task_moved id={} from={} kind=forward",
            task.id,
            gateway.vm()
        );
        metrics().count_retry("forward");
    }
    // No gateway took the task: force it on the best-ranked one that has recently declined tasks.
    if let Some(gateway) = gateways.iter().find(|gateway| !gateway.accepts_tasks())
        && let Some((reply, lease)) = try_gateway(&task, gateway, true, deadline).await
    {
        return (reply, lease.map(Executor::Remote));
    }
    (no_gateway_reply(node, &task), None)
}

/// Runs a task at a gateway; `None` if it may be retried on another gateway, because it didn't run
/// or writes nothing.
async fn try_gateway(
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
            gateway.record_health(Health::failed);
            return None;
        }
    };
    match run_on(&mut lease, task, insist, deadline).await {
        Ok(Some(reply)) => Some((reply, Some(lease))),
        Ok(None) => None,
        Err(error) => {
            log_gateway_loss(task, gateway, &error);
            (!task.is_repeatable()).then(|| (task.lost_reply(), None))
        }
    }
}

/// Sends a task on a connection to a gateway; `None` if the gateway declined it.
async fn run_on(
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
    gateway.record_health(Health::sent);
    lease.set_reusable(false);
    let running = lease.channel().ask(&request, deadline);
    // A write that was sent may have run and its reply may still arrive, so it isn't retried.
    let may_retry = task.is_repeatable();
    let answer = tokio::select! {
        answer = running => answer,
        () = gateway.wait_until_unreachable(), if may_retry => Err(ChannelError::TimedOut),
    };
    match answer {
        Ok(response) => {
            gateway.record_health(Health::answered);
            let PeerResponse::Done(reply) = response else {
                lease.set_reusable(true);
                gateway.record_decline();
                return Ok(None);
            };
            lease.set_reusable(reply.answer.state == SessionState::Idle);
            Ok(Some(*reply))
        }
        Err(error) => {
            gateway.record_health(Health::unanswered);
            Err(error)
        }
    }
}

impl Executor {
    /// Runs a task of the open transaction.
    pub async fn run(&mut self, task: &Task) -> Reply {
        match self {
            Self::Local(worker) => worker.run(task).await,
            Self::Remote(lease) => match run_on(lease, task, true, deadline(task)).await {
                Ok(Some(reply)) => reply,
                Ok(None) => task.lost_reply(),
                Err(error) => {
                    log_gateway_loss(task, lease.gateway(), &error);
                    task.lost_reply()
                }
            },
        }
    }
}

fn deadline(task: &Task) -> Instant {
    Instant::now() + task.route.statement_timeout + REPLY_MARGIN
}

fn log_gateway_loss(task: &Task, gateway: &Gateway, error: &ChannelError) {
    log::warn!(
        "event=gateway_lost id={} vm={} error=\"{error}\"",
        task.id,
        gateway.vm()
    );
}

fn no_gateway_reply(node: &Node, task: &Task) -> Reply {
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
