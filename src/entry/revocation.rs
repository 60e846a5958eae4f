//! Revocations of registrations, which end the validity leases of VMs that haven't confirmed a
//! replacement.
//!
//! A revoked registration is gone from the store at once, but its VM may rely on its validity lease
//! for up to one time-to-live longer. A revocation is therefore recorded before it is carried out.
//! Afterwards the record is bound to a store lease of that time-to-live, so that it is gone when the
//! validity leases have ended. Every replacement waits for the recorded leases: another one at the same
//! time, and that of the next holder of the failover lease.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::{Instant, sleep};

use super::follow;
use super::keys;
use super::node::Node;
use super::record::{RegisteredVm, RevocationRecord};
use crate::configuration::{Revision, Timeline};
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformResponse};

/// Delay before a call that the store didn't respond to is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which a record that another VM has written is read until it is gone.
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// Validity lease that ends because the registration behind it is revoked.
#[derive(Debug, Default)]
pub struct RevokedLease {
    /// Time at which the store had certainly revoked the registration; `None` before.
    revoked_at: Cell<Option<Instant>>,
    /// Whether the record of the revocation was gone, before this VM had waited that long itself.
    is_record_gone: Cell<bool>,
}

impl RevokedLease {
    /// Returns whether the lease has ended: the store accepts no renewal after the revocation.
    pub fn has_ended(&self, ttl: Duration) -> bool {
        let revoked_at = self.revoked_at.get();
        self.is_record_gone.get() || revoked_at.is_some_and(|at| at.elapsed() >= ttl)
    }

    fn record_revoked(&self) {
        if self.revoked_at.get().is_none() {
            self.revoked_at.set(Some(Instant::now()));
        }
    }
}

/// Revocations that this VM carries out.
#[derive(Debug, Default)]
pub struct Revocations {
    /// Leases by the timeline and the number under which the store granted them.
    leases: RefCell<HashMap<(Timeline, u64), Rc<RevokedLease>>>,
    /// Keys of the records that are being carried out.
    running: RefCell<HashSet<String>>,
}

impl Revocations {
    fn lease(&self, timeline: Timeline, vm: &RegisteredVm) -> Rc<RevokedLease> {
        let mut leases = self.leases.borrow_mut();
        let lease = leases.entry((timeline, vm.registration.lease)).or_default();
        Rc::clone(lease)
    }

    fn forget(&self, record: &RevocationRecord) {
        let mut leases = self.leases.borrow_mut();
        for vm in &record.vms {
            leases.remove(&(record.timeline, vm.registration.lease));
        }
    }
}

/// VM whose registration is revoked, with its validity lease.
pub type Revoked = (RegisteredVm, Rc<RevokedLease>);

/// Records that the registrations of `vms` are revoked, and revokes them in the background. Returns
/// `None` when the store didn't take the record; nothing is revoked then.
///
/// `key` belongs to one replacement: a record found under it was written by an earlier attempt, when
/// no fewer VMs had yet to confirm.
pub async fn begin(node: &Rc<Node>, key: String, vms: Vec<RegisteredVm>) -> Option<Vec<Revoked>> {
    let timeline = node.adapter.store.timeline();
    let record = RevocationRecord {
        timeline,
        vms,
        is_carried_out: false,
    };
    let request = PlatformRequest::CompareAndSwap {
        key: key.clone(),
        expected: Revision(0),
        value: serde_json::to_vec(&record).ok(),
        lease: None,
    };
    let revision = match node.call(request).await {
        Ok(PlatformResponse::Swapped { revision }) => revision,
        Ok(PlatformResponse::Conflict {
            current: Some(current),
        }) => return Some(carry_out_found(node, current)),
        response => {
            log::warn!("event=revocation_unrecorded key={key} answer={response:?}");
            return None;
        }
    };
    let revoked = leases(node, &record);
    start(node, key, revision, record);
    (revision.timeline() == timeline).then_some(revoked)
}

/// Reads the recorded revocations and carries them out, in case the VM that recorded them has ended.
/// Returns the VMs whose validity leases may go on; `None` when the store doesn't respond.
///
/// Records of an earlier timeline name no such VM: every replacement waits for the leases of before
/// a restoration.
pub async fn list(node: &Rc<Node>) -> Option<Vec<Revoked>> {
    let (found, _) = follow::list(node, keys::REVOCATIONS).await?;
    let revoked = found.into_iter().flat_map(|key| carry_out_found(node, key));
    Some(revoked.collect())
}

