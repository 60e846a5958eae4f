//! Admission control for an exchange: checks the caller's permissions and the home's lease, and
//! takes tokens from the workspace's rate limit.

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

/// Longest time for which a request waits for tokens transferred from other homes.
const MAX_TRANSFER_WAIT: Duration = Duration::from_millis(50);

/// Longest time for which a request waits for the home's own bucket to refill.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(250);

/// Shortest delay before the bucket is checked again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Exchange that was admitted.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) home: Arc<Home>,
    pub(super) policy: RoutePolicy,
    /// Weight of the workspace in fair queueing.
    pub(super) weight: u32,
}

/// Checks an exchange against the snapshot and takes its tokens from the rate limit.
///
/// # Errors
///
/// Returns the refusal to send to the caller; no part of the exchange has run in that case.
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
    Refusal::with_retry(RefusalReason::HomeUnknown, Duration::from_millis(100))
}

fn check(snapshot: &Snapshot, head: &ExchangeHead) -> Result<RoutePolicy, Refusal> {
    match snapshot.standing {
        Standing::Serving => {}
        Standing::Isolated => return Err(Refusal::without_retry(RefusalReason::Isolated)),
        // The caller's VM looks up the home again and retries at the new one.
        Standing::Starting | Standing::Draining => return Err(home_unknown()),
    }
    let configuration = &snapshot.configuration;
    let policy = configuration.route_policy(head.route.as_ref());
    let Some(workspace) = configuration.workspaces.get(&head.workspace) else {
        return Err(Refusal::without_retry(RefusalReason::KeyWithdrawn));
    };
    let is_key = |key: &&crate::configuration::Key| key.id == head.key;
    let key = workspace.keys.iter().find(is_key);
    if key.is_none_or(|key| key.state != KeyState::Active) {
        return Err(Refusal::without_retry(RefusalReason::KeyWithdrawn));
    }
    if !configuration.databases.contains_key(&head.database) {
        return Err(Refusal::without_retry(RefusalReason::DatabaseUnknown));
    }
    if !policy.open_to_all && !workspace.databases.contains(&head.database) {
        return Err(Refusal::without_retry(RefusalReason::DatabaseNotAllowed));
    }
    Ok(policy)
}

/// Takes the tokens of an exchange. When there are too few, requests a transfer from other homes
/// before the exchange is refused.
async fn take_tokens(home: &Home, head: &ExchangeHead) -> Result<(), Refusal> {
    let mut changes = home.changes();
    let wait_limit = Duration::from_millis(head.budget_ms / 2);
    let until = Instant::now() + MAX_TRANSFER_WAIT.min(wait_limit);
    let refill_until = Instant::now() + MAX_REFILL_WAIT.min(wait_limit);
    let mut admission = decide(home, head, Allowance::admit)?;
    let _waiting = match admission {
        Admission::AwaitingTransfer => Some(WaitingRequest {
            home,
            workspace: &head.workspace,
        }),
        _ => None,
    };
    loop {
        match admission {
            Admission::Granted => return Ok(()),
            // The bucket refills soon, so the workspace is still within its rate: wait for it.
            Admission::Refused { retry_after } if Instant::now() + retry_after <= refill_until => {
                sleep(retry_after.max(MIN_RETRY_DELAY)).await;
                admission = decide(home, head, Allowance::admit_after_refill)?;
                continue;
            }
            Admission::Refused { retry_after } => return Err(over_rate(retry_after)),
            Admission::AwaitingTransfer => {}
        }
        let is_late = timeout_at(until, changes.changed()).await.is_err();
        admission = decide(home, head, Allowance::admit_after_transfer)?;
        if is_late && admission == Admission::AwaitingTransfer {
            let reserve_retry =
                |allowance: &mut Allowance, now| allowance.reserve_retry(EXCHANGE_TOKENS, now);
            let retry_after = home.with_allowance(&head.workspace, reserve_retry);
            return Err(over_rate(retry_after.unwrap_or(home.retry_after())));
        }
    }
}

/// Request that is counted as waiting for tokens of other homes until this value is dropped.
struct WaitingRequest<'a> {
    home: &'a Home,
    workspace: &'a WorkspaceName,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.home.with_allowance(self.workspace, |allowance, _now| {
            allowance.stop_waiting(EXCHANGE_TOKENS);
        });
    }
}

/// Returns the refusal for a workspace without a share at this home: either it may not use the
/// database, or the home has started recently and has not received its shares yet.
fn no_share(home: &Home, head: &ExchangeHead) -> Refusal {
    let snapshot = home.snapshot.load();
    let workspace = snapshot.configuration.workspaces.get(&head.workspace);
    if workspace.is_some_and(|workspace| workspace.databases.contains(&head.database)) {
        return home_unknown();
    }
    Refusal::without_retry(RefusalReason::DatabaseNotAllowed)
}

fn over_rate(retry_after: Duration) -> Refusal {
    Refusal::with_retry(RefusalReason::RateExceeded, retry_after)
}

/// Applies one admission step to the allowance, and requests tokens from the other homes when there
/// are too few.
fn decide(
    home: &Home,
    head: &ExchangeHead,
    decide: impl FnOnce(&mut Allowance, f64, Timestamp) -> Admission,
) -> Result<Admission, Refusal> {
    let decided = home.with_allowance(&head.workspace, |allowance, now| {
        let admission = decide(allowance, EXCHANGE_TOKENS, now);
        (admission, allowance.tokens_to_request(now))
    });
    let (admission, requested) = decided.ok_or_else(|| no_share(home, head))?;
    if let Some(tokens) = requested {
        home.events
            .post(Event::Traffic(TrafficEvent::TokensRequested {
                database: home.database().clone(),
                workspace: head.workspace.clone(),
                tokens,
            }));
    }
    Ok(admission)
}
