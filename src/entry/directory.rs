//! Keeps the instances known in line with their announcements.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use super::clock;
use super::follow::Follower;
use super::health::Verdict;
use super::instance::Change;
use super::keys;
use super::node::Node;
use crate::configuration::Revision;
use crate::control::event::KeyValue;
use crate::name::{DatabaseName, InstanceName};
use crate::time::Timestamp;

/// Time for which an instance whose announcement vanished is still used: announcements that lapsed
/// while the store was away come back within about two seconds.
const GONE_AFTER: Duration = Duration::from_millis(2_500);

/// Time for which a primary must have done well without an instance before the instance's log is
/// no longer needed: all that it acknowledged has reached the others.
const OUTLIVED_AFTER: Duration = Duration::from_secs(4);

/// Reads and watches the announcements while this VM is a gateway, until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        node.until(|state| state.gateway).await;
        tokio::select! {
            () = follow(&node) => {}
            () = node.until(|state| !state.gateway) => {}
        }
        node.state.borrow_mut().directory_known = false;
        node.pools().iter().for_each(|pool| pool.close_idle());
    }
}

async fn follow(node: &Rc<Node>) {
    let unreadable = RefCell::default();
    let follower = Follower {
        prefix: keys::INSTANCES,
        progress: &node.directory_progress,
        replace: &|keys| replace(node, &keys, &unreadable),
        apply: &|key| apply(node, &key, &unreadable),
    };
    follower.run(node).await;
}

/// Since when databases have had fewer instances than before.
pub type SmallerSince = HashMap<DatabaseName, Timestamp>;

/// Revisions of the announcements that could not be read, each of which is logged once.
type Unreadable = RefCell<HashMap<String, Revision>>;

fn replace(node: &Rc<Node>, found: &[KeyValue], unreadable: &Unreadable) {
    let present: HashSet<InstanceName> = found
        .iter()
        .filter_map(|key| key.key.strip_prefix(keys::INSTANCES))
        .map(InstanceName::from)
        .collect();
    let vanished: Vec<InstanceName> = {
        let state = node.state.borrow();
        let known = state.directory.all().map(|instance| &instance.name);
        known
            .filter(|name| !present.contains(*name))
            .cloned()
            .collect()
    };
    for name in vanished {
        note_missing(node, name);
    }
    for key in found {
        apply(node, key, unreadable);
    }
    node.state.borrow_mut().directory_known = true;
}

fn apply(node: &Rc<Node>, key: &KeyValue, unreadable: &Unreadable) {
    let Some(name) = key.key.strip_prefix(keys::INSTANCES) else {
        return;
    };
    node.directory_progress.note(key.revision);
    let Some(value) = &key.value else {
        note_missing(node, InstanceName::from(name));
        return;
    };
    match (node.adapter.decode_instance)(name, value) {
        Ok(instance) => {
            let change = {
                let mut state = node.state.borrow_mut();
                state.missing.remove(&instance.name);
                state.directory.update(instance)
            };
            if let Some(change) = change {
                announce(node, &change);
            }
        }
        Err(error) => {
            let known = unreadable
                .borrow_mut()
                .insert(name.to_owned(), key.revision);
            if known != Some(key.revision) {
                log::warn!("event=announcement_unreadable instance={name} error=\"{error}\"");
            }
            note_missing(node, InstanceName::from(name));
        }
    }
}

fn note_missing(node: &Rc<Node>, name: InstanceName) {
    let mut state = node.state.borrow_mut();
    if state.directory.get(&name).is_none() || state.missing.contains_key(&name) {
        return;
    }
    log::info!("event=instance_missing instance={name}");
    state.missing.insert(name, clock::now());
}

fn announce(node: &Rc<Node>, change: &Change) {
    node.apply_change(change);
    node.changed.notify_waiters();
}

/// Forgets instances that have been missing for long; counts those that are left.
pub fn tidy(node: &Rc<Node>, smaller_since: &mut SmallerSince) {
    let now = clock::now();
    let gone: Vec<Change> = {
        let mut state = node.state.borrow_mut();
        let missing = state.missing.iter();
        let over = missing.filter(|(_, since)| now.since(**since) >= GONE_AFTER);
        let names: Vec<InstanceName> = over.map(|(name, _)| name.clone()).collect();
        names
            .into_iter()
            .filter_map(|name| {
                state.missing.remove(&name);
                state.directory.remove(&name)
            })
            .collect()
    };
    for change in gone {
        announce(node, &change);
    }
    note_group_sizes(node, smaller_since, now);
}

/// Keeps count of the instances of each database that may hold acknowledged saves.
fn note_group_sizes(node: &Rc<Node>, smaller_since: &mut SmallerSince, now: Timestamp) {
    let mut state = node.state.borrow_mut();
    let databases: Vec<DatabaseName> = state.databases.keys().cloned().collect();
    for database in databases {
        let count = state.directory.of(&database).count();
        let healthy = state
            .primary(&database)
            .is_some_and(|primary| node.pool_verdict(&primary.name) == Verdict::Healthy);
        let known = state.database(&database);
        if count >= known.group_size {
            known.group_size = count;
            smaller_since.remove(&database);
        } else if !healthy {
            smaller_since.remove(&database);
        } else {
            let since = *smaller_since.entry(database).or_insert(now);
            if now.since(since) >= OUTLIVED_AFTER {
                known.group_size = count;
            }
        }
    }
}
