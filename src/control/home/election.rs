//! Leader election of a cell, by reads and compare-and-swaps of the cell's record.

use std::collections::BTreeSet;
use std::time::Duration;

use super::message::{HomeMessage, LeaderNotice};
use super::record::{CellRecord, record_key};
use super::{assignment, leader, lease_with_margin, member, promise, send};
use crate::configuration::Revision;
use crate::control::blackboard::{Blackboard, CallId};
use crate::control::command::{Command, PlatformRequest};
use crate::control::event::{KeyValue, PlatformFailure, PlatformResponse};
use crate::name::{DatabaseName, VmName};
use crate::time::Timestamp;

/// Interval between reads of the record while no leader is known.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between reads of the record after contact with the leader was lost, or while this VM's
/// own leadership is in doubt.
const LOST_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a call to the platform's service.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between the attempts of successive candidates to become leader.
const CANDIDATE_DELAY: Duration = Duration::from_millis(60);

/// Interval between queries to the other members about whether they have lost the leader too.
const VOTE_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Clone)]
struct ObservedRecord {
    record: CellRecord,
    revision: Revision,
    /// Time since which the record is known to be unchanged.
    since: Timestamp,
    read_at: Timestamp,
}

/// Compare-and-swap of the record whose response may have been lost.
#[derive(Debug, Clone)]
struct Attempt {
    record: CellRecord,
    replaced: Option<CellRecord>,
    /// Time from which the former leader can no longer rely on its last write of the record.
    not_before: Timestamp,
    sent_at: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    id: CallId,
    started_at: Timestamp,
}

/// Election state: the record as last read, calls in progress and votes received.
#[derive(Debug, Default)]
pub(super) struct ElectionState {
    call: Option<Call>,
    read_at: Option<Timestamp>,
    observed: Option<ObservedRecord>,
    attempt: Option<Attempt>,
    lost_votes: BTreeSet<VmName>,
    votes_requested_at: Option<Timestamp>,
}

