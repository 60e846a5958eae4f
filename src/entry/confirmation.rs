//! Waits until every VM has left the former primary of a database.

use std::collections::{HashMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::keys;
use super::node::Node;
use super::record::VmRecord;
use crate::control::command::PlatformRequest;
use crate::control::event::PlatformAnswer;
use crate::name::{DatabaseName, VmName};

/// Interval at which confirmations are read.
const POLL: Duration = Duration::from_millis(30);

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

/// Waits until every registered VM has confirmed, is known not to run, or has lost its guard.
pub async fn all(node: &Rc<Node>, database: &DatabaseName, generation: u64) {
    let started = Instant::now();
    let mut pending = registered(node).await;
    let prefix = keys::confirmations(database, generation);
    loop {
        if let Some(confirmed) = confirmed(node, &prefix).await {
            pending.retain(|vm, _| !confirmed.contains(vm));
        }
        if started.elapsed() >= PATIENCE {
            end_guards(node, database, &mut pending).await;
        }
        if pending.is_empty() {
            return;
        }
        sleep(POLL).await;
    }
}

async fn registered(node: &Rc<Node>) -> HashMap<VmName, Pending> {
    loop {
        let prefix = keys::VMS.to_owned();
        let answer = node.call(PlatformRequest::List { prefix }).await;
        if let Ok(PlatformAnswer::Found { keys, .. }) = answer {
            let records = keys.into_iter().filter_map(|key| {
                let vm = VmName::from(key.key.strip_prefix(keys::VMS)?);
                let record = serde_json::from_slice(&key.value?).ok()?;
                let pending = Pending {
                    record,
                    lease_ended_at: None,
                };
                Some((vm, pending))
            });
            return records.collect();
        }
        log::warn!("event=vms_unread answer={answer:?}");
        sleep(POLL).await;
    }
}

async fn confirmed(node: &Rc<Node>, prefix: &str) -> Option<HashSet<VmName>> {
    let request = PlatformRequest::List {
        prefix: prefix.to_owned(),
    };
    let Ok(PlatformAnswer::Found { keys, .. }) = node.call(request).await else {
        return None;
    };
    let vms = keys.iter().filter_map(|key| key.key.strip_prefix(prefix));
    Some(vms.map(VmName::from).collect())
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
