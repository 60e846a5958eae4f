//! Controller of terms: which instance of each database is the primary.

pub mod attempt;
pub mod decide;
pub mod evidence;
pub mod group;
pub mod inquiry;
pub mod probe;
pub mod promotion;
pub mod record;
pub mod switch;
pub mod view;

use std::collections::BTreeMap;
use std::time::Duration;

use group::{Group, Phase, Surroundings};
pub use inquiry::TermMessage;
use inquiry::{Inquiries, ask_peers};
use view::GroupDigest;

use super::blackboard::{Blackboard, CallId};
use super::command::Command;
use super::event::{
    Event, InstanceEvent, PlatformAnswer, PlatformEvent, PlatformFailure, TrafficEvent,
};
use crate::name::{DatabaseName, InstanceName};
use crate::peer::PeerMessage;
use crate::time::Timestamp;

/// Time between two ticks after which this VM counts as having been paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(100);

/// What the term controller knows.
#[derive(Debug, Default)]
pub struct TermState {
    groups: BTreeMap<DatabaseName, Group>,
    published: BTreeMap<DatabaseName, GroupDigest>,
    inquiries: Inquiries,
    ticked_at: Option<Timestamp>,
}

/// Handles one event.
pub fn handle(board: &mut Blackboard, event: &Event, now: Timestamp) -> Vec<Command> {
    let mut terms = std::mem::take(&mut board.terms);
    let commands = match event {
        Event::Tick => terms.tick(board, now),
        Event::Instance(event) => terms.instance_event(board, event, now),
        Event::Platform(PlatformEvent::Ended { call, result, .. }) => {
            terms.call_ended(board, *call, result, now)
        }
        Event::Peer {
            from,
            message: PeerMessage::Term(message),
            ..
        } => terms.message(board, from, message, now),
        Event::Traffic(TrafficEvent::WritesEnded { database, epoch }) => {
            terms.writes_ended(board, database, *epoch, now)
        }
        _ => Vec::new(),
    };
    board.terms = terms;
    commands
}

impl TermState {
    fn tick(&mut self, board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
        let limit = PAUSE_LIMIT.max(Duration::from_millis(board.settings.tick_ms) * 5);
        let paused = self.ticked_at.is_some_and(|at| now.since(at) > limit);
        self.ticked_at = Some(now);
        self.inquiries.expire(now);
        let mut commands = Vec::new();
        if self.follow_leases(board, now) {
            commands.push(Command::Publish);
        }
        let names: Vec<_> = self.groups.keys().cloned().collect();
        for name in names {
            if paused && let Some(group) = self.groups.get_mut(&name) {
                for evidence in group.evidence.values_mut() {
                    let owes = evidence.silent_since().map(|_| now);
                    evidence.restart_silence(owes);
                }
            }
            commands.extend(self.step(board, &name, now));
        }
        commands
    }

    /// Starts and ends groups as home leases come and go; returns whether one ended.
    fn follow_leases(&mut self, board: &Blackboard, now: Timestamp) -> bool {
        let leases = &board.homes.leases;
        let before = self.groups.len();
        self.groups.retain(|name, _| leases.contains_key(name));
        self.published.retain(|name, _| leases.contains_key(name));
        let ended = self.groups.len() < before;
        for (name, lease) in leases {
            let same = |group: &Group| group.epoch == lease.epoch;
            if !self.groups.get(name).is_some_and(same) {
                self.groups
                    .insert(name.clone(), Group::new(lease.epoch, now));
            }
        }
        ended
    }

    fn instance_event(
        &mut self,
        board: &mut Blackboard,
        event: &InstanceEvent,
        now: Timestamp,
    ) -> Vec<Command> {
        let (database, instance) = event.subject();
        let mut commands = self.inquiries.answer(event);
        let mut ended = None;
        if let Some(evidence) = self
            .groups
            .get_mut(database)
            .and_then(|group| group.evidence.get_mut(instance))
        {
            match event {
                InstanceEvent::Reported {
                    report, asked_at, ..
                } => evidence.reported(report, *asked_at),
                InstanceEvent::Silent { asked_at, .. } => evidence.silent(*asked_at),
                InstanceEvent::Closed { .. } => evidence.closed(now),
                InstanceEvent::CommandEnded {
                    request, report, ..
                } => ended = report.as_ref().map(|report| (request, report)),
            }
        }
        if let Some((request, report)) = ended {
            commands.extend(self.with_group(board, database, now, |group, s| {
                attempt::command_ended(group, instance, request, report, s)
            }));
        }
        commands.extend(self.step(board, database, now));
        commands
    }

    fn call_ended(
        &mut self,
        board: &mut Blackboard,
        call: CallId,
        result: &Result<PlatformAnswer, PlatformFailure>,
        now: Timestamp,
    ) -> Vec<Command> {
        let owner = self
            .groups
            .iter_mut()
            .find(|(_, group)| group.record.owns(call));
        let Some((name, group)) = owner else {
            return Vec::new();
        };
        group.record.ended(result, now);
        let name = name.clone();
        self.step(board, &name, now)
    }

    fn writes_ended(
        &mut self,
        board: &mut Blackboard,
        database: &DatabaseName,
        epoch: u64,
        now: Timestamp,
    ) -> Vec<Command> {
        if let Some(group) = self.groups.get_mut(database)
            && group.epoch == epoch
            && let Phase::Switching(switchover) = &mut group.phase
        {
            switchover.writes_ended_at.get_or_insert(now);
        }
        self.step(board, database, now)
    }

    fn with_group(
        &mut self,
        board: &Blackboard,
        database: &DatabaseName,
        now: Timestamp,
        act: impl FnOnce(&mut Group, &Surroundings) -> Vec<Command>,
    ) -> Vec<Command> {
        let configuration = &board.configuration.current;
        let (Some(group), Some(config), Some(lease)) = (
            self.groups.get_mut(database),
            configuration.databases.get(database),
            board.homes.leases.get(database),
        ) else {
            return Vec::new();
        };
        group.retain_members(config);
        let surroundings = Surroundings {
            vm: &board.local.name,
            config,
            configuration,
            lease: *lease,
            settings: &board.settings,
            now,
        };
        act(group, &surroundings)
    }

    /// Does what is due for one group, and publishes it when it changed.
    fn step(
        &mut self,
        board: &mut Blackboard,
        database: &DatabaseName,
        now: Timestamp,
    ) -> Vec<Command> {
        let mut digest = None;
        let mut suspected: Option<InstanceName> = None;
        let mut commands = self.with_group(board, database, now, |group, s| {
            let commands = decide::step(group, s);
            suspected = group.to_ask_about(s);
            digest = Some(view::digest(group, s));
            commands
        });
        if let Some(instance) = suspected {
            commands.extend(ask_peers(board, database, &instance));
        }
        if let Some(group) = self.groups.get_mut(database) {
            let request = group
                .record
                .next_request(database, || board.next_call(), now);
            commands.extend(request.map(|(call, request)| Command::Platform { call, request }));
        }
        let Some(digest) = digest else {
            return commands;
        };
        if self.published.get(database) != Some(&digest) {
            self.published.insert(database.clone(), digest);
            commands.push(Command::Publish);
        }
        commands
    }
}

#[cfg(test)]
mod tests;
