//! Promotion attempts: start one, have the instances adopt its term, promote the candidate, and
//! finish, or stop when another VM has started a newer term.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::decide::{follow, log};
use super::evidence::Health;
use super::group::{Group, GroupContext, Phase};
use super::promotion::{Promotion, Step};
use super::record::TermRecord;
use crate::control::command::{Command, InstanceRequest};
use crate::control::event::InstanceReport;
use crate::name::InstanceName;
use crate::position::Term;

/// Time for which an attempt waits for eligible instances before it also considers the others, such
/// as the primary that is being replaced.
const ELIGIBLE_GRACE: Duration = Duration::from_millis(100);

/// Time within which a candidate must become primary before another term is tried.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which an attempt is abandoned if too few instances have adopted its term.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest delay before the next attempt, after one that ended without a new primary.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Processes the report that ended a command to an instance.
pub fn command_ended(
    group: &mut Group,
    instance: &InstanceName,
    request: &InstanceRequest,
    report: &InstanceReport,
    cx: &GroupContext,
) -> Vec<Command> {
    let Some(evidence) = group.evidence.get_mut(instance) else {
        return Vec::new();
    };
    evidence.command_ended(report);
    if let InstanceRequest::Follow { term, .. } = request
        && report.adopted == *term
        && !report.is_primary
    {
        evidence.follow_accepted = Some(term.clone());
    }
    let outcome = match (&mut group.phase, request) {
        (Phase::Promoting(promotion), InstanceRequest::Adopt { term })
            if promotion.term == *term =>
        {
            promotion.adopted(instance, report)
        }
        (Phase::Promoting(promotion), InstanceRequest::Promote { term })
            if promotion.term == *term =>
        {
            promotion.promoted(instance, report)
        }
        _ => Step::Wait,
    };
    match outcome {
        Step::Wait => Vec::new(),
        Step::Superseded => yield_to_newer_term(group, cx),
        Step::Finished(primary) => finish(group, &primary, cx),
    }
}

/// Starts an attempt under a term that is higher than every known one.
pub fn start(group: &mut Group, replaces: Option<InstanceName>, cx: &GroupContext) -> Vec<Command> {
    let known = [group.term(), group.record.term(), group.attempted.as_ref()];
    let highest = known.into_iter().flatten().max().cloned();
    let term = Term {
        number: highest.map_or(0, |term| term.number) + 1,
        promoter: cx.vm.clone(),
    };
    group.attempted = Some(term.clone());
    group.no_primary_since = None;
    group.record.schedule_write(TermRecord {
        term: term.clone(),
        primary: None,
    });
    let line = log("promotion_started", cx).with("term", &term);
    let line = match &replaces {
        Some(instance) => line.with("replaces", instance),
        None => line,
    };
    group.replaces = replaces;
    group.phase = Phase::Promoting(Promotion::new(term, cx.now));
    for evidence in group.evidence.values_mut() {
        evidence.follow_accepted = None;
        evidence.allow_command();
    }
    let mut commands = vec![Command::Log(line)];
    commands.extend(promote(group, cx));
    commands
}

/// Runs the due actions of the current attempt.
pub fn promote(group: &mut Group, cx: &GroupContext) -> Vec<Command> {
    let Phase::Promoting(promotion) = &group.phase else {
        return Vec::new();
    };
    let mut promotion = promotion.clone();
    let newer = |term: Option<&Term>| term.is_some_and(|term| *term > promotion.term);
    if newer(group.term()) || newer(group.record.term()) {
        return yield_to_newer_term(group, cx);
    }
    let age = cx.now.since(promotion.started_at);
    if promotion.candidate.is_none() {
        let eligible = |name: &InstanceName| {
            group.replaces.as_ref() != Some(name)
                && cx.accepts_work(name)
                && group.health(name, cx) == Health::Alive
        };
        let only_eligible = age < ELIGIBLE_GRACE;
        promotion.choose(cx.size(), eligible, only_eligible, cx.now);
    }
    let commands = match (&promotion.candidate, promotion.chosen_at) {
        (Some(_), Some(at)) if cx.now.since(at) > PROMOTE_TIMEOUT => {
            // The candidate may still become primary of this term, so another candidate needs a new
            // term.
            let replaces = group.replaces.clone();
            return start(group, replaces, cx);
        }
        (Some(candidate), _) => {
            let request = InstanceRequest::Promote {
                term: promotion.term.clone(),
            };
            let at_once = promotion.chosen_at == Some(cx.now);
            command_if_due(group, candidate, request, at_once, cx)
                .into_iter()
                .collect()
        }
        (None, _) if age > ADOPT_TIMEOUT => {
            group.phase = Phase::Steady;
            group.retry_at = Some(cx.now + MAX_RETRY_DELAY);
            return Vec::new();
        }
        (None, _) => {
            let waiting = cx.config.instances.iter().map(|record| &record.name);
            let waiting = waiting.filter(|name| !promotion.has_adopted(name));
            let adopt = InstanceRequest::Adopt {
                term: promotion.term.clone(),
            };
            waiting
                .filter_map(|name| command_if_due(group, name, adopt.clone(), false, cx))
                .collect()
        }
    };
    group.phase = Phase::Promoting(promotion);
    commands
}

fn finish(group: &mut Group, primary: &InstanceName, cx: &GroupContext) -> Vec<Command> {
    let Phase::Promoting(promotion) = std::mem::take(&mut group.phase) else {
        return Vec::new();
    };
    group.record_promotion(cx.now);
    group.retry_at = None;
    group.replaces = None;
    group.record.schedule_write(TermRecord {
        term: promotion.term.clone(),
        primary: Some(primary.clone()),
    });
    for evidence in group.evidence.values_mut() {
        evidence.allow_command();
    }
    let line = log("promotion_finished", cx)
        .with("term", &promotion.term)
        .with("primary", primary)
        .with("took_ms", cx.now.since(promotion.started_at).as_millis());
    let mut commands = vec![Command::Log(line)];
    commands.extend(follow(group, primary, cx));
    commands
}

fn yield_to_newer_term(group: &mut Group, cx: &GroupContext) -> Vec<Command> {
    group.phase = Phase::Steady;
    let spread = xxh3_64(cx.vm.as_bytes()) % 100;
    group.retry_at = Some(cx.now + MAX_RETRY_DELAY.mul_f64(0.5 + spread as f64 / 200.0));
    vec![Command::Log(log("promotion_lost", cx))]
}

fn command_if_due(
    group: &mut Group,
    instance: &InstanceName,
    request: InstanceRequest,
    at_once: bool,
    cx: &GroupContext,
) -> Option<Command> {
    let evidence = group.evidence.get_mut(instance)?;
    if at_once {
        evidence.allow_command();
    }
    let interval = Duration::from_millis(cx.settings.suspect_probe_interval_ms);
    evidence
        .command_due(interval, cx.now)
        .then(|| Command::Instance {
            database: cx.config.name.clone(),
            instance: instance.clone(),
            request,
        })
}
