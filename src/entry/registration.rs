//! Registers this VM in the store under a lease. Renewals of a gateway's registration also extend
//! its validity lease.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::clock;
use super::follow;
use super::gateways;
use super::keys;
use super::node::Node;
use super::record::VmRecord;
use super::state::StopPhase;
use super::synchronization;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::{PlatformFailure, PlatformResponse};
use crate::name::VmName;
use crate::time::Timestamp;

/// Delay before a failed call is repeated. Doubles with each consecutive failed registration.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest delay between two attempts to register.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval at which a VM checks whether it should be a gateway.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which another role must be the right one before this VM changes to it while there are
/// no gateways. Lets VMs that start at the same time register before one of them becomes a gateway.
const START_DELAY: Duration = Duration::from_millis(400);

/// Interval at which the registrations of VMs that aren't gateways are read. They only matter when
/// one of these VMs must become a gateway.
const FORWARDERS_INTERVAL: Duration = Duration::from_secs(8);

/// Time for which another role must be the right one before this VM changes to it while there are
/// gateways. VMs that restart are registered again within this time.
const ROLE_CHANGE_DELAY: Duration = Duration::from_millis(1_500);

/// Store lease of this VM's registration.
#[derive(Debug, Clone, Copy)]
struct Registration {
    lease: u64,
    ttl: Duration,
}

/// Keeps this VM registered until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut next_role = None;
    let mut delay = RETRY_DELAY;
    loop {
        let Some(registration) = register(&node, next_role).await else {
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
            continue;
        };
        next_role = keep_registered(&node, registration).await;
        delay = RETRY_DELAY;
    }
}

/// Registers this VM. Where `gateway` is `None`, the role is chosen from the registrations of the
/// other VMs. Returns `None` when a call to the store failed.
async fn register(node: &Rc<Node>, gateway: Option<bool>) -> Option<Registration> {
    // The role is chosen before the registration, because other VMs rely on it afterwards.
    if !synchronization::refresh(node).await || !read_forwarders(node, true).await {
        return None;
    }
    let gateway = gateway.unwrap_or_else(|| should_be_gateway(node));
    let sent_at = clock::now();
    let ttl = if gateway {
        node.settings.gateway_ttl
    } else {
        node.settings.forwarder_ttl
    };
    let response = node.call(PlatformRequest::GrantLease { ttl }).await;
    let Ok(PlatformResponse::Lease { lease, ttl }) = response else {
        log::warn!("event=lease_not_granted answer={response:?}");
        return None;
    };
    write_record(node, lease, gateway).await?;
    // Read after the registration is written: a replacement that began earlier is visible now, and
    // one that begins later waits for this VM's confirmation.
    if gateway && !synchronization::refresh(node).await {
        return None;
    }
    let mut state = node.state.borrow_mut();
    state.lease = Some(lease);
    state.gateway = gateway;
    if gateway {
        state.validity_lease.renew(sent_at, ttl);
    }
    state.store_responded_at = clock::now();
    drop(state);
    node.changed.notify_waiters();
    log::info!(
        "event=registered vm={} lease={lease} ttl_ms={} gateway={gateway}",
        node.settings.vm,
        ttl.as_millis()
    );
    Some(Registration { lease, ttl })
}

/// Reads the registrations of VMs that aren't gateways; returns whether the store responded.
async fn read_forwarders(node: &Node, allow_stale: bool) -> bool {
    let found = if allow_stale {
        follow::list_stale(node, keys::FORWARDERS).await
    } else {
        let found = follow::list(node, keys::FORWARDERS).await;
        found.map(|(keys, _)| keys)
    };
    let Some(found) = found else { return false };
    let records = found.into_iter().filter_map(|key| {
        let vm = VmName::from(key.key.strip_prefix(keys::FORWARDERS)?);
        let record = serde_json::from_slice(&key.value?).ok()?;
        Some((vm, record))
    });
    node.state.borrow_mut().forwarders = records.collect();
    true
}

