//! Member's side of the home leases: heartbeats, answers and promises.

use std::collections::VecDeque;
use std::time::Duration;

use super::message::{Heartbeat, HeartbeatAnswer, Holding, HomeMessage, LeadNotice, MAX_ENTRIES};
use super::{heartbeat, holdings_digest, lease, promise, send};
use crate::configuration::Revision;
use crate::control::blackboard::{Blackboard, Incarnation};
use crate::control::command::Command;
use crate::control::snapshot::{HomeLease, Standing};
use crate::name::VmName;
use crate::time::Timestamp;

/// Heartbeats whose time of sending is remembered.
const MAX_REMEMBERED: usize = 16;

/// Lead that this VM follows.
#[derive(Debug, Clone)]
pub(super) struct Following {
    pub(super) epoch: u64,
    pub(super) lead: VmName,
    pub(super) incarnation: Incarnation,
    pub(super) since: Timestamp,
    pub(super) record_revision: Revision,
    pub(super) record_seen_at: Timestamp,
    echo: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    sequence: u64,
    at: Timestamp,
}

/// What a member remembers.
#[derive(Debug, Default)]
pub(super) struct MemberState {
    pub(super) following: Option<Following>,
    /// Until when this VM is bound to the lead that answered last.
    pub(super) promise_until: Timestamp,
    /// Until when promises of an earlier process of this VM may bind it.
    pub(super) bound_until: Timestamp,
    sequence: u64,
    sent: VecDeque<Sent>,
    sent_at: Option<Timestamp>,
    is_agreed: bool,
    /// Whether the lead has answered since the last heartbeat but one.
    pub(super) is_answered: bool,
    answered_at: Option<Timestamp>,
    cursor: usize,
}

impl MemberState {
    pub(super) fn lead(&self) -> Option<&VmName> {
        self.following.as_ref().map(|following| &following.lead)
    }

    pub(super) fn epoch(&self) -> u64 {
        self.following
            .as_ref()
            .map_or(0, |following| following.epoch)
    }

    pub(super) const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns from when on the lead counts as lost, unless it answers before.
    pub(super) fn lost_at(&self, promise: Duration) -> Option<Timestamp> {
        let following = self.following.as_ref()?;
        Some(self.promise_until.max(following.since + promise))
    }

    fn sent_time(&self, sequence: u64) -> Option<Timestamp> {
        let found = self.sent.iter().find(|sent| sent.sequence == sequence)?;
        Some(found.at)
    }
}

/// Follows a lead, and tells it so at once.
pub(super) fn follow(board: &mut Blackboard, notice: &LeadNotice, now: Timestamp) -> Vec<Command> {
    let member = &mut board.homes.member;
    // Promises to an earlier lead go on binding; the new lead is told with each heartbeat.
    member.bound_until = member.bound_until.max(member.promise_until);
    member.promise_until = Timestamp::ZERO;
    member.following = Some(Following {
        epoch: notice.epoch,
        lead: notice.lead.clone(),
        incarnation: notice.incarnation,
        since: now,
        record_revision: notice.record_revision,
        record_seen_at: now,
        echo: Timestamp::ZERO,
    });
    member.is_agreed = false;
    member.answered_at = None;
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

/// Sends a heartbeat at once.
pub(super) fn send_heartbeat(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let holdings = board.homes.valid_holdings(now);
    let digest = holdings_digest(&holdings);
    let table_digest = board.homes.table_digest();
    let released = board.homes.release.unacknowledged();
    let member = &mut board.homes.member;
    let Some(following) = member.following.as_ref() else {
        return Vec::new();
    };
    let patience = heartbeat(&board.settings) * 2;
    let recently = |at: Timestamp| now.since(at) <= patience;
    member.is_answered = member.answered_at.is_some_and(recently);
    member.sequence += 1;
    member.sent_at = Some(now);
    member.sent.push_back(Sent {
        sequence: member.sequence,
        at: now,
    });
    if member.sent.len() > MAX_REMEMBERED {
        member.sent.pop_front();
    }
    let message = Heartbeat {
        epoch: following.epoch,
        sequence: member.sequence,
        echo: following.echo,
        is_free: now >= member.bound_until,
        is_draining: board.standing == Standing::Draining,
        holdings_digest: digest,
        holdings: if member.is_agreed {
            Vec::new()
        } else {
            next_part(holdings, &mut member.cursor)
        },
        released,
        table_digest,
        vms_digest: board.membership.digest(),
        shares_digest: board.limits.digest(),
        revision: board.configuration.current.revision,
    };
    vec![send(&following.lead, HomeMessage::Heartbeat(message))]
}

/// Returns the next part of a list that is too long for one datagram.
pub(super) fn next_part(mut holdings: Vec<Holding>, cursor: &mut usize) -> Vec<Holding> {
    if holdings.len() <= MAX_ENTRIES {
        return holdings;
    }
    *cursor %= holdings.len();
    holdings.rotate_left(*cursor);
    holdings.truncate(MAX_ENTRIES);
    *cursor += MAX_ENTRIES;
    holdings
}

/// Takes note of the lead's answer: leases are renewed from when the heartbeat was sent.
pub(super) fn answered(
    board: &mut Blackboard,
    from: &VmName,
    answer: &HeartbeatAnswer,
    now: Timestamp,
) -> Vec<Command> {
    let promise_until = now + promise(&board.settings);
    let member = &mut board.homes.member;
    let Some(following) = member.following.as_mut() else {
        return Vec::new();
    };
    if following.epoch != answer.epoch || following.lead != *from {
        return Vec::new();
    }
    let is_first = following.echo == Timestamp::ZERO;
    following.echo = following.echo.max(answer.lead_time);
    if following.record_revision != answer.record_revision {
        following.record_revision = answer.record_revision;
        following.record_seen_at = now;
    }
    member.promise_until = promise_until;
    member.answered_at = Some(now);
    let Some(sent_at) = member.sent_time(answer.sequence) else {
        return Vec::new();
    };
    board.homes.adopted = board.homes.adopted.max(answer.adopted);
    if answer.shares_agreed {
        board.limits.agree(sent_at);
    }
    board.homes.release.acknowledge(answer.sequence);
    let valid_until = sent_at + lease(&board.settings);
    let holdings = board.homes.valid_holdings(now);
    let is_agreed = answer.renews_digest == Some(holdings_digest(&holdings));
    board.homes.member.is_agreed = is_agreed;
    if is_agreed {
        for holding in &holdings {
            renew(board, holding, valid_until);
        }
    }
    let mut is_news = is_agreed && !holdings.is_empty();
    for grant in &answer.grants {
        is_news |= renew(board, grant, valid_until);
    }
    let mut commands = super::release::give_up(board, &answer.give_up);
    if is_news {
        commands.push(Command::Publish);
    }
    if is_first {
        // The lead grants once it knows that its answers arrive.
        commands.extend(send_heartbeat(board, now));
    }
    commands
}

/// Extends a lease, or takes up a new one; returns whether anything changed.
pub(super) fn renew(board: &mut Blackboard, grant: &Holding, valid_until: Timestamp) -> bool {
    let Blackboard { homes, local, .. } = board;
    if homes.release.has_released(grant) {
        return false;
    }
    let known = homes.homes.get(&grant.database);
    if known.is_some_and(|known| known.epoch > grant.epoch) {
        return false;
    }
    homes.learn(&grant.database, &local.name, grant.epoch, local);
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
