//! Runs one statement on a fitting instance.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::catalog::Route;
use super::clock;
use super::health::{Health, Verdict};
use super::instance::{Instance, InstanceState};
use super::link::{LinkError, Setup};
use super::node::Node;
use super::placement::{Candidate, choose};
use super::pool::Lease;
use super::position::Position;
use super::state::State;
use super::statement::{Access, Answer, Failure, FailureKind, InstanceCommand, Outcome};
use crate::name::{InstanceName, WorkspaceName};
use crate::telemetry::metrics::{Step, metrics};
use crate::time::Timestamp;

/// Pause before a statement is offered again to an instance that had no capacity.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// Longest pause between two looks at a primary that is being replaced.
const MOVE_POLL: Duration = Duration::from_millis(25);

/// Time after which a refused caller may find capacity.
const RETRY_AFTER_BUSY: Duration = Duration::from_millis(100);

/// Part of a statement's time-out for which it waits for an instance that takes it: less than half,
/// so that a caller who is refused has time to try another VM.
const PATIENCE_PART: f64 = 0.2;

/// What a statement needs, apart from its text.
#[derive(Debug)]
pub struct Need<'a> {
    /// Request, for the log.
    pub id: &'a Arc<str>,
    /// Route that it runs on.
    pub route: &'a Arc<Route>,
    /// Workspace that it runs for.
    pub workspace: &'a WorkspaceName,
    /// Whether it writes, or may write later in its transaction.
    pub access: Access,
    /// Whether it starts a transaction, whose statements may read.
    pub starts_transaction: bool,
    /// Position of the session's last save.
    pub mark: Option<Position>,
    /// What it needs on its connection.
    pub setup: Setup<'a>,
    /// When its time-out ends.
    pub deadline: Instant,
}

/// Instance chosen for a statement.
#[derive(Debug, Clone)]
struct Target {
    instance: Rc<Instance>,
    after: Option<Position>,
    is_primary: bool,
}

/// Why no instance could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Missing {
    /// The primary is being replaced or not known.
    Primary,
    /// The records can't be relied on.
    Guard,
    /// Every instance that fits has been tried.
    Untried,
}

/// Answer of an instance, with the connection it came on.
#[derive(Debug)]
pub struct Ran {
    /// The answer.
    pub answer: Answer,
    /// The connection.
    pub lease: Lease,
}

/// Runs a command on an instance that fits the need, on another where the first didn't run it.
///
/// # Errors
///
/// Fails with what the caller is told. The kind tells whether the command may have run.
pub async fn run(
    node: &Rc<Node>,
    need: &Need<'_>,
    command: &InstanceCommand,
) -> Result<Ran, Failure> {
    let mut tried = Vec::new();
    let patience = need.route.statement_timeout.mul_f64(PATIENCE_PART);
    let give_up = need
        .deadline
        .min(Instant::now() + patience.min(node.settings.move_patience));
    let started_at = clock::now();
    loop {
        let (target, mut lease) = obtain(node, need, &mut tried, give_up).await?;
        let sent_at = clock::now();
        let route = &need.route.name;
        metrics().record_step(route, Step::Connect, sent_at.since(started_at));
        let pool = Rc::clone(lease.pool());
        pool.started();
        let running = lease
            .link()
            .run(&need.setup, command, target.after, need.deadline);
        let repeatable = need.access == Access::Read || need.starts_transaction;
        let ran = tokio::select! {
            ran = running => ran,
            () = pool.lost(), if repeatable => Err(LinkError::TimedOut),
        };
        let answer = match ran {
            Ok(answer) => answer,
            Err(error) => {
                pool.unanswered();
                lease.close();
                note_unanswered(node, need, &target, &error);
                if repeatable && Instant::now() < give_up {
                    tried.push(target.instance.name.clone());
                    continue;
                }
                return Err(lost(need, command, &error));
            }
        };
        note_answer(node, need, &target, &answer, sent_at);
        let taken = clock::now().since(sent_at);
        pool.answered(taken, answer.position);
        metrics().record_step(route, Step::Run, taken);
        let Outcome::Failed(failure) = &answer.outcome else {
            return Ok(Ran { answer, lease });
        };
        let again = may_run_again(need, failure, tried.len());
        if !again || Instant::now() >= give_up {
            return Ok(Ran { answer, lease });
        }
        react(need, &target, failure.kind, &mut lease, &mut tried).await;
    }
}

/// Prepares for the next attempt after a failure that allows one.
async fn react(
    need: &Need<'_>,
    target: &Target,
    kind: FailureKind,
    lease: &mut Lease,
    tried: &mut Vec<InstanceName>,
) {
    metrics().count_move(kind.into());
    log::info!(
        "event=statement_moved id={} from={} reason={kind}",
        need.id,
        target.instance.name
    );
    match kind {
        FailureKind::NoSuchStatement => lease.link().forget_prepared(),
        FailureKind::ReadOnly => {
            lease.pool().note_health(|health, _| health.deposed());
            sleep(MOVE_POLL).await;
        }
        FailureKind::Busy if target.is_primary => sleep(BUSY_PAUSE).await,
        _ => tried.push(target.instance.name.clone()),
    }
}

