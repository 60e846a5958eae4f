//! Selects the VM that runs the tasks of a session, and retries on another one when it fails.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::channel::{ChannelError, PeerRequest, PeerResponse};
use super::clock;
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

/// Result of an attempt to run a task at a gateway.
#[derive(Debug)]
enum Attempt {
    /// The gateway replied.
    Replied(Box<Reply>, PooledChannel),
    /// The gateway declined the task: it didn't run.
    Declined,
    /// The gateway can't be reached: nothing was sent.
    Unreached,
    /// The reply was lost: the task may have run.
    Lost,
}

/// Runs a task of a session without an open transaction. Returns the reply and the VM that runs the
/// following tasks if the task opened a transaction.
pub async fn start(node: &Rc<Node>, mut task: Task) -> (Reply, Option<Executor>) {
    if node.state.borrow().gateway {
        let mut worker = Worker::new(Rc::clone(node));
        let reply = worker.run(&task).await;
        return (reply, Some(Executor::Local(worker)));
    }
    let deadline = deadline(&task);
    node.record_first_attempt(&task.route.database);
    let mut gateways = node.gateways.ranked(node, &task);
    gateways.truncate(MAX_TRIED);
    let mut may_have_run = false;
    let mut force = false;
    while let Some(gateway) = next_gateway(&mut gateways, &mut force) {
        match try_gateway(node, &task, &gateway, force, deadline).await {
            Attempt::Replied(reply, pooled) => {
                let mut delays = node.retry_delays.borrow_mut();
                delays.on_gateway_reached(clock::now());
                let is_refused = may_have_run && reply.is_not_run();
                let reply = if is_refused {
                    task.lost_reply()
                } else {
                    *reply
                };
                return (reply, Some(Executor::Remote(pooled)));
            }
            Attempt::Declined => gateways.push(Rc::clone(&gateway)),
            Attempt::Unreached => {}
            Attempt::Lost if task.is_repeatable() => may_have_run |= task.runs_statement(),
            Attempt::Lost => return (task.lost_reply(), None),
        }
        if force || gateways.is_empty() || !may_move(node, &mut task, &gateway, deadline) {
            break;
        }
    }
    if may_have_run || Instant::now() >= deadline {
        return (task.lost_reply(), None);
    }
    (no_gateway_reply(node, &task), None)
}

/// Removes the gateway to try next: the first one that accepts tasks. Without one, the task is
/// forced on the first that has declined tasks recently, and no other is tried after it.
fn next_gateway(gateways: &mut Vec<Rc<Gateway>>, force: &mut bool) -> Option<Rc<Gateway>> {
    let accepting = gateways.iter().position(|gateway| gateway.accepts_tasks());
    *force = accepting.is_none();
    let place = accepting.unwrap_or_default();
    (!gateways.is_empty()).then(|| gateways.remove(place))
}

/// Takes a retry for a task that is moved to another gateway; returns whether there was one.
fn may_move(node: &Node, task: &mut Task, from: &Gateway, deadline: Instant) -> bool {
    task.attempts = task.attempts.saturating_add(1);
    let database = &task.route.database;
    if Instant::now() >= deadline || !node.take_retry(&task.id, database, task.attempts, "forward")
    {
        return false;
    }
    metrics().count_retry("forward");
    log::info!(
        "event=task_moved id={} from={} kind=forward attempts={}",
        task.id,
        from.vm(),
        task.attempts
    );
    true
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
            return Attempt::Unreached;
        }
    };
    match run_on(&mut pooled, task, force, deadline).await {
        Ok(Some(finished)) => {
            node.gateways
                .record_primary_zone(&task.route.database, finished.primary_zone);
            Attempt::Replied(Box::new(finished.reply), pooled)
        }
        Ok(None) => Attempt::Declined,
        Err(error) => {
            log_gateway_loss(task, gateway, &error);
            Attempt::Lost
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
    let delay = node.retry_delays.borrow_mut().no_gateway(clock::now());
    let retry_ms = delay.as_millis();
    metrics().count_entry_refusal(&task.route.name, "no gateway");
    log::info!(
        "event=request_refused id={} route={} workspace={} reason=\"no gateway can be reached\" \
         vm={} attempts={} retry_ms={retry_ms}",
        task.id,
        task.route.name,
        task.workspace,
        node.settings.vm,
        task.attempts
    );
    let text = format!("not run: no VM with connections can be reached; retry in {retry_ms} ms");
    Reply::failed(Failure::local(FailureKind::Busy, text), task.failed_state())
}
