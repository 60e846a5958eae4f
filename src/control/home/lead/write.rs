//! Writes of the lead to the cell's record: members that join and leave, renewals, handing over.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::message::{HomeMessage, LeadNotice};
use super::super::record::{CellRecord, record_key};
use super::super::{heartbeat, lease, member, send};
use super::{Follower, LeadState, leave_office};
use crate::configuration::Revision;
use crate::control::blackboard::{Blackboard, CallId};
use crate::control::command::{Command, LogEvent, PlatformRequest};
use crate::control::event::{PlatformAnswer, PlatformFailure};
use crate::control::snapshot::Standing;
use crate::name::VmName;
use crate::time::Timestamp;

/// Interval between writes that change the members.
const MEMBER_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a heartbeat after which a member that is no longer listed is taken off the record.
const GONE_AFTER: Duration = Duration::from_secs(6);

/// Write whose outcome is not known.
#[derive(Debug)]
pub(super) struct PendingWrite {
    call: CallId,
    pub(super) record: CellRecord,
    sent_at: Timestamp,
    is_lost: bool,
}

impl PendingWrite {
    /// Returns whether the write makes another VM the lead.
    pub(super) const fn hands_over(&self, record: &CellRecord) -> bool {
        self.record.epoch != record.epoch
    }
}

/// Writes the record when its members have changed, or when only the service keeps the office.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let Some(lead) = board.homes.lead.as_ref() else {
        return Vec::new();
    };
    let recently = |at: Timestamp| now.since(at) < MEMBER_INTERVAL;
    if lead.write.is_some() || lead.wrote_at.is_some_and(recently) {
        return Vec::new();
    }
    let record = &lead.office.record;
    if let Some(successor) = successor(board, now) {
        return write(board, successor, now);
    }
    if lead.active_since.is_none() {
        return Vec::new();
    }
    let members = wanted_members(board, lead, now);
    if members == record.members && !needs_renewal(board, lead, now) {
        return Vec::new();
    }
    let next = CellRecord {
        members,
        renewed: record.renewed + 1,
        ..record.clone()
    };
    write(board, next, now)
}

fn wanted_members(board: &Blackboard, lead: &LeadState, now: Timestamp) -> BTreeSet<VmName> {
    let is_here = |vm: &&VmName| {
        let heard_at = lead.followers.get(*vm).map(|follower| follower.heard_at);
        let is_recent = now.since(heard_at.unwrap_or(lead.since)) < GONE_AFTER;
        let holds = lead.grants.values().any(|grant| grant.vm == **vm);
        // A listed VM may be alive beyond a partition, and its vote is needed to replace the lead.
        let is_listed = board.membership.vms.contains_key(*vm);
        **vm == board.local.name || is_recent || holds || is_listed
    };
    let kept = lead.office.record.members.iter().filter(is_here);
    let patience = heartbeat(&board.settings) * 3;
    let is_fresh = |follower: &Follower| now.since(follower.heard_at) < patience;
    let joining = lead.followers.iter().filter(|(_, f)| is_fresh(f));
    kept.chain(joining.map(|(vm, _)| vm)).cloned().collect()
}

/// Returns whether the office would end unless the service extends it.
fn needs_renewal(board: &Blackboard, lead: &LeadState, now: Timestamp) -> bool {
    let local = &board.local.name;
    let members = &lead.office.record.members;
    let promised = lead.promised_until(members, local, now + lease(&board.settings));
    let interval = lease(&board.settings) / 3;
    let is_due = lead.wrote_at.is_none_or(|at| now.since(at) >= interval);
    promised <= now + heartbeat(&board.settings) / 2 && is_due && now.since(lead.since) >= interval
}

/// Returns the record that hands the cell over, once a draining lead has no homes left.
fn successor(board: &Blackboard, now: Timestamp) -> Option<CellRecord> {
    let lead = board.homes.lead.as_ref()?;
    if board.standing != Standing::Draining || !board.homes.leases.is_empty() {
        return None;
    }
    let patience = heartbeat(&board.settings) * 2;
    let record = &lead.office.record;
    let is_fit = |vm: &&VmName| {
        lead.followers.get(*vm).is_some_and(|follower| {
            !follower.is_draining && now.since(follower.heard_at) <= patience
        })
    };
    let next = record.members.iter().find(is_fit)?;
    Some(CellRecord {
        epoch: record.epoch + 1,
        lead: next.clone(),
        incarnation: lead.followers.get(next)?.incarnation,
        ..record.clone()
    })
}

