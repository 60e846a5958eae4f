//! What the lead grants: claims of members, new homes, moves and answers.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::assignment::{Candidate, Placement};
use super::super::message::{Heartbeat, HeartbeatAnswer, Holding, HomeMessage, TableEntry};
use super::super::{
    election, heartbeat, holdings_digest, lapse, learn_table, lease, member, release, send,
    table_messages,
};
use super::{EPOCH_SHIFT, Grant, write};
use crate::configuration::Revision;
use crate::control::blackboard::Blackboard;
use crate::control::command::{Command, LogEvent};
use crate::control::snapshot::Standing;
use crate::name::VmName;
use crate::time::Timestamp;

/// Time that the first lead of a cell waits for the other members.
const SETTLE: Duration = Duration::from_millis(500);

/// Interval between moves that only serve balance.
const MOVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a heartbeat after which a member gets no new homes, in heartbeats.
const MISSED_HEARTBEATS: u32 = 2;

/// Checks the office, hands out free homes and renews this VM's own.
pub(crate) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    if !board.homes.is_lead() {
        return Vec::new();
    }
    activate(board, now);
    let mut commands = Vec::new();
    if can_grant(board, now) {
        expire(board, now);
        commands.extend(assign(board, now));
        commands.extend(propose_move(board, now));
        commands.extend(renew_own(board, now));
        agree_own(board, now);
        update_adopted(board, now);
    }
    commands.extend(write::tick(board, now));
    commands
}

fn valid_until(board: &Blackboard, now: Timestamp) -> Timestamp {
    let lead = board.homes.lead.as_ref();
    lead.map_or(Timestamp::ZERO, |lead| {
        lead.valid_until(&board.local.name, now, lease(&board.settings))
    })
}

fn can_grant(board: &Blackboard, now: Timestamp) -> bool {
    let lead = board.homes.lead.as_ref();
    let is_active = lead.is_some_and(|lead| lead.active_since.is_some());
    is_active && now < valid_until(board, now)
}

/// Takes up the office once no majority can promise itself to an earlier lead.
fn activate(board: &mut Blackboard, now: Timestamp) {
    let Some(lead) = board.homes.lead.as_ref() else {
        return;
    };
    if lead.active_since.is_some() {
        account(board, now);
        return;
    }
    let is_free = match &lead.office.replaced {
        None => true,
        Some(replaced) => {
            let own_free = now >= board.homes.member.bound_until;
            let is_free = |vm: &&VmName| match lead.followers.get(*vm) {
                Some(follower) => follower.is_free,
                None => **vm == board.local.name && own_free,
            };
            let free = replaced.members.iter().filter(is_free).count();
            free + election::gone_members(board, replaced, lead.office.revision)
                >= replaced.blocking()
        }
    };
    if !is_free || now < lead.office.not_before {
        return;
    }
    let wait = match &lead.office.replaced {
        None => SETTLE,
        Some(_) => lapse(&board.settings),
    };
    if let Some(lead) = board.homes.lead.as_mut() {
        lead.active_since = Some(now);
        lead.unaccounted_until = now + wait;
    }
    account(board, now);
}

/// Ends the wait for homes of earlier leads when every other holder has reported.
fn account(board: &mut Blackboard, now: Timestamp) {
    let Some(lead) = board.homes.lead.as_mut() else {
        return;
    };
    if now >= lead.unaccounted_until {
        return;
    }
    let former = lead.office.replaced.as_ref();
    let members = former.map_or(&lead.office.record.members, |record| &record.members);
    let former_lead = former.map(|record| &record.lead);
    let has_reported =
        |vm: &VmName| *vm == board.local.name || lead.has_reported(vm) || Some(vm) == former_lead;
    // A former lead's own homes ended with its office.
    if members.iter().all(has_reported) {
        lead.unaccounted_until = now;
    }
}

/// Takes over what a member says that it holds or has released.
pub(super) fn take_claims(
    board: &mut Blackboard,
    from: &VmName,
    claims: &Heartbeat,
    now: Timestamp,
) -> Vec<Command> {
    let lapses_at = now + lapse(&board.settings);
    let Some(lead) = board.homes.lead.as_mut() else {
        return Vec::new();
    };
    let mut taken = Vec::new();
    for released in &claims.released {
        let is_same = |grant: &Grant| grant.vm == *from && grant.epoch == released.epoch;
        if lead.grants.get(&released.database).is_some_and(is_same) {
            lead.free(&released.database);
        }
    }
    let is_open = lead.active_since.is_none() || now < lead.unaccounted_until;
    for claim in claims.holdings.iter().filter(|_| is_open) {
        let used = lead.used_epochs.get(&claim.database).copied();
        let known = lead.grants.get(&claim.database).map(|grant| grant.epoch);
        if known.max(used).is_some_and(|epoch| epoch >= claim.epoch) {
            continue;
        }
        let grant = Grant {
            vm: from.clone(),
            epoch: claim.epoch,
            lapses_at,
            is_moving: false,
        };
        lead.grants.insert(claim.database.clone(), grant);
        taken.push(TableEntry {
            database: claim.database.clone(),
            vm: from.clone(),
            epoch: claim.epoch,
        });
    }
    // The table of a lead that has just started may lack homes that an earlier one granted.
    learn_table(board, &taken)
}

