//! Grants of the leader: claims of members, new homes, moves, and replies to heartbeats.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::assignment::{Candidate, Placement};
use super::super::message::{Heartbeat, HeartbeatReply, Holding, HomeMessage, TableEntry};
use super::super::{
    election, heartbeat, holdings_digest, lease, lease_with_margin, member, merge_table, release,
    send, table_messages,
};
use super::{EPOCH_SHIFT, Grant, write};
use crate::configuration::Revision;
use crate::control::blackboard::Blackboard;
use crate::control::command::{Command, LogEvent};
use crate::control::snapshot::Standing;
use crate::name::VmName;
use crate::time::Timestamp;

/// Time that the first leader of a cell waits for the other members before it grants homes.
const INITIAL_WAIT: Duration = Duration::from_millis(500);

/// Minimum interval between two moves of homes.
const MOVE_INTERVAL: Duration = Duration::from_secs(1);

/// Heartbeat intervals without a heartbeat after which a member is granted no new homes.
const MAX_MISSED_HEARTBEATS: u32 = 2;

/// Grants, moves and renews homes while the leadership is valid, and writes the record when due.
pub(crate) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    if !board.homes.is_leader() {
        return Vec::new();
    }
    activate(board, now);
    let mut commands = Vec::new();
    if can_grant(board, now) {
        expire(board, now);
        commands.extend(assign(board, now));
        commands.extend(propose_move(board, now));
        commands.extend(renew_own(board, now));
        confirm_own_shares(board, now);
        update_common_revision(board, now);
    }
    commands.extend(write::tick(board, now));
    commands
}

fn valid_until(board: &Blackboard, now: Timestamp) -> Timestamp {
    let leader = board.homes.leader.as_ref();
    leader.map_or(Timestamp::ZERO, |leader| {
        leader.valid_until(&board.local.name, now, lease(&board.settings))
    })
}

fn can_grant(board: &Blackboard, now: Timestamp) -> bool {
    let leader = board.homes.leader.as_ref();
    let is_active = leader.is_some_and(|leader| leader.active_since.is_some());
    is_active && now < valid_until(board, now)
}

/// Starts granting once no majority of members can still be bound by promises to an earlier leader,
/// and the former leader can no longer rely on its last write of the record.
fn activate(board: &mut Blackboard, now: Timestamp) {
    let Some(leader) = board.homes.leader.as_ref() else {
        return;
    };
    if leader.active_since.is_some() {
        settle_earlier_grants(board, now);
        return;
    }
    let is_free = match &leader.leadership.replaced {
        None => true,
        Some(replaced) => {
            let own_free = now >= board.homes.member.bound_until;
            let is_free = |vm: &&VmName| match leader.followers.get(*vm) {
                Some(follower) => follower.is_free,
                None => **vm == board.local.name && own_free,
            };
            let free = replaced.members.iter().filter(is_free).count();
            free + election::delisted_members(board, replaced, leader.leadership.revision)
                >= replaced.blocking()
        }
    };
    if !is_free || now < leader.leadership.not_before {
        return;
    }
    let wait = match &leader.leadership.replaced {
        None => INITIAL_WAIT,
        Some(_) => lease_with_margin(&board.settings),
    };
    if let Some(leader) = board.homes.leader.as_mut() {
        leader.active_since = Some(now);
        leader.earlier_grants_until = now + wait;
    }
    settle_earlier_grants(board, now);
}

/// Ends the wait for leases of earlier leaders once every possible holder has reported.
fn settle_earlier_grants(board: &mut Blackboard, now: Timestamp) {
    let Some(leader) = board.homes.leader.as_mut() else {
        return;
    };
    if now >= leader.earlier_grants_until {
        return;
    }
    let former = leader.leadership.replaced.as_ref();
    let members = former.map_or(&leader.leadership.record.members, |record| &record.members);
    let former_leader = former.map(|record| &record.lead);
    let has_reported = |vm: &VmName| {
        *vm == board.local.name || leader.has_reported(vm) || Some(vm) == former_leader
    };
    // The former leader doesn't have to report: its own leases ended with its leadership.
    if members.iter().all(has_reported) {
        leader.earlier_grants_until = now;
    }
}

/// Records the homes that a member claims to hold and those that it has released.
pub(super) fn apply_claims(
    board: &mut Blackboard,
    from: &VmName,
    claims: &Heartbeat,
    now: Timestamp,
) -> Vec<Command> {
    let expires_at = now + lease_with_margin(&board.settings);
    let Some(leader) = board.homes.leader.as_mut() else {
        return Vec::new();
    };
    let mut accepted = Vec::new();
    for released in &claims.released {
        let is_same = |grant: &Grant| grant.vm == *from && grant.epoch == released.epoch;
        if leader.grants.get(&released.database).is_some_and(is_same) {
            leader.free(&released.database);
        }
    }
    let accepts_claims = leader.active_since.is_none() || now < leader.earlier_grants_until;
    for claim in claims.holdings.iter().filter(|_| accepts_claims) {
        let used = leader.used_epochs.get(&claim.database).copied();
        let known = leader.grants.get(&claim.database).map(|grant| grant.epoch);
        if known.max(used).is_some_and(|epoch| epoch >= claim.epoch) {
            continue;
        }
        let grant = Grant {
            vm: from.clone(),
            epoch: claim.epoch,
            expires_at,
            is_moving: false,
        };
        leader.grants.insert(claim.database.clone(), grant);
        accepted.push(TableEntry {
            database: claim.database.clone(),
            vm: from.clone(),
            epoch: claim.epoch,
        });
    }
    // The table of a new leader may lack homes that an earlier leader granted.
    merge_table(board, &accepted)
}

