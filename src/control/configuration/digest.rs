//! Digests that every VM of a cell exchanges with the cell's watchers: they reveal changes that a
//! VM has missed, and show each VM that it is still in contact with the cell.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::super::blackboard::Blackboard;
use super::super::command::Command;
use super::message::ConfigurationMessage;
use super::{Revisions, catch_up, send};
use crate::configuration::Revision;
use crate::name::VmName;
use crate::time::Timestamp;

/// Number of watchers of a cell.
const WATCHERS: usize = 2;

/// Interval between digests to the watchers.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between digests of a VM that has no configuration yet.
const STARTING_DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a reply after which a watcher is passed over in favour of the next VM.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a VM acts as a watcher after it received a digest that is not a reply.
const WATCHER_ROLE_DURATION: Duration = Duration::from_secs(5);

/// Time after which a watcher that didn't reply is tried again.
const WATCHER_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// State of the digests that this VM sends and receives.
#[derive(Debug, Default)]
pub(super) struct Digests {
    sent_at: Option<Timestamp>,
    /// When each watcher was first sent a digest since its last reply.
    awaiting_reply_since: BTreeMap<VmName, Timestamp>,
    last_reply_at: Option<Timestamp>,
    /// When this VM last received a digest as a watcher.
    requested_at: Option<Timestamp>,
    revisions: Revisions,
}

/// Digest received from another VM.
#[derive(Debug, Clone)]
pub(super) struct Received {
    pub(super) revision: Revision,
    pub(super) contact_age: Option<Duration>,
    pub(super) is_reply: bool,
}

/// Returns whether this VM watches the service for its cell.
pub(super) fn is_watcher(board: &Blackboard, now: Timestamp) -> bool {
    let requested_at = board.configuration.digests.requested_at;
    let was_requested = requested_at.is_some_and(|at| now.since(at) < WATCHER_ROLE_DURATION);
    was_requested || watchers(board, now).contains(&board.local.name)
}

/// Returns whether a watcher has replied within [`WATCHER_TIMEOUT`].
pub(super) fn has_watcher_contact(board: &Blackboard, now: Timestamp) -> bool {
    let last_reply_at = board.configuration.digests.last_reply_at;
    last_reply_at.is_some_and(|at| now.since(at) < WATCHER_TIMEOUT)
}

/// Sends the digests that are due.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let is_loaded = board.configuration.is_loaded;
    let interval = if is_loaded {
        DIGEST_INTERVAL
    } else {
        STARTING_DIGEST_INTERVAL
    };
    let sent_at = board.configuration.digests.sent_at;
    if sent_at.is_some_and(|at| now.since(at) < interval) {
        return Vec::new();
    }
    let mut watchers = watchers(board, now);
    watchers.retain(|vm| *vm != board.local.name);
    let message = own_digest(board, false, now);
    let digests = &mut board.configuration.digests;
    digests.sent_at = Some(now);
    for watcher in &watchers {
        let first = digests
            .awaiting_reply_since
            .entry(watcher.clone())
            .or_insert(now);
        if now.since(*first) >= WATCHER_RETRY_INTERVAL {
            *first = now;
        }
    }
    watchers
        .iter()
        .map(|watcher| send(watcher, message.clone()))
        .collect()
}

/// Handles a digest of another VM.
pub(super) fn receive(
    board: &mut Blackboard,
    from: &VmName,
    digest: &Received,
    now: Timestamp,
) -> Vec<Command> {
    let digests = &mut board.configuration.digests;
    digests.revisions.insert(from.clone(), digest.revision);
    if digest.is_reply {
        digests.awaiting_reply_since.remove(from);
        digests.last_reply_at = Some(now);
        if let (Some(age), Some(sent_at)) = (digest.contact_age, digests.sent_at) {
            board
                .configuration
                .contact
                .record_peer_contact(sent_at, age);
        }
    } else {
        digests.requested_at = Some(now);
    }
    let mut commands = Vec::new();
    if !digest.is_reply {
        commands.push(send(from, own_digest(board, true, now)));
    }
    let state = &board.configuration;
    let revision = state.current.revision;
    if digest.revision > revision || (!state.is_loaded && digest.revision > Revision::default()) {
        commands.push(send(from, ConfigurationMessage::Fetch { after: revision }));
    } else if digest.revision < revision {
        commands.push(catch_up(board, from, digest.revision));
    }
    commands
}

fn own_digest(board: &Blackboard, is_reply: bool, now: Timestamp) -> ConfigurationMessage {
    let age = board.configuration.contact.age(now);
    let contact_age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    let revision = board.configuration.current.revision;
    ConfigurationMessage::Digest {
        revision,
        contact_age_ms,
        is_reply,
    }
}

/// Returns the watchers of the cell as this VM sees them, passing over those that don't reply.
fn watchers(board: &Blackboard, now: Timestamp) -> Vec<VmName> {
    let mut members: Vec<_> = board
        .membership
        .names_in(&board.local.cell)
        .into_iter()
        .collect();
    members.sort_by_cached_key(|vm| xxh3_64(vm.as_bytes()));
    let awaiting_reply_since = &board.configuration.digests.awaiting_reply_since;
    let is_unresponsive = |vm: &VmName| {
        let waited = awaiting_reply_since.get(vm).map(|first| now.since(*first));
        waited.is_some_and(|waited| waited >= WATCHER_TIMEOUT && waited < WATCHER_RETRY_INTERVAL)
    };
    members
        .into_iter()
        .filter(|vm| !is_unresponsive(vm))
        .take(WATCHERS)
        .collect()
}
