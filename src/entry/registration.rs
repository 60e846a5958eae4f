//! Registers this VM in the store under a lease, which carries its guard.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::agreement;
use super::clock;
use super::follow;
use super::gateways;
use super::keys;
use super::node::Node;
use super::record::VmRecord;
use super::state::StopPhase;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::{PlatformAnswer, PlatformFailure};
use crate::name::VmName;
use crate::time::Timestamp;

/// Pause before a failed call is repeated; doubles with each registration that fails in a row.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause before a registration is tried again.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Interval at which this VM's part is looked at.
const PART_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which VMs that start together wait for each other before the first takes a part.
const START_PATIENCE: Duration = Duration::from_millis(400);

/// Interval at which the VMs that are no gateways are read: they only matter when one of them must
/// become a gateway.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(8);

/// Time for which another part must seem right before this VM takes it: VMs that restart are back
/// within it.
const PART_PATIENCE: Duration = Duration::from_millis(1_500);

/// Lease of the registration.
#[derive(Debug, Clone, Copy)]
struct Registration {
    lease: u64,
    ttl: Duration,
}

/// Keeps this VM registered until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut next_part = None;
    let mut pause = RETRY_PAUSE;
    loop {
        let Some(registration) = register(&node, next_part).await else {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
            continue;
        };
        next_part = keep(&node, registration).await;
        pause = RETRY_PAUSE;
    }
}

/// Registers this VM, as a gateway or not; by what is known of the others where that isn't decided.
async fn register(node: &Rc<Node>, gateway: Option<bool>) -> Option<Registration> {
    // Tells which part this VM has, before others rely on it.
    if !agreement::refresh(node).await || !read_entries(node, true).await {
        return None;
    }
    let gateway = gateway.unwrap_or_else(|| is_chosen(node));
    let sent_at = clock::now();
    let ttl = if gateway {
        node.settings.guard_ttl
    } else {
        node.settings.entry_ttl
    };
    let answer = node.call(PlatformRequest::GrantLease { ttl }).await;
    let Ok(PlatformAnswer::Lease { lease, ttl }) = answer else {
        log::warn!("event=lease_not_granted answer={answer:?}");
        return None;
    };
    write_record(node, lease, gateway).await?;
    // Read after the registration stands: a replacement that began earlier is seen here, one that
    // begins later waits for this VM.
    if gateway && !agreement::refresh(node).await {
        return None;
    }
    let mut state = node.state.borrow_mut();
    state.lease = Some(lease);
    state.gateway = gateway;
    if gateway {
        state.guard.renew(sent_at, ttl);
    }
    state.store_heard_at = clock::now();
    drop(state);
    node.changed.notify_waiters();
    log::info!(
        "event=registered vm={} lease={lease} ttl_ms={} gateway={gateway}",
        node.settings.vm,
        ttl.as_millis()
    );
    Some(Registration { lease, ttl })
}

/// Reads the registrations of the VMs that are no gateways; returns whether the store answered.
async fn read_entries(node: &Node, allow_stale: bool) -> bool {
    let found = if allow_stale {
        follow::list_stale(node, keys::ENTRIES).await
    } else {
        let found = follow::list(node, keys::ENTRIES).await;
        found.map(|(keys, _)| keys)
    };
    let Some(found) = found else { return false };
    let records = found.into_iter().filter_map(|key| {
        let vm = VmName::from(key.key.strip_prefix(keys::ENTRIES)?);
        let record = serde_json::from_slice(&key.value?).ok()?;
        Some((vm, record))
    });
    node.state.borrow_mut().entries = records.collect();
    true
}

fn entries_interval(node: &Node) -> Duration {
    if node.state.borrow().gateways.is_empty() {
        return PART_INTERVAL;
    }
    ENTRIES_INTERVAL
}

/// Returns whether this VM should be a gateway. One that is stopping stays what it is.
fn is_chosen(node: &Node) -> bool {
    let state = node.state.borrow();
    if state.stop != StopPhase::Running {
        return state.gateway;
    }
    gateways::is_chosen(&node.settings, &state)
}

