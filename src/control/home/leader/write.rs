//! The leader's writes to the cell's record: membership changes, renewals and handover.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::message::{HomeMessage, LeaderNotice};
use super::super::record::{CellRecord, record_key};
use super::super::{heartbeat, lease, member, send};
use super::{Follower, LeaderState, step_down};
use crate::configuration::Revision;
use crate::control::blackboard::{Blackboard, CallId};
use crate::control::command::{Command, LogEvent, PlatformRequest};
use crate::control::event::{PlatformFailure, PlatformResponse};
use crate::control::snapshot::Standing;
use crate::name::VmName;
use crate::time::Timestamp;

/// Minimum interval between writes of the record.
const WRITE_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a heartbeat after which a member that the platform no longer lists is removed from
/// the record.
const MEMBER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(6);

/// Write whose outcome is not known yet.
#[derive(Debug)]
pub(super) struct PendingWrite {
    call: CallId,
    pub(super) record: CellRecord,
    sent_at: Timestamp,
    outcome_unknown: bool,
}

impl PendingWrite {
    /// Returns whether the write makes another VM the leader.
    pub(super) const fn hands_over(&self, record: &CellRecord) -> bool {
        self.record.epoch != record.epoch
    }
}

/// Writes the record when its members have changed, when the leadership depends on renewing it, or
/// to hand the cell over.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let Some(leader) = board.homes.leader.as_ref() else {
        return Vec::new();
    };
    let recently = |at: Timestamp| now.since(at) < WRITE_INTERVAL;
    if leader.write.is_some() || leader.last_write_at.is_some_and(recently) {
        return Vec::new();
    }
    let record = &leader.leadership.record;
    if let Some(successor) = successor(board, now) {
        return write(board, successor, now);
    }
    if leader.active_since.is_none() {
        return Vec::new();
    }
    let members = next_members(board, leader, now);
    if members == record.members && !needs_renewal(board, leader, now) {
        return Vec::new();
    }
    let next = CellRecord {
        members,
        renewed: record.renewed + 1,
        ..record.clone()
    };
    write(board, next, now)
}

fn next_members(board: &Blackboard, leader: &LeaderState, now: Timestamp) -> BTreeSet<VmName> {
    let is_kept = |vm: &&VmName| {
        let last_seen_at = leader
            .followers
            .get(*vm)
            .map(|follower| follower.last_seen_at);
        let is_recent = now.since(last_seen_at.unwrap_or(leader.since)) < MEMBER_REMOVAL_TIMEOUT;
        let holds = leader.grants.values().any(|grant| grant.vm == **vm);
        // A listed VM may be running on the other side of a network partition, and its vote is
        // needed there to replace this leader.
        let is_listed = board.membership.vms.contains_key(*vm);
        **vm == board.local.name || is_recent || holds || is_listed
    };
    let kept = leader.leadership.record.members.iter().filter(is_kept);
    let timeout = heartbeat(&board.settings) * 3;
    let is_fresh = |follower: &Follower| now.since(follower.last_seen_at) < timeout;
    let joining = leader.followers.iter().filter(|(_, f)| is_fresh(f));
    kept.chain(joining.map(|(vm, _)| vm)).cloned().collect()
}

/// Returns whether the members' promises are about to expire, so that the leadership lasts only if
/// the record is written again.
fn needs_renewal(board: &Blackboard, leader: &LeaderState, now: Timestamp) -> bool {
    let local = &board.local.name;
    let members = &leader.leadership.record.members;
    let promised = leader.promised_until(members, local, now + lease(&board.settings));
    let interval = lease(&board.settings) / 3;
    let is_due = leader
        .last_write_at
        .is_none_or(|at| now.since(at) >= interval);
    promised <= now + heartbeat(&board.settings) / 2
        && is_due
        && now.since(leader.since) >= interval
}

/// Returns the record that hands the cell over to another member, once a draining leader has no
/// homes left.
fn successor(board: &Blackboard, now: Timestamp) -> Option<CellRecord> {
    let leader = board.homes.leader.as_ref()?;
    if board.standing != Standing::Draining || !board.homes.leases.is_empty() {
        return None;
    }
    let timeout = heartbeat(&board.settings) * 2;
    let record = &leader.leadership.record;
    let is_eligible = |vm: &&VmName| {
        leader.followers.get(*vm).is_some_and(|follower| {
            !follower.is_draining && now.since(follower.last_seen_at) <= timeout
        })
    };
    let next = record.members.iter().find(is_eligible)?;
    Some(CellRecord {
        epoch: record.epoch + 1,
        lead: next.clone(),
        incarnation: leader.followers.get(next)?.incarnation,
        ..record.clone()
    })
}

