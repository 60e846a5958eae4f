//! Giving up homes: when the lead moves them, and when the VM shuts down.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::Holding;
use super::{lead, member};
use crate::control::blackboard::Blackboard;
use crate::control::command::{Command, LogEvent, TrafficRequest};
use crate::control::snapshot::Standing;
use crate::name::DatabaseName;
use crate::time::Timestamp;

/// Homes that a VM releases at once when it shuts down.
const MAX_RELEASING: usize = 2;

/// Time that a stopping VM waits for its homes before it ends the remaining work.
const MAX_WAIT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct Released {
    epoch: u64,
    /// Heartbeat that first told the lead; `None` until the lead has answered it.
    told_after: Option<u64>,
}

/// Homes on their way out.
#[derive(Debug, Default)]
pub(super) struct ReleaseState {
    releasing: BTreeMap<DatabaseName, u64>,
    released: BTreeMap<DatabaseName, Released>,
    shutdown_at: Option<Timestamp>,
    is_drain_ordered: bool,
}

impl ReleaseState {
    /// Returns the released homes that the lead may not know of.
    pub(super) fn unacknowledged(&self) -> Vec<Holding> {
        let waiting = self.released.iter().filter(|(_, r)| r.told_after.is_some());
        let holding = |(database, released): (&DatabaseName, &Released)| Holding {
            database: database.clone(),
            epoch: released.epoch,
        };
        waiting.map(holding).take(super::MAX_ENTRIES).collect()
    }

    /// Takes note that the lead answered a heartbeat.
    pub(super) fn acknowledge(&mut self, sequence: u64) {
        for released in self.released.values_mut() {
            if released.told_after.is_some_and(|after| sequence > after) {
                released.told_after = None;
            }
        }
    }

    /// Returns whether a grant is one that this VM has given up.
    pub(super) fn has_released(&self, grant: &Holding) -> bool {
        let released = self.released.get(&grant.database);
        released.is_some_and(|released| released.epoch >= grant.epoch)
    }
}

/// Starts giving up the homes that the lead wants back.
pub(super) fn give_up(board: &mut Blackboard, databases: &[DatabaseName]) -> Vec<Command> {
    let mut commands = Vec::new();
    for database in databases {
        commands.extend(start(board, database));
    }
    commands
}

fn start(board: &mut Blackboard, database: &DatabaseName) -> Option<Command> {
    let lease = board.homes.leases.get(database)?;
    let releasing = &mut board.homes.release.releasing;
    if releasing.get(database) == Some(&lease.epoch) {
        return None;
    }
    releasing.insert(database.clone(), lease.epoch);
    Some(Command::Traffic(TrafficRequest::ReleaseHome {
        database: database.clone(),
        epoch: lease.epoch,
    }))
}

/// Releases homes one after the other while the VM shuts down, then ends all other work.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let Blackboard { homes, .. } = board;
    let leases = &homes.leases;
    homes
        .release
        .releasing
        .retain(|database, epoch| leases.get(database).is_some_and(|l| l.epoch == *epoch));
    if board.standing != Standing::Draining || board.homes.release.is_drain_ordered {
        return Vec::new();
    }
    let since = *board.homes.release.shutdown_at.get_or_insert(now);
    let mut commands = Vec::new();
    let held: Vec<_> = board.homes.leases.keys().cloned().collect();
    for database in &held {
        if board.homes.release.releasing.len() >= MAX_RELEASING {
            break;
        }
        commands.extend(start(board, database));
    }
    let is_alone = board.homes.followers().is_empty();
    let is_done = held.is_empty() && (!board.homes.is_lead() || is_alone);
    if is_done || now.since(since) >= MAX_WAIT {
        board.homes.release.is_drain_ordered = true;
        let line = LogEvent::info("homes_released").with("left", held.len());
        commands.push(Command::Log(line));
        commands.push(Command::Traffic(TrafficRequest::Drain));
    }
    commands
}

/// Takes note that a home runs nothing any more, and tells the lead.
pub(super) fn ended(
    board: &mut Blackboard,
    database: &DatabaseName,
    epoch: u64,
    now: Timestamp,
) -> Vec<Command> {
    let is_current = board.homes.leases.get(database).map(|lease| lease.epoch) == Some(epoch);
    if !is_current {
        return Vec::new();
    }
    board.homes.leases.remove(database);
    board.homes.release.releasing.remove(database);
    let released = Released {
        epoch,
        told_after: Some(board.homes.member.sequence()),
    };
    board
        .homes
        .release
        .released
        .insert(database.clone(), released);
    let mut commands = vec![Command::Publish];
    commands.extend(lead::freed(board, database, epoch, now));
    commands.extend(member::send_heartbeat(board, now));
    commands
}
