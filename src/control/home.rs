//! Home controller: decides which VM holds the connections to each database.
//!
//! One VM of each cell is its leader, according to a record in the platform's service. The leader
//! grants home leases in its replies to heartbeats. `docs/design/homes.md` describes the protocol
//! and why it is safe.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::blackboard::{Blackboard, LocalVm};
use super::command::Command;
use super::event::{Event, PlatformEvent, TrafficEvent};
use super::snapshot::{HomeLease, HomeView, Standing};
use crate::configuration::Revision;
use crate::name::{DatabaseName, VmName};
use crate::peer::PeerMessage;
use crate::settings::ControlSettings;
use crate::time::Timestamp;

pub mod assignment;
mod election;
mod leader;
mod member;
pub mod message;
pub mod record;
mod release;

pub use assignment::weight;
pub use message::HomeMessage;

use election::ElectionState;
use leader::LeaderState;
use member::MemberState;
use message::{Holding, MAX_ENTRIES, TableEntry};
use release::ReleaseState;

/// State of the home controller.
#[derive(Debug, Default)]
pub struct HomeState {
    /// Home of each database of the cell.
    pub homes: Arc<BTreeMap<DatabaseName, HomeView>>,
    /// Leases under which this VM is a home; an expired one stays until another home is known.
    pub leases: BTreeMap<DatabaseName, HomeLease>,
    /// Configuration revision that every VM of the cell has, as reported by its leader.
    pub common_revision: Revision,
    member: MemberState,
    election: ElectionState,
    leader: Option<LeaderState>,
    release: ReleaseState,
}

impl HomeState {
    /// Returns the homes in the form that the traffic threads use.
    pub fn views(&self) -> Arc<BTreeMap<DatabaseName, HomeView>> {
        Arc::clone(&self.homes)
    }

    /// Returns whether this VM is the leader of its cell, as far as it knows.
    pub const fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the leader that this VM follows; `None` when this VM leads or knows no leader.
    pub fn followed_leader(&self) -> Option<&VmName> {
        self.member.leader()
    }

    /// Returns whether the leader that this VM follows replies to its heartbeats.
    pub const fn leader_responds(&self) -> bool {
        self.member.leader_responds
    }

    /// Returns the members that follow this VM; empty when it doesn't lead.
    pub fn followers(&self) -> Vec<VmName> {
        self.leader
            .as_ref()
            .map(LeaderState::follower_names)
            .unwrap_or_default()
    }

    /// Records the home of a database unless its epoch or a later one is known, and drops this VM's
    /// lease if another VM is the home now; returns whether anything changed.
    fn record_home(
        &mut self,
        database: &DatabaseName,
        vm: &VmName,
        epoch: u64,
        local: &LocalVm,
    ) -> bool {
        let known = self.homes.get(database);
        if known.is_some_and(|known| known.epoch >= epoch) {
            return false;
        }
        let view = HomeView {
            vm: vm.clone(),
            epoch,
        };
        Arc::make_mut(&mut self.homes).insert(database.clone(), view);
        let is_superseded = |lease: &HomeLease| lease.epoch < epoch && *vm != local.name;
        if self.leases.get(database).is_some_and(is_superseded) {
            self.leases.remove(database);
        }
        true
    }

    /// Returns the homes whose leases this VM holds and that have not expired.
    fn valid_holdings(&self, now: Timestamp) -> Vec<Holding> {
        let valid = self.leases.iter().filter(|(_, l)| l.valid_until > now);
        let holding = |(database, lease): (&DatabaseName, &HomeLease)| Holding {
            database: database.clone(),
            epoch: lease.epoch,
        };
        valid.map(holding).collect()
    }

    fn table(&self) -> Vec<TableEntry> {
        let entry = |(database, view): (&DatabaseName, &HomeView)| TableEntry {
            database: database.clone(),
            vm: view.vm.clone(),
            epoch: view.epoch,
        };
        self.homes.iter().map(entry).collect()
    }

