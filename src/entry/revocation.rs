//! Revocations of registrations, which end the validity leases of VMs that haven't confirmed a
//! replacement.
//!
//! A revoked registration is gone from the store at once, but its VM may rely on its validity lease
//! for up to one time-to-live longer. A revocation is therefore recorded before it is carried out, and
//! the record is deleted only when those leases have ended. Every replacement waits for the recorded
//! leases: another one at the same time, and that of the next holder of the failover lease.

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

/// Number of attempts to delete the record of a revocation. The next replacement deletes what
/// remains.
const MAX_DELETE_ATTEMPTS: usize = 4;

/// Validity lease that ends because the registration behind it is revoked.
#[derive(Debug, Default)]
pub struct RevokedLease {
    /// Time at which the store had certainly revoked the registration; `None` before.
    revoked_at: Cell<Option<Instant>>,
}

impl RevokedLease {
    /// Returns whether the lease has ended: the store accepts no renewal after the revocation.
    pub fn has_ended(&self, ttl: Duration) -> bool {
        let revoked_at = self.revoked_at.get();
        revoked_at.is_some_and(|at| at.elapsed() >= ttl)
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
    let record = RevocationRecord { timeline, vms };
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
        carry_out(&node, &record).await;
        delete(&node, &key, revision).await;
        node.revocations.forget(&record);
        node.revocations.running.borrow_mut().remove(&key);
    });
}

/// Revokes the registrations and waits until their validity leases have ended.
async fn carry_out(node: &Node, record: &RevocationRecord) {
    let ttl = node.settings.gateway_ttl;
    let revoking = record.vms.iter().map(async |vm| {
        let lease = node.revocations.lease(record.timeline, vm);
        while !lease.has_ended(ttl) && node.adapter.store.timeline() == record.timeline {
            if lease.revoked_at.get().is_none() {
                revoke(node, vm, &lease).await;
            }
            sleep(RETRY_DELAY).await;
        }
    });
    join_all(revoking).await;
    while node.timeline_age() < ttl {
        sleep(RETRY_DELAY).await;
    }
}

async fn revoke(node: &Node, vm: &RegisteredVm, revoked: &RevokedLease) {
    let lease = vm.registration.lease;
    let response = node.call(PlatformRequest::Revoke { lease }).await;
    log::info!(
        "event=guard_ended vm={} lease={lease} answer={response:?}",
        vm.vm
    );
    if response.is_ok() && revoked.revoked_at.get().is_none() {
        revoked.revoked_at.set(Some(Instant::now()));
    }
}

async fn delete(node: &Node, key: &str, revision: Revision) {
    for _ in 0..MAX_DELETE_ATTEMPTS {
        let request = PlatformRequest::CompareAndSwap {
            key: key.to_owned(),
            expected: revision,
            value: None,
            lease: None,
        };
        match node.call(request).await {
            Ok(PlatformResponse::Swapped { .. } | PlatformResponse::Conflict { .. }) => return,
            response => {
                log::warn!("event=revocation_undeleted key={key} answer={response:?}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
