//! Admission of an exchange: the caller's rights, the home's lease, and the workspace's tokens.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::Shared;
use super::database::Home;
use crate::configuration::{KeyState, RoutePolicy};
use crate::control::Event;
use crate::control::allowance::{Admission, Allowance};
use crate::control::event::TrafficEvent;
use crate::control::snapshot::{Snapshot, Standing};
use crate::name::WorkspaceName;
use crate::time::Timestamp;
use crate::traffic::{ExchangeHead, Refusal, RefusalReason};

/// Tokens that one exchange costs.
const EXCHANGE_TOKENS: f64 = 1.0;

/// Time for which a request waits for tokens that other homes may give.
const TOKEN_WAIT: Duration = Duration::from_millis(50);

/// Longest time for which a request waits for tokens that come by the home's own rate.
const PACED_WAIT: Duration = Duration::from_millis(250);

/// Shortest pause before the bucket is looked at again.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// Exchange that may run.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) home: Arc<Home>,
    pub(super) policy: RoutePolicy,
    /// Weight of the workspace in fair queueing.
    pub(super) weight: u32,
}

/// Checks an exchange against the snapshot and takes its tokens.
///
/// # Errors
///
/// Fails with what the caller is told; nothing has run then.
pub(super) async fn admit(shared: &Shared, head: &ExchangeHead) -> Result<Admitted, Refusal> {
    let (home, policy) = {
        let snapshot = shared.snapshot.load();
        let policy = check(&snapshot, head)?;
        let homes = shared.homes.load();
        let home = homes.get(&head.database).cloned();
        (home.ok_or_else(home_unknown)?, policy)
    };
    if !home.is_leased() {
        return Err(home_unknown());
    }
    let share = home.share(&head.workspace);
    let share = share.ok_or_else(|| no_share(&home, head))?;
    take_tokens(&home, head).await?;
    Ok(Admitted {
        home,
        policy,
        weight: share.weight,
    })
}

pub(super) fn home_unknown() -> Refusal {
    Refusal::retry(RefusalReason::HomeUnknown, Duration::from_millis(100))
}

fn check(snapshot: &Snapshot, head: &ExchangeHead) -> Result<RoutePolicy, Refusal> {
    match snapshot.standing {
        Standing::Serving => {}
        Standing::Isolated => return Err(Refusal::last(RefusalReason::Isolated)),
        // The caller's VM looks the home up again, and finds the next one.
        Standing::Starting | Standing::Draining => return Err(home_unknown()),
    }
    let configuration = &snapshot.configuration;
    let policy = configuration.route_policy(head.route.as_ref());
    let Some(workspace) = configuration.workspaces.get(&head.workspace) else {
        return Err(Refusal::last(RefusalReason::KeyWithdrawn));
    };
    let is_key = |key: &&crate::configuration::Key| key.id == head.key;
    let key = workspace.keys.iter().find(is_key);
    if key.is_none_or(|key| key.state != KeyState::Active) {
        return Err(Refusal::last(RefusalReason::KeyWithdrawn));
    }
    if !configuration.databases.contains_key(&head.database) {
        return Err(Refusal::last(RefusalReason::DatabaseUnknown));
    }
    if !policy.open_to_all && !workspace.databases.contains(&head.database) {
        return Err(Refusal::last(RefusalReason::DatabaseNotAllowed));
    }
    Ok(policy)
}

/// Takes the tokens of an exchange; asks the other homes for some before it refuses.
async fn take_tokens(home: &Home, head: &ExchangeHead) -> Result<(), Refusal> {
    let mut changes = home.changes();
    let patience = Duration::from_millis(head.budget_ms / 2);
    let until = Instant::now() + TOKEN_WAIT.min(patience);
    let paced_until = Instant::now() + PACED_WAIT.min(patience);
    let mut admission = decide(home, head, Allowance::admit)?;
    let _waiting = match admission {
        Admission::Asked => Some(Waiting {
            home,
            workspace: &head.workspace,
        }),
        _ => None,
    };
    loop {
        match admission {
            Admission::Granted => return Ok(()),
            // Tokens that come so soon show that the workspace is within its rate.
            Admission::Refused { retry_after } if Instant::now() + retry_after <= paced_until => {
                sleep(retry_after.max(MIN_PAUSE)).await;
                admission = decide(home, head, Allowance::look_again)?;
                continue;
            }
            Admission::Refused { retry_after } => return Err(over_rate(retry_after)),
            Admission::Asked => {}
        }
        let is_late = timeout_at(until, changes.changed()).await.is_err();
        admission = decide(home, head, Allowance::try_again)?;
        if is_late && admission == Admission::Asked {
            let booked = |allowance: &mut Allowance, now| allowance.book(EXCHANGE_TOKENS, now);
            let retry_after = home.with_allowance(&head.workspace, booked);
            return Err(over_rate(retry_after.unwrap_or(home.retry_after())));
        }
    }
}

/// Request that waits for tokens of other homes; no longer counted when dropped.
struct Waiting<'a> {
    home: &'a Home,
    workspace: &'a WorkspaceName,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.home.with_allowance(self.workspace, |allowance, _now| {
            allowance.stop_waiting(EXCHANGE_TOKENS);
        });
    }
}

/// Returns why a workspace has no share at this home: it may not use the database, or the home is
/// too new to have its shares.
fn no_share(home: &Home, head: &ExchangeHead) -> Refusal {
    let snapshot = home.snapshot.load();
    let workspace = snapshot.configuration.workspaces.get(&head.workspace);
    if workspace.is_some_and(|workspace| workspace.databases.contains(&head.database)) {
        return home_unknown();
    }
    Refusal::last(RefusalReason::DatabaseNotAllowed)
}

fn over_rate(retry_after: Duration) -> Refusal {
    Refusal::retry(RefusalReason::RateExceeded, retry_after)
}

/// Decides on a request, and asks the other homes when tokens run short.
fn decide(
    home: &Home,
    head: &ExchangeHead,
    decide: impl FnOnce(&mut Allowance, f64, Timestamp) -> Admission,
) -> Result<Admission, Refusal> {
    let decided = home.with_allowance(&head.workspace, |allowance, now| {
        let admission = decide(allowance, EXCHANGE_TOKENS, now);
        (admission, allowance.wanted(now))
    });
    let (admission, wanted) = decided.ok_or_else(|| no_share(home, head))?;
    if let Some(tokens) = wanted {
        home.events.post(Event::Traffic(TrafficEvent::TokensWanted {
            database: home.database().clone(),
            workspace: head.workspace.clone(),
            tokens,
        }));
    }
    Ok(admission)
}