    fn table_digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (database, view) in self.homes.iter() {
            hash_text(&mut hasher, database);
            hash_text(&mut hasher, &view.vm);
            hasher.update(&view.epoch.to_le_bytes());
        }
        hasher.digest()
    }
}

/// Handles one event.
pub fn handle(board: &mut Blackboard, event: &Event, now: Timestamp) -> Vec<Command> {
    match event {
        Event::Tick => tick(board, now),
        Event::Peer {
            from,
            incarnation,
            message: PeerMessage::Home(message),
        } => match message {
            HomeMessage::Heartbeat(heartbeat) => {
                leader::handle_heartbeat(board, from, *incarnation, heartbeat, now)
            }
            HomeMessage::HeartbeatReply(reply) => member::handle_reply(board, from, reply, now),
            HomeMessage::Table(entries) => merge_table(board, entries),
            HomeMessage::LeaderLost { epoch } => {
                election::handle_leader_lost(board, from, *epoch, now)
            }
            HomeMessage::LeaderLostReply { epoch, lost } => {
                election::handle_leader_lost_reply(board, from, *epoch, *lost)
            }
            HomeMessage::Leader(notice) => election::handle_notice(board, from, notice, now),
        },
        Event::Platform(PlatformEvent::Ended {
            call,
            sent_at,
            result,
        }) => election::handle_result(board, *call, *sent_at, result, now),
        Event::Traffic(TrafficEvent::HomeReleased { database, epoch }) => {
            release::handle_released(board, database, *epoch, now)
        }
        Event::Shutdown => {
            board.standing = Standing::Draining;
            let mut commands = vec![Command::Publish];
            commands.extend(release::tick(board, now));
            commands.extend(member::send_heartbeat(board, now));
            commands
        }
        _ => Vec::new(),
    }
}

fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let mut commands = leader::tick(board, now);
    commands.extend(member::tick(board, now));
    commands.extend(election::tick(board, now));
    commands.extend(release::tick(board, now));
    commands
}

fn merge_table(board: &mut Blackboard, entries: &[TableEntry]) -> Vec<Command> {
    let mut has_changed = false;
    for entry in entries {
        let Blackboard { homes, local, .. } = board;
        has_changed |= homes.record_home(&entry.database, &entry.vm, entry.epoch, local);
    }
    if has_changed {
        vec![Command::Publish]
    } else {
        Vec::new()
    }
}

/// Returns messages with entries of the table, each small enough for one datagram.
fn table_messages(entries: &[TableEntry]) -> impl Iterator<Item = HomeMessage> {
    entries
        .chunks(MAX_ENTRIES)
        .map(|chunk| HomeMessage::Table(chunk.to_vec()))
}

fn send(to: &VmName, message: HomeMessage) -> Command {
    Command::Send {
        to: to.clone(),
        message: PeerMessage::Home(message),
    }
}

/// Returns the digest of a VM's holdings, which the member and the leader both compute.
fn holdings_digest(holdings: &[Holding]) -> u64 {
    let mut hasher = Xxh3::new();
    for holding in holdings {
        hash_text(&mut hasher, &holding.database);
        hasher.update(&holding.epoch.to_le_bytes());
    }
    hasher.digest()
}

fn hash_text(hasher: &mut Xxh3, text: &str) {
    hasher.update(text.as_bytes());
    hasher.update(&[0]);
}

const fn heartbeat(settings: &ControlSettings) -> Duration {
    Duration::from_millis(settings.heartbeat_ms)
}

const fn lease(settings: &ControlSettings) -> Duration {
    Duration::from_millis(settings.lease_ms)
}

/// Time after which a lease that may have been granted is certain to have expired.
const fn lease_with_margin(settings: &ControlSettings) -> Duration {
    Duration::from_millis(settings.lease_ms + settings.lease_margin_ms)
}

/// Time for which a member follows no other leader after a reply.
const fn promise(settings: &ControlSettings) -> Duration {
    Duration::from_millis(settings.lease_ms / 2)
}

#[cfg(test)]
mod tests;
