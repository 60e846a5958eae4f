//! Revocations of registrations, which end the validity leases of VMs that haven't confirmed a
//! replacement.
//!
//! A revoked registration is gone from the store at once, but its VM may rely on its validity lease
//! for up to one time-to-live longer. A revocation is therefore recorded before it is carried out.
//! Afterwards the record is bound to a store lease of that time-to-live, so that it is gone when the
//! validity leases have ended. Every replacement waits for the recorded leases: another one at the same
//! time, and that of the next holder of the failover lease.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::{Instant, sleep};

use super::follow;
use super::keys;
use super::node::Node;
use super::record::{RegisteredVm, RevocationRecord};
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformResponse};

/// Delay before a call that the store didn't respond to is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which a record that is carried out is read until it is gone.
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// Validity lease that ends because the registration behind it is revoked.
#[derive(Debug, Default)]
pub struct RevokedLease {
    /// Time by which the store had certainly revoked the registration; `None` before.
    revoked_at: Cell<Option<Instant>>,
    /// Whether the record was gone, before this VM had waited for a time-to-live itself.
    is_record_gone: Cell<bool>,
}

impl RevokedLease {
    /// Returns whether the lease has ended: the store accepts no renewal after the revocation.
    pub fn has_ended(&self, ttl: Duration) -> bool {
        let revoked_at = self.revoked_at.get();
        self.is_record_gone.get() || revoked_at.is_some_and(|at| at.elapsed() >= ttl)
    }
}

/// VM whose registration is revoked.
#[derive(Debug, Clone)]
pub struct Revoked {
    /// The VM, with the registration that is revoked.
    pub vm: RegisteredVm,
    /// Its validity lease.
    pub lease: Rc<RevokedLease>,
}

/// Recorded revocation that this VM carries out.
#[derive(Debug)]
struct Revocation {
    key: String,
    revision: Revision,
    record: RevocationRecord,
    /// Leases of the VMs, in the order of the record.
    leases: Vec<Rc<RevokedLease>>,
}

/// Records that the registrations of `vms` are revoked, and revokes them in the background. Returns
/// `None` when the store didn't take the record; nothing is revoked then.
///
/// `key` belongs to one replacement. A record found under it is that of an earlier attempt, which
/// names at least these VMs: since then, some may have confirmed.
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
    match node.call(request).await {
        Ok(PlatformResponse::Swapped { revision }) => {
            let revoked = start(node, key, revision, record);
            (revision.timeline() == timeline).then_some(revoked)
        }
        Ok(PlatformResponse::Conflict {
            current: Some(current),
        }) => Some(start_found(node, current)),
        response => {
            log::warn!("event=revocation_unrecorded key={key} answer={response:?}");
            None
        }
    }
}

/// Reads the recorded revocations and carries them out, in case the VM that recorded them has ended.
/// Returns the VMs whose validity leases may go on; `None` when the store doesn't respond.
///
/// Records of an earlier timeline name no such VM: every replacement waits for the leases of before
/// a restoration.
pub async fn list(node: &Rc<Node>) -> Option<Vec<Revoked>> {
    let (found, _) = follow::list(node, keys::REVOCATIONS).await?;
    let revoked = found.into_iter().flat_map(|key| start_found(node, key));
    Some(revoked.collect())
}

fn start_found(node: &Rc<Node>, found: KeyValue) -> Vec<Revoked> {
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
    let is_current = record.timeline == found.revision.timeline();
    let revoked = start(node, found.key, found.revision, record);
    if is_current { revoked } else { Vec::new() }
}

/// Carries out a recorded revocation in the background. Another VM, or another replacement of this
/// one, may do the same; that changes nothing.
fn start(
    node: &Rc<Node>,
    key: String,
    revision: Revision,
    record: RevocationRecord,
) -> Vec<Revoked> {
    let leases: Vec<_> = record.vms.iter().map(|_| Rc::default()).collect();
    let vms = record.vms.iter().cloned().zip(leases.iter().cloned());
    let revoked = vms.map(|(vm, lease)| Revoked { vm, lease }).collect();
    let revocation = Revocation {
        key,
        revision,
        record,
        leases,
    };
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        if revocation.record.is_carried_out {
            revocation.await_end(&node).await;
        } else {
            revocation.carry_out(&node).await;
        }
    });
    revoked
}

impl Revocation {
    /// Revokes the registrations, and then binds the record to a lease. The record of an earlier
    /// timeline is bound only: its leases may be those of other VMs now.
    async fn carry_out(&self, node: &Node) {
        let vms = self.record.vms.iter().zip(&self.leases);
        join_all(vms.map(|(vm, lease)| self.revoke(node, vm, lease))).await;
        while !self.bind(node).await {
            sleep(RETRY_DELAY).await;
        }
    }

    async fn revoke(&self, node: &Node, vm: &RegisteredVm, revoked: &RevokedLease) {
        let lease = vm.registration.lease;
        while node.adapter.store.timeline() == self.record.timeline {
            let response = node.call(PlatformRequest::Revoke { lease }).await;
            let is_revoked = response.is_ok();
            log::info!(
                "event=guard_ended vm={} lease={lease} is_revoked={is_revoked} \
                 answer={response:?}",
                vm.vm
            );
            if is_revoked {
                revoked.revoked_at.set(Some(Instant::now()));
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Binds the record to a lease that deletes it one time-to-live later. Returns whether there is
    /// nothing left to do.
    async fn bind(&self, node: &Node) -> bool {
        let ttl = node.settings.gateway_ttl;
        let granted = node.call(PlatformRequest::GrantLease { ttl }).await;
        let Ok(PlatformResponse::Lease {
            lease,
            ttl: granted,
        }) = granted
        else {
            log::warn!(
                "event=revocation_unbound key={} answer={granted:?}",
                self.key
            );
            return false;
        };
        if granted < ttl {
            // The record would be gone too early. The next replacement carries it out again.
            log::warn!(
                "event=revocation_unbound key={} granted_ms={}",
                self.key,
                granted.as_millis()
            );
            return true;
        }
        let record = RevocationRecord {
            is_carried_out: true,
            ..self.record.clone()
        };
        let request = PlatformRequest::CompareAndSwap {
            key: self.key.clone(),
            expected: self.revision,
            value: serde_json::to_vec(&record).ok(),
            lease: Some(lease),
        };
        match node.call(request).await {
            Ok(PlatformResponse::Swapped { .. } | PlatformResponse::Conflict { .. }) => true,
            response => {
                log::warn!(
                    "event=revocation_unbound key={} answer={response:?}",
                    self.key
                );
                false
            }
        }
    }

    /// Waits until the record, which is carried out, is gone, or the time-to-live has passed here.
    async fn await_end(&self, node: &Node) {
        let ttl = node.settings.gateway_ttl;
        let seen_at = Instant::now();
        for lease in &self.leases {
            lease.revoked_at.set(Some(seen_at));
        }
        while seen_at.elapsed() < ttl {
            sleep(READ_INTERVAL).await;
            let key = self.key.clone();
            let found = node.call(PlatformRequest::Get { key }).await;
            if matches!(found, Ok(PlatformResponse::Found { keys, .. }) if keys.is_empty()) {
                for lease in &self.leases {
                    lease.is_record_gone.set(true);
                }
                return;
            }
        }
    }
}
