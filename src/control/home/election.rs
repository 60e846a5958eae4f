//! How a cell gets a lead: reads and compare-and-swaps of the cell's record.

use std::collections::BTreeSet;
use std::time::Duration;

use super::message::{HomeMessage, LeadNotice};
use super::record::{CellRecord, record_key};
use super::{assignment, lapse, lead, member, promise, send};
use crate::configuration::Revision;
use crate::control::blackboard::{Blackboard, CallId};
use crate::control::command::{Command, PlatformRequest};
use crate::control::event::{KeyValue, PlatformAnswer, PlatformFailure};
use crate::name::{DatabaseName, VmName};
use crate::time::Timestamp;

/// Interval between reads of the record while no lead is known.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between reads of the record while the lead is lost.
const LOST_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a call without an end is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Head start of each candidate over the next.
const CANDIDATE_DELAY: Duration = Duration::from_millis(60);

/// Interval at which others are asked whether they lost the lead.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Clone)]
struct Seen {
    record: CellRecord,
    revision: Revision,
    /// Time since which the record is known not to have changed.
    since: Timestamp,
    read_at: Timestamp,
}

/// Compare-and-swap whose answer may have been lost.
#[derive(Debug, Clone)]
struct Attempt {
    record: CellRecord,
    replaced: Option<CellRecord>,
    /// When what the service granted to the former lead has run out.
    not_before: Timestamp,
    sent_at: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    id: CallId,
    started_at: Timestamp,
}

/// What this VM knows of the cell's record.
#[derive(Debug, Default)]
pub(super) struct ElectionState {
    call: Option<Call>,
    read_at: Option<Timestamp>,
    seen: Option<Seen>,
    attempt: Option<Attempt>,
    lost: BTreeSet<VmName>,
    asked_at: Option<Timestamp>,
}

/// Reads the record while no lead is known, and replaces a lead that a blocking part of the cell
/// has lost.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let election = &mut board.homes.election;
    if let Some(call) = election.call
        && now.since(call.started_at) < CALL_TIMEOUT
    {
        return Vec::new();
    }
    election.call = None;
    if board.homes.is_lead() {
        return lead::needs_read(board, now)
            .then(|| read(board, now, LOST_READ_INTERVAL))
            .flatten()
            .into_iter()
            .collect();
    }
    let Some(lost_at) = board.homes.member.lost_at(promise(&board.settings)) else {
        return read(board, now, READ_INTERVAL).into_iter().collect();
    };
    if now < lost_at + candidate_delay(board) {
        return Vec::new();
    }
    replace_lost(board, lost_at, now)
}

/// Returns this VM's place in the order in which members try to become lead.
fn candidate_delay(board: &Blackboard) -> Duration {
    let lead = board.homes.member.lead();
    let election = DatabaseName::from(format!("lead-{}", board.homes.member.epoch()));
    let own = assignment::weight(&election, &board.local.name);
    let before_own = |vm: &&VmName| {
        Some(*vm) != lead && **vm != board.local.name && assignment::weight(&election, vm) > own
    };
    let members = board.membership.names_in(&board.local.cell);
    let rank = u32::try_from(members.iter().filter(before_own).count()).unwrap_or(u32::MAX);
    CANDIDATE_DELAY.saturating_mul(rank.min(50))
}

fn read(board: &mut Blackboard, now: Timestamp, interval: Duration) -> Option<Command> {
    let read_at = board.homes.election.read_at;
    if read_at.is_some_and(|at| now.since(at) < interval) {
        return None;
    }
    board.homes.election.read_at = Some(now);
    let key = record_key(&board.local.cell);
    Some(start_call(board, now, PlatformRequest::Get { key }))
}

fn start_call(board: &mut Blackboard, now: Timestamp, request: PlatformRequest) -> Command {
    let call = board.next_call();
    board.homes.election.call = Some(Call {
        id: call,
        started_at: now,
    });
    Command::Platform { call, request }
}

fn replace_lost(board: &mut Blackboard, lost_at: Timestamp, now: Timestamp) -> Vec<Command> {
    let is_current = |seen: &Seen| seen.read_at >= lost_at;
    let Some(seen) = board.homes.election.seen.clone().filter(is_current) else {
        return read(board, now, LOST_READ_INTERVAL).into_iter().collect();
    };
    let others_lost = board.homes.election.lost.len();
    let own_vote = usize::from(seen.record.members.contains(&board.local.name));
    let lost = others_lost + gone_members(board, &seen.record, seen.revision) + own_vote;
    let not_before = seen.since + lapse(&board.settings);
    // Half of the cell leaves a lead alone that the service keeps in office; a majority does not.
    let is_enough =
        lost >= seen.record.majority() || (lost >= seen.record.blocking() && now >= not_before);
    if is_enough {
        let replaced = Some(seen.record);
        return vec![attempt(board, replaced, seen.revision, not_before, now)];
    }
    let mut commands: Vec<_> = read(board, now, LOST_READ_INTERVAL).into_iter().collect();
    commands.extend(ask(board, &seen.record, now));
    commands
}

