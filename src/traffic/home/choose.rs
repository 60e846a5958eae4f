//! Selection of the instance that an exchange runs on.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::database::Home;
use crate::control::routing::{self, Candidate, Choice, ReadRequest, RoutingSettings};
use crate::control::session::SessionKey;
use crate::control::snapshot::{DatabaseView, InstanceView};
use crate::name::InstanceName;
use crate::position::Term;
use crate::traffic::instance::Instance;
use crate::traffic::{Access, ExchangeHead, Refusal, RefusalReason};

/// Longest wait for a usable instance, for example while the primary is being replaced.
const PRIMARY_WAIT: Duration = Duration::from_secs(1);

/// Instance that an exchange runs on.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) instance: Arc<Instance>,
    pub(super) is_primary: bool,
    /// Latest term known when the instance was selected.
    pub(super) term: Option<Term>,
    /// Whether other instances must confirm that this instance is still the primary before the
    /// response is sent.
    pub(super) must_confirm: bool,
}

/// Returns the key of the session mark that applies to an exchange.
pub(super) fn session_key(head: &ExchangeHead) -> SessionKey {
    SessionKey {
        workspace: head.workspace.clone(),
        session: head.session.clone(),
    }
}

/// Selects the instance for an exchange, waiting a limited time if none is usable yet.
///
/// # Errors
///
/// Returns the refusal to send to the caller when no instance became usable in time.
pub(super) async fn choose(
    home: &Home,
    head: &ExchangeHead,
    max_staleness: Duration,
    deadline: Instant,
    excluded: &[InstanceName],
) -> Result<Target, Refusal> {
    let mut changes = home.changes();
    // Wait for at most half of the remaining time, so that a refused caller can still retry.
    let half_left = deadline.saturating_duration_since(Instant::now()) / 2;
    let primary_until = Instant::now() + half_left.min(PRIMARY_WAIT);
    loop {
        changes.mark_unchanged();
        let home_unknown = || Refusal::with_retry(RefusalReason::HomeUnknown, home.retry_after());
        let view = home.view().ok_or_else(home_unknown)?;
        let choice = match head.access {
            Access::Write => primary(home, &view, excluded),
            Access::Read => read(home, head, &view, max_staleness, deadline, excluded),
        };
        let wait_until = match choice {
            Choice::Run { instance } => match target(home, &view, &instance, false) {
                Some(target) => return Ok(target),
                None => primary_until,
            },
            Choice::RunConfirmed { instance } => match target(home, &view, &instance, true) {
                Some(target) => return Ok(target),
                None => primary_until,
            },
            Choice::Wait { at_most, .. } => deadline.min(Instant::now() + at_most),
            Choice::NoInstance => primary_until,
        };
        if wait_until <= Instant::now() {
            return Err(unavailable(home, &view));
        }
        // Retry when the state has changed or the wait time has passed.
        let _ = timeout_at(wait_until, changes.changed()).await;
    }
}

fn unavailable(home: &Home, view: &DatabaseView) -> Refusal {
    let reason = match view.primary {
        Some(_) => RefusalReason::NoInstance,
        None => RefusalReason::PrimaryUnknown,
    };
    Refusal::with_retry(reason, home.retry_after())
}

fn target(
    home: &Home,
    view: &DatabaseView,
    instance: &InstanceName,
    must_confirm: bool,
) -> Option<Target> {
    Some(Target {
        instance: home.instance(instance)?,
        is_primary: view.primary.as_ref() == Some(instance),
        term: view.term.clone(),
        must_confirm,
    })
}

/// Selects the primary, if there is one that accepts work.
fn primary(home: &Home, view: &DatabaseView, excluded: &[InstanceName]) -> Choice {
    let is_usable = |instance: &&InstanceView| {
        view.primary.as_ref() == Some(&instance.name)
            && instance.accepts_work
            && !excluded.contains(&instance.name)
    };
    let found = view.instances.iter().find(is_usable);
    match found {
        Some(instance) if home.is_leased() && !view.writes_paused => Choice::Run {
            instance: instance.name.clone(),
        },
        _ => Choice::NoInstance,
    }
}

fn read(
    home: &Home,
    head: &ExchangeHead,
    view: &DatabaseView,
    max_staleness: Duration,
    deadline: Instant,
    excluded: &[InstanceName],
) -> Choice {
    let now = home.clock.now();
    let session = session_key(head);
    let token = head.token.as_ref().filter(|t| t.database == head.database);
    let availability_zone = home.snapshot.load().local.availability_zone.clone();
    home.with_state(|state| {
        let seen = state
            .marks
            .required_position(&session, token.map(|token| &token.seen));
        let required_position = state.rotation.required_position(seen, max_staleness, now);
        let usable = |instance: &&InstanceView| {
            instance.accepts_work && instance.reachable && !excluded.contains(&instance.name)
        };
        let candidate = |instance: &InstanceView| Candidate {
            instance: instance.name.clone(),
            availability_zone: instance.availability_zone.clone(),
            is_primary: view.primary.as_ref() == Some(&instance.name),
            in_flight: state.in_flight(&instance.name),
            slots: instance.slots,
            fresh_in: required_position.as_ref().and_then(|required_position| {
                state
                    .rotation
                    .fresh_in(&instance.name, required_position, now)
            }),
        };
        let instances = view.instances.iter().filter(usable);
        let candidates: Vec<_> = instances.map(candidate).collect();
        let request = ReadRequest {
            required_position: required_position.clone(),
            lease_valid: home.is_leased(),
            availability_zone,
            time_left: deadline.saturating_duration_since(Instant::now()),
        };
        routing::choose(&request, &candidates, &RoutingSettings::default())
    })
}
