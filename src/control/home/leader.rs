//! Leader's side of the home leases: followers, granted leases, and what is granted next.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::message::{Heartbeat, Holding, HomeMessage, LeaderNotice};
use super::record::CellRecord;
use super::{holdings_digest, lease_with_margin, promise, send, table_messages};
use crate::configuration::Revision;
use crate::control::blackboard::{Blackboard, Incarnation};
use crate::control::command::{Command, LogEvent};
use crate::name::{DatabaseName, VmName};
use crate::time::Timestamp;

mod grant;
mod write;

pub(super) use grant::tick;
pub(super) use write::{adopt_record, handle_write_result, needs_read};

/// Bit position of the leader's epoch within a home epoch.
const EPOCH_SHIFT: u32 = 24;

/// Leadership of this VM and the record that it is based on.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) record: CellRecord,
    pub(super) revision: Revision,
    /// Record that was replaced; `None` for the first leader of the cell.
    pub(super) replaced: Option<CellRecord>,
    /// Time from which the former leader can no longer rely on its last write of the record.
    pub(super) not_before: Timestamp,
    /// When this VM sent the write of the record; [`Timestamp::ZERO`] when another VM wrote it or
    /// the time is not known.
    pub(super) written_at: Timestamp,
}

/// State of a member, from its latest heartbeat.
#[derive(Debug, Clone)]
struct Follower {
    incarnation: Incarnation,
    sequence: u64,
    last_seen_at: Timestamp,
    promise_until: Timestamp,
    is_free: bool,
    is_draining: bool,
    holdings_digest: u64,
    shares_digest: u64,
    revision: Revision,
    cursor: usize,
}

/// Home lease that the leader has granted for one database.
#[derive(Debug, Clone)]
struct Grant {
    vm: VmName,
    epoch: u64,
    /// Time at which the lease is certain to have expired unless it is renewed.
    expires_at: Timestamp,
    is_moving: bool,
}

/// State of this VM as the leader of its cell.
#[derive(Debug)]
pub(super) struct LeaderState {
    leadership: Leadership,
    since: Timestamp,
    active_since: Option<Timestamp>,
    followers: BTreeMap<VmName, Follower>,
    grants: BTreeMap<DatabaseName, Grant>,
    /// Last epoch of each database that has no home at present.
    used_epochs: BTreeMap<DatabaseName, u64>,
    /// Time until which leases granted by an earlier leader may still be valid without being known
    /// here.
    earlier_grants_until: Timestamp,
    write: Option<write::PendingWrite>,
    last_write_at: Option<Timestamp>,
    last_move_at: Timestamp,
}

impl LeaderState {
    pub(super) fn follower_names(&self) -> Vec<VmName> {
        self.followers.keys().cloned().collect()
    }

    /// Returns until when this VM is certain to be the only leader.
    fn valid_until(&self, local: &VmName, now: Timestamp, lease: Duration) -> Timestamp {
        let is_handing_over =
            |write: &write::PendingWrite| write.hands_over(&self.leadership.record);
        if self.write.as_ref().is_some_and(is_handing_over) {
            return Timestamp::ZERO;
        }
        let promises = self
            .member_sets()
            .map(|members| self.promised_until(members, local, now + lease));
        let by_promise = promises.min().unwrap_or(Timestamp::ZERO);
        let by_record = match self.leadership.written_at {
            Timestamp::ZERO => Timestamp::ZERO,
            at => at + lease,
        };
        by_promise.max(by_record)
    }

    /// Returns the members in the record, and those in a pending write, which may have taken
    /// effect.
    fn member_sets(&self) -> impl Iterator<Item = &BTreeSet<VmName>> {
        let pending = self.write.iter().map(|write| &write.record.members);
        std::iter::once(&self.leadership.record.members).chain(pending)
    }

