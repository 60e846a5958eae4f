//! Selects the VM that runs the tasks of a session, and retries on another one when it fails.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::channel::{ChannelError, PeerRequest, PeerResponse};
use super::gateway::{Gateway, PooledChannel};
use super::health::Health;
use super::node::Node;
use super::statement::{Failure, FailureKind, SessionState};
use super::task::{Reply, Task};
use super::worker::Worker;
use crate::name::ZoneName;
use crate::telemetry::metrics::metrics;

/// Maximum number of gateways tried for one task: those of the availability zone and one more.
const MAX_TRIED: usize = 3;

/// Time beyond a statement's time limit after which a gateway's reply counts as lost. The gateway
/// itself replies when the limit is reached.
const REPLY_MARGIN: Duration = Duration::from_millis(150);

/// Retry delay suggested to a refused caller, after which a gateway may be reachable.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// VM that runs the tasks of an open transaction.
#[derive(Debug)]
pub enum Executor {
    /// This VM.
    Local(Worker),
    /// Another VM, which is a gateway.
    Remote(PooledChannel),
}

/// Outcome of a task that a gateway ran.
#[derive(Debug)]
struct Finished {
    reply: Reply,
    primary_zone: Option<ZoneName>,
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
    let mut gateways = node.gateways.ranked(node, &task);
    gateways.truncate(MAX_TRIED);
    for gateway in gateways.iter().filter(|gateway| gateway.accepts_tasks()) {
        if let Some((reply, pooled)) = try_gateway(node, &task, gateway, false, deadline).await {
            return (reply, pooled.map(Executor::Remote));
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
        && let Some((reply, pooled)) = try_gateway(node, &task, gateway, true, deadline).await
    {
        return (reply, pooled.map(Executor::Remote));
    }
    (no_gateway_reply(node, &task), None)
}

/// Runs a task at a gateway; `None` if it may be retried on another gateway, because it didn't run
/// or writes nothing.
async fn try_gateway(
    node: &Node,
    task: &Task,
    gateway: &Rc<Gateway>,
    force: bool,
    deadline: Instant,
) -> Option<(Reply, Option<PooledChannel>)> {
    let mut pooled = match gateway.take().await {
        Ok(pooled) => pooled,
        Err(error) => {
            log::info!(
                "event=gateway_unreached id={} vm={} error=\"{error}\"",
                task.id,
                gateway.vm()
            );
            gateway.record_health(Health::on_failed);
            return None;
        }
    };
    match run_on(&mut pooled, task, force, deadline).await {
        Ok(Some(finished)) => {
            node.gateways
                .record_primary_zone(&task.route.database, finished.primary_zone);
            Some((finished.reply, Some(pooled)))
        }
        Ok(None) => None,
        Err(error) => {
            log_gateway_loss(task, gateway, &error);
            (!task.is_repeatable()).then(|| (task.lost_reply(), None))
        }
    }
}

/// Sends a task on a connection to a gateway; `None` if the gateway declined it.
async fn run_on(
    pooled: &mut PooledChannel,
    task: &Task,
    force: bool,
    deadline: Instant,
) -> Result<Option<Finished>, ChannelError> {
    let gateway = Rc::clone(pooled.gateway());
    let request = PeerRequest::Run {
        task: Box::new(task.clone()),
        force,
    };
    gateway.record_health(Health::on_sent);
    pooled.set_reusable(false);
    let running = pooled.channel().call(&request, deadline);
    // A write that was sent may have run and its reply may still arrive, so it isn't retried.
    let may_retry = task.is_repeatable();
    let result = tokio::select! {
        result = running => result,
        () = gateway.wait_until_unreachable(), if may_retry => Err(ChannelError::TimedOut),
    };
    match result {
        Ok(response) => {
            gateway.record_health(Health::on_statement_response);
            let PeerResponse::Done {
                reply,
                primary_zone,
            } = response
            else {
                pooled.set_reusable(true);
                gateway.record_decline();
                return Ok(None);
            };
            pooled.set_reusable(reply.response.state == SessionState::Idle);
            Ok(Some(Finished {
                reply: *reply,
                primary_zone,
            }))
        }
        Err(error) => {
            gateway.record_health(Health::on_statement_failed);
            Err(error)
        }
    }
}

impl Executor {
    /// Runs a task of the open transaction.
    pub async fn run(&mut self, task: &Task) -> Reply {
        match self {
            Self::Local(worker) => worker.run(task).await,
            Self::Remote(pooled) => match run_on(pooled, task, true, deadline(task)).await {
                Ok(Some(finished)) => finished.reply,
                Ok(None) => task.lost_reply(),
                Err(error) => {
                    log_gateway_loss(task, pooled.gateway(), &error);
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
    Reply::failed(Failure::local(FailureKind::Busy, text), task.failed_state())
}
