//! Controller of the operators' configuration: how each revision reaches this VM.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::blackboard::{Blackboard, CallId};
use super::command::{Command, PlatformRequest};
use super::event::{Event, KeyValue, PlatformAnswer, PlatformEvent};
use super::snapshot::Standing;
use crate::configuration::{Configuration, ConfigurationChange, Record, RecordPath, Revision};
use crate::time::Timestamp;

/// Prefix of configuration records below the fleet's prefix.
pub const CONFIGURATION_PREFIX: &str = "config/";

/// What the configuration controller knows.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    /// The configuration as far as this VM has it.
    pub current: Arc<Configuration>,
    read: Option<CallId>,
    watch: Option<CallId>,
}

/// Messages about the configuration between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// Latest revision that the sender has.
    Digest {
        /// The revision.
        revision: Revision,
    },
}

/// Handles one event.
pub fn handle(board: &mut Blackboard, event: &Event, _now: Timestamp) -> Vec<Command> {
    match event {
        Event::Tick => start_read(board),
        Event::Platform(PlatformEvent::Ended { call, result, .. })
            if board.configuration.read == Some(*call) =>
        {
            let Ok(PlatformAnswer::Found { keys, revision }) = result else {
                board.configuration.read = None;
                return Vec::new();
            };
            load(board, keys, *revision)
        }
        Event::Platform(PlatformEvent::Changed {
            watch,
            keys,
            revision,
        }) if board.configuration.watch == Some(*watch) => apply(board, keys, *revision),
        Event::Platform(PlatformEvent::WatchLost { watch })
            if board.configuration.watch == Some(*watch) =>
        {
            board.configuration.watch = None;
            board.configuration.read = None;
            Vec::new()
        }
        _ => Vec::new(),
    }
}

fn start_read(board: &mut Blackboard) -> Vec<Command> {
    if board.configuration.read.is_some() {
        return Vec::new();
    }
    let call = board.next_call();
    board.configuration.read = Some(call);
    let prefix = CONFIGURATION_PREFIX.to_owned();
    vec![Command::Platform {
        call,
        request: PlatformRequest::List { prefix },
    }]
}

fn load(board: &mut Blackboard, keys: &[KeyValue], revision: Revision) -> Vec<Command> {
    if revision < board.configuration.current.revision {
        board.configuration.read = None;
        return Vec::new();
    }
    let mut configuration = Configuration {
        revision,
        ..Configuration::default()
    };
    for key in keys {
        if let Some(record) = decode(key) {
            configuration.put(record);
        }
    }
    board.configuration.current = Arc::new(configuration);
    if board.standing == Standing::Starting {
        board.standing = Standing::Serving;
    }
    let call = board.next_call();
    board.configuration.watch = Some(call);
    let prefix = CONFIGURATION_PREFIX.to_owned();
    let from = Revision(revision.0 + 1);
    vec![
        Command::Platform {
            call,
            request: PlatformRequest::Watch { prefix, from },
        },
        Command::Publish,
    ]
}

fn apply(board: &mut Blackboard, keys: &[KeyValue], revision: Revision) -> Vec<Command> {
    let mut configuration = Configuration::clone(&board.configuration.current);
    for key in keys {
        let Some(path) = key
            .key
            .strip_prefix(CONFIGURATION_PREFIX)
            .and_then(RecordPath::parse)
        else {
            continue;
        };
        let record = decode(key);
        configuration.apply(ConfigurationChange {
            revision: key.revision,
            path,
            record,
        });
    }
    configuration.revision = configuration.revision.max(revision);
    board.configuration.current = Arc::new(configuration);
    vec![Command::Publish]
}

fn decode(key: &KeyValue) -> Option<Record> {
    serde_json::from_slice(key.value.as_deref()?).ok()
}