/// Counts members that the platform no longer lists, and that therefore keep no promise.
///
/// A list that was read before the record was written may lack members that came meanwhile.
pub(super) fn gone_members(board: &Blackboard, record: &CellRecord, written: Revision) -> usize {
    if !board.membership.covers(written) {
        return 0;
    }
    let is_gone = |vm: &&VmName| !board.membership.vms.contains_key(*vm);
    record.members.iter().filter(is_gone).count()
}

fn ask(board: &mut Blackboard, record: &CellRecord, now: Timestamp) -> Vec<Command> {
    let asked_at = board.homes.election.asked_at;
    if asked_at.is_some_and(|at| now.since(at) < ASK_INTERVAL) {
        return Vec::new();
    }
    board.homes.election.asked_at = Some(now);
    board.homes.election.lost.clear();
    let epoch = record.epoch;
    let others = record.members.iter().filter(|vm| **vm != board.local.name);
    others
        .map(|vm| send(vm, HomeMessage::LeadLost { epoch }))
        .collect()
}

/// Answers another member that has lost the lead.
pub(super) fn asked(
    board: &mut Blackboard,
    from: &VmName,
    epoch: u64,
    now: Timestamp,
) -> Vec<Command> {
    if let Some(notice) = lead::notice(board) {
        return vec![send(from, HomeMessage::Lead(notice))];
    }
    let member = &board.homes.member;
    let lost_at = member.lost_at(promise(&board.settings));
    let has_lost = lost_at.is_none_or(|at| now >= at) && now >= member.bound_until;
    let lost = member.epoch() <= epoch && has_lost;
    vec![send(from, HomeMessage::LeadLostReply { epoch, lost })]
}

/// Counts another member's answer.
pub(super) fn voted(board: &mut Blackboard, from: &VmName, epoch: u64, lost: bool) -> Vec<Command> {
    let election = &mut board.homes.election;
    let Some(seen) = &election.seen else {
        return Vec::new();
    };
    if seen.record.epoch != epoch || !seen.record.members.contains(from) {
        return Vec::new();
    }
    if lost {
        election.lost.insert(from.clone());
    } else {
        election.lost.remove(from);
    }
    Vec::new()
}

fn attempt(
    board: &mut Blackboard,
    replaced: Option<CellRecord>,
    expected: Revision,
    not_before: Timestamp,
    now: Timestamp,
) -> Command {
    let local = board.local.name.clone();
    let mut members = match &replaced {
        Some(record) => record.members.clone(),
        None => board.membership.names_in(&board.local.cell),
    };
    members.insert(local.clone());
    let known = replaced.as_ref().map_or(0, |record| record.epoch);
    let record = CellRecord {
        epoch: known.max(board.homes.member.epoch()) + 1,
        lead: local,
        incarnation: board.local.incarnation,
        members,
        renewed: 0,
    };
    let request = PlatformRequest::CompareAndSwap {
        key: record_key(&board.local.cell),
        expected,
        value: Some(record.encode()),
        lease: None,
    };
    board.homes.election.lost.clear();
    board.homes.election.attempt = Some(Attempt {
        record,
        replaced,
        not_before,
        sent_at: now,
    });
    start_call(board, now, request)
}

/// Handles the end of a call to the platform's service.
pub(super) fn ended(
    board: &mut Blackboard,
    call: CallId,
    sent_at: Timestamp,
    result: &Result<PlatformAnswer, PlatformFailure>,
    now: Timestamp,
) -> Vec<Command> {
    if board.homes.election.call.map(|pending| pending.id) != Some(call) {
        return lead::write_ended(board, call, sent_at, result, now);
    }
    board.homes.election.call = None;
    match result {
        Ok(PlatformAnswer::Found { keys, .. }) => match keys.first().and_then(decode) {
            Some((record, revision)) => found(board, record, revision, now),
            None => create(board, now),
        },
        Ok(PlatformAnswer::Swapped { revision }) => won(board, *revision, now),
        Ok(PlatformAnswer::Conflict {
            current: Some(current),
        }) => decode(current).map_or_else(Vec::new, |(record, revision)| {
            found(board, record, revision, now)
        }),
        Err(PlatformFailure::NoAnswer) => {
            // The write may have taken effect, which the next read tells.
            board.homes.election.read_at = None;
            Vec::new()
        }
        _ => Vec::new(),
    }
}

