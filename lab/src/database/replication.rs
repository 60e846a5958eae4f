//! Asynchronous replication: each replica fetches what its primary has committed, after its lag.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::time::Instant;

use super::instance::Instance;
use super::log::{Entry, common_entries};

/// Replicates until the group is dropped.
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

/// Applies what is due; returns when the next entry is.
fn step(replica: &Instance, peers: &[Weak<Instance>]) -> Option<Instant> {
    let primary = source(replica, peers)?;
    let lag = Duration::from_millis(replica.lag_ms.load(Ordering::Relaxed));
    if !drop_unknown_entries(replica, &primary) {
        return None;
    }
    let have = replica.core().log.len();
    let (term, entries): (_, Vec<Arc<Entry>>) = {
        let core = primary.core();
        (
            core.adopted.clone(),
            core.log.get(have..).unwrap_or_default().to_vec(),
        )
    };
    let now = Instant::now();
    let mut core = replica.core();
    if core.adopted != term || core.log.len() != have {
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
    replica_announce(replica, &core, have);
    next_due
}

fn replica_announce(replica: &Instance, core: &super::instance::Core, before: usize) {
    if core.log.len() != before {
        replica.announce(core);
    }
}

/// Returns the primary that the replica may fetch from now.
fn source(replica: &Instance, peers: &[Weak<Instance>]) -> Option<Arc<Instance>> {
    let (following, adopted) = {
        let core = replica.core();
        (core.following.clone()?, core.adopted.clone())
    };
    let primary = peers
        .iter()
        .filter_map(Weak::upgrade)
        .find(|peer| peer.name == following)?;
    let report = primary.report();
    let reachable = replica.network.links().replicates() && primary.network.links().replicates();
    (reachable && report.is_primary && report.adopted == adopted).then_some(primary)
}

/// Drops entries that the primary doesn't have, once a term; returns whether that is done.
fn drop_unknown_entries(replica: &Instance, primary: &Instance) -> bool {
    if replica.core().synced {
        return true;
    }
    let (term, theirs) = {
        let core = primary.core();
        (core.adopted.clone(), core.log.clone())
    };
    let mut core = replica.core();
    if core.adopted != term {
        return false;
    }
    let common = common_entries(&core.log, &theirs);
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
        replica.announce(&core);
    }
    core.synced = true;
    true
}