fn carry_out_found(node: &Rc<Node>, found: KeyValue) -> Vec<Revoked> {
    let value = found.value.unwrap_or_default();
    let record: RevocationRecord = match serde_json::from_slice(&value) {
        Ok(record) => record,
        Err(error) => {
            log::warn!(
                "event=revocation_unreadable key={} error=\"{error}\"",
                found.key
            );
            return Vec::new();
        }
    };
    let revoked = leases(node, &record);
    let is_current = record.timeline == found.revision.timeline();
    start(node, found.key, found.revision, record);
    if is_current { revoked } else { Vec::new() }
}

fn leases(node: &Node, record: &RevocationRecord) -> Vec<Revoked> {
    let vms = record.vms.iter();
    let revoked = vms.map(|vm| (vm.clone(), node.revocations.lease(record.timeline, vm)));
    revoked.collect()
}

/// Carries out a recorded revocation in the background, unless that is under way.
fn start(node: &Rc<Node>, key: String, revision: Revision, record: RevocationRecord) {
    let mut running = node.revocations.running.borrow_mut();
    if !running.insert(key.clone()) {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        if record.is_carried_out {
            await_end(&node, &key, &record).await;
        } else {
            carry_out(&node, &key, revision, &record).await;
        }
        node.revocations.forget(&record);
        node.revocations.running.borrow_mut().remove(&key);
    });
}

/// Revokes the registrations, binds the record to a lease and waits until the validity leases have
/// ended. The record of an earlier timeline is bound only: its leases may be those of other VMs now.
async fn carry_out(node: &Node, key: &str, revision: Revision, record: &RevocationRecord) {
    let ttl = node.settings.gateway_ttl;
    let revoking = record.vms.iter().map(async |vm| {
        let lease = node.revocations.lease(record.timeline, vm);
        while lease.revoked_at.get().is_none() && node.adapter.store.timeline() == record.timeline {
            if !revoke(node, vm, &lease).await {
                sleep(RETRY_DELAY).await;
            }
        }
    });
    join_all(revoking).await;
    while !bind(node, key, revision, record).await {
        sleep(RETRY_DELAY).await;
    }
    sleep(ttl).await;
}

/// Returns whether the store responded.
async fn revoke(node: &Node, vm: &RegisteredVm, revoked: &RevokedLease) -> bool {
    let lease = vm.registration.lease;
    let response = node.call(PlatformRequest::Revoke { lease }).await;
    log::info!(
        "event=guard_ended vm={} lease={lease} answer={response:?}",
        vm.vm
    );
    if response.is_ok() {
        revoked.record_revoked();
    }
    response.is_ok()
}

/// Binds the record of a revocation that is carried out to a lease, which deletes it one time-to-live
/// later. Returns whether it is bound or gone.
async fn bind(node: &Node, key: &str, revision: Revision, record: &RevocationRecord) -> bool {
    let ttl = node.settings.gateway_ttl;
    let granted = node.call(PlatformRequest::GrantLease { ttl }).await;
    let Ok(PlatformResponse::Lease { lease, .. }) = granted else {
        log::warn!("event=revocation_unbound key={key} answer={granted:?}");
        return false;
    };
    let record = RevocationRecord {
        is_carried_out: true,
        ..record.clone()
    };
    let request = PlatformRequest::CompareAndSwap {
        key: key.to_owned(),
        expected: revision,
        value: serde_json::to_vec(&record).ok(),
        lease: Some(lease),
    };
    match node.call(request).await {
        Ok(PlatformResponse::Swapped { .. } | PlatformResponse::Conflict { .. }) => true,
        response => {
            log::warn!("event=revocation_unbound key={key} answer={response:?}");
            false
        }
    }
}

/// Waits until a record that is bound to a lease is gone, or the time-to-live has passed here.
async fn await_end(node: &Node, key: &str, record: &RevocationRecord) {
    let leases: Vec<_> = leases(node, record)
        .into_iter()
        .map(|(_, lease)| lease)
        .collect();
    for lease in &leases {
        lease.record_revoked();
    }
    let ttl = node.settings.gateway_ttl;
    while !leases.iter().all(|lease| lease.has_ended(ttl)) {
        sleep(READ_INTERVAL).await;
        let key = key.to_owned();
        let found = node.call(PlatformRequest::Get { key }).await;
        if matches!(found, Ok(PlatformResponse::Found { keys, .. }) if keys.is_empty()) {
            for lease in &leases {
                lease.is_record_gone.set(true);
            }
        }
    }
}
