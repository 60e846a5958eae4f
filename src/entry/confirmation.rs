//! Confirmations by the gateways that they have stopped using a former primary.

use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use strum::Display;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::clock;
use super::confirmation_tracker::Replacement;
use super::datagram::{Datagram, RecordUpdate};
use super::follow;
use super::keys;
use super::node::Node;
use super::record::VmRecord;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::PlatformResponse;
use crate::name::{DatabaseName, VmName};

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

/// Longest time for which a confirmation waits for the subleases granted to other VMs to end.
const MAX_SUBLEASE_WAIT: Duration = Duration::from_millis(500);

/// Time after which the registration of a VM that hasn't confirmed is revoked.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Time limit of the connection attempt that checks whether a VM's process still runs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Gateway whose confirmation is pending.
#[derive(Debug)]
struct Pending {
    record: VmRecord,
    lease_ended_at: Option<Instant>,
}

/// Why a replacement no longer waits for a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum Released {
    /// It has confirmed the replacement.
    Confirmed,
    /// It refuses connections.
    RefusesConnections,
    /// Its validity lease has lapsed since its registration was revoked.
    Lapsed,
}

/// Confirms to the holder that this VM sends nothing new to the former primary.
///
/// The record that this VM acts on already names the replacement. The confirmation waits until the
/// subleases that this VM granted have ended, because their holders may still use the old record.
pub async fn send(node: Rc<Node>, holder: VmName, replacement: Replacement) {
    let now = clock::now();
    let remaining = node
        .state
        .borrow()
        .subleased_until
        .since(now)
        .min(MAX_SUBLEASE_WAIT);
    if !remaining.is_zero() {
        sleep(remaining).await;
    }
    let (database, generation) = replacement.clone();
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

/// Waits until every gateway has confirmed, is known to be stopped or has no validity lease left.
///
/// A restoration of the store may have lost registrations whose VMs still hold a validity lease.
/// Such a lease was renewed before the restoration, so it has ended after one time-to-live.
pub async fn await_all(node: &Rc<Node>, record: &RecordUpdate, generation: u64) {
    let replacement = (record.database.clone(), generation);
    let started = Instant::now();
    let mut store_read_at = started;
    let mut pending = registered_gateways(node).await;
    loop {
        if !pending.is_empty() && store_read_at.elapsed() >= STORE_READ_INTERVAL {
            store_read_at = Instant::now();
            read(node, &replacement).await;
        }
        pending.retain(|vm, _| {
            let has_confirmed = node.confirmations.has_confirmed(&replacement, vm);
            if has_confirmed {
                log_released(&record.database, vm, Released::Confirmed, started);
            }
            !has_confirmed
        });
        if started.elapsed() >= CONFIRMATION_TIMEOUT {
            revoke_registrations(node, &record.database, &mut pending, started).await;
        }
        if pending.is_empty() && node.timeline_age() >= node.settings.gateway_ttl {
            node.confirmations.end(&replacement);
            return;
        }
        for pending in pending.values() {
            let update = Datagram::Record(record.clone());
            node.outbox.send(pending.record.peer_address, update);
        }
        let pause = timeout(RESEND_INTERVAL, node.confirmations.changed());
        if pause.await.is_ok() {
            log::debug!("event=move_confirmed database={}", record.database);
        }
    }
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

async fn registered_gateways(node: &Rc<Node>) -> HashMap<VmName, Pending> {
    loop {
        if let Some((keys, _)) = follow::list(node, keys::GATEWAYS).await {
            let records = keys.into_iter().filter_map(|key| {
                let vm = VmName::from(key.key.strip_prefix(keys::GATEWAYS)?);
                let record: VmRecord = serde_json::from_slice(&key.value?).ok()?;
                let pending = Pending {
                    record,
                    lease_ended_at: None,
                };
                Some((vm, pending))
            });
            return records.collect();
        }
        sleep(RESEND_INTERVAL).await;
    }
}

/// Revokes the registrations of VMs that haven't confirmed. Removes from `pending` the VMs that are
/// stopped or whose validity lease has ended.
///
/// After the revocation the store accepts no renewal, so the validity lease of such a VM ends
/// within one time-to-live.
async fn revoke_registrations(
    node: &Rc<Node>,
    database: &DatabaseName,
    pending: &mut HashMap<VmName, Pending>,
    started: Instant,
) {
    let ttl = node.settings.gateway_ttl;
    let revoking = pending.iter_mut().map(async |(vm, pending)| {
        if let Some(ended_at) = pending.lease_ended_at {
            let has_lapsed = ended_at.elapsed() >= ttl;
            return (vm.clone(), has_lapsed.then_some(Released::Lapsed));
        }
        if is_stopped(&pending.record).await {
            return (vm.clone(), Some(Released::RefusesConnections));
        }
        let lease = pending.record.lease;
        let response = node.call(PlatformRequest::Revoke { lease }).await;
        log::info!("event=guard_ended database={database} vm={vm} answer={response:?}");
        if response.is_ok() {
            pending.lease_ended_at = Some(Instant::now());
        }
        (vm.clone(), None)
    });
    for (vm, released) in join_all(revoking).await {
        if let Some(released) = released {
            log_released(database, &vm, released, started);
            pending.remove(&vm);
        }
    }
}

/// Returns whether a VM refuses connections. Its process has then ended, and no statement of it can
/// still run under its old validity lease.
async fn is_stopped(record: &VmRecord) -> bool {
    let connecting = TcpStream::connect(record.peer_address);
    let refused = timeout(PROBE_TIMEOUT, connecting).await;
    matches!(refused, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

fn log_released(database: &DatabaseName, vm: &VmName, released: Released, started: Instant) {
    log::info!(
        "event=move_released database={database} vm={vm} reason={released} waited_ms={}",
        started.elapsed().as_millis()
    );
}
