//! Whether this VM's state may be relied on: it must be in contact with the service, or with most
//! of its cell.

use std::time::Duration;

use super::super::blackboard::Blackboard;
use super::super::command::{Command, LogEvent};
use super::super::event::Event;
use super::super::snapshot::Standing;
use crate::name::VmName;
use crate::time::Timestamp;

/// Time for which a peer counts as in contact after its last message.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time of the latest contact with the service or with most of the cell, directly or through a
/// watcher.
#[derive(Debug, Default)]
pub(super) struct Contact {
    at: Option<Timestamp>,
}

impl Contact {
    /// Records that the service responded to a call sent at `sent_at`.
    pub(super) fn record_service_contact(&mut self, sent_at: Timestamp) {
        self.at = self.at.max(Some(sent_at));
    }

    /// Records that a watcher was in contact `age` before it replied to a digest sent at `sent_at`.
    pub(super) fn record_peer_contact(&mut self, sent_at: Timestamp, age: Duration) {
        let age_micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = sent_at.as_micros().saturating_sub(age_micros);
        self.at = self.at.max(Some(Timestamp::from_micros(at)));
    }

    /// Returns the time since the latest contact; `None` when there was none.
    pub(super) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.at.map(|at| now.since(at))
    }
}

/// Updates this VM's standing after an event.
pub(super) fn update(board: &mut Blackboard, event: &Event, now: Timestamp) -> Vec<Command> {
    if matches!(event, Event::Tick) && has_majority_contact(board, now) {
        board.configuration.contact.at = Some(now);
    }
    let next = match board.standing {
        Standing::Draining => return Vec::new(),
        _ if !board.configuration.is_loaded => Standing::Starting,
        _ if is_in_contact(board, now) => Standing::Serving,
        _ => Standing::Isolated,
    };
    if next == board.standing {
        return Vec::new();
    }
    let line = LogEvent::warn("standing_changed")
        .with("from", board.standing)
        .with("to", next);
    board.standing = next;
    vec![Command::Log(line), Command::Publish]
}

fn is_in_contact(board: &Blackboard, now: Timestamp) -> bool {
    let limit = Duration::from_millis(board.settings.isolation_limit_ms);
    board
        .configuration
        .contact
        .age(now)
        .is_some_and(|age| age <= limit)
}

/// Returns whether most VMs of the cell, including this one, have sent a message recently.
fn has_majority_contact(board: &Blackboard, now: Timestamp) -> bool {
    let members = board.membership.names_in(&board.local.cell);
    let has_contact = |vm: &VmName| {
        let last_seen_at = board.membership.last_seen_at.get(vm);
        *vm == board.local.name || last_seen_at.is_some_and(|at| now.since(*at) < CONTACT_TIMEOUT)
    };
    let in_contact = members.iter().filter(|vm| has_contact(vm)).count();
    in_contact * 2 > members.len()
}
