//! Refusals of statements that haven't run: reason, retry delay, metrics and log line.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::clock;
use super::execution::StatementContext;
use super::node::Node;
use super::retry_delay::Drain;
use super::statement::{Failure, FailureKind};
use crate::telemetry::metrics::metrics;

/// Why a statement is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
pub enum Cause {
    /// No slot of the instance is expected in time.
    #[strum(serialize = "the instance has no capacity")]
    Slots(Drain),
    /// Every instance that may run the statement has been tried.
    #[strum(serialize = "no instance has capacity")]
    AllTried,
    /// All connections are in use.
    #[strum(serialize = "no connection to an instance is free")]
    Connections,
    /// The primary is being replaced.
    #[strum(serialize = "the primary is being replaced")]
    Replacement,
    /// The primary is in an evacuated zone, and the time in which it still ran statements is over.
    #[strum(serialize = "the primary's zone is evacuated")]
    Evacuated,
    /// No instance has reached the required position.
    #[strum(serialize = "no instance has reached the required position")]
    Lagging {
        /// Expected time until the first one has.
        after: Duration,
    },
    /// The rate of statements that the cold instance takes is used up.
    #[strum(serialize = "the instance is cold and takes few statements")]
    ColdInstance {
        /// Time after which it takes another one.
        after: Duration,
    },
    /// The primary needs a replica to acknowledge a save, and has none.
    #[strum(serialize = "the primary has no replica that could confirm the save")]
    NoReplica,
    /// The records that this VM has read may be outdated.
    #[strum(serialize = "this VM can't tell which instance is the primary")]
    NoValidityLease,
    /// An instance rejected the statement and it may not be sent again.
    #[strum(serialize = "the instance rejected it and no retry is left")]
    RetriesUsedUp,
}

/// Builds the failure for a refused statement that hasn't run, and logs the refusal.
pub fn refuse(node: &Node, context: &StatementContext<'_>, cause: Cause) -> Failure {
    let retry_ms = delay(node, context, cause).as_millis();
    let reason: &'static str = cause.into();
    metrics().count_entry_refusal(&context.route.name, reason);
    log::info!(
        "event=request_refused id={} route={} workspace={} reason=\"{reason}\" vm={} priority={} \
         attempts={} retry_ms={retry_ms}",
        context.id,
        context.route.name,
        context.workspace,
        node.settings.vm,
        context.route.priority,
        context.attempts
    );
    Failure::local(
        FailureKind::Busy,
        format!("not run: {reason}; retry in {retry_ms} ms"),
    )
}

fn delay(node: &Node, context: &StatementContext<'_>, cause: Cause) -> Duration {
    let now = clock::now();
    let database = &context.route.database;
    let shortest = || shortest_drain(node, context);
    let mut delays = node.retry_delays.borrow_mut();
    match cause {
        Cause::Slots(drain) => delays.drain(database, drain, now),
        Cause::AllTried | Cause::Connections | Cause::RetriesUsedUp => {
            delays.drain(database, shortest(), now)
        }
        Cause::Replacement | Cause::Evacuated => delays.replacement(database, now),
        Cause::Lagging { after } | Cause::ColdInstance { after } => after,
        Cause::NoReplica => delays.no_replica(now),
        Cause::NoValidityLease => delays.no_lease(node.settings.gateway_renewal, now),
    }
}

/// Returns the drain of the instance of the database that is expected to have room first.
fn shortest_drain(node: &Node, context: &StatementContext<'_>) -> Drain {
    let state = node.state.borrow();
    let instances = state.directory.in_database(&context.route.database);
    let drains = instances.map(|instance| node.pool(instance).slots().drain());
    let shortest = drains.min_by_key(|drain| drain.expected);
    shortest.unwrap_or(Drain {
        expected: Duration::ZERO,
        interval: Duration::ZERO,
    })
}