fn expire(board: &mut Blackboard, now: Timestamp) {
    let local = board.local.name.clone();
    let Some(lead) = board.homes.lead.as_mut() else {
        return;
    };
    let lapsed = |grant: &Grant| grant.vm != local && now >= grant.lapses_at;
    let databases: Vec<_> = lead
        .grants
        .iter()
        .filter(|(_, grant)| lapsed(grant))
        .map(|(database, _)| database.clone())
        .collect();
    for database in databases {
        lead.free(&database);
    }
}

/// Returns the members that may get another home.
fn candidates(board: &Blackboard, now: Timestamp) -> Vec<Candidate> {
    let Some(lead) = board.homes.lead.as_ref() else {
        return Vec::new();
    };
    let patience = heartbeat(&board.settings) * MISSED_HEARTBEATS;
    let is_fit = |vm: &VmName| {
        if *vm == board.local.name {
            return board.standing == Standing::Serving;
        }
        lead.followers.get(vm).is_some_and(|follower| {
            let is_fresh = now.since(follower.heard_at) <= patience;
            let is_fresh = is_fresh && lead.is_hearing(vm, now);
            is_fresh && !follower.is_draining
        })
    };
    let members = lead.office.record.members.iter().filter(|vm| is_fit(vm));
    let listed = members.filter_map(|vm| board.membership.vms.get(vm));
    listed
        .filter(|record| record.is_live())
        .map(|record| Candidate {
            vm: record.name.clone(),
            availability_zone: record.availability_zone.clone(),
        })
        .collect()
}

/// Grants the homes that no VM has.
fn assign(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let candidates = candidates(board, now);
    let lapses_at = now + lapse(&board.settings);
    let own = &board.configuration.own_databases;
    let Some(lead) = board.homes.lead.as_mut() else {
        return Vec::new();
    };
    if now < lead.unaccounted_until {
        return Vec::new();
    }
    let free: Vec<_> = own
        .iter()
        .filter(|name| !lead.grants.contains_key(*name))
        .collect();
    if free.is_empty() || candidates.is_empty() {
        return Vec::new();
    }
    let holders = lead.grants.values().map(|grant| &grant.vm);
    let mut placement = Placement::new(candidates, holders);
    let mut granted = Vec::new();
    for database in free {
        let Some(vm) = placement.choose(database) else {
            break;
        };
        let known = board.homes.homes.get(database).map(|view| view.epoch);
        let used = lead.used_epochs.get(database).copied();
        let base = lead.office.record.epoch << EPOCH_SHIFT;
        let epoch = base.max(known.unwrap_or(0)).max(used.unwrap_or(0)) + 1;
        let grant = Grant {
            vm: vm.clone(),
            epoch,
            lapses_at,
            is_moving: false,
        };
        lead.grants.insert(database.clone(), grant);
        granted.push(TableEntry {
            database: database.clone(),
            vm,
            epoch,
        });
    }
    publish(board, &granted, now)
}

/// Tells every member of new homes, and their holders first.
fn publish(board: &mut Blackboard, granted: &[TableEntry], now: Timestamp) -> Vec<Command> {
    let mut commands = vec![Command::Publish];
    for entry in granted {
        let Blackboard { homes, local, .. } = board;
        homes.learn(&entry.database, &entry.vm, entry.epoch, local);
        let line = LogEvent::info("home_granted")
            .with("database", &entry.database)
            .with("vm", &entry.vm)
            .with("epoch", entry.epoch);
        commands.push(Command::Log(line));
    }
    let holders: BTreeSet<_> = granted.iter().map(|entry| entry.vm.clone()).collect();
    for holder in &holders {
        commands.extend(answer(board, holder, now));
    }
    for message in table_messages(granted) {
        let followers = board.homes.followers();
        commands.extend(followers.iter().map(|vm| send(vm, message.clone())));
    }
    commands
}

