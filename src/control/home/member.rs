//! Member's side of the home leases: heartbeats, the leader's replies and promises to it.

use std::collections::VecDeque;
use std::time::Duration;

use super::message::{Heartbeat, HeartbeatReply, Holding, HomeMessage, LeaderNotice, MAX_ENTRIES};
use super::{heartbeat, holdings_digest, lease, promise, send};
use crate::configuration::Revision;
use crate::control::blackboard::{Blackboard, Incarnation};
use crate::control::command::Command;
use crate::control::snapshot::{HomeLease, Standing};
use crate::name::VmName;
use crate::time::Timestamp;

/// Number of sent heartbeats whose send times are kept.
const MAX_SENT_HEARTBEATS: usize = 16;

/// Leader that this VM follows.
#[derive(Debug, Clone)]
pub(super) struct Following {
    pub(super) epoch: u64,
    pub(super) leader: VmName,
    pub(super) incarnation: Incarnation,
    pub(super) since: Timestamp,
    pub(super) record_revision: Revision,
    pub(super) record_seen_at: Timestamp,
    echo: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct SentHeartbeat {
    sequence: u64,
    at: Timestamp,
}

/// State of this VM as a member of its cell.
#[derive(Debug, Default)]
pub(super) struct MemberState {
    pub(super) following: Option<Following>,
    /// Time until which this VM has promised the current leader to follow no other.
    pub(super) promise_until: Timestamp,
    /// Time until which promises to earlier leaders, or of an earlier process of this VM, may bind
    /// it.
    pub(super) bound_until: Timestamp,
    sequence: u64,
    sent: VecDeque<SentHeartbeat>,
    sent_at: Option<Timestamp>,
    holdings_match: bool,
    /// Whether the leader had replied within two heartbeat intervals when the last heartbeat was
    /// sent.
    pub(super) leader_responds: bool,
    last_reply_at: Option<Timestamp>,
    cursor: usize,
}

impl MemberState {
    pub(super) fn leader(&self) -> Option<&VmName> {
        self.following.as_ref().map(|following| &following.leader)
    }

    pub(super) fn epoch(&self) -> u64 {
        self.following
            .as_ref()
            .map_or(0, |following| following.epoch)
    }

    pub(super) const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the time at which the leader counts as lost unless it replies before; `None` when no
    /// leader is followed.
    pub(super) fn lost_at(&self, promise: Duration) -> Option<Timestamp> {
        let following = self.following.as_ref()?;
        Some(self.promise_until.max(following.since + promise))
    }

    fn sent_time(&self, sequence: u64) -> Option<Timestamp> {
        let found = self.sent.iter().find(|sent| sent.sequence == sequence)?;
        Some(found.at)
    }
}

/// Starts following a leader and sends it a heartbeat at once.
pub(super) fn follow(
    board: &mut Blackboard,
    notice: &LeaderNotice,
    now: Timestamp,
) -> Vec<Command> {
    let member = &mut board.homes.member;
    // Promises to an earlier leader stay in force; each heartbeat reports to the new leader
    // whether they do.
    member.bound_until = member.bound_until.max(member.promise_until);
    member.promise_until = Timestamp::ZERO;
    member.following = Some(Following {
        epoch: notice.epoch,
        leader: notice.leader.clone(),
        incarnation: notice.incarnation,
        since: now,
        record_revision: notice.record_revision,
        record_seen_at: now,
        echo: Timestamp::ZERO,
    });
    member.holdings_match = false;
    member.last_reply_at = None;
    send_heartbeat(board, now)
}

/// Sends a heartbeat when one is due.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let interval = heartbeat(&board.settings);
    let is_due = |at: Timestamp| now.since(at) >= interval;
    if !board.homes.member.sent_at.is_none_or(is_due) {
        return Vec::new();
    }
    send_heartbeat(board, now)
}

