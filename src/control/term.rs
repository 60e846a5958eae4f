//! Term controller: decides which instance of each database is the primary.

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

use group::{Group, GroupContext, Phase};
pub use inquiry::TermMessage;
use inquiry::{Inquiries, query_peers};
use view::GroupDigest;

use super::blackboard::{Blackboard, CallId};
use super::command::Command;
use super::event::{
    Event, InstanceEvent, PlatformEvent, PlatformFailure, PlatformResponse, TrafficEvent,
};
use crate::name::{DatabaseName, InstanceName};
use crate::peer::PeerMessage;
use crate::time::Timestamp;

/// If two ticks are further apart than this, and than five tick intervals, this VM is assumed to
/// have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(100);

/// State of the term controller.
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
        let limit = PAUSE_THRESHOLD.max(Duration::from_millis(board.settings.tick_ms) * 5);
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
                    let restart_at = evidence.silent_since().map(|_| now);
                    evidence.restart_silence(restart_at);
                }
            }
            commands.extend(self.step(board, &name, now));
        }
        commands
    }

    /// Adds and removes groups to match the home leases; returns whether a group was removed.
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
        let mut commands = self.inquiries.respond(event);
        let mut ended = None;
        if let Some(evidence) = self
            .groups
            .get_mut(database)
            .and_then(|group| group.evidence.get_mut(instance))
        {
            match event {
                InstanceEvent::Reported {
                    report,
                    requested_at,
                    ..
                } => evidence.reported(report, *requested_at),
                InstanceEvent::NoResponse { requested_at, .. } => evidence.timed_out(*requested_at),
                InstanceEvent::Closed { .. } => evidence.closed(now),
                InstanceEvent::CommandEnded {
                    request, report, ..
                } => ended = report.as_ref().map(|report| (request, report)),
            }
        }
        if let Some((request, report)) = ended {
            commands.extend(self.with_group(board, database, now, |group, cx| {
                attempt::command_ended(group, instance, request, report, cx)
            }));
        }
        commands.extend(self.step(board, database, now));
        commands
    }

    fn call_ended(
        &mut self,
        board: &mut Blackboard,
        call: CallId,
        result: &Result<PlatformResponse, PlatformFailure>,
        now: Timestamp,
    ) -> Vec<Command> {
        let owner = self
            .groups
            .iter_mut()
            .find(|(_, group)| group.record.owns(call));
        let Some((name, group)) = owner else {
            return Vec::new();
        };
        group.record.end_call(result, now);
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
        act: impl FnOnce(&mut Group, &GroupContext) -> Vec<Command>,
    ) -> Vec<Command> {
        let configuration = &board.configuration.current;
        let (Some(group), Some(config), Some(lease)) = (
            self.groups.get_mut(database),
            configuration.databases.get(database),
            board.homes.leases.get(database),
        ) else {
            return Vec::new();
        };
        group.update_members(config);
        let context = GroupContext {
            vm: &board.local.name,
            config,
            configuration,
            lease: *lease,
            settings: &board.settings,
            now,
        };
        act(group, &context)
    }

    /// Runs the due actions of one group, and publishes the group if it changed.
    fn step(
        &mut self,
        board: &mut Blackboard,
        database: &DatabaseName,
        now: Timestamp,
    ) -> Vec<Command> {
        let mut digest = None;
        let mut suspected: Option<InstanceName> = None;
        let mut commands = self.with_group(board, database, now, |group, cx| {
            let commands = decide::step(group, cx);
            suspected = group.primary_to_query(cx);
            digest = Some(view::digest(group, cx));
            commands
        });
        if let Some(instance) = suspected {
            commands.extend(query_peers(board, database, &instance));
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