async fn write_record(node: &Rc<Node>, lease: u64, gateway: bool) -> Option<()> {
    let record = VmRecord {
        lease,
        peer_address: node.settings.peer_address,
        availability_zone: node.settings.availability_zone.clone(),
        cpu_share: node.settings.cpu_share,
    };
    let key = if gateway {
        keys::gateway(&node.settings.vm)
    } else {
        keys::entry(&node.settings.vm)
    };
    let value = serde_json::to_vec(&record).ok()?;
    let mut expected = Revision(0);
    loop {
        let request = PlatformRequest::CompareAndSwap {
            key: key.clone(),
            expected,
            value: Some(value.clone()),
            lease: Some(lease),
        };
        match node.call(request).await {
            Ok(PlatformAnswer::Swapped { .. }) => return Some(()),
            // An earlier process of this VM, or this one by a call whose answer was lost.
            Ok(PlatformAnswer::Conflict { current }) => {
                expected = current.map_or(Revision(0), |current| current.revision);
            }
            answer => {
                log::warn!("event=registration_failed answer={answer:?}");
                return None;
            }
        }
    }
}

/// Renews the lease until it has lapsed, or this VM's part changes; returns whether it is a gateway
/// from then on, where that is decided.
async fn keep(node: &Rc<Node>, registration: Registration) -> Option<bool> {
    let lease = registration.lease;
    let gateway = node.state.borrow().gateway;
    let renewal = if gateway {
        node.settings.guard_renewal
    } else {
        node.settings.entry_renewal
    };
    let mut next = Instant::now() + renewal;
    let mut changing_since = None;
    let mut entries_read_at = Instant::now();
    loop {
        let look = next.min(Instant::now() + PART_INTERVAL);
        tokio::time::sleep_until(look).await;
        if entries_read_at.elapsed() >= entries_interval(node) {
            let allow_stale = !node.state.borrow().gateways.is_empty();
            read_entries(node, allow_stale).await;
            entries_read_at = Instant::now();
        }
        if is_chosen(node) == gateway {
            changing_since = None;
        } else if changing_since.get_or_insert(look).elapsed() >= patience(node) {
            leave_part(node, lease).await;
            return Some(!gateway);
        }
        if look < next {
            continue;
        }
        let sent_at = clock::now();
        match node.call(PlatformRequest::KeepAlive { lease }).await {
            Ok(PlatformAnswer::Lease { .. }) => {
                renewed(node, sent_at, registration.ttl);
                next = Instant::now() + renewal;
            }
            Ok(PlatformAnswer::LeaseLapsed) => {
                log::warn!("event=registration_lapsed lease={lease}");
                end(node);
                return None;
            }
            answer => {
                note_loss(node, &answer);
                next = Instant::now() + if gateway { RETRY_PAUSE } else { renewal / 4 };
            }
        }
    }
}

fn patience(node: &Node) -> Duration {
    let state = node.state.borrow();
    if state.gateways.is_empty() {
        return START_PATIENCE;
    }
    PART_PATIENCE
}

/// Gives this VM's part up, so that it registers for the other one.
async fn leave_part(node: &Rc<Node>, lease: u64) {
    let was_gateway = {
        let mut state = node.state.borrow_mut();
        let was_gateway = state.gateway;
        if was_gateway {
            state.gateway_until = clock::now() + node.settings.guard_ttl;
        }
        state.gateway = false;
        was_gateway
    };
    end(node);
    node.changed.notify_waiters();
    log::info!(
        "event=part_changed vm={} was_gateway={was_gateway}",
        node.settings.vm
    );
    if let Err(error) = node.call(PlatformRequest::Revoke { lease }).await {
        log::warn!("event=lease_not_ended lease={lease} error=\"{error}\"");
    }
}

fn renewed(node: &Rc<Node>, sent_at: Timestamp, ttl: Duration) {
    let mut state = node.state.borrow_mut();
    let now = clock::now();
    if state.gateway {
        if !state.guard.holds(now) {
            log::info!("event=guard_regained");
        }
        state.guard.renew(sent_at, ttl);
    }
    state.store_heard_at = now;
}

fn note_loss(node: &Rc<Node>, answer: &Result<PlatformAnswer, PlatformFailure>) {
    let state = node.state.borrow();
    let now = clock::now();
    log::warn!(
        "event=store_unheard since_ms={} guard_left_ms={} answer={answer:?}",
        now.since(state.store_heard_at).as_millis(),
        state.guard.time_left(now).as_millis()
    );
}

fn end(node: &Rc<Node>) {
    let mut state = node.state.borrow_mut();
    state.guard.end();
    state.lease = None;
}

/// Ends the registration, so that nobody waits for this VM.
pub async fn release(node: &Rc<Node>) {
    let lease = {
        let mut state = node.state.borrow_mut();
        state.guard.end();
        state.borrowed_guard.end();
        state.lease.take()
    };
    let Some(lease) = lease else { return };
    if let Err(error) = node.call(PlatformRequest::Revoke { lease }).await {
        log::warn!("event=lease_not_ended lease={lease} error=\"{error}\"");
    }
}
