//! Confirmations that every VM has left the former primary of a database.

use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::clock;
use super::follow;
use super::gossip::{Datagram, ProvenRecord};
use super::handover::Replacement;
use super::keys;
use super::node::Node;
use super::record::VmRecord;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::PlatformAnswer;
use crate::name::{DatabaseName, VmName};

/// Interval at which VMs that haven't confirmed are told again.
const TELL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which confirmations are read from the store, for VMs that can't be heard.
const STORE_INTERVAL: Duration = Duration::from_millis(200);

/// Attempts to confirm to the holder itself before the store is used.
const DIRECT_ATTEMPTS: usize = 3;

/// Attempts to confirm at all; the holder ends the guard of a VM that it doesn't hear.
const ATTEMPTS: usize = 100;

/// Longest time for which a confirmation waits for the proofs that were lent to other VMs.
const MAX_LENT: Duration = Duration::from_millis(500);

/// Time after which the registration of a VM that doesn't confirm is ended.
const PATIENCE: Duration = Duration::from_millis(700);

/// Longest time to learn whether a VM's process still runs.
const PROBE_WITHIN: Duration = Duration::from_millis(100);

/// VM that hasn't confirmed.
#[derive(Debug)]
struct Pending {
    record: VmRecord,
    lease_ended_at: Option<Instant>,
}

/// Confirms that this VM sends nothing new to the former primary: its record says so already, and
/// the proofs that it lent have ended.
pub async fn send(node: Rc<Node>, holder: VmName, replacement: Replacement) {
    let now = clock::now();
    let lent = node.state.borrow().lent_until.since(now).min(MAX_LENT);
    if !lent.is_zero() {
        sleep(lent).await;
    }
    let (database, generation) = replacement.clone();
    if holder == node.settings.vm {
        node.handover.hear(&replacement, holder);
        return;
    }
    for attempt in 0..ATTEMPTS {
        let address = node
            .state
            .borrow()
            .gateways
            .get(&holder)
            .map(|record| record.peer_address);
        if let Some(address) = address {
            let confirmation = Datagram::Left {
                vm: node.settings.vm.clone(),
                database: database.clone(),
                generation,
            };
            node.outbox.send(address, confirmation);
        }
        if attempt >= DIRECT_ATTEMPTS && write(&node, &replacement).await {
            return;
        }
        let noted = async {
            while !node.handover.take_noted(&replacement) {
                node.handover.changed().await;
            }
        };
        if timeout(TELL_INTERVAL, noted).await.is_ok() {
            return;
        }
    }
}

/// Confirms through the store; returns whether it took the confirmation.
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
        Ok(PlatformAnswer::Swapped { .. } | PlatformAnswer::Conflict { .. }) => true,
        answer => {
            log::warn!("event=move_unconfirmed database={database} answer={answer:?}");
            false
        }
    }
}

/// Waits until every gateway has confirmed, is known not to run, or has lost its guard.
pub async fn all(node: &Rc<Node>, record: &ProvenRecord, generation: u64) {
    let replacement = (record.database.clone(), generation);
    let started = Instant::now();
    let mut store_read_at = started;
    let mut pending = registered(node).await;
    loop {
        if store_read_at.elapsed() >= STORE_INTERVAL {
            store_read_at = Instant::now();
            read(node, &replacement).await;
        }
        pending.retain(|vm, _| !node.handover.has_heard(&replacement, vm));
        if started.elapsed() >= PATIENCE {
            end_guards(node, &record.database, &mut pending).await;
        }
        if pending.is_empty() {
            node.handover.end(&replacement);
            return;
        }
        for pending in pending.values() {
            let told = Datagram::Record(record.clone());
            node.outbox.send(pending.record.peer_address, told);
        }
        let pause = timeout(TELL_INTERVAL, node.handover.changed());
        if pause.await.is_ok() {
            log::debug!("event=move_confirmed database={}", record.database);
        }
    }
}

/// Takes over the confirmations that the store holds.
async fn read(node: &Rc<Node>, replacement: &Replacement) {
    let (database, generation) = replacement;
    let prefix = keys::confirmations(database, *generation);
    let Some((keys, _)) = follow::list(node, &prefix).await else {
        return;
    };
    for vm in keys.iter().filter_map(|key| key.key.strip_prefix(&prefix)) {
        node.handover.hear(replacement, VmName::from(vm));
    }
}

async fn registered(node: &Rc<Node>) -> HashMap<VmName, Pending> {
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
        sleep(TELL_INTERVAL).await;
    }
}

/// Ends the registrations of VMs that don't confirm. Their guards end with the time-to-live of
/// their last renewal, which the store accepted before.
async fn end_guards(
    node: &Rc<Node>,
    database: &DatabaseName,
    pending: &mut HashMap<VmName, Pending>,
) {
    let ttl = node.settings.guard_ttl;
    let mut over = Vec::new();
    for (vm, pending) in pending.iter_mut() {
        if let Some(ended_at) = pending.lease_ended_at {
            if ended_at.elapsed() >= ttl {
                over.push(vm.clone());
            }
            continue;
        }
        if is_stopped(&pending.record).await {
            over.push(vm.clone());
            continue;
        }
        let lease = pending.record.lease;
        let answer = node.call(PlatformRequest::Revoke { lease }).await;
        log::info!("event=guard_ended database={database} vm={vm} answer={answer:?}");
        if answer.is_ok() {
            pending.lease_ended_at = Some(Instant::now());
        }
    }
    for vm in over {
        pending.remove(&vm);
    }
}

/// Returns whether a VM answers that no process listens, so that nothing of it can still be
/// running under its old guard.
async fn is_stopped(record: &VmRecord) -> bool {
    let connecting = TcpStream::connect(record.peer_address);
    let refused = timeout(PROBE_WITHIN, connecting).await;
    matches!(refused, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