fn expire(board: &mut Blackboard, now: Timestamp) {
    let local = board.local.name.clone();
    let Some(leader) = board.homes.leader.as_mut() else {
        return;
    };
    let has_expired = |grant: &Grant| grant.vm != local && now >= grant.expires_at;
    let databases: Vec<_> = leader
        .grants
        .iter()
        .filter(|(_, grant)| has_expired(grant))
        .map(|(database, _)| database.clone())
        .collect();
    for database in databases {
        leader.free(&database);
    }
}

/// Returns the members that may be granted another home.
fn candidates(board: &Blackboard, now: Timestamp) -> Vec<Candidate> {
    let Some(leader) = board.homes.leader.as_ref() else {
        return Vec::new();
    };
    let timeout = heartbeat(&board.settings) * MAX_MISSED_HEARTBEATS;
    let is_eligible = |vm: &VmName| {
        if *vm == board.local.name {
            return board.standing == Standing::Serving;
        }
        leader.followers.get(vm).is_some_and(|follower| {
            let is_recent = now.since(follower.last_seen_at) <= timeout;
            let is_recent = is_recent && leader.receives_replies(vm, now);
            is_recent && !follower.is_draining
        })
    };
    let members = leader
        .leadership
        .record
        .members
        .iter()
        .filter(|vm| is_eligible(vm));
    let listed = members.filter_map(|vm| board.membership.vms.get(vm));
    listed
        .filter(|record| record.is_live())
        .map(|record| Candidate {
            vm: record.name.clone(),
            availability_zone: record.availability_zone.clone(),
        })
        .collect()
}

/// Grants homes for the databases that have none.
fn assign(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let candidates = candidates(board, now);
    let expires_at = now + lease_with_margin(&board.settings);
    let own = &board.configuration.own_databases;
    let Some(leader) = board.homes.leader.as_mut() else {
        return Vec::new();
    };
    if now < leader.earlier_grants_until {
        return Vec::new();
    }
    let free: Vec<_> = own
        .iter()
        .filter(|name| !leader.grants.contains_key(*name))
        .collect();
    if free.is_empty() || candidates.is_empty() {
        return Vec::new();
    }
    let holders = leader.grants.values().map(|grant| &grant.vm);
    let mut placement = Placement::new(candidates, holders);
    let mut granted = Vec::new();
    for database in free {
        let Some(vm) = placement.choose(database) else {
            break;
        };
        let known = board.homes.homes.get(database).map(|view| view.epoch);
        let used = leader.used_epochs.get(database).copied();
        let base = leader.leadership.record.epoch << EPOCH_SHIFT;
        let epoch = base.max(known.unwrap_or(0)).max(used.unwrap_or(0)) + 1;
        let grant = Grant {
            vm: vm.clone(),
            epoch,
            expires_at,
            is_moving: false,
        };
        leader.grants.insert(database.clone(), grant);
        granted.push(TableEntry {
            database: database.clone(),
            vm,
            epoch,
        });
    }
    announce(board, &granted, now)
}

/// Announces new homes to every member, starting with their holders.
fn announce(board: &mut Blackboard, granted: &[TableEntry], now: Timestamp) -> Vec<Command> {
    let mut commands = vec![Command::Publish];
    for entry in granted {
        let Blackboard { homes, local, .. } = board;
        homes.record_home(&entry.database, &entry.vm, entry.epoch, local);
        let line = LogEvent::info("home_granted")
            .with("database", &entry.database)
            .with("vm", &entry.vm)
            .with("epoch", entry.epoch);
        commands.push(Command::Log(line));
    }
    let holders: BTreeSet<_> = granted.iter().map(|entry| entry.vm.clone()).collect();
    for holder in &holders {
        commands.extend(reply(board, holder, now));
    }
    for message in table_messages(granted) {
        let followers = board.homes.followers();
        commands.extend(followers.iter().map(|vm| send(vm, message.clone())));
    }
    commands
}

