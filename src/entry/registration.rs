//! Registers this VM in the store under a lease while it is a gateway. Renewals of the registration
//! also extend its validity lease.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::clock;
use super::directory;
use super::keys;
use super::limiter;
use super::node::Node;
use super::record::VmRecord;
use super::role;
use super::saves;
use super::state::StopPhase;
use super::synchronization;
use crate::configuration::{Revision, Timeline};
use crate::control::command::PlatformRequest;
use crate::control::event::{PlatformFailure, PlatformResponse};
use crate::time::Timestamp;

/// Delay before a failed call is repeated. Doubles with each consecutive failed registration.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest delay between two attempts to register.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest interval at which a VM checks whether it is in the right role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Store lease of this VM's registration.
#[derive(Debug, Clone, Copy)]
struct Registration {
    lease: u64,
    /// Timeline of the store in which the lease was granted.
    timeline: Timeline,
}

/// Why a registration ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// The store let the lease lapse.
    Lapsed,
    /// The store was restored from a copy that may lack the lease.
    Restored,
    /// Enough other VMs are gateways.
    NotNeeded,
}

/// Keeps this VM registered whenever it should be a gateway, until the process ends.
pub async fn run(node: Rc<Node>) {
    let keeping_role = async {
        loop {
            await_need(&node).await;
            while register_and_renew(&node).await != Ended::NotNeeded {}
        }
    };
    tokio::select! {
        () = keeping_role => {}
        // A VM that has stopped would otherwise find its lease ended and register again.
        () = node.wait_until(|state| state.stop == StopPhase::Deregistered) => {}
    }
}