/// Sends a heartbeat to the leader that this VM follows, if any.
pub(super) fn send_heartbeat(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let holdings = board.homes.valid_holdings(now);
    let digest = holdings_digest(&holdings);
    let table_digest = board.homes.table_digest();
    let released = board.homes.release.unacknowledged();
    let member = &mut board.homes.member;
    let Some(following) = member.following.as_ref() else {
        return Vec::new();
    };
    let timeout = heartbeat(&board.settings) * 2;
    let recently = |at: Timestamp| now.since(at) <= timeout;
    member.leader_responds = member.last_reply_at.is_some_and(recently);
    member.sequence += 1;
    member.sent_at = Some(now);
    member.sent.push_back(SentHeartbeat {
        sequence: member.sequence,
        at: now,
    });
    if member.sent.len() > MAX_SENT_HEARTBEATS {
        member.sent.pop_front();
    }
    let message = Heartbeat {
        epoch: following.epoch,
        sequence: member.sequence,
        echo: following.echo,
        is_free: now >= member.bound_until,
        is_draining: board.standing == Standing::Draining,
        holdings_digest: digest,
        holdings: if member.holdings_match {
            Vec::new()
        } else {
            next_chunk(holdings, &mut member.cursor)
        },
        released,
        table_digest,
        vms_digest: board.membership.digest(),
        shares_digest: board.limits.digest(),
        revision: board.configuration.current.revision,
    };
    vec![send(&following.leader, HomeMessage::Heartbeat(message))]
}

/// Returns the next chunk of a list that may be too long for one datagram; `cursor` marks its
/// start.
pub(super) fn next_chunk(mut holdings: Vec<Holding>, cursor: &mut usize) -> Vec<Holding> {
    if holdings.len() <= MAX_ENTRIES {
        return holdings;
    }
    *cursor %= holdings.len();
    holdings.rotate_left(*cursor);
    holdings.truncate(MAX_ENTRIES);
    *cursor += MAX_ENTRIES;
    holdings
}

/// Handles the leader's reply to a heartbeat; leases are renewed from when that heartbeat was sent.
pub(super) fn handle_reply(
    board: &mut Blackboard,
    from: &VmName,
    reply: &HeartbeatReply,
    now: Timestamp,
) -> Vec<Command> {
    let promise_until = now + promise(&board.settings);
    let member = &mut board.homes.member;
    let Some(following) = member.following.as_mut() else {
        return Vec::new();
    };
    if following.epoch != reply.epoch || following.leader != *from {
        return Vec::new();
    }
    let is_first = following.echo == Timestamp::ZERO;
    following.echo = following.echo.max(reply.leader_time);
    if following.record_revision != reply.record_revision {
        following.record_revision = reply.record_revision;
        following.record_seen_at = now;
    }
    member.promise_until = promise_until;
    member.last_reply_at = Some(now);
    let Some(sent_at) = member.sent_time(reply.sequence) else {
        return Vec::new();
    };
    board.homes.common_revision = board.homes.common_revision.max(reply.common_revision);
    if reply.shares_match {
        board.limits.confirm_shares(sent_at);
    }
    board.homes.release.acknowledge(reply.sequence);
    let valid_until = sent_at + lease(&board.settings);
    let holdings = board.homes.valid_holdings(now);
    let holdings_match = reply.renews_digest == Some(holdings_digest(&holdings));
    board.homes.member.holdings_match = holdings_match;
    if holdings_match {
        for holding in &holdings {
            renew(board, holding, valid_until);
        }
    }
    let mut has_changed = holdings_match && !holdings.is_empty();
    for grant in &reply.grants {
        has_changed |= renew(board, grant, valid_until);
    }
    let mut commands = super::release::start_all(board, &reply.to_release);
    if has_changed {
        commands.push(Command::Publish);
    }
    if is_first {
        // The leader grants homes only after a heartbeat shows that its replies arrive.
        commands.extend(send_heartbeat(board, now));
    }
    commands
}

/// Extends a lease, or starts a newly granted one; returns whether anything changed.
pub(super) fn renew(board: &mut Blackboard, grant: &Holding, valid_until: Timestamp) -> bool {
    let Blackboard { homes, local, .. } = board;
    if homes.release.has_released(grant) {
        return false;
    }
    let known = homes.homes.get(&grant.database);
    if known.is_some_and(|known| known.epoch > grant.epoch) {
        return false;
    }
    homes.record_home(&grant.database, &local.name, grant.epoch, local);
    let lease = HomeLease {
        epoch: grant.epoch,
        valid_until,
    };
    let previous = homes.leases.insert(grant.database.clone(), lease);
    if let Some(previous) = previous.filter(|previous| previous.epoch == grant.epoch)
        && previous.valid_until >= valid_until
    {
        homes.leases.insert(grant.database.clone(), previous);
        return false;
    }
    true
}