/// Replies to the latest heartbeat of a member; grants leases only while the leadership is certain.
pub(super) fn reply(board: &mut Blackboard, to: &VmName, now: Timestamp) -> Vec<Command> {
    let can_grant = can_grant(board, now);
    let expires_at = now + lease_with_margin(&board.settings);
    let common_revision = board.homes.common_revision;
    let (local, local_digest) = (board.local.name.clone(), board.limits.digest());
    let Some(leader) = board.homes.leader.as_mut() else {
        return Vec::new();
    };
    let holdings = leader.holdings_of(to);
    // A member that doesn't receive replies must not keep its homes merely by sending heartbeats.
    let can_grant = can_grant && leader.receives_replies(to, now);
    let Some(follower) = leader.followers.get_mut(to) else {
        return Vec::new();
    };
    let shares_digest = follower.shares_digest;
    let digest = holdings_digest(&holdings);
    let holdings_match = follower.holdings_digest == digest;
    let grants = match (can_grant, holdings_match) {
        (false, _) | (true, true) => Vec::new(),
        (true, false) => member::next_chunk(holdings.clone(), &mut follower.cursor),
    };
    let sequence = follower.sequence;
    let renewed = if can_grant && holdings_match {
        &holdings
    } else {
        &grants
    };
    for holding in renewed {
        if let Some(grant) = leader.grants.get_mut(&holding.database) {
            grant.expires_at = expires_at;
        }
    }
    let must_release = |holding: &&Holding| leader.grants[&holding.database].is_moving;
    let message = HeartbeatReply {
        epoch: leader.leadership.record.epoch,
        sequence,
        leader_time: now,
        record_revision: leader.leadership.revision,
        renews_digest: (can_grant && holdings_match).then_some(digest),
        to_release: holdings
            .iter()
            .filter(must_release)
            .map(|holding| holding.database.clone())
            .collect(),
        grants,
        common_revision,
        shares_match: can_grant && leader.shares_match(shares_digest, &local, local_digest, now),
    };
    vec![send(to, HomeMessage::HeartbeatReply(message))]
}

/// Moves one home at a time: away from VMs that are leaving, otherwise to even out the number of
/// homes per VM.
fn propose_move(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let candidates = candidates(board, now);
    let Some(leader) = board.homes.leader.as_mut() else {
        return Vec::new();
    };
    let none_moving = leader.grants.values().all(|grant| !grant.is_moving);
    if !none_moving || now.since(leader.last_move_at) < MOVE_INTERVAL || candidates.is_empty() {
        return Vec::new();
    }
    let is_leaving = |vm: &VmName| {
        let record = board.membership.vms.get(vm);
        record.is_some_and(|record| !record.is_live())
    };
    let leaving = leader
        .grants
        .iter()
        .find(|(_, grant)| is_leaving(&grant.vm));
    let by_balance = || {
        let holders = leader.grants.values().map(|grant| &grant.vm);
        let homes = leader.grants.iter().map(|(name, grant)| (name, &grant.vm));
        let proposed = Placement::new(candidates, holders).rebalance(homes)?;
        Some(proposed.database)
    };
    let database = leaving
        .map(|(database, _)| database.clone())
        .or_else(by_balance);
    let Some(grant) = database.and_then(|database| {
        let grant = leader.grants.get_mut(&database)?;
        grant.is_moving = true;
        Some((database, grant.vm.clone()))
    }) else {
        return Vec::new();
    };
    leader.last_move_at = now;
    let (database, vm) = grant;
    if vm == board.local.name {
        return release::start_all(board, &[database]);
    }
    reply(board, &vm, now)
}

/// Renews the leases of the leader itself, which end with its leadership.
fn renew_own(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let valid_until = valid_until(board, now).min(now + lease(&board.settings));
    let local = board.local.name.clone();
    let Some(leader) = board.homes.leader.as_ref() else {
        return Vec::new();
    };
    let interval = heartbeat(&board.settings);
    let mut has_changed = false;
    for holding in leader.holdings_of(&local) {
        let known = board.homes.leases.get(&holding.database).copied();
        let is_due = known.is_none_or(|known| {
            known.epoch != holding.epoch || known.valid_until + interval <= valid_until
        });
        has_changed |= is_due && member::renew(board, &holding, valid_until);
    }
    if has_changed {
        vec![Command::Publish]
    } else {
        Vec::new()
    }
}

/// Lets this VM's own homes use their shares once every home divides the limits in the same way.
fn confirm_own_shares(board: &mut Blackboard, now: Timestamp) {
    let digest = board.limits.digest();
    let leader = board.homes.leader.as_ref();
    if leader.is_some_and(|leader| leader.shares_match(digest, &board.local.name, digest, now)) {
        board.limits.confirm_shares(now);
    }
}

/// Updates the configuration revision that this VM and every recently seen follower have.
fn update_common_revision(board: &mut Blackboard, now: Timestamp) {
    let Some(leader) = board.homes.leader.as_ref() else {
        return;
    };
    let span = lease_with_margin(&board.settings);
    let followers = leader.followers.values();
    let recent = followers.filter(|follower| now.since(follower.last_seen_at) < span);
    let own = board.configuration.current.revision;
    let oldest = recent
        .map(|follower| follower.revision)
        .fold(own, Revision::min);
    board.homes.common_revision = board.homes.common_revision.max(oldest);
}
