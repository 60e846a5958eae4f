//! Release of homes, when the leader moves them or the VM shuts down.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::Holding;
use super::{leader, member};
use crate::control::blackboard::Blackboard;
use crate::control::command::{Command, LogEvent, TrafficRequest};
use crate::control::snapshot::Standing;
use crate::name::DatabaseName;
use crate::time::Timestamp;

/// Number of homes that a VM releases concurrently while it shuts down.
const MAX_RELEASING: usize = 2;

/// Time that a VM waits during shutdown for its homes to be released before it drains all other
/// work.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct Released {
    epoch: u64,
    /// Sequence number of the last heartbeat before the release: any later one reports it. `None`
    /// once the leader has replied to a later one.
    reported_after: Option<u64>,
}

/// Homes that are being released or have been released.
#[derive(Debug, Default)]
pub(super) struct ReleaseState {
    releasing: BTreeMap<DatabaseName, u64>,
    released: BTreeMap<DatabaseName, Released>,
    shutdown_at: Option<Timestamp>,
    drain_requested: bool,
}

impl ReleaseState {
    /// Returns the released homes that the leader may not know of yet.
    pub(super) fn unacknowledged(&self) -> Vec<Holding> {
        let pending = self
            .released
            .iter()
            .filter(|(_, r)| r.reported_after.is_some());
        let holding = |(database, released): (&DatabaseName, &Released)| Holding {
            database: database.clone(),
            epoch: released.epoch,
        };
        pending.map(holding).take(super::MAX_ENTRIES).collect()
    }

    /// Records that the leader has replied to a heartbeat.
    pub(super) fn acknowledge(&mut self, sequence: u64) {
        for released in self.released.values_mut() {
            if released
                .reported_after
                .is_some_and(|after| sequence > after)
            {
                released.reported_after = None;
            }
        }
    }

    /// Returns whether this VM has released the home of a grant.
    pub(super) fn has_released(&self, grant: &Holding) -> bool {
        let released = self.released.get(&grant.database);
        released.is_some_and(|released| released.epoch >= grant.epoch)
    }
}

/// Starts releasing homes, as the leader requested.
pub(super) fn start_all(board: &mut Blackboard, databases: &[DatabaseName]) -> Vec<Command> {
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

/// Releases homes, up to [`MAX_RELEASING`] at a time, while the VM shuts down, then drains all
/// other work.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let Blackboard { homes, .. } = board;
    let leases = &homes.leases;
    homes
        .release
        .releasing
        .retain(|database, epoch| leases.get(database).is_some_and(|l| l.epoch == *epoch));
    if board.standing != Standing::Draining || board.homes.release.drain_requested {
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
    let is_done = held.is_empty() && (!board.homes.is_leader() || is_alone);
    if is_done || now.since(since) >= RELEASE_TIMEOUT {
        board.homes.release.drain_requested = true;
        let line = LogEvent::info("homes_released").with("left", held.len());
        commands.push(Command::Log(line));
        commands.push(Command::Traffic(TrafficRequest::Drain));
    }
    commands
}

/// Handles the end of a home's work: drops its lease and reports the release to the leader.
pub(super) fn handle_released(
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
        reported_after: Some(board.homes.member.sequence()),
    };
    board
        .homes
        .release
        .released
        .insert(database.clone(), released);
    let mut commands = vec![Command::Publish];
    commands.extend(leader::handle_own_release(board, database, epoch, now));
    commands.extend(member::send_heartbeat(board, now));
    commands
}