/// Returns whether the same command may be run once more after a failure.
fn may_run_again(need: &Need<'_>, failure: &Failure, earlier: usize) -> bool {
    let failed_read = need.access == Access::Read && failure.kind == FailureKind::Failed;
    failure.not_run() || (failed_read && earlier == 0)
}

/// Takes a connection to an instance that fits, ready for the command, and checks again that it
/// fits.
async fn obtain(
    node: &Rc<Node>,
    need: &Need<'_>,
    tried: &mut Vec<InstanceName>,
    give_up: Instant,
) -> Result<(Target, Lease), Failure> {
    loop {
        let chosen = target(&node.state.borrow(), node, need, tried);
        let target = match chosen {
            Ok(target) => target,
            Err(missing) => {
                wait(node, need, missing, tried, give_up).await?;
                continue;
            }
        };
        let pool = node.pool(&target.instance);
        let open_within = node.settings.connect_timeout;
        let taken = pool.take(need.workspace, open_within, give_up).await;
        match taken {
            Ok(lease) if still_fits(node, need, &target) => return Ok((target, lease)),
            Ok(_) => {}
            Err(error) => {
                note_unopened(node, need, &target, &error);
                if Instant::now() >= give_up {
                    return Err(refusal(node, need, "no connection to an instance is free"));
                }
                tried.push(target.instance.name.clone());
            }
        }
    }
}

/// Waits until an instance may fit, or refuses the statement.
async fn wait(
    node: &Rc<Node>,
    need: &Need<'_>,
    missing: Missing,
    tried: &mut Vec<InstanceName>,
    give_up: Instant,
) -> Result<(), Failure> {
    let reason = match missing {
        Missing::Guard => "this VM can't tell which instance is the primary",
        Missing::Primary => "the primary is being replaced",
        Missing::Untried => "no instance has capacity",
    };
    if missing == Missing::Guard || Instant::now() + MOVE_POLL >= give_up {
        return Err(refusal(node, need, reason));
    }
    let pause = sleep_until(Instant::now() + MOVE_POLL);
    tokio::select! {
        () = pause => {}
        () = node.changed.notified() => {}
    }
    tried.clear();
    Ok(())
}

fn target(
    state: &State,
    node: &Node,
    need: &Need<'_>,
    tried: &[InstanceName],
) -> Result<Target, Missing> {
    let now = clock::now();
    let guarded = state.guarded(now);
    let staleness = need.route.consistency.staleness();
    let known = state.databases.get(&need.route.database);
    let bound = known
        .zip(staleness)
        .and_then(|(known, staleness)| known.freshness.bound(now, staleness));
    let position = bound.map(|bound| need.mark.map_or(bound, |mark| mark.max(bound)));
    if need.access == Access::Read && staleness.is_some() {
        return read_target(state, node, need, position, guarded, tried);
    }
    let instance = primary(state, need).ok_or(Missing::Primary)?;
    let after = if guarded || is_safe_alone(state, need) {
        None
    } else {
        Some(position.ok_or(Missing::Guard)?)
    };
    if tried.contains(&instance.name) {
        return Err(Missing::Untried);
    }
    Ok(Target {
        instance: Rc::clone(instance),
        after,
        is_primary: true,
    })
}

/// Returns the primary, as far as it takes statements of this kind.
fn primary<'a>(state: &'a State, need: &Need<'_>) -> Option<&'a Rc<Instance>> {
    match need.access {
        Access::Read => state.readable_primary(&need.route.database),
        Access::Write => state.primary(&need.route.database),
    }
}

/// Returns whether a statement can do no harm on an instance that was replaced as the primary: it
/// reads nothing, and its save is acknowledged only if a replica still follows.
fn is_safe_alone(state: &State, need: &Need<'_>) -> bool {
    need.access == Access::Write && !need.starts_transaction && is_synchronous(state, need)
}

fn is_synchronous(state: &State, need: &Need<'_>) -> bool {
    let catalog = state.catalog.as_ref();
    let database = catalog.and_then(|catalog| catalog.databases.get(&need.route.database));
    database.is_some_and(|database| database.synchronous_replicas > 0)
}

