//! Confirmations by the gateways that they have stopped using a former primary.

use std::rc::Rc;
use std::time::Duration;

use strum::Display;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::clock;
use super::confirmation_tracker::Replacement;
use super::datagram::{Datagram, RecordUpdate};
use super::follow;
use super::keys;
use super::node::Node;
use super::record::RegisteredVm;
use super::revocation::{self, RevokedLease};
use super::saves;
use super::synchronization;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::PlatformResponse;
use crate::name::VmName;

/// Interval at which the record is sent again to VMs that haven't confirmed, and a confirmation to
/// a holder that hasn't acknowledged it.
const RESEND_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which confirmations are read from the store, for VMs whose messages don't arrive.
const STORE_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Number of attempts to confirm to the holder by message only, before the store is used as well.
const MAX_DIRECT_ATTEMPTS: usize = 3;

/// Number of attempts to confirm. Giving up is safe: the holder revokes the lease of a VM whose
/// confirmation doesn't arrive.
const MAX_ATTEMPTS: usize = 100;

/// Time that saves under way get to end before a confirmation.
const SAVE_GRACE_PERIOD: Duration = Duration::from_millis(60);

/// Time after which the registration of a VM that hasn't confirmed is revoked.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);

/// VM that a replacement waits for.
#[derive(Debug)]
struct Pending {
    vm: RegisteredVm,
    /// Validity lease of the VM, if its registration is revoked.
    revoked: Option<Rc<RevokedLease>>,
}

/// Why a replacement no longer waits for a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum Released {
    /// It has confirmed the replacement.
    Confirmed,
    /// Its validity lease has ended since its registration was revoked.
    Lapsed,
}

/// Confirms to the holder that this VM sends nothing new to the former primary, and acknowledges no
/// further save of it.
///
/// The record that this VM acts on already names the replacement. The confirmation waits until the
/// subleases that this VM granted have ended, because their holders may still use the old record, and
/// for a short time until the saves under way have been answered.
pub async fn send(node: Rc<Node>, holder: VmName, replacement: Replacement) {
    let (database, generation) = replacement.clone();
    let subleased_for = node.state.borrow().subleased_until.since(clock::now());
    let saves_ended = timeout(SAVE_GRACE_PERIOD, saves::wait_until_none(&node, &database));
    let _ = tokio::join!(sleep(subleased_for), saves_ended);
    saves::withhold(&node, &database);
    if holder == node.settings.vm {
        node.confirmations.record_confirmation(&replacement, holder);
        return;
    }
    for attempt in 0..MAX_ATTEMPTS {
        let address = node
            .state
            .borrow()
            .gateways
            .get(&holder)
            .map(|record| record.peer_address);
        if let Some(address) = address {
            let confirmation = Datagram::Confirmation {
                vm: node.settings.vm.clone(),
                database: database.clone(),
                generation,
            };
            node.outbox.send(address, confirmation);
        }
        if attempt >= MAX_DIRECT_ATTEMPTS && write(&node, &replacement).await {
            return;
        }
        let acknowledged = async {
            while !node.confirmations.take_acknowledgement(&replacement) {
                node.confirmations.changed().await;
            }
        };
        if timeout(RESEND_INTERVAL, acknowledged).await.is_ok() {
            return;
        }
    }
}

/// Writes the confirmation to the store; returns whether the store has it.
async fn write(node: &Rc<Node>, (database, generation): &Replacement) -> bool {
    let prefix = keys::confirmations(database, *generation);
    let lease = node.state.borrow().lease;
    let request = PlatformRequest::CompareAndSwap {
        key: format!("{prefix}{}", node.settings.vm),
        expected: Revision(0),
        value: Some(Vec::new()),
        lease,
    };
    match node.call(request).await {
        Ok(PlatformResponse::Swapped { .. } | PlatformResponse::Conflict { .. }) => true,
        response => {
            log::warn!("event=move_unconfirmed database={database} answer={response:?}");
            false
        }
    }
}

/// Wait for the confirmations of a replacement, in the background. It ends when this is dropped, for
/// example because the failover lease is lost.
#[derive(Debug)]
pub struct Confirming {
    task: JoinSet<()>,
    has_ended: bool,
}

impl Confirming {
    /// Starts to wait until no VM relies on an earlier record than `record` any more.
    pub fn start(node: &Rc<Node>, record: RecordUpdate, generation: u64) -> Self {
        let node = Rc::clone(node);
        let mut task = JoinSet::new();
        task.spawn_local(async move { await_all(&node, &record, generation).await });
        Self {
            task,
            has_ended: false,
        }
    }

    /// Waits for the rest. Returns false if the wait was cut off by a panic.
    pub async fn wait(&mut self) -> bool {
        if !self.has_ended {
            let ended = self.task.join_next().await;
            self.has_ended = matches!(ended, Some(Ok(())));
        }
        self.has_ended
    }

    /// Returns whether no VM relies on an earlier record any more.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.task.try_join_next();
        self.has_ended |= matches!(ended, Some(Ok(())));
        self.has_ended
    }
}