fn forwarders_interval(node: &Node) -> Duration {
    if node.state.borrow().gateways.is_empty() {
        return ROLE_CHECK_INTERVAL;
    }
    FORWARDERS_INTERVAL
}

/// Returns whether this VM should be a gateway. A VM that is stopping keeps its role.
fn should_be_gateway(node: &Node) -> bool {
    let state = node.state.borrow();
    if state.stop != StopPhase::Running {
        return state.gateway;
    }
    gateways::should_be_gateway(&node.settings, &state)
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
        keys::forwarder(&node.settings.vm)
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

/// Renews the lease until it has lapsed or this VM's role changes. Returns whether the VM becomes a
/// gateway; `None` when the lease has lapsed and the role must be chosen again.
async fn keep_registered(node: &Rc<Node>, registration: Registration) -> Option<bool> {
    let lease = registration.lease;
    let gateway = node.state.borrow().gateway;
    let renewal = if gateway {
        node.settings.gateway_renewal
    } else {
        node.settings.forwarder_renewal
    };
    let mut next = Instant::now() + renewal;
    let mut changing_since = None;
    let mut forwarders_read_at = Instant::now();
    loop {
        let wake_at = next.min(Instant::now() + ROLE_CHECK_INTERVAL);
        tokio::time::sleep_until(wake_at).await;
        if forwarders_read_at.elapsed() >= forwarders_interval(node) {
            let allow_stale = !node.state.borrow().gateways.is_empty();
            read_forwarders(node, allow_stale).await;
            forwarders_read_at = Instant::now();
        }
        if should_be_gateway(node) == gateway {
            changing_since = None;
        } else if changing_since.get_or_insert(wake_at).elapsed() >= role_change_delay(node) {
            leave_role(node, lease).await;
            return Some(!gateway);
        }
        if wake_at < next {
            continue;
        }
        let sent_at = clock::now();
        match node.call(PlatformRequest::KeepAlive { lease }).await {
            Ok(PlatformResponse::Lease { .. }) => {
                record_renewal(node, sent_at, registration.ttl);
                next = Instant::now() + renewal;
            }
            Ok(PlatformResponse::LeaseLapsed) => {
                log::warn!("event=registration_lapsed lease={lease}");
                drop_lease(node);
                return None;
            }
            response => {
                log_renewal_failure(node, &response);
                next = Instant::now() + if gateway { RETRY_DELAY } else { renewal / 4 };
            }
        }
    }
}

fn role_change_delay(node: &Node) -> Duration {
    let state = node.state.borrow();
    if state.gateways.is_empty() {
        return START_DELAY;
    }
    ROLE_CHANGE_DELAY
}

/// Ends the registration in the current role, so that this VM can register in the other one.
async fn leave_role(node: &Rc<Node>, lease: u64) {
    let was_gateway = {
        let mut state = node.state.borrow_mut();
        let was_gateway = state.gateway;
        if was_gateway {
            state.gateway_until = clock::now() + node.settings.gateway_ttl;
        }
        state.gateway = false;
        was_gateway
    };
    drop_lease(node);
    node.changed.notify_waiters();
    log::info!(
        "event=part_changed vm={} was_gateway={was_gateway}",
        node.settings.vm
    );
    if let Err(error) = node.call(PlatformRequest::Revoke { lease }).await {
        log::warn!("event=lease_not_revoked lease={lease} error=\"{error}\"");
    }
}

fn record_renewal(node: &Rc<Node>, sent_at: Timestamp, ttl: Duration) {
    let mut state = node.state.borrow_mut();
    let now = clock::now();
    if state.gateway {
        if !state.validity_lease.is_valid(now) {
            log::info!("event=guard_regained");
        }
        state.validity_lease.renew(sent_at, ttl);
    }
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
    let lease = {
        let mut state = node.state.borrow_mut();
        state.validity_lease.end();
        state.sublease.end();
        state.lease.take()
    };
    let Some(lease) = lease else { return };
    if let Err(error) = node.call(PlatformRequest::Revoke { lease }).await {
        log::warn!("event=lease_not_revoked lease={lease} error=\"{error}\"");
    }
}
