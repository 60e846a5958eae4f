//! The platform's service as the source of the configuration: which VMs read and watch it, and
//! when.

use std::sync::Arc;
use std::time::Duration;

use super::super::blackboard::{Blackboard, CallId};
use super::super::command::{Command, LogEvent, PlatformRequest};
use super::super::event::{KeyValue, PlatformEvent, PlatformResponse};
use super::{Batch, CONFIGURATION_PREFIX, PendingCall, advance, digest, replace};
use crate::configuration::{
    Configuration, ConfigurationChange, RecordPath, Revision, StoredRecord,
};
use crate::time::Timestamp;

/// Pause before a failed read of the whole configuration is repeated.
const READ_PAUSE: Duration = Duration::from_secs(1);

/// Timeout of a read of the configuration.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a starting VM waits for its peers to send the configuration before it reads the
/// service.
const PEER_WAIT: Duration = Duration::from_millis(300);

/// Pause before a lost watch is restarted.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// A watch that ends sooner than this is assumed to be unable to continue from its revision.
const MIN_WATCH_DURATION: Duration = Duration::from_secs(1);

/// Interval at which a VM without contact with a watcher reads the service itself.
const FALLBACK_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Reads and watches of this VM at the service.
#[derive(Debug, Default)]
pub(super) struct Source {
    started_at: Option<Timestamp>,
    read: Option<PendingCall>,
    read_at: Option<Timestamp>,
    watch: Option<PendingCall>,
    watch_lost_at: Option<Timestamp>,
    /// Whether the configuration must be read before the next watch is started.
    needs_read: bool,
}

/// Starts the reads and watches that are due.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let is_watcher = digest::is_watcher(board, now);
    let is_loaded = board.configuration.is_loaded;
    let has_watcher_contact = digest::has_watcher_contact(board, now);
    let source = &mut board.configuration.source;
    let started_at = *source.started_at.get_or_insert(now);
    if source
        .read
        .is_some_and(|read| now.since(read.started_at) > READ_TIMEOUT)
    {
        source.read = None;
    }
    if !is_loaded {
        let may_read = now.since(started_at) >= PEER_WAIT;
        return if may_read {
            read(board, READ_PAUSE, now)
        } else {
            Vec::new()
        };
    }
    if is_watcher {
        if board.configuration.source.needs_read {
            return read(board, READ_PAUSE, now);
        }
        return watch(board, now);
    }
    let mut commands = end_watch(board);
    if !has_watcher_contact {
        commands.extend(read(board, FALLBACK_READ_INTERVAL, now));
    }
    commands
}

/// Handles an event of the platform's service.
pub(super) fn handle(
    board: &mut Blackboard,
    event: &PlatformEvent,
    now: Timestamp,
) -> Vec<Command> {
    let source = &mut board.configuration.source;
    match event {
        PlatformEvent::Ended { call, result, .. } if is_call(source.read, *call) => {
            source.read = None;
            match result {
                Ok(PlatformResponse::Found { keys, revision }) => {
                    source.needs_read = false;
                    load(board, keys, *revision)
                }
                _ => Vec::new(),
            }
        }
        PlatformEvent::Changed {
            watch,
            keys,
            revision,
        } if is_call(source.watch, *watch) => apply_changes(board, keys, *revision),
        PlatformEvent::WatchLost { watch } if is_call(source.watch, *watch) => {
            let lasted = source.watch.map(|watch| now.since(watch.started_at));
            source.watch = None;
            source.watch_lost_at = Some(now);
            // The service may have compacted the revisions from which the watch was to continue.
            source.needs_read |= lasted.is_some_and(|lasted| lasted < MIN_WATCH_DURATION);
            Vec::new()
        }
        _ => Vec::new(),
    }
}

fn is_call(pending: Option<PendingCall>, call: CallId) -> bool {
    pending.is_some_and(|pending| pending.call == call)
}

fn read(board: &mut Blackboard, pause: Duration, now: Timestamp) -> Vec<Command> {
    let source = &board.configuration.source;
    if source.read.is_some() || source.read_at.is_some_and(|at| now.since(at) < pause) {
        return Vec::new();
    }
    let call = board.next_call();
    let source = &mut board.configuration.source;
    source.read = Some(PendingCall {
        call,
        started_at: now,
    });
    source.read_at = Some(now);
    let prefix = CONFIGURATION_PREFIX.to_owned();
    vec![Command::Platform {
        call,
        request: PlatformRequest::List {
            prefix,
            allow_stale: false,
        },
    }]
}

fn watch(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let source = &board.configuration.source;
    let paused = source
        .watch_lost_at
        .is_some_and(|at| now.since(at) < WATCH_PAUSE);
    if source.watch.is_some() || paused {
        return Vec::new();
    }
    let from = Revision(board.configuration.current.revision.0 + 1);
    let call = board.next_call();
    board.configuration.source.watch = Some(PendingCall {
        call,
        started_at: now,
    });
    let prefix = CONFIGURATION_PREFIX.to_owned();
    vec![Command::Platform {
        call,
        request: PlatformRequest::Watch { prefix, from },
    }]
}

fn end_watch(board: &mut Blackboard) -> Vec<Command> {
    let Some(watch) = board.configuration.source.watch.take() else {
        return Vec::new();
    };
    let call = board.next_call();
    vec![Command::Platform {
        call,
        request: PlatformRequest::EndWatch { watch: watch.call },
    }]
}

fn load(board: &mut Blackboard, keys: &[KeyValue], revision: Revision) -> Vec<Command> {
    let mut configuration = Configuration {
        revision,
        ..Configuration::default()
    };
    let mut commands = Vec::new();
    for key in keys {
        match decode_change(key) {
            Ok(Some(ConfigurationChange {
                record: Some(record),
                ..
            })) => configuration.put(record),
            Ok(_) => {}
            Err(line) => commands.push(Command::Log(line)),
        }
    }
    commands.extend(replace(board, Arc::new(configuration)));
    commands
}

fn apply_changes(board: &mut Blackboard, keys: &[KeyValue], upto: Revision) -> Vec<Command> {
    let mut changes = Vec::new();
    let mut commands = Vec::new();
    for key in keys {
        match decode_change(key) {
            Ok(found) => changes.extend(found),
            Err(line) => commands.push(Command::Log(line)),
        }
    }
    let after = board.configuration.current.revision;
    let origin = board.local.name.clone();
    commands.extend(advance(
        board,
        Batch {
            after,
            upto,
            changes,
        },
        Some(&origin),
    ));
    commands
}

/// Decodes a key; `Ok(None)` when it is not the key of a configuration record.
fn decode_change(key: &KeyValue) -> Result<Option<ConfigurationChange>, LogEvent> {
    let Some(path) = key
        .key
        .strip_prefix(CONFIGURATION_PREFIX)
        .and_then(RecordPath::parse)
    else {
        return Ok(None);
    };
    let revision = key.revision;
    let Some(value) = &key.value else {
        return Ok(Some(ConfigurationChange {
            revision,
            path,
            record: None,
        }));
    };
    // A record that can't be decoded must not replace a valid one.
    let stored = StoredRecord::decode(&path, value)
        .map_err(|error| LogEvent::warn("record_ignored").with("error", error))?;
    Ok(Some(ConfigurationChange {
        revision,
        path,
        record: Some(stored.record),
    }))
}