fn write(board: &mut Blackboard, record: CellRecord, now: Timestamp) -> Vec<Command> {
    let call = board.next_call();
    let key = record_key(&board.local.cell);
    let Some(leader) = board.homes.leader.as_mut() else {
        return Vec::new();
    };
    let request = PlatformRequest::CompareAndSwap {
        key,
        expected: leader.leadership.revision,
        value: Some(record.encode()),
        lease: None,
    };
    if record.epoch != leader.leadership.record.epoch {
        // If the response is lost, the successor may become leader at any time.
        leader.leadership.written_at = Timestamp::ZERO;
    }
    leader.last_write_at = Some(now);
    leader.write = Some(PendingWrite {
        call,
        record,
        sent_at: now,
        outcome_unknown: false,
    });
    vec![Command::Platform { call, request }]
}

/// Handles the result of a write of the record.
pub(crate) fn handle_write_result(
    board: &mut Blackboard,
    call: CallId,
    sent_at: Timestamp,
    result: &Result<PlatformResponse, PlatformFailure>,
    now: Timestamp,
) -> Vec<Command> {
    let Some(leader) = board.homes.leader.as_mut() else {
        return Vec::new();
    };
    let Some(pending) = leader.write.as_mut().filter(|pending| pending.call == call) else {
        return Vec::new();
    };
    match result {
        Ok(PlatformResponse::Swapped { revision }) => {
            pending.sent_at = pending.sent_at.min(sent_at);
            let revision = *revision;
            handle_written(board, revision, now)
        }
        Ok(PlatformResponse::Conflict { current }) => {
            let current = current.as_ref();
            let found = current.and_then(|key| {
                let record = CellRecord::decode(key.value.as_deref()?)?;
                Some((record, key.revision))
            });
            match found {
                Some((record, revision)) if record.epoch == leader.leadership.record.epoch => {
                    adopt_record(board, record, revision, now)
                }
                _ => {
                    pending.outcome_unknown = true;
                    Vec::new()
                }
            }
        }
        // The write may have taken effect: a majority of both member lists is required until a read
        // shows which one is in force.
        Err(PlatformFailure::NoAnswer) => {
            pending.outcome_unknown = true;
            Vec::new()
        }
        _ => {
            leader.write = None;
            Vec::new()
        }
    }
}

fn handle_written(board: &mut Blackboard, revision: Revision, now: Timestamp) -> Vec<Command> {
    let Some(leader) = board.homes.leader.as_mut() else {
        return Vec::new();
    };
    let Some(write) = leader.write.take() else {
        return Vec::new();
    };
    if write.record.epoch == leader.leadership.record.epoch {
        leader.leadership.record = write.record;
        leader.leadership.revision = revision;
        leader.leadership.written_at = write.sent_at;
        return Vec::new();
    }
    hand_over(board, &write.record, revision, now)
}

/// Notifies the cell of the successor and follows it.
fn hand_over(
    board: &mut Blackboard,
    record: &CellRecord,
    revision: Revision,
    now: Timestamp,
) -> Vec<Command> {
    let notice = LeaderNotice {
        epoch: record.epoch,
        leader: record.lead.clone(),
        incarnation: record.incarnation,
        record_revision: revision,
        is_handover: true,
    };
    step_down(board);
    let line = LogEvent::info("lead_handed_over")
        .with("epoch", record.epoch)
        .with("to", &record.lead);
    let mut commands = vec![Command::Log(line)];
    let others = record.members.iter().filter(|vm| **vm != board.local.name);
    commands.extend(others.map(|vm| send(vm, HomeMessage::Leader(notice.clone()))));
    commands.extend(member::follow(board, &notice, now));
    commands
}

/// Adopts the record as read from the service, after a write whose response was lost.
pub(crate) fn adopt_record(
    board: &mut Blackboard,
    record: CellRecord,
    revision: Revision,
    now: Timestamp,
) -> Vec<Command> {
    let Some(leader) = board.homes.leader.as_mut() else {
        return Vec::new();
    };
    if record.epoch != leader.leadership.record.epoch || record.lead != board.local.name {
        return Vec::new();
    }
    if revision > leader.leadership.revision {
        leader.leadership.record = record;
        leader.leadership.revision = revision;
        leader.write = None;
        return Vec::new();
    }
    // The write may still take effect until another write has, so it is repeated.
    match leader.write.take() {
        Some(unresolved) if unresolved.outcome_unknown => write(board, unresolved.record, now),
        pending => {
            leader.write = pending;
            Vec::new()
        }
    }
}

/// Returns whether the record has to be read: the outcome of a write is not known, or this VM is no
/// longer certain to be the leader.
pub(crate) fn needs_read(board: &Blackboard, now: Timestamp) -> bool {
    let Some(leader) = board.homes.leader.as_ref() else {
        return false;
    };
    let outcome_unknown = leader
        .write
        .as_ref()
        .is_some_and(|write| write.outcome_unknown);
    outcome_unknown || now >= leader.valid_until(&board.local.name, now, lease(&board.settings))
}
