//! Configuration controller: distributes each revision of the operators' configuration to this VM.
//!
//! A few VMs of each cell, the *watchers*, watch the platform's service. A change is forwarded from
//! the watchers to the other VMs along a tree. Every VM exchanges digests with the watchers, which
//! reveal changes that it missed. A VM never goes back to a lower revision.

mod digest;
pub mod message;
mod relay;
mod source;
mod standing;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

pub use message::ConfigurationMessage;

use super::blackboard::{Blackboard, CallId};
use super::command::{Command, LogEvent};
use super::event::{Event, PlatformEvent};
use crate::configuration::{Configuration, ConfigurationChange, Record, RecordPath, Revision};
use crate::name::{CellName, DatabaseName, VmName};
use crate::peer::PeerMessage;
use crate::time::Timestamp;

/// Prefix of configuration records below the fleet's prefix.
pub const CONFIGURATION_PREFIX: &str = "config/";

/// Number of changes that a VM keeps for other VMs that missed them.
const MAX_LOG_CHANGES: usize = 512;

/// State of the configuration controller.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    /// Latest configuration that this VM has.
    pub current: Arc<Configuration>,
    /// Whether this VM has received a configuration since it started.
    pub is_loaded: bool,
    /// Databases of this VM's cell.
    pub own_databases: BTreeSet<DatabaseName>,
    log: ChangeLog,
    source: source::Source,
    digests: digest::Digests,
    contact: standing::Contact,
}

impl ConfigurationState {
    fn set(&mut self, configuration: Arc<Configuration>, cell: &CellName) {
        let groups = configuration.databases.values();
        let own = groups.filter(|group| group.cell == *cell);
        self.own_databases = own.map(|group| group.name.clone()).collect();
        self.current = configuration;
    }

    /// Applies one change to the set of databases of the cell.
    fn update_own_databases(&mut self, change: &ConfigurationChange, cell: &CellName) {
        let RecordPath::Database(name) = &change.path else {
            return;
        };
        match &change.record {
            Some(Record::Database(group)) if group.cell == *cell => {
                self.own_databases.insert(name.clone());
            }
            _ => {
                self.own_databases.remove(name);
            }
        }
    }
}

/// Latest changes, for other VMs that missed some of them.
#[derive(Debug, Default)]
struct ChangeLog {
    /// Every change after this revision is in the log.
    after: Revision,
    changes: VecDeque<ConfigurationChange>,
}

impl ChangeLog {
    fn restart(&mut self, after: Revision) {
        self.after = after;
        self.changes.clear();
    }

    fn extend(&mut self, changes: &[ConfigurationChange]) {
        self.changes.extend(changes.iter().cloned());
        while self.changes.len() > MAX_LOG_CHANGES {
            let Some(dropped) = self.changes.pop_front() else {
                return;
            };
            self.after = dropped.revision;
        }
    }

    /// Returns the changes after a revision; `None` when the log doesn't go back that far.
    fn since(&self, after: Revision) -> Option<Vec<ConfigurationChange>> {
        if after < self.after {
            return None;
        }
        Some(
            self.changes
                .iter()
                .filter(|change| change.revision > after)
                .cloned()
                .collect(),
        )
    }
}

/// Handles one event.
pub fn handle(board: &mut Blackboard, event: &Event, now: Timestamp) -> Vec<Command> {
    let mut commands = match event {
        Event::Tick => {
            let mut commands = source::tick(board, now);
            commands.extend(digest::tick(board, now));
            commands
        }
        Event::Platform(event) => handle_platform_event(board, event, now),
        Event::Peer {
            from,
            message: PeerMessage::Configuration(message),
            ..
        } => handle_message(board, from, message, now),
        _ => Vec::new(),
    };
    commands.extend(standing::update(board, event, now));
    commands
}

fn handle_platform_event(
    board: &mut Blackboard,
    event: &PlatformEvent,
    now: Timestamp,
) -> Vec<Command> {
    if let PlatformEvent::Ended {
        sent_at,
        result: Ok(_),
        ..
    } = event
    {
        board.configuration.contact.record_service_contact(*sent_at);
    }
    source::handle(board, event, now)
}

