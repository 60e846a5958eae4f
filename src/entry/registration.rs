//! Registers this VM in the store under a lease, which carries its guard.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::agreement;
use super::clock;
use super::keys;
use super::node::Node;
use super::record::VmRecord;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::{PlatformAnswer, PlatformFailure};
use crate::time::Timestamp;

/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Lease of the registration.
#[derive(Debug, Clone, Copy)]
struct Registration {
    lease: u64,
    ttl: Duration,
}

/// Keeps this VM registered until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        match register(&node).await {
            Some(registration) => keep(&node, registration).await,
            None => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn register(node: &Rc<Node>) -> Option<Registration> {
    let sent_at = clock::now();
    let ttl = node.settings.guard_ttl;
    let answer = node.call(PlatformRequest::GrantLease { ttl }).await;
    let Ok(PlatformAnswer::Lease { lease, ttl }) = answer else {
        log::warn!("event=lease_not_granted answer={answer:?}");
        return None;
    };
    let record = VmRecord {
        lease,
        peer_address: node.settings.peer_address,
    };
    write_record(node, &record).await?;
    // Read after the registration stands: a replacement that began earlier is seen here, one that
    // begins later waits for this VM.
    if !agreement::refresh(node).await {
        return None;
    }
    let mut state = node.state.borrow_mut();
    state.lease = Some(lease);
    state.guard.renew(sent_at, ttl);
    state.store_heard_at = clock::now();
    drop(state);
    node.changed.notify_waiters();
    log::info!(
        "event=registered vm={} lease={lease} ttl_ms={}",
        node.settings.vm,
        ttl.as_millis()
    );
    Some(Registration { lease, ttl })
}

async fn write_record(node: &Rc<Node>, record: &VmRecord) -> Option<()> {
    let value = serde_json::to_vec(record).ok()?;
    let mut expected = Revision(0);
    loop {
        let request = PlatformRequest::CompareAndSwap {
            key: keys::vm(&node.settings.vm),
            expected,
            value: Some(value.clone()),
            lease: Some(record.lease),
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

/// Renews the lease until it has lapsed.
async fn keep(node: &Rc<Node>, registration: Registration) {
    let lease = registration.lease;
    let mut next = Instant::now() + node.settings.guard_renewal;
    loop {
        tokio::time::sleep_until(next).await;
        let sent_at = clock::now();
        match node.call(PlatformRequest::KeepAlive { lease }).await {
            Ok(PlatformAnswer::Lease { .. }) => {
                renewed(node, sent_at, registration.ttl);
                next = Instant::now() + node.settings.guard_renewal;
            }
            Ok(PlatformAnswer::LeaseLapsed) => {
                log::warn!("event=registration_lapsed lease={lease}");
                end(node);
                return;
            }
            answer => {
                note_loss(node, &answer);
                next = Instant::now() + RETRY_PAUSE;
            }
        }
    }
}

fn renewed(node: &Rc<Node>, sent_at: Timestamp, ttl: Duration) {
    let mut state = node.state.borrow_mut();
    let now = clock::now();
    if !state.guard.holds(now) {
        log::info!("event=guard_regained");
    }
    state.guard.renew(sent_at, ttl);
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
