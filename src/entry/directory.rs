//! Reads the announcements of the instances.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::clock;
use super::health::Verdict;
use super::instance::Change;
use super::keys;
use super::node::Node;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformAnswer};
use crate::name::{DatabaseName, InstanceName};
use crate::time::Timestamp;

/// Pause before the announcements are read again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time for which a primary must have done well without an instance before the instance's log is
/// no longer needed: all that it acknowledged has reached the others.
const OUTLIVED_AFTER: Duration = Duration::from_secs(4);

/// Reads the announcements at an interval until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut unreadable = HashMap::new();
    let mut smaller_since = HashMap::new();
    loop {
        let read = read(&node, &mut unreadable).await;
        if read {
            note_group_sizes(&node, &mut smaller_since);
        }
        let pause = if read {
            node.settings.directory_refresh
        } else {
            RETRY_PAUSE
        };
        sleep(pause).await;
    }
}

async fn read(node: &Rc<Node>, unreadable: &mut HashMap<String, Revision>) -> bool {
    let prefix = keys::INSTANCES.to_owned();
    let asked_at = clock::now();
    let answer = node.call(PlatformRequest::List { prefix }).await;
    let Ok(PlatformAnswer::Found { keys, .. }) = answer else {
        log::warn!("event=announcements_unread answer={answer:?}");
        return false;
    };
    let changes = apply(node, keys, unreadable);
    for change in &changes {
        node.apply_change(change);
    }
    node.state.borrow_mut().directory_read_at = Some(asked_at);
    if !changes.is_empty() {
        node.changed.notify_waiters();
    }
    true
}

fn apply(
    node: &Rc<Node>,
    keys: Vec<KeyValue>,
    unreadable: &mut HashMap<String, Revision>,
) -> Vec<Change> {
    let mut state = node.state.borrow_mut();
    let mut present = HashSet::new();
    let mut changes = Vec::new();
    for key in keys {
        let (Some(name), Some(value)) = (key.key.strip_prefix(keys::INSTANCES), &key.value) else {
            continue;
        };
        match (node.adapter.decode_instance)(name, value) {
            Ok(instance) => {
                present.insert(instance.name.clone());
                changes.extend(state.directory.update(instance));
            }
            Err(error) => {
                if unreadable.insert(name.to_owned(), key.revision) != Some(key.revision) {
                    log::warn!("event=announcement_unreadable instance={name} error=\"{error}\"");
                }
            }
        }
    }
    let known = state.directory.all().map(|instance| instance.name.clone());
    let gone: Vec<InstanceName> = known.filter(|name| !present.contains(name)).collect();
    for name in gone {
        changes.extend(state.directory.remove(&name));
    }
    changes
}

/// Keeps count of the instances of each database that may hold acknowledged saves.
fn note_group_sizes(node: &Rc<Node>, smaller_since: &mut HashMap<DatabaseName, Timestamp>) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let databases: Vec<DatabaseName> = state.databases.keys().cloned().collect();
    for database in databases {
        let count = state.directory.of(&database).count();
        let healthy = state.primary(&database).is_some();
        let known = state.database(&database);
        if count >= known.group_size {
            known.group_size = count;
            smaller_since.remove(&database);
            continue;
        }
        if !healthy || known.health.verdict(now) != Verdict::Healthy {
            smaller_since.remove(&database);
            continue;
        }
        let since = *smaller_since.entry(database).or_insert(now);
        if now.since(since) >= OUTLIVED_AFTER {
            known.group_size = count;
        }
    }
}