fn decode(key: &KeyValue) -> Option<(CellRecord, Revision)> {
    let record = CellRecord::decode(key.value.as_deref()?)?;
    Some((record, key.revision))
}

fn create(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let is_listed = board.membership.vms.contains_key(&board.local.name);
    if !is_listed || board.homes.member.following.is_some() || board.homes.is_lead() {
        return Vec::new();
    }
    vec![attempt(board, None, Revision(0), now, now)]
}

fn won(board: &mut Blackboard, revision: Revision, now: Timestamp) -> Vec<Command> {
    let Some(attempt) = board.homes.election.attempt.take() else {
        return Vec::new();
    };
    lead::take_office(
        board,
        lead::Office {
            record: attempt.record,
            revision,
            replaced: attempt.replaced,
            not_before: attempt.not_before,
            written_at: attempt.sent_at,
        },
        now,
    )
}

/// Acts on the record as the service has it.
fn found(
    board: &mut Blackboard,
    record: CellRecord,
    revision: Revision,
    now: Timestamp,
) -> Vec<Command> {
    let is_first = board.homes.election.seen.is_none();
    if is_first {
        // An earlier process of this VM may have promised to follow the lead of then.
        let bound_until = now + promise(&board.settings);
        board.homes.member.bound_until = bound_until;
    }
    let since = unchanged_since(board, revision, now);
    board.homes.election.seen = Some(Seen {
        record: record.clone(),
        revision,
        since,
        read_at: now,
    });
    if record
        .members
        .iter()
        .any(|vm| !board.membership.vms.contains_key(vm))
    {
        board.membership.read_soon();
    }
    if record.lead == board.local.name {
        return found_own(board, record, revision, now);
    }
    if board.homes.is_lead() && !lead::is_deposed_by(board, &record) {
        return Vec::new();
    }
    if record.epoch <= board.homes.member.epoch() {
        return Vec::new();
    }
    let notice = LeadNotice {
        epoch: record.epoch,
        lead: record.lead,
        incarnation: record.incarnation,
        record_revision: revision,
        is_handover: false,
    };
    lead::leave_office(board);
    member::follow(board, &notice, now)
}

fn unchanged_since(board: &Blackboard, revision: Revision, now: Timestamp) -> Timestamp {
    let seen = board.homes.election.seen.as_ref();
    let read_before = seen.filter(|s| s.revision == revision).map(|s| s.since);
    let following = board.homes.member.following.as_ref();
    let heard_before = following
        .filter(|following| following.record_revision == revision)
        .map(|following| following.record_seen_at);
    [read_before, heard_before]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(now)
}

fn found_own(
    board: &mut Blackboard,
    record: CellRecord,
    revision: Revision,
    now: Timestamp,
) -> Vec<Command> {
    if board.homes.is_lead() {
        return lead::adopt_record(board, record, revision, now);
    }
    if record.incarnation != board.local.incarnation {
        // The process that was lead has ended with this VM's restart.
        board.homes.member.bound_until = now;
        return vec![attempt(board, Some(record), revision, now, now)];
    }
    // The write may be older than the last attempt, so that only promises keep this VM in office
    // until it writes again; the same holds after the former lead handed the cell over.
    let attempt = board.homes.election.attempt.take();
    let own = attempt.filter(|attempt| attempt.record.epoch == record.epoch);
    let (replaced, not_before) = match own {
        Some(attempt) => (attempt.replaced, attempt.not_before),
        None => (Some(record.clone()), now),
    };
    let office = lead::Office {
        record,
        revision,
        replaced,
        not_before,
        written_at: Timestamp::ZERO,
    };
    lead::take_office(board, office, now)
}

/// Hears who leads the cell.
pub(super) fn noticed(
    board: &mut Blackboard,
    from: &VmName,
    notice: &LeadNotice,
    now: Timestamp,
) -> Vec<Command> {
    if notice.epoch <= board.homes.member.epoch().max(lead::epoch(board)) {
        return Vec::new();
    }
    let member = &mut board.homes.member;
    let is_restart = |following: &member::Following| {
        notice.lead == *from && notice.incarnation > following.incarnation
    };
    let has_ended = |following: &member::Following| {
        following.lead == *from && (notice.is_handover || is_restart(following))
    };
    if member.following.as_ref().is_some_and(has_ended) {
        member.promise_until = Timestamp::ZERO;
    }
    if notice.lead == board.local.name {
        board.homes.election.read_at = None;
        return read(board, now, READ_INTERVAL).into_iter().collect();
    }
    lead::leave_office(board);
    member::follow(board, notice, now)
}
