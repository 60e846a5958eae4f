//! Lead's side of the home leases: who follows, who holds what, and what is granted next.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::message::{Heartbeat, Holding, HomeMessage, LeadNotice};
use super::record::CellRecord;
use super::{holdings_digest, lapse, promise, send, table_messages};
use crate::configuration::Revision;
use crate::control::blackboard::{Blackboard, Incarnation};
use crate::control::command::{Command, LogEvent};
use crate::name::{DatabaseName, VmName};
use crate::time::Timestamp;

mod grant;
mod write;

pub(super) use grant::tick;
pub(super) use write::{adopt_record, needs_read, write_ended};

/// Part of the home epoch that the lead's epoch takes.
const EPOCH_SHIFT: u32 = 24;

/// How a VM came into office.
#[derive(Debug)]
pub(super) struct Office {
    pub(super) record: CellRecord,
    pub(super) revision: Revision,
    /// Record that was replaced; `None` for the first lead of the cell.
    pub(super) replaced: Option<CellRecord>,
    /// When what the service granted to the former lead has run out.
    pub(super) not_before: Timestamp,
    /// When the record was written; [`Timestamp::ZERO`] when another VM wrote it.
    pub(super) written_at: Timestamp,
}

/// Member as the lead knows it.
#[derive(Debug, Clone)]
struct Follower {
    incarnation: Incarnation,
    sequence: u64,
    heard_at: Timestamp,
    promise_until: Timestamp,
    is_free: bool,
    is_draining: bool,
    holdings_digest: u64,
    shares_digest: u64,
    revision: Revision,
    cursor: usize,
}

/// Home of one database as the lead has granted it.
#[derive(Debug, Clone)]
struct Grant {
    vm: VmName,
    epoch: u64,
    /// When the lease is certain to have run out unless it is renewed.
    lapses_at: Timestamp,
    is_moving: bool,
}

/// What a lead knows.
#[derive(Debug)]
pub(super) struct LeadState {
    office: Office,
    since: Timestamp,
    active_since: Option<Timestamp>,
    followers: BTreeMap<VmName, Follower>,
    grants: BTreeMap<DatabaseName, Grant>,
    /// Epochs that were used and whose homes are free.
    used_epochs: BTreeMap<DatabaseName, u64>,
    /// Homes that may have been granted by an earlier lead end here.
    unaccounted_until: Timestamp,
    write: Option<write::PendingWrite>,
    wrote_at: Option<Timestamp>,
    moved_at: Timestamp,
}

impl LeadState {
    pub(super) fn names(&self) -> Vec<VmName> {
        self.followers.keys().cloned().collect()
    }

    /// Returns until when this VM is certain to be the only lead.
    fn valid_until(&self, local: &VmName, now: Timestamp, lease: Duration) -> Timestamp {
        let is_handing_over = |write: &write::PendingWrite| write.hands_over(&self.office.record);
        if self.write.as_ref().is_some_and(is_handing_over) {
            return Timestamp::ZERO;
        }
        let promises = self
            .member_sets()
            .map(|members| self.promised_until(members, local, now + lease));
        let by_promise = promises.min().unwrap_or(Timestamp::ZERO);
        let by_service = match self.office.written_at {
            Timestamp::ZERO => Timestamp::ZERO,
            at => at + lease,
        };
        by_promise.max(by_service)
    }

    /// Returns the record's members, and those of a write whose outcome is not known.
    fn member_sets(&self) -> impl Iterator<Item = &BTreeSet<VmName>> {
        let pending = self.write.iter().map(|write| &write.record.members);
        std::iter::once(&self.office.record.members).chain(pending)
    }

    /// Returns until when a majority of the members has promised to follow no other lead.
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

    /// Returns whether every VM that may be a home shares limits as `digest` says.
    fn is_agreed(&self, digest: u64, local: &VmName, local_digest: u64, now: Timestamp) -> bool {
        let digest_of = |vm: &VmName| {
            if vm == local {
                return Some(local_digest);
            }
            self.followers
                .get(vm)
                .map(|follower| follower.shares_digest)
        };
        let mut holders = self.grants.values().map(|grant| &grant.vm);
        let is_accounted = self.active_since.is_some() && now >= self.unaccounted_until;
        is_accounted && holders.all(|vm| digest_of(vm) == Some(digest))
    }

    /// Returns whether a member receives this VM's answers.
    fn is_hearing(&self, vm: &VmName, now: Timestamp) -> bool {
        let follower = self.followers.get(vm);
        follower.is_some_and(|follower| follower.promise_until > now)
    }

