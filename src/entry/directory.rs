//! Keeps the directory of instances up to date with their announcements in the store.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Mutex;

use super::clock;
use super::follow::{self, Follower};
use super::instance::{Change, Instance};
use super::keys;
use super::node::Node;
use crate::configuration::Revision;
use crate::control::event::KeyValue;
use crate::name::InstanceName;
use crate::time::Timestamp;

/// Time for which an instance whose announcement is missing is still used. Announcements that
/// lapsed during a store outage are restored within about two seconds.
const MISSING_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Heartbeat interval of the watch of the announcements.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_500);

/// Reads and watches the announcements while this VM is a gateway, until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        node.wait_until(|state| state.gateway).await;
        tokio::select! {
            () = follow_announcements(&node) => {}
            () = node.wait_until(|state| !state.gateway) => {}
        }
        forget(&node);
    }
}

/// Forgets the instances when this VM is no longer a gateway: it doesn't see which of them leave
/// until it is one again.
fn forget(node: &Rc<Node>) {
    let gone: Vec<Change> = {
        let (mut state, now) = (node.state.borrow_mut(), clock::now());
        node.directory_progress.record_gap();
        state.directory_known = false;
        state.missing.clear();
        let names: Vec<_> = state
            .directory
            .all()
            .map(|known| known.name.clone())
            .collect();
        let removed = names
            .iter()
            .filter_map(|name| state.directory.remove(name, now));
        removed.collect()
    };
    for change in gone {
        publish_change(node, &change);
    }
}

async fn follow_announcements(node: &Rc<Node>) {
    let unreadable = RefCell::default();
    let read_at = Cell::new(clock::now());
    let follower = Follower {
        prefix: keys::INSTANCES,
        progress: &node.directory_progress,
        read: &|| {
            read_at.set(clock::now());
            Box::pin(follow::list(node, keys::INSTANCES))
        },
        replace: &|keys, _| {
            let heard_at = node.directory_progress.heard_at();
            node.state.borrow_mut().directory.limit_current(heard_at);
            replace(node, &keys, &unreadable);
            let mut state = node.state.borrow_mut();
            state.directory.record_current(read_at.get());
        },
        apply: &|key| apply(node, &key, &unreadable),
        heartbeat: &|| HEARTBEAT_INTERVAL,
    };
    follower.run(node).await;
}

/// Reads of the announcements beside the watch. Callers that wait at the same time share one read.
#[derive(Debug, Default)]
pub struct Refresh {
    /// Number of reads that have begun.
    begun: Cell<u64>,
    /// Number of the last read that the store responded to.
    completed: Mutex<u64>,
}

/// Adds every instance that is announced at the time of the call, also those that the watch hasn't
/// delivered yet. Returns whether the store responded.
pub async fn refresh(node: &Rc<Node>) -> bool {
    let refresh = &node.directory_refresh;
    // A read that has already begun may lack what was announced since.
    let needed = refresh.begun.get() + 1;
    let mut completed = refresh.completed.lock().await;
    if *completed >= needed {
        return true;
    }
    let number = refresh.begun.get() + 1;
    refresh.begun.set(number);
    let Some((found, _)) = follow::list(node, keys::INSTANCES).await else {
        return false;
    };
    *completed = number;
    for key in &found {
        add_announced(node, key);
    }
    true
}

/// Applies an announcement unless the watch has delivered it, or a later change, already.
fn add_announced(node: &Rc<Node>, key: &KeyValue) {
    let (Some(name), Some(value)) = (key.key.strip_prefix(keys::INSTANCES), &key.value) else {
        return;
    };
    if key.revision <= node.directory_progress.own() {
        return;
    }
    // The watch logs those that can't be decoded.
    if let Ok(instance) = (node.adapter.decode_instance)(name, value) {
        update(node, instance);
    }
}

fn update(node: &Rc<Node>, instance: Instance) {
    let change = {
        let mut state = node.state.borrow_mut();
        state.missing.remove(&instance.name);
        state.directory.update(instance, clock::now())
    };
    if let Some(change) = change {
        publish_change(node, &change);
    }
}

/// Revisions of the announcements that couldn't be decoded, each of which is logged once.
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
        mark_missing(node, name);
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
    node.directory_progress.record_own(key.revision);
    let Some(value) = &key.value else {
        unreadable.borrow_mut().remove(name);
        mark_missing(node, InstanceName::from(name));
        return;
    };
    match (node.adapter.decode_instance)(name, value) {
        Ok(instance) => {
            unreadable.borrow_mut().remove(name);
            update(node, instance);
        }
        Err(error) => {
            let known = unreadable
                .borrow_mut()
                .insert(name.to_owned(), key.revision);
            if known != Some(key.revision) {
                log::warn!("event=announcement_unreadable instance={name} error=\"{error}\"");
            }
            mark_missing(node, InstanceName::from(name));
        }
    }
}

fn mark_missing(node: &Rc<Node>, name: InstanceName) {
    let mut state = node.state.borrow_mut();
    if state.directory.get(&name).is_none() || state.missing.contains_key(&name) {
        return;
    }
    log::info!("event=instance_missing instance={name}");
    state.missing.insert(name, clock::now());
}

/// Records that the store responded to a renewal sent at `sent_at`. Every change until then is known if
/// the announcements have been followed without a gap.
pub fn record_renewal(node: &Node, sent_at: Timestamp) {
    if node.directory_progress.is_current() {
        node.state.borrow_mut().directory.record_current(sent_at);
    }
}

fn publish_change(node: &Rc<Node>, change: &Change) {
    node.apply_change(change);
    node.changed.notify_waiters();
}

/// Removes instances whose announcements have been missing for `MISSING_TIMEOUT`.
pub fn remove_missing(node: &Rc<Node>) {
    let now = clock::now();
    let gone: Vec<Change> = {
        let mut state = node.state.borrow_mut();
        let missing = state.missing.iter();
        let expired = missing.filter(|(_, since)| now.since(**since) >= MISSING_TIMEOUT);
        let names: Vec<InstanceName> = expired.map(|(name, _)| name.clone()).collect();
        names
            .into_iter()
            .filter_map(|name| {
                state.missing.remove(&name);
                state.directory.remove(&name, now)
            })
            .collect()
    };
    for change in gone {
        publish_change(node, &change);
    }
}
