//! Asynchronous replication: each replica fetches log entries from its primary, and applies each
//! one when the replication lag has passed since its commit.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::time::Instant;

use super::instance::Instance;
use super::log::{Entry, common_entries};

/// Runs replication for one instance until the group is dropped.
pub(crate) async fn run(replica: Weak<Instance>, peers: Vec<Weak<Instance>>) {
    let Some(mut changed) = replica.upgrade().map(|replica| replica.changed.subscribe()) else {
        return;
    };
    loop {
        let next_due = {
            let Some(replica) = replica.upgrade() else {
                return;
            };
            changed.mark_unchanged();
            step(&replica, &peers)
        };
        let due = async {
            match next_due {
                Some(due) => tokio::time::sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            result = changed.changed() => if result.is_err() { return },
            () = due => {}
        }
    }
}

/// Applies all entries that are due. Returns the time at which the next entry is due.
fn step(replica: &Instance, peers: &[Weak<Instance>]) -> Option<Instant> {
    let primary = source(replica, peers)?;
    let lag = Duration::from_millis(replica.lag_ms.load(Ordering::Relaxed));
    if !drop_unknown_entries(replica, &primary) {
        return None;
    }
    let log_len = replica.core().log.len();
    let (term, entries): (_, Vec<Arc<Entry>>) = {
        let core = primary.core();
        (
            core.adopted.clone(),
            core.log.get(log_len..).unwrap_or_default().to_vec(),
        )
    };
    let now = Instant::now();
    let mut core = replica.core();
    if core.adopted != term || core.log.len() != log_len {
        return Some(now);
    }
    let mut next_due = None;
    for entry in entries {
        let due = entry.committed_at + lag;
        if due > now {
            next_due = Some(due);
            break;
        }
        if let Err(error) = core.store.apply(&entry) {
            log::error!(
                "event=replication_failed instance={} error={:?}",
                replica.name,
                error.message
            );
            return None;
        }
        core.log.push(entry);
    }
    notify_if_log_grew(replica, &core, log_len);
    next_due
}

fn notify_if_log_grew(replica: &Instance, core: &super::instance::Core, previous_len: usize) {
    if core.log.len() != previous_len {
        replica.notify_changed(core);
    }
}

/// Returns the primary that the replica follows, if it is reachable and has the same term.
fn source(replica: &Instance, peers: &[Weak<Instance>]) -> Option<Arc<Instance>> {
    let (followed_primary, adopted) = {
        let core = replica.core();
        (core.followed_primary.clone()?, core.adopted.clone())
    };
    let primary = peers
        .iter()
        .filter_map(Weak::upgrade)
        .find(|peer| peer.name == followed_primary)?;
    let report = primary.report();
    let reachable = replica.network.links().allows_replication()
        && primary.network.links().allows_replication();
    (reachable && report.is_primary && report.adopted == adopted).then_some(primary)
}

/// Removes log entries that the primary doesn't have, once per term. Returns whether this has been
/// done for the current term.
fn drop_unknown_entries(replica: &Instance, primary: &Instance) -> bool {
    if replica.core().synced {
        return true;
    }
    let (term, primary_log) = {
        let core = primary.core();
        (core.adopted.clone(), core.log.clone())
    };
    let mut core = replica.core();
    if core.adopted != term {
        return false;
    }
    let common = common_entries(&core.log, &primary_log);
    if common < core.log.len() {
        core.log.truncate(common);
        let super::instance::Core { store, log, .. } = &mut *core;
        if let Err(error) = store.rebuild(log) {
            log::error!(
                "event=rebuild_failed instance={} error={:?}",
                replica.name,
                error.message
            );
            return false;
        }
        replica.notify_changed(&core);
    }
    core.synced = true;
    true
}