fn write(board: &mut Blackboard, record: CellRecord, now: Timestamp) -> Vec<Command> {
    let call = board.next_call();
    let key = record_key(&board.local.cell);
    let Some(lead) = board.homes.lead.as_mut() else {
        return Vec::new();
    };
    let request = PlatformRequest::CompareAndSwap {
        key,
        expected: lead.office.revision,
        value: Some(record.encode()),
        lease: None,
    };
    if record.epoch != lead.office.record.epoch {
        // Should the answer be lost, the successor may take office at any time.
        lead.office.written_at = Timestamp::ZERO;
    }
    lead.wrote_at = Some(now);
    lead.write = Some(PendingWrite {
        call,
        record,
        sent_at: now,
        is_lost: false,
    });
    vec![Command::Platform { call, request }]
}

/// Handles the end of a write.
pub(crate) fn write_ended(
    board: &mut Blackboard,
    call: CallId,
    sent_at: Timestamp,
    result: &Result<PlatformAnswer, PlatformFailure>,
    now: Timestamp,
) -> Vec<Command> {
    let Some(lead) = board.homes.lead.as_mut() else {
        return Vec::new();
    };
    let Some(pending) = lead.write.as_mut().filter(|pending| pending.call == call) else {
        return Vec::new();
    };
    match result {
        Ok(PlatformAnswer::Swapped { revision }) => {
            pending.sent_at = pending.sent_at.min(sent_at);
            let revision = *revision;
            written(board, revision, now)
        }
        Ok(PlatformAnswer::Conflict { current }) => {
            let current = current.as_ref();
            let found = current.and_then(|key| {
                let record = CellRecord::decode(key.value.as_deref()?)?;
                Some((record, key.revision))
            });
            match found {
                Some((record, revision)) if record.epoch == lead.office.record.epoch => {
                    adopt_record(board, record, revision, now)
                }
                _ => {
                    pending.is_lost = true;
                    Vec::new()
                }
            }
        }
        // The write may have taken effect; the majority counts both lists until a read tells.
        Err(PlatformFailure::NoAnswer) => {
            pending.is_lost = true;
            Vec::new()
        }
        _ => {
            lead.write = None;
            Vec::new()
        }
    }
}

fn written(board: &mut Blackboard, revision: Revision, now: Timestamp) -> Vec<Command> {
    let Some(lead) = board.homes.lead.as_mut() else {
        return Vec::new();
    };
    let Some(write) = lead.write.take() else {
        return Vec::new();
    };
    if write.record.epoch == lead.office.record.epoch {
        lead.office.record = write.record;
        lead.office.revision = revision;
        lead.office.written_at = write.sent_at;
        return Vec::new();
    }
    hand_over(board, &write.record, revision, now)
}

/// Tells the cell of the successor and follows it.
fn hand_over(
    board: &mut Blackboard,
    record: &CellRecord,
    revision: Revision,
    now: Timestamp,
) -> Vec<Command> {
    let notice = LeadNotice {
        epoch: record.epoch,
        lead: record.lead.clone(),
        incarnation: record.incarnation,
        record_revision: revision,
        is_handover: true,
    };
    leave_office(board);
    let line = LogEvent::info("lead_handed_over")
        .with("epoch", record.epoch)
        .with("to", &record.lead);
    let mut commands = vec![Command::Log(line)];
    let others = record.members.iter().filter(|vm| **vm != board.local.name);
    commands.extend(others.map(|vm| send(vm, HomeMessage::Lead(notice.clone()))));
    commands.extend(member::follow(board, &notice, now));
    commands
}

/// Takes over the record as read after a write whose answer was lost.
pub(crate) fn adopt_record(
    board: &mut Blackboard,
    record: CellRecord,
    revision: Revision,
    now: Timestamp,
) -> Vec<Command> {
    let Some(lead) = board.homes.lead.as_mut() else {
        return Vec::new();
    };
    if record.epoch != lead.office.record.epoch || record.lead != board.local.name {
        return Vec::new();
    }
    if revision > lead.office.revision {
        lead.office.record = record;
        lead.office.revision = revision;
        lead.write = None;
        return Vec::new();
    }
    // The lost write may still take effect, until another one has.
    match lead.write.take() {
        Some(lost) if lost.is_lost => write(board, lost.record, now),
        pending => {
            lead.write = pending;
            Vec::new()
        }
    }
}

/// Returns whether the record has to be read: a write's answer was lost, or the office is in doubt.
pub(crate) fn needs_read(board: &Blackboard, now: Timestamp) -> bool {
    let Some(lead) = board.homes.lead.as_ref() else {
        return false;
    };
    let is_lost = lead.write.as_ref().is_some_and(|write| write.is_lost);
    is_lost || now >= lead.valid_until(&board.local.name, now, lease(&board.settings))
}