/// Reads the record while no leader is known or this VM's own leadership is in doubt, and replaces
/// a leader that a blocking set of members has lost contact with.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let election = &mut board.homes.election;
    if let Some(call) = election.call
        && now.since(call.started_at) < CALL_TIMEOUT
    {
        return Vec::new();
    }
    election.call = None;
    if board.homes.is_leader() {
        return leader::needs_read(board, now)
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

/// Returns the delay of this VM's attempt to become leader, by its rank among the members.
fn candidate_delay(board: &Blackboard) -> Duration {
    let leader = board.homes.member.leader();
    let election = DatabaseName::from(format!("lead-{}", board.homes.member.epoch()));
    let own = assignment::weight(&election, &board.local.name);
    let ranks_higher = |vm: &&VmName| {
        Some(*vm) != leader && **vm != board.local.name && assignment::weight(&election, vm) > own
    };
    let members = board.membership.names_in(&board.local.cell);
    let rank = u32::try_from(members.iter().filter(ranks_higher).count()).unwrap_or(u32::MAX);
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
    let is_current = |observed: &ObservedRecord| observed.read_at >= lost_at;
    let Some(observed) = board.homes.election.observed.clone().filter(is_current) else {
        return read(board, now, LOST_READ_INTERVAL).into_iter().collect();
    };
    let other_votes = board.homes.election.lost_votes.len();
    let own_vote = usize::from(observed.record.members.contains(&board.local.name));
    let lost =
        other_votes + delisted_members(board, &observed.record, observed.revision) + own_vote;
    let not_before = observed.since + lease_with_margin(&board.settings);
    // Exactly half of the members may replace the leader only when it can no longer rely on its
    // last write of the record; a majority may replace it at once.
    let has_quorum = lost >= observed.record.majority()
        || (lost >= observed.record.blocking() && now >= not_before);
    if has_quorum {
        let replaced = Some(observed.record);
        return vec![attempt(board, replaced, observed.revision, not_before, now)];
    }
    let mut commands: Vec<_> = read(board, now, LOST_READ_INTERVAL).into_iter().collect();
    commands.extend(request_votes(board, &observed.record, now));
    commands
}

/// Counts members that the platform no longer lists, whose promises therefore no longer count.
///
/// Counts none unless the list is at least as recent as the record: an older list may lack members
/// that joined since.
pub(super) fn delisted_members(
    board: &Blackboard,
    record: &CellRecord,
    written: Revision,
) -> usize {
    if !board.membership.covers(written) {
        return 0;
    }
    let is_delisted = |vm: &&VmName| !board.membership.vms.contains_key(*vm);
    record.members.iter().filter(is_delisted).count()
}

fn request_votes(board: &mut Blackboard, record: &CellRecord, now: Timestamp) -> Vec<Command> {
    let votes_requested_at = board.homes.election.votes_requested_at;
    if votes_requested_at.is_some_and(|at| now.since(at) < VOTE_REQUEST_INTERVAL) {
        return Vec::new();
    }
    board.homes.election.votes_requested_at = Some(now);
    board.homes.election.lost_votes.clear();
    let epoch = record.epoch;
    let others = record.members.iter().filter(|vm| **vm != board.local.name);
    others
        .map(|vm| send(vm, HomeMessage::LeaderLost { epoch }))
        .collect()
}

/// Handles another member's query about whether this VM has lost the leader too.
pub(super) fn handle_leader_lost(
    board: &mut Blackboard,
    from: &VmName,
    epoch: u64,
    now: Timestamp,
) -> Vec<Command> {
    if let Some(notice) = leader::notice(board) {
        return vec![send(from, HomeMessage::Leader(notice))];
    }
    let member = &board.homes.member;
    let lost_at = member.lost_at(promise(&board.settings));
    let has_lost = lost_at.is_none_or(|at| now >= at) && now >= member.bound_until;
    let lost = member.epoch() <= epoch && has_lost;
    vec![send(from, HomeMessage::LeaderLostReply { epoch, lost })]
}

/// Records another member's vote on whether the leader is lost.
pub(super) fn handle_leader_lost_reply(
    board: &mut Blackboard,
    from: &VmName,
    epoch: u64,
    lost: bool,
) -> Vec<Command> {
    let election = &mut board.homes.election;
    let Some(observed) = &election.observed else {
        return Vec::new();
    };
    if observed.record.epoch != epoch || !observed.record.members.contains(from) {
        return Vec::new();
    }
    if lost {
        election.lost_votes.insert(from.clone());
    } else {
        election.lost_votes.remove(from);
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
    board.homes.election.lost_votes.clear();
    board.homes.election.attempt = Some(Attempt {
        record,
        replaced,
        not_before,
        sent_at: now,
    });
    start_call(board, now, request)
}

/// Handles the result of a call to the platform's service.
pub(super) fn handle_result(
    board: &mut Blackboard,
    call: CallId,
    sent_at: Timestamp,
    result: &Result<PlatformResponse, PlatformFailure>,
    now: Timestamp,
) -> Vec<Command> {
    if board.homes.election.call.map(|pending| pending.id) != Some(call) {
        return leader::handle_write_result(board, call, sent_at, result, now);
    }
    board.homes.election.call = None;
    match result {
        Ok(PlatformResponse::Found { keys, .. }) => match keys.first().and_then(decode) {
            Some((record, revision)) => handle_record(board, record, revision, now),
            None => create(board, now),
        },
        Ok(PlatformResponse::Swapped { revision }) => handle_swapped(board, *revision, now),
        Ok(PlatformResponse::Conflict {
            current: Some(current),
        }) => decode(current).map_or_else(Vec::new, |(record, revision)| {
            handle_record(board, record, revision, now)
        }),
        Err(PlatformFailure::NoAnswer) => {
            // The write may have taken effect; the next read shows whether it has.
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
    if !is_listed || board.homes.member.following.is_some() || board.homes.is_leader() {
        return Vec::new();
    }
    vec![attempt(board, None, Revision(0), now, now)]
}

fn handle_swapped(board: &mut Blackboard, revision: Revision, now: Timestamp) -> Vec<Command> {
    let Some(attempt) = board.homes.election.attempt.take() else {
        return Vec::new();
    };
    leader::become_leader(
        board,
        leader::Leadership {
            record: attempt.record,
            revision,
            replaced: attempt.replaced,
            not_before: attempt.not_before,
            written_at: attempt.sent_at,
        },
        now,
    )
}

/// Handles the record as read from the service.
fn handle_record(
    board: &mut Blackboard,
    record: CellRecord,
    revision: Revision,
    now: Timestamp,
) -> Vec<Command> {
    let is_first = board.homes.election.observed.is_none();
    if is_first {
        // An earlier process of this VM may have promised to follow the leader of that time.
        let bound_until = now + promise(&board.settings);
        board.homes.member.bound_until = bound_until;
    }
    let since = unchanged_since(board, revision, now);
    board.homes.election.observed = Some(ObservedRecord {
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
        board.membership.request_read();
    }
    if record.lead == board.local.name {
        return handle_own_record(board, record, revision, now);
    }
    if board.homes.is_leader() && !leader::is_deposed_by(board, &record) {
        return Vec::new();
    }
    if record.epoch <= board.homes.member.epoch() {
        return Vec::new();
    }
    let notice = LeaderNotice {
        epoch: record.epoch,
        leader: record.lead,
        incarnation: record.incarnation,
        record_revision: revision,
        is_handover: false,
    };
    leader::step_down(board);
    member::follow(board, &notice, now)
}

fn unchanged_since(board: &Blackboard, revision: Revision, now: Timestamp) -> Timestamp {
    let observed = board.homes.election.observed.as_ref();
    let read_before = observed.filter(|s| s.revision == revision).map(|s| s.since);
    let following = board.homes.member.following.as_ref();
    let reported_before = following
        .filter(|following| following.record_revision == revision)
        .map(|following| following.record_seen_at);
    [read_before, reported_before]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(now)
}

fn handle_own_record(
    board: &mut Blackboard,
    record: CellRecord,
    revision: Revision,
    now: Timestamp,
) -> Vec<Command> {
    if board.homes.is_leader() {
        return leader::adopt_record(board, record, revision, now);
    }
    if record.incarnation != board.local.incarnation {
        // The process that was leader ended when this VM restarted.
        board.homes.member.bound_until = now;
        return vec![attempt(board, Some(record), revision, now, now)];
    }
    // The time of the write is not known (it may predate the last attempt, or the former leader
    // wrote the record when it handed over), so this VM's leadership rests on the members' promises
    // alone until it writes the record again.
    let attempt = board.homes.election.attempt.take();
    let own = attempt.filter(|attempt| attempt.record.epoch == record.epoch);
    let (replaced, not_before) = match own {
        Some(attempt) => (attempt.replaced, attempt.not_before),
        None => (Some(record.clone()), now),
    };
    let leadership = leader::Leadership {
        record,
        revision,
        replaced,
        not_before,
        written_at: Timestamp::ZERO,
    };
    leader::become_leader(board, leadership, now)
}

/// Handles a notice of who leads the cell.
pub(super) fn handle_notice(
    board: &mut Blackboard,
    from: &VmName,
    notice: &LeaderNotice,
    now: Timestamp,
) -> Vec<Command> {
    if notice.epoch <= board.homes.member.epoch().max(leader::epoch(board)) {
        return Vec::new();
    }
    let member = &mut board.homes.member;
    let is_restart = |following: &member::Following| {
        notice.leader == *from && notice.incarnation > following.incarnation
    };
    let has_ended = |following: &member::Following| {
        following.leader == *from && (notice.is_handover || is_restart(following))
    };
    if member.following.as_ref().is_some_and(has_ended) {
        member.promise_until = Timestamp::ZERO;
    }
    if notice.leader == board.local.name {
        board.homes.election.read_at = None;
        return read(board, now, READ_INTERVAL).into_iter().collect();
    }
    leader::step_down(board);
    member::follow(board, notice, now)
}