    /// Returns until when a majority of the members has promised to follow no other leader.
    fn promised_until(
        &self,
        members: &BTreeSet<VmName>,
        local: &VmName,
        own_promise: Timestamp,
    ) -> Timestamp {
        let promise_of = |vm: &VmName| {
            if vm == local {
                return own_promise;
            }
            let follower = self.followers.get(vm);
            follower.map_or(Timestamp::ZERO, |follower| follower.promise_until)
        };
        let mut promises: Vec<_> = members.iter().map(promise_of).collect();
        promises.sort_unstable_by(|a, b| b.cmp(a));
        promises[members.len() / 2]
    }

    fn free(&mut self, database: &DatabaseName) {
        if let Some(grant) = self.grants.remove(database) {
            self.used_epochs.insert(database.clone(), grant.epoch);
        }
    }

    /// Returns whether every VM that may be a home divides the limits according to `digest`.
    fn shares_match(&self, digest: u64, local: &VmName, local_digest: u64, now: Timestamp) -> bool {
        let digest_of = |vm: &VmName| {
            if vm == local {
                return Some(local_digest);
            }
            self.followers
                .get(vm)
                .map(|follower| follower.shares_digest)
        };
        let mut holders = self.grants.values().map(|grant| &grant.vm);
        let earlier_grants_known = self.active_since.is_some() && now >= self.earlier_grants_until;
        earlier_grants_known && holders.all(|vm| digest_of(vm) == Some(digest))
    }

    /// Returns whether a member receives this VM's replies, which its unexpired promise shows.
    fn receives_replies(&self, vm: &VmName, now: Timestamp) -> bool {
        let follower = self.followers.get(vm);
        follower.is_some_and(|follower| follower.promise_until > now)
    }

    /// Returns whether a member has reported every home that it holds.
    fn has_reported(&self, vm: &VmName) -> bool {
        let own = || holdings_digest(&self.holdings_of(vm));
        let follower = self.followers.get(vm);
        follower.is_some_and(|follower| follower.holdings_digest == own())
    }

    fn holdings_of(&self, vm: &VmName) -> Vec<Holding> {
        let own = self.grants.iter().filter(|(_, grant)| grant.vm == *vm);
        let holding = |(database, grant): (&DatabaseName, &Grant)| Holding {
            database: database.clone(),
            epoch: grant.epoch,
        };
        own.map(holding).collect()
    }
}

/// Returns the epoch of this VM's leadership, or 0 when it doesn't lead.
pub(super) fn epoch(board: &Blackboard) -> u64 {
    let leader = board.homes.leader.as_ref();
    leader.map_or(0, |leader| leader.leadership.record.epoch)
}

/// Returns the notice of this VM's leadership; `None` when it doesn't lead.
pub(super) fn notice(board: &Blackboard) -> Option<LeaderNotice> {
    let leadership = &board.homes.leader.as_ref()?.leadership;
    Some(LeaderNotice {
        epoch: leadership.record.epoch,
        leader: leadership.record.lead.clone(),
        incarnation: leadership.record.incarnation,
        record_revision: leadership.revision,
        is_handover: false,
    })
}

/// Returns whether a record shows that another VM has replaced this one as leader.
pub(super) fn is_deposed_by(board: &Blackboard, record: &CellRecord) -> bool {
    record.epoch > epoch(board)
}

/// Becomes the leader and notifies the cell.
pub(super) fn become_leader(
    board: &mut Blackboard,
    leadership: Leadership,
    now: Timestamp,
) -> Vec<Command> {
    let line = LogEvent::info("lead_started")
        .with("epoch", leadership.record.epoch)
        .with("members", leadership.record.members.len());
    let others: Vec<_> = leadership.record.members.iter().cloned().collect();
    let holdings = board.homes.valid_holdings(now);
    let mut leader = LeaderState {
        leadership,
        since: now,
        active_since: None,
        followers: BTreeMap::new(),
        grants: BTreeMap::new(),
        used_epochs: BTreeMap::new(),
        earlier_grants_until: now,
        write: None,
        last_write_at: None,
        last_move_at: now,
    };
    let expires_at = now + lease_with_margin(&board.settings);
    for holding in holdings {
        let grant = Grant {
            vm: board.local.name.clone(),
            epoch: holding.epoch,
            expires_at,
            is_moving: false,
        };
        leader.grants.insert(holding.database, grant);
    }
    board.homes.leader = Some(leader);
    let homes = &mut board.homes.member;
    homes.bound_until = homes.bound_until.max(homes.promise_until);
    homes.promise_until = Timestamp::ZERO;
    homes.following = None;
    let mut commands = vec![Command::Log(line)];
    if let Some(notice) = notice(board) {
        let others = others.iter().filter(|vm| **vm != board.local.name);
        commands.extend(others.map(|vm| send(vm, HomeMessage::Leader(notice.clone()))));
    }
    commands
}