fn handle_message(
    board: &mut Blackboard,
    from: &VmName,
    message: &ConfigurationMessage,
    now: Timestamp,
) -> Vec<Command> {
    match message {
        ConfigurationMessage::Digest {
            revision,
            contact_age_ms,
            is_reply,
        } => {
            let digest = digest::Received {
                revision: *revision,
                contact_age: contact_age_ms.map(Duration::from_millis),
                is_reply: *is_reply,
            };
            digest::receive(board, from, &digest, now)
        }
        ConfigurationMessage::Fetch { after } => vec![catch_up(board, from, *after)],
        ConfigurationMessage::Changes {
            origin,
            after,
            upto,
            changes,
        } => {
            let batch = Batch {
                after: *after,
                upto: *upto,
                changes: changes.clone(),
            };
            advance(board, batch, origin.as_ref())
        }
        ConfigurationMessage::Full { configuration } => replace(board, Arc::clone(configuration)),
    }
}

/// Changes that lead from one revision to another.
#[derive(Debug, Clone)]
struct Batch {
    after: Revision,
    upto: Revision,
    changes: Vec<ConfigurationChange>,
}

/// Applies a batch that continues or overlaps this VM's configuration, and forwards it along the
/// tree of its origin.
fn advance(board: &mut Blackboard, batch: Batch, origin: Option<&VmName>) -> Vec<Command> {
    let state = &mut board.configuration;
    let own = state.current.revision;
    if !state.is_loaded || batch.upto <= own || batch.after > own {
        // If changes are missing in between, the next digest reveals it.
        return Vec::new();
    }
    let mut configuration = Configuration::clone(&state.current);
    configuration.apply_batch(batch.changes.clone(), batch.upto);
    let new_changes: Vec<_> = batch
        .changes
        .into_iter()
        .filter(|change| change.revision > own)
        .collect();
    for change in &new_changes {
        state.update_own_databases(change, &board.local.cell);
    }
    state.log.extend(&new_changes);
    state.current = Arc::new(configuration);
    let mut commands = vec![Command::Publish];
    if let Some(origin) = origin {
        let batch = Batch {
            after: own,
            upto: batch.upto,
            changes: new_changes,
        };
        commands.extend(relay::forward(board, origin, &batch));
    }
    commands
}

/// Replaces the whole configuration, unless this VM's is at least as recent.
fn replace(board: &mut Blackboard, configuration: Arc<Configuration>) -> Vec<Command> {
    let state = &mut board.configuration;
    if state.is_loaded && configuration.revision <= state.current.revision {
        return Vec::new();
    }
    let revision = configuration.revision;
    state.is_loaded = true;
    state.log.restart(revision);
    state.set(configuration, &board.local.cell);
    let line = LogEvent::info("configuration_loaded").with("revision", revision.0);
    vec![Command::Log(line), Command::Publish]
}

/// Builds the message that updates another VM from a revision to this VM's revision.
fn catch_up(board: &Blackboard, to: &VmName, after: Revision) -> Command {
    let state = &board.configuration;
    let upto = state.current.revision;
    let message = match state.log.since(after) {
        Some(changes) => ConfigurationMessage::Changes {
            origin: None,
            after,
            upto,
            changes,
        },
        None => ConfigurationMessage::Full {
            configuration: Arc::clone(&state.current),
        },
    };
    send(to, message)
}

fn send(to: &VmName, message: ConfigurationMessage) -> Command {
    Command::Send {
        to: to.clone(),
        message: PeerMessage::Configuration(message),
    }
}

/// Revision that each other VM reported last.
type Revisions = BTreeMap<VmName, Revision>;

/// Call to the service that is in progress.
#[derive(Debug, Clone, Copy)]
struct PendingCall {
    call: CallId,
    started_at: Timestamp,
}

#[cfg(test)]
mod tests;