    /// Returns whether a member has told of every home that it holds.
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

/// Returns the epoch of this VM's office, 0 when it doesn't lead.
pub(super) fn epoch(board: &Blackboard) -> u64 {
    let lead = board.homes.lead.as_ref();
    lead.map_or(0, |lead| lead.office.record.epoch)
}

/// Returns what others are told of this VM's office.
pub(super) fn notice(board: &Blackboard) -> Option<LeadNotice> {
    let office = &board.homes.lead.as_ref()?.office;
    Some(LeadNotice {
        epoch: office.record.epoch,
        lead: office.record.lead.clone(),
        incarnation: office.record.incarnation,
        record_revision: office.revision,
        is_handover: false,
    })
}

/// Returns whether a record shows that another VM leads now.
pub(super) fn is_deposed_by(board: &Blackboard, record: &CellRecord) -> bool {
    record.epoch > epoch(board)
}

/// Becomes the lead and tells the cell.
pub(super) fn take_office(board: &mut Blackboard, office: Office, now: Timestamp) -> Vec<Command> {
    let line = LogEvent::info("lead_started")
        .with("epoch", office.record.epoch)
        .with("members", office.record.members.len());
    let others: Vec<_> = office.record.members.iter().cloned().collect();
    let holdings = board.homes.valid_holdings(now);
    let mut lead = LeadState {
        office,
        since: now,
        active_since: None,
        followers: BTreeMap::new(),
        grants: BTreeMap::new(),
        used_epochs: BTreeMap::new(),
        unaccounted_until: now,
        write: None,
        wrote_at: None,
        moved_at: now,
    };
    let lapses_at = now + lapse(&board.settings);
    for holding in holdings {
        let grant = Grant {
            vm: board.local.name.clone(),
            epoch: holding.epoch,
            lapses_at,
            is_moving: false,
        };
        lead.grants.insert(holding.database, grant);
    }
    board.homes.lead = Some(lead);
    let homes = &mut board.homes.member;
    homes.bound_until = homes.bound_until.max(homes.promise_until);
    homes.promise_until = Timestamp::ZERO;
    homes.following = None;
    let mut commands = vec![Command::Log(line)];
    if let Some(notice) = notice(board) {
        let others = others.iter().filter(|vm| **vm != board.local.name);
        commands.extend(others.map(|vm| send(vm, HomeMessage::Lead(notice.clone()))));
    }
    commands
}

/// Stops leading; homes of this VM end with their leases unless the next lead renews them.
pub(super) fn leave_office(board: &mut Blackboard) {
    board.homes.lead = None;
}

/// Handles a heartbeat.
pub(super) fn heard(
    board: &mut Blackboard,
    from: &VmName,
    incarnation: Incarnation,
    heartbeat: &Heartbeat,
    now: Timestamp,
) -> Vec<Command> {
    let promised = heartbeat.echo + promise(&board.settings);
    let Some(lead) = board.homes.lead.as_mut() else {
        return redirect(board, from, heartbeat);
    };
    if heartbeat.epoch != lead.office.record.epoch {
        return notice(board)
            .map(|notice| send(from, HomeMessage::Lead(notice)))
            .into_iter()
            .collect();
    }
    let known = lead.followers.get(from);
    let is_old =
        |known: &Follower| (known.incarnation, known.sequence) >= (incarnation, heartbeat.sequence);
    if known.is_some_and(is_old) || heartbeat.echo > now {
        return Vec::new();
    }
    if known.is_some_and(|known| known.incarnation < incarnation) {
        // The process that held these homes has ended.
        for holding in lead.holdings_of(from) {
            lead.free(&holding.database);
        }
    }
    let known = lead.followers.get(from);
    let promise_until = match (known, heartbeat.echo) {
        (Some(known), _) if known.incarnation == incarnation => known.promise_until.max(promised),
        (_, Timestamp::ZERO) => Timestamp::ZERO,
        _ => promised,
    };
    let follower = Follower {
        incarnation,
        sequence: heartbeat.sequence,
        heard_at: now,
        promise_until,
        is_free: heartbeat.is_free,
        is_draining: heartbeat.is_draining,
        holdings_digest: heartbeat.holdings_digest,
        shares_digest: heartbeat.shares_digest,
        revision: heartbeat.revision,
        cursor: known.map_or(0, |known| known.cursor),
    };
    lead.followers.insert(from.clone(), follower);
    let mut commands = grant::take_claims(board, from, heartbeat, now);
    commands.extend(grant::answer(board, from, now));
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
    let notice = LeadNotice {
        epoch: following.epoch,
        lead: following.lead.clone(),
        incarnation: following.incarnation,
        record_revision: following.record_revision,
        is_handover: false,
    };
    vec![send(from, HomeMessage::Lead(notice))]
}

/// Takes note that this VM released a home of its own.
pub(super) fn freed(
    board: &mut Blackboard,
    database: &DatabaseName,
    epoch: u64,
    now: Timestamp,
) -> Vec<Command> {
    let local = board.local.name.clone();
    let Some(lead) = board.homes.lead.as_mut() else {
        return Vec::new();
    };
    let is_own = |grant: &Grant| grant.vm == local && grant.epoch == epoch;
    if lead.grants.get(database).is_some_and(is_own) {
        lead.free(database);
    }
    grant::tick(board, now)
}