/// Waits until this VM should be a gateway. The last check is made on what the store holds now.
async fn await_need(node: &Rc<Node>) {
    let mut needed_since = None;
    loop {
        let (is_needed, delay) = {
            let state = node.state.borrow();
            // Before the first read of the gateways, nothing is known about them.
            let is_known = state.gateways_revision > Revision(0);
            let is_needed = is_known && should_be_gateway(node);
            (is_needed, role::change_delay(&node.settings, &state))
        };
        if !is_needed {
            needed_since = None;
            wait_for_change(node, ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let since = *needed_since.get_or_insert_with(Instant::now);
        let left = delay.saturating_sub(since.elapsed());
        if !left.is_zero() {
            wait_for_change(node, left).await;
            continue;
        }
        // A cheaper read usually shows already that others have registered meanwhile.
        synchronization::read_gateways(node, true).await;
        if !should_be_gateway(node) {
            continue;
        }
        if synchronization::refresh(node).await && should_be_gateway(node) {
            return;
        }
        wait_for_change(node, RETRY_DELAY).await;
    }
}

async fn wait_for_change(node: &Node, limit: Duration) {
    tokio::select! {
        () = node.changed.notified() => {}
        () = tokio::time::sleep(limit) => {}
    }
}

async fn register_and_renew(node: &Rc<Node>) -> Ended {
    let mut delay = RETRY_DELAY;
    loop {
        if let Some(registration) = register(node).await {
            return keep_registered(node, registration).await;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Registers this VM. Returns `None` when a call to the store failed, or the store was restored
/// meanwhile.
async fn register(node: &Rc<Node>) -> Option<Registration> {
    let timeline = node.adapter.store.timeline();
    let sent_at = clock::now();
    let ttl = node.settings.gateway_ttl;
    let response = node.call(PlatformRequest::GrantLease { ttl }).await;
    let Ok(PlatformResponse::Lease { lease, ttl }) = response else {
        log::warn!("event=lease_not_granted answer={response:?}");
        return None;
    };
    let ttl = usable_ttl(node, ttl);
    node.state.borrow_mut().pending_lease = Some(lease);
    write_record(node, lease).await?;
    // Read after the registration is written: a replacement that began earlier is visible now, and
    // one that begins later waits for this VM's confirmation.
    if !synchronization::refresh(node).await || node.adapter.store.timeline() != timeline {
        return None;
    }
    saves::withhold_replaced(node);
    let mut state = node.state.borrow_mut();
    state.lease = Some(lease);
    state.gateway = true;
    state.validity_lease.renew(sent_at, ttl);
    state.store_responded_at = clock::now();
    drop(state);
    synchronization::confirm_replacements(node);
    node.changed.notify_waiters();
    node.signal_store_regained();
    log::info!(
        "event=registered vm={} lease={lease} ttl_ms={}",
        node.settings.vm,
        ttl.as_millis()
    );
    Some(Registration { lease, timeline })
}

/// Returns the part of a granted time-to-live that this VM may use: a VM that replaces a primary waits
/// for the one in the settings, even if the store grants a longer one.
fn usable_ttl(node: &Node, granted: Duration) -> Duration {
    granted.min(node.settings.gateway_ttl)
}

/// Returns whether this VM should be a gateway. A VM that is stopping keeps its role.
fn should_be_gateway(node: &Node) -> bool {
    let state = node.state.borrow();
    if state.stop != StopPhase::Running {
        return state.gateway;
    }
    role::should_be_gateway(&node.settings, &state)
}

async fn write_record(node: &Rc<Node>, lease: u64) -> Option<()> {
    let record = VmRecord {
        lease,
        peer_address: node.settings.peer_address,
        availability_zone: node.settings.availability_zone.clone(),
        cpu_share: node.settings.cpu_share,
    };
    let key = keys::gateway(&node.settings.vm);
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
            Ok(PlatformResponse::Swapped { .. }) => return Some(()),
            // Written by an earlier process of this VM, or by a call whose response was lost.
            Ok(PlatformResponse::Conflict { current }) => {
                expected = current.map_or(Revision(0), |current| current.revision);
            }
            response => {
                log::warn!("event=registration_failed answer={response:?}");
                return None;
            }
        }
    }
}

/// Renews the lease until it has lapsed or this VM is no longer needed as a gateway.
async fn keep_registered(node: &Rc<Node>, registration: Registration) -> Ended {
    let lease = registration.lease;
    let renewal = node.settings.gateway_renewal;
    let mut next = Instant::now() + renewal;
    let mut unneeded_since = None;
    let mut is_store_silent = false;
    loop {
        let wake_at = next.min(Instant::now() + ROLE_CHECK_INTERVAL);
        tokio::time::sleep_until(wake_at).await;
        if is_outdated(node, &registration) {
            return Ended::Restored;
        }
        if should_be_gateway(node) {
            unneeded_since = None;
        } else {
            let delay = role::change_delay(&node.settings, &node.state.borrow());
            if unneeded_since.get_or_insert(wake_at).elapsed() >= delay {
                leave_role(node, lease).await;
                return Ended::NotNeeded;
            }
        }
        if wake_at < next {
            continue;
        }
        let sent_at = clock::now();
        let response = node.call(PlatformRequest::KeepAlive { lease }).await;
        if is_outdated(node, &registration) {
            return Ended::Restored;
        }
        match response {
            Ok(PlatformResponse::Lease { ttl, .. }) => {
                record_renewal(node, sent_at, usable_ttl(node, ttl));
                if std::mem::take(&mut is_store_silent) {
                    node.signal_store_regained();
                }
                directory::record_renewal(node, sent_at);
                next = Instant::now() + renewal;
            }
            Ok(PlatformResponse::LeaseLapsed) => {
                log::warn!("event=registration_lapsed lease={lease}");
                drop_lease(node);
                return Ended::Lapsed;
            }
            response => {
                log_renewal_failure(node, &response);
                is_store_silent = true;
                next = Instant::now() + RETRY_DELAY;
            }
        }
    }
}

/// Returns whether the store was restored since the lease was granted. The lease may then be lost,
/// and its identifier granted to another VM.
fn is_outdated(node: &Node, registration: &Registration) -> bool {
    let timeline = node.adapter.store.timeline();
    let is_outdated = timeline != registration.timeline;
    if is_outdated {
        log::warn!(
            "event=registration_outdated lease={} timeline={} current_timeline={}",
            registration.lease,
            registration.timeline.0,
            timeline.0
        );
    }
    is_outdated
}

/// Ends the registration of a gateway that is no longer needed.
async fn leave_role(node: &Rc<Node>, lease: u64) {
    limiter::leave(node);
    {
        let mut state = node.state.borrow_mut();
        state.gateway_until = clock::now() + node.settings.gateway_ttl;
        state.gateway = false;
        state.gateways.remove(&node.settings.vm);
    }
    drop_lease(node);
    node.changed.notify_waiters();
    log::info!("event=gateway_left vm={}", node.settings.vm);
    revoke(node, lease).await;
}

/// Revokes the lease of a registration whose validity has ended, once the subleases granted under it
/// have ended too: nobody waits for their holders afterwards.
async fn revoke(node: &Rc<Node>, lease: u64) {
    let timeline = node.adapter.store.timeline();
    let left = node.state.borrow().subleased_until.since(clock::now());
    if !left.is_zero() {
        tokio::time::sleep(left).await;
        // The lease may be lost, and its identifier granted to another VM.
        if node.adapter.store.timeline() != timeline {
            return;
        }
    }
    if let Err(error) = node.call(PlatformRequest::Revoke { lease }).await {
        log::warn!("event=lease_not_revoked lease={lease} error=\"{error}\"");
    }
}

fn record_renewal(node: &Rc<Node>, sent_at: Timestamp, ttl: Duration) {
    let mut state = node.state.borrow_mut();
    // The registration was released while the renewal was under way.
    if state.stop == StopPhase::Deregistered {
        return;
    }
    let now = clock::now();
    if !state.validity_lease.is_valid(now) {
        log::info!("event=guard_regained");
    }
    state.validity_lease.renew(sent_at, ttl);
    state.store_responded_at = now;
}

fn log_renewal_failure(node: &Rc<Node>, response: &Result<PlatformResponse, PlatformFailure>) {
    let state = node.state.borrow();
    let now = clock::now();
    log::warn!(
        "event=store_unheard since_ms={} guard_left_ms={} answer={response:?}",
        now.since(state.store_responded_at).as_millis(),
        state.validity_lease.time_left(now).as_millis()
    );
}

fn drop_lease(node: &Rc<Node>) {
    let mut state = node.state.borrow_mut();
    state.validity_lease.end();
    state.lease = None;
}

/// Revokes the registration, so that replacements of primaries don't wait for this VM.
pub async fn release(node: &Rc<Node>) {
    limiter::leave(node);
    let lease = {
        let mut state = node.state.borrow_mut();
        state.stop = StopPhase::Deregistered;
        state.validity_lease.end();
        state.sublease.end();
        state.lease.take()
    };
    node.changed.notify_waiters();
    let Some(lease) = lease else { return };
    revoke(node, lease).await;
}