/// Answers the last heartbeat of a member; leases are granted while the office is certain.
pub(super) fn answer(board: &mut Blackboard, to: &VmName, now: Timestamp) -> Vec<Command> {
    let can_grant = can_grant(board, now);
    let lapses_at = now + lapse(&board.settings);
    let adopted = board.homes.adopted;
    let (local, local_digest) = (board.local.name.clone(), board.limits.digest());
    let Some(lead) = board.homes.lead.as_mut() else {
        return Vec::new();
    };
    let holdings = lead.holdings_of(to);
    // A member that does not receive answers must not keep its homes by asking for them.
    let can_grant = can_grant && lead.is_hearing(to, now);
    let Some(follower) = lead.followers.get_mut(to) else {
        return Vec::new();
    };
    let shares_digest = follower.shares_digest;
    let digest = holdings_digest(&holdings);
    let is_agreed = follower.holdings_digest == digest;
    let grants = match (can_grant, is_agreed) {
        (false, _) | (true, true) => Vec::new(),
        (true, false) => member::next_part(holdings.clone(), &mut follower.cursor),
    };
    let sequence = follower.sequence;
    let renewed = if can_grant && is_agreed {
        &holdings
    } else {
        &grants
    };
    for holding in renewed {
        if let Some(grant) = lead.grants.get_mut(&holding.database) {
            grant.lapses_at = lapses_at;
        }
    }
    let is_wanted = |holding: &&Holding| lead.grants[&holding.database].is_moving;
    let message = HeartbeatAnswer {
        epoch: lead.office.record.epoch,
        sequence,
        lead_time: now,
        record_revision: lead.office.revision,
        renews_digest: (can_grant && is_agreed).then_some(digest),
        give_up: holdings
            .iter()
            .filter(is_wanted)
            .map(|holding| holding.database.clone())
            .collect(),
        grants,
        adopted,
        shares_agreed: can_grant && lead.is_agreed(shares_digest, &local, local_digest, now),
    };
    vec![send(to, HomeMessage::Answer(message))]
}

/// Moves one home at a time: off leaving VMs, and from full to empty ones.
fn propose_move(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let candidates = candidates(board, now);
    let Some(lead) = board.homes.lead.as_mut() else {
        return Vec::new();
    };
    let is_settled = lead.grants.values().all(|grant| !grant.is_moving);
    if !is_settled || now.since(lead.moved_at) < MOVE_INTERVAL || candidates.is_empty() {
        return Vec::new();
    }
    let is_leaving = |vm: &VmName| {
        let record = board.membership.vms.get(vm);
        record.is_some_and(|record| !record.is_live())
    };
    let leaving = lead.grants.iter().find(|(_, grant)| is_leaving(&grant.vm));
    let uneven = || {
        let holders = lead.grants.values().map(|grant| &grant.vm);
        let homes = lead.grants.iter().map(|(name, grant)| (name, &grant.vm));
        let proposed = Placement::new(candidates, holders).rebalance(homes)?;
        Some(proposed.database)
    };
    let database = leaving
        .map(|(database, _)| database.clone())
        .or_else(uneven);
    let Some(grant) = database.and_then(|database| {
        let grant = lead.grants.get_mut(&database)?;
        grant.is_moving = true;
        Some((database, grant.vm.clone()))
    }) else {
        return Vec::new();
    };
    lead.moved_at = now;
    let (database, vm) = grant;
    if vm == board.local.name {
        return release::give_up(board, &[database]);
    }
    answer(board, &vm, now)
}

/// Renews the homes of the lead itself, which end with its office.
fn renew_own(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let valid_until = valid_until(board, now).min(now + lease(&board.settings));
    let local = board.local.name.clone();
    let Some(lead) = board.homes.lead.as_ref() else {
        return Vec::new();
    };
    let interval = heartbeat(&board.settings);
    let mut is_news = false;
    for holding in lead.holdings_of(&local) {
        let known = board.homes.leases.get(&holding.database).copied();
        let is_due = known.is_none_or(|known| {
            known.epoch != holding.epoch || known.valid_until + interval <= valid_until
        });
        is_news |= is_due && member::renew(board, &holding, valid_until);
    }
    if is_news {
        vec![Command::Publish]
    } else {
        Vec::new()
    }
}

/// Lets this VM's own homes use their shares once every home divides the limits alike.
fn agree_own(board: &mut Blackboard, now: Timestamp) {
    let digest = board.limits.digest();
    let lead = board.homes.lead.as_ref();
    if lead.is_some_and(|lead| lead.is_agreed(digest, &board.local.name, digest, now)) {
        board.limits.agree(now);
    }
}

/// Finds the configuration revision that every follower has.
fn update_adopted(board: &mut Blackboard, now: Timestamp) {
    let Some(lead) = board.homes.lead.as_ref() else {
        return;
    };
    let span = lapse(&board.settings);
    let followers = lead.followers.values();
    let recent = followers.filter(|follower| now.since(follower.heard_at) < span);
    let own = board.configuration.current.revision;
    let oldest = recent
        .map(|follower| follower.revision)
        .fold(own, Revision::min);
    board.homes.adopted = board.homes.adopted.max(oldest);
}