fn read_target(
    state: &State,
    node: &Node,
    need: &Need<'_>,
    position: Option<Position>,
    guarded: bool,
    tried: &[InstanceName],
) -> Result<Target, Missing> {
    let primary = state.primary(&need.route.database);
    let is_primary =
        |instance: &Rc<Instance>| primary.is_some_and(|primary| primary.name == instance.name);
    let usable = |instance: &&Rc<Instance>| {
        let provable = position.is_some() || (is_primary(instance) && guarded);
        let serving = instance.state == InstanceState::Serving || is_primary(instance);
        let reachable = node.pool_verdict(&instance.name) != Verdict::Unreachable;
        provable && serving && reachable && !tried.contains(&instance.name)
    };
    let instances: Vec<_> = state
        .directory
        .of(&need.route.database)
        .filter(usable)
        .collect();
    let candidates: Vec<_> = instances
        .iter()
        .map(|instance| candidate(node, need, instance, is_primary(instance)))
        .collect();
    let Some(index) = choose(position, &candidates) else {
        return Err(match (tried.is_empty(), position) {
            (true, None) if !guarded => Missing::Guard,
            (true, _) => Missing::Primary,
            (false, _) => Missing::Untried,
        });
    };
    let is_primary = candidates[index].is_primary;
    Ok(Target {
        instance: Rc::clone(instances[index]),
        after: if is_primary && guarded {
            None
        } else {
            position
        },
        is_primary,
    })
}

fn candidate(node: &Node, need: &Need<'_>, instance: &Rc<Instance>, is_primary: bool) -> Candidate {
    let pool = node.pool(instance);
    Candidate {
        is_primary,
        is_near: instance.availability_zone == node.settings.availability_zone,
        in_flight: pool.in_flight(),
        connection: pool.availability(need.workspace),
        latency: pool.latency(),
        position: pool.position(),
    }
}

/// Returns whether a target that was chosen before a wait may still be used.
fn still_fits(node: &Node, need: &Need<'_>, target: &Target) -> bool {
    let state = node.state.borrow();
    let guarded = state.guarded(clock::now());
    if !target.is_primary {
        return true;
    }
    let same = primary(&state, need).is_some_and(|primary| primary.name == target.instance.name);
    same && (guarded || target.after.is_some() || is_safe_alone(&state, need))
}

fn note_unopened(node: &Node, need: &Need<'_>, target: &Target, error: &LinkError) {
    log::debug!(
        "event=connection_failed id={} instance={} error=\"{error}\"",
        need.id,
        target.instance.name
    );
    if !matches!(error, LinkError::Rejected { .. } | LinkError::NoRoom) {
        node.pool(&target.instance).note_health(Health::failed);
    }
}

fn note_unanswered(node: &Node, need: &Need<'_>, target: &Target, error: &LinkError) {
    log::warn!(
        "event=answer_missing id={} instance={} access={} error=\"{error}\"",
        need.id,
        target.instance.name,
        need.access
    );
    let save = need.access == Access::Write && !need.starts_transaction;
    if target.is_primary && save && matches!(error, LinkError::TimedOut) {
        node.pool(&target.instance)
            .note_health(|health, _| health.saved(false));
    }
}

fn note_answer(node: &Node, need: &Need<'_>, target: &Target, answer: &Answer, sent_at: Timestamp) {
    if !target.is_primary {
        return;
    }
    let mut state = node.state.borrow_mut();
    let proved = state.guarded(sent_at);
    let known = state.database(&target.instance.database);
    let done = matches!(answer.outcome, Outcome::Done(_));
    if need.access == Access::Write && !need.starts_transaction && done {
        node.pool(&target.instance)
            .note_health(|health, _| health.saved(true));
    }
    if let Some(position) = answer.position.filter(|_| proved && done) {
        known.freshness.note(position, sent_at);
    }
}

/// Builds a refusal of a statement that has not run.
pub fn refusal(node: &Node, need: &Need<'_>, reason: &str) -> Failure {
    metrics().count_entry_refusal(&need.route.name, reason);
    log::info!(
        "event=request_refused id={} route={} workspace={} reason=\"{reason}\" vm={}",
        need.id,
        need.route.name,
        need.workspace,
        node.settings.vm
    );
    let retry_ms = RETRY_AFTER_BUSY.as_millis();
    Failure::own(
        FailureKind::Busy,
        format!("not run: {reason}; retry in {retry_ms} ms"),
    )
}

/// Tells the caller that an answer is missing: nothing is kept of a read or of a transaction's
/// start, a single save may be.
fn lost(need: &Need<'_>, command: &InstanceCommand, error: &LinkError) -> Failure {
    if matches!(command, InstanceCommand::Begin { .. }) {
        return Failure::own(
            FailureKind::Aborted,
            "not kept: the transaction did not start",
        );
    }
    match (need.access, error) {
        (Access::Read, LinkError::TimedOut) => {
            Failure::own(FailureKind::TimedOut, "the instance did not answer in time")
        }
        (Access::Read, _) => Failure::own(FailureKind::Failed, "the instance broke off"),
        (Access::Write, _) => Failure::own(
            FailureKind::Unknown,
            "the instance did not answer; the save may have been kept",
        ),
    }
}