/// Stops leading; this VM's homes end when their leases expire, unless the next leader renews them.
pub(super) fn step_down(board: &mut Blackboard) {
    board.homes.leader = None;
}

/// Handles a heartbeat of a member.
pub(super) fn handle_heartbeat(
    board: &mut Blackboard,
    from: &VmName,
    incarnation: Incarnation,
    heartbeat: &Heartbeat,
    now: Timestamp,
) -> Vec<Command> {
    let promised = heartbeat.echo + promise(&board.settings);
    let Some(leader) = board.homes.leader.as_mut() else {
        return redirect(board, from, heartbeat);
    };
    if heartbeat.epoch != leader.leadership.record.epoch {
        return notice(board)
            .map(|notice| send(from, HomeMessage::Leader(notice)))
            .into_iter()
            .collect();
    }
    let known = leader.followers.get(from);
    let is_outdated =
        |known: &Follower| (known.incarnation, known.sequence) >= (incarnation, heartbeat.sequence);
    if known.is_some_and(is_outdated) || heartbeat.echo > now {
        return Vec::new();
    }
    if known.is_some_and(|known| known.incarnation < incarnation) {
        // The process that held these homes has ended.
        for holding in leader.holdings_of(from) {
            leader.free(&holding.database);
        }
    }
    let known = leader.followers.get(from);
    let promise_until = match (known, heartbeat.echo) {
        (Some(known), _) if known.incarnation == incarnation => known.promise_until.max(promised),
        (_, Timestamp::ZERO) => Timestamp::ZERO,
        _ => promised,
    };
    let follower = Follower {
        incarnation,
        sequence: heartbeat.sequence,
        last_seen_at: now,
        promise_until,
        is_free: heartbeat.is_free,
        is_draining: heartbeat.is_draining,
        holdings_digest: heartbeat.holdings_digest,
        shares_digest: heartbeat.shares_digest,
        revision: heartbeat.revision,
        cursor: known.map_or(0, |known| known.cursor),
    };
    leader.followers.insert(from.clone(), follower);
    let mut commands = grant::apply_claims(board, from, heartbeat, now);
    commands.extend(grant::reply(board, from, now));
    if heartbeat.table_digest != board.homes.table_digest() {
        let table = board.homes.table();
        commands.extend(table_messages(&table).map(|message| send(from, message)));
    }
    if heartbeat.vms_digest != board.membership.digest() {
        commands.extend(board.membership.relay(from));
    }
    commands
}

fn redirect(board: &Blackboard, from: &VmName, heartbeat: &Heartbeat) -> Vec<Command> {
    let Some(following) = board.homes.member.following.as_ref() else {
        return Vec::new();
    };
    if following.epoch <= heartbeat.epoch {
        return Vec::new();
    }
    let notice = LeaderNotice {
        epoch: following.epoch,
        leader: following.leader.clone(),
        incarnation: following.incarnation,
        record_revision: following.record_revision,
        is_handover: false,
    };
    vec![send(from, HomeMessage::Leader(notice))]
}

/// Frees a home that this VM held itself and has released.
pub(super) fn handle_own_release(
    board: &mut Blackboard,
    database: &DatabaseName,
    epoch: u64,
    now: Timestamp,
) -> Vec<Command> {
    let local = board.local.name.clone();
    let Some(leader) = board.homes.leader.as_mut() else {
        return Vec::new();
    };
    let is_own = |grant: &Grant| grant.vm == local && grant.epoch == epoch;
    if leader.grants.get(database).is_some_and(is_own) {
        leader.free(database);
    }
    grant::tick(board, now)
}