/// Waits until every VM that may rely on an earlier record has confirmed, or has no validity lease
/// left. A VM that refuses connections may still rely on one: a broken network can refuse them for it.
///
/// A restoration of the store may have lost registrations whose VMs still hold a validity lease.
/// Such a lease was renewed before the restoration, so it has ended after one time-to-live.
async fn await_all(node: &Rc<Node>, record: &RecordUpdate, generation: u64) {
    let replacement = (record.database.clone(), generation);
    let started = Instant::now();
    let mut store_read_at = started;
    let mut pending = vms_with_validity_lease(node).await;
    loop {
        if !pending.is_empty() && store_read_at.elapsed() >= STORE_READ_INTERVAL {
            store_read_at = Instant::now();
            read(node, &replacement).await;
        }
        pending.retain(|pending| {
            let released = released(node, &replacement, pending);
            if let Some(reason) = released {
                log::info!(
                    "event=move_released database={} vm={} reason={reason} waited_ms={}",
                    record.database,
                    pending.vm.vm,
                    started.elapsed().as_millis()
                );
            }
            released.is_none()
        });
        if pending.is_empty() && node.timeline_age() >= node.settings.gateway_ttl {
            node.confirmations.end(&replacement);
            return;
        }
        if started.elapsed() >= CONFIRMATION_TIMEOUT {
            revoke(node, &replacement, &mut pending).await;
        }
        for pending in &pending {
            let update = Datagram::Record(record.clone());
            let address = pending.vm.registration.peer_address;
            node.outbox.send(address, update);
        }
        let pause = timeout(RESEND_INTERVAL, node.confirmations.changed());
        if pause.await.is_ok() {
            log::debug!("event=move_confirmed database={}", record.database);
        }
    }
}

fn released(node: &Node, replacement: &Replacement, pending: &Pending) -> Option<Released> {
    if node
        .confirmations
        .has_confirmed(replacement, &pending.vm.vm)
    {
        return Some(Released::Confirmed);
    }
    let revoked = pending.revoked.as_ref()?;
    let has_ended = revoked.has_ended(node.settings.gateway_ttl);
    has_ended.then_some(Released::Lapsed)
}

/// Reads the confirmations that were written to the store.
async fn read(node: &Rc<Node>, replacement: &Replacement) {
    let (database, generation) = replacement;
    let prefix = keys::confirmations(database, *generation);
    let Some((keys, _)) = follow::list(node, &prefix).await else {
        return;
    };
    for vm in keys.iter().filter_map(|key| key.key.strip_prefix(&prefix)) {
        node.confirmations
            .record_confirmation(replacement, VmName::from(vm));
    }
}

/// Returns the VMs that may rely on what they have read: those that are registered, and those whose
/// registrations were revoked a short time ago.
///
/// The registrations are read first. One that is gone by then was revoked before, and the record of
/// that is read afterwards.
async fn vms_with_validity_lease(node: &Rc<Node>) -> Vec<Pending> {
    let mut registered = None;
    loop {
        if registered.is_none() {
            registered = registered_vms(node).await;
        } else if let Some(revoked) = revocation::list(node).await {
            let registered = registered.into_iter().flatten();
            let registered = registered.map(|vm| Pending { vm, revoked: None });
            let revoked = revoked.into_iter().map(|revoked| Pending {
                vm: revoked.vm,
                revoked: Some(revoked.lease),
            });
            return registered.chain(revoked).collect();
        } else {
            sleep(RESEND_INTERVAL).await;
        }
    }
}

async fn registered_vms(node: &Rc<Node>) -> Option<Vec<RegisteredVm>> {
    let Some((keys, _)) = follow::list(node, keys::GATEWAYS).await else {
        sleep(RESEND_INTERVAL).await;
        return None;
    };
    let registered = keys.into_iter().filter_map(synchronization::gateway);
    Some(
        registered
            .map(|(vm, registration)| RegisteredVm { vm, registration })
            .collect(),
    )
}

/// Revokes the registrations of the VMs that haven't confirmed, so that their validity leases end
/// within one time-to-live.
async fn revoke(node: &Rc<Node>, replacement: &Replacement, pending: &mut [Pending]) {
    let unrevoked = pending.iter().filter(|pending| pending.revoked.is_none());
    let vms: Vec<RegisteredVm> = unrevoked.map(|pending| pending.vm.clone()).collect();
    if vms.is_empty() {
        return;
    }
    let (database, generation) = replacement;
    let key = keys::revocation(database, *generation);
    let Some(revoked) = revocation::begin(node, key, vms).await else {
        return;
    };
    for pending in pending {
        let is_same = |vm: &RegisteredVm| {
            vm.vm == pending.vm.vm && vm.registration.lease == pending.vm.registration.lease
        };
        if let Some(revoked) = revoked.iter().find(|revoked| is_same(&revoked.vm)) {
            pending.revoked = Some(Rc::clone(&revoked.lease));
        }
    }
}
