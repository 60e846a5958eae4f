//! Selects the VM that runs the tasks of a session, and retries on another one when it fails.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::channel::{ChannelError, PeerRequest, PeerResponse};
use super::gateway::{Gateway, PooledChannel};
use super::health::Health;
use super::node::Node;
use super::statement::{Failure, FailureKind, Outcome, SessionState};
use super::task::{Action, Reply, Task};
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

/// Outcome of handing a task to a gateway.
enum Attempt {
    /// The reply for the caller, with the connection to the gateway if it is still open.
    Replied(Box<(Reply, Option<PooledChannel>)>),
    /// The task didn't run.
    NotRun,
    /// The task writes nothing and may have run; its reply is lost.
    Lost,
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
    let mut is_lost = false;
    for gateway in gateways.iter().filter(|gateway| gateway.accepts_tasks()) {
        match try_gateway(node, &task, gateway, false, deadline).await {
            Attempt::Replied(reply) => return replied(&task, *reply, is_lost),
            Attempt::NotRun => {}
            Attempt::Lost => is_lost = true,
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
    if let Some(gateway) = gateways.iter().find(|gateway| !gateway.accepts_tasks()) {
        match try_gateway(node, &task, gateway, true, deadline).await {
            Attempt::Replied(reply) => return replied(&task, *reply, is_lost),
            Attempt::NotRun => {}
            Attempt::Lost => is_lost = true,
        }
    }
    if is_lost {
        return (task.lost_reply(), None);
    }
    (no_gateway_reply(node, &task), None)
}

/// Returns the reply of a gateway. After an attempt whose reply was lost, the task can't be reported
/// as not run any more.
fn replied(
    task: &Task,
    (reply, pooled): (Reply, Option<PooledChannel>),
    is_lost: bool,
) -> (Reply, Option<Executor>) {
    let is_refused = matches!(
        &reply.response.outcome,
        Outcome::Failed(failure) if failure.not_run()
    );
    if is_lost && is_refused {
        return (task.lost_reply(), None);
    }
    (reply, pooled.map(Executor::Remote))
}

/// Runs a task at a gateway.
async fn try_gateway(
    node: &Node,
    task: &Task,
    gateway: &Rc<Gateway>,
    force: bool,
    deadline: Instant,
) -> Attempt {
    let mut pooled = match gateway.take().await {
        Ok(pooled) => pooled,
        Err(error) => {
            log::info!(
                "event=gateway_unreached id={} vm={} error=\"{error}\"",
                task.id,
                gateway.vm()
            );
            gateway.record_health(Health::on_failed);
            return Attempt::NotRun;
        }
    };
    match run_on(&mut pooled, task, force, deadline).await {
        Ok(Some(finished)) => {
            node.gateways
                .record_primary_zone(&task.route.database, finished.primary_zone);
            Attempt::Replied(Box::new((finished.reply, Some(pooled))))
        }
        Ok(None) => Attempt::NotRun,
        Err(error) => {
            log_gateway_loss(task, gateway, &error);
            match &task.action {
                Action::Admit => Attempt::NotRun,
                _ if task.is_repeatable() => Attempt::Lost,
                _ => Attempt::Replied(Box::new((task.lost_reply(), None))),
            }
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
    Instant::now() + task.time_limit() + REPLY_MARGIN
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
