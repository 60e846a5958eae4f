//! Digests between every VM of a cell and the cell's watchers: they find what a VM has missed, and
//! show each VM that it is still in contact.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::super::blackboard::Blackboard;
use super::super::command::Command;
use super::message::ConfigurationMessage;
use super::{Revisions, bring, send};
use crate::configuration::Revision;
use crate::name::VmName;
use crate::time::Timestamp;

/// Watchers of a cell.
const WATCHERS: usize = 2;

/// Interval between digests to the watchers.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between digests of a VM that has no configuration yet.
const STARTING_DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer after which the next VM is taken for a watcher in place of a silent one.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// Time for which a VM that was asked as a watcher acts as one.
const ASKED_LIMIT: Duration = Duration::from_secs(5);

/// Time after which a silent watcher is asked again.
const SILENT_RETRY: Duration = Duration::from_secs(10);

/// What this VM knows of the digests it sends and receives.
#[derive(Debug, Default)]
pub(super) struct Digests {
    sent_at: Option<Timestamp>,
    /// When each watcher was first asked since it last answered.
    unanswered: BTreeMap<VmName, Timestamp>,
    answered_at: Option<Timestamp>,
    /// When this VM was last asked as a watcher.
    asked_at: Option<Timestamp>,
    revisions: Revisions,
}

/// Digest as it was received.
#[derive(Debug, Clone)]
pub(super) struct Received {
    pub(super) revision: Revision,
    pub(super) contact_age: Option<Duration>,
    pub(super) is_answer: bool,
}

/// Returns whether this VM watches the service for its cell.
pub(super) fn is_watcher(board: &Blackboard, now: Timestamp) -> bool {
    let asked_at = board.configuration.digests.asked_at;
    let is_asked = asked_at.is_some_and(|at| now.since(at) < ASKED_LIMIT);
    is_asked || watchers(board, now).contains(&board.local.name)
}

/// Returns whether a watcher has answered lately, or this VM is the only one of its cell.
pub(super) fn hears_watcher(board: &Blackboard, now: Timestamp) -> bool {
    let answered_at = board.configuration.digests.answered_at;
    answered_at.is_some_and(|at| now.since(at) < SILENCE_LIMIT)
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
    let message = own(board, false, now);
    let digests = &mut board.configuration.digests;
    digests.sent_at = Some(now);
    for watcher in &watchers {
        let first = digests.unanswered.entry(watcher.clone()).or_insert(now);
        if now.since(*first) >= SILENT_RETRY {
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
    if digest.is_answer {
        digests.unanswered.remove(from);
        digests.answered_at = Some(now);
        if let (Some(age), Some(sent_at)) = (digest.contact_age, digests.sent_at) {
            board.configuration.contact.peer_vouched(sent_at, age);
        }
    } else {
        digests.asked_at = Some(now);
    }
    let mut commands = Vec::new();
    if !digest.is_answer {
        commands.push(send(from, own(board, true, now)));
    }
    let state = &board.configuration;
    let revision = state.current.revision;
    if digest.revision > revision || (!state.is_loaded && digest.revision > Revision::default()) {
        commands.push(send(from, ConfigurationMessage::Fetch { after: revision }));
    } else if digest.revision < revision {
        commands.push(bring(board, from, digest.revision));
    }
    commands
}

fn own(board: &Blackboard, is_answer: bool, now: Timestamp) -> ConfigurationMessage {
    let age = board.configuration.contact.age(now);
    let contact_age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    let revision = board.configuration.current.revision;
    ConfigurationMessage::Digest {
        revision,
        contact_age_ms,
        is_answer,
    }
}

/// Returns the watchers of the cell as this VM sees them, passing over silent ones.
fn watchers(board: &Blackboard, now: Timestamp) -> Vec<VmName> {
    let mut members: Vec<_> = board
        .membership
        .names_in(&board.local.cell)
        .into_iter()
        .collect();
    members.sort_by_cached_key(|vm| xxh3_64(vm.as_bytes()));
    let unanswered = &board.configuration.digests.unanswered;
    let is_silent = |vm: &VmName| {
        let waited = unanswered.get(vm).map(|first| now.since(*first));
        waited.is_some_and(|waited| waited >= SILENCE_LIMIT && waited < SILENT_RETRY)
    };
    members
        .into_iter()
        .filter(|vm| !is_silent(vm))
        .take(WATCHERS)
        .collect()
}
