//! Attempts at a promotion: start, adopt, promote, finish, or lose to a newer term.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::decide::{follow, log};
use super::evidence::Health;
use super::group::{Group, Phase, Surroundings};
use super::promotion::{Promotion, Step};
use super::record::TermRecord;
use crate::control::command::{Command, InstanceRequest};
use crate::control::event::InstanceReport;
use crate::name::InstanceName;
use crate::position::Term;

/// Time for which an attempt prefers to wait for instances other than the one it replaces.
const ELIGIBLE_GRACE: Duration = Duration::from_millis(100);

/// Time that a candidate may take to become primary before another term is tried.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which an attempt that hears too few instances is given up.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait after an attempt that another VM's newer term has ended.
const LOST_RETRY: Duration = Duration::from_millis(200);

/// Takes the report with which a command to an instance ended.
pub fn command_ended(
    group: &mut Group,
    instance: &InstanceName,
    request: &InstanceRequest,
    report: &InstanceReport,
    s: &Surroundings,
) -> Vec<Command> {
    let Some(evidence) = group.evidence.get_mut(instance) else {
        return Vec::new();
    };
    evidence.command_ended(report);
    if let InstanceRequest::Follow { term, .. } = request
        && report.adopted == *term
        && !report.is_primary
    {
        evidence.told_to_follow = Some(term.clone());
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
        Step::Lost => lose(group, s),
        Step::Finished(primary) => finish(group, &primary, s),
    }
}

/// Starts an attempt under a term above every one that is known.
pub fn start(group: &mut Group, replaces: Option<InstanceName>, s: &Surroundings) -> Vec<Command> {
    let known = [group.term(), group.record.term(), group.attempted.as_ref()];
    let highest = known.into_iter().flatten().max().cloned();
    let term = Term {
        number: highest.map_or(0, |term| term.number) + 1,
        promoter: s.vm.clone(),
    };
    group.attempted = Some(term.clone());
    group.headless_since = None;
    group.record.want(TermRecord {
        term: term.clone(),
        primary: None,
    });
    let line = log("promotion_started", s).with("term", &term);
    let line = match &replaces {
        Some(instance) => line.with("replaces", instance),
        None => line,
    };
    group.replaces = replaces;
    group.phase = Phase::Promoting(Promotion::new(term, s.now));
    for evidence in group.evidence.values_mut() {
        evidence.told_to_follow = None;
        evidence.allow_command();
    }
    let mut commands = vec![Command::Log(line)];
    commands.extend(promote(group, s));
    commands
}

/// Does what is due for the attempt under way.
pub fn promote(group: &mut Group, s: &Surroundings) -> Vec<Command> {
    let Phase::Promoting(promotion) = &group.phase else {
        return Vec::new();
    };
    let mut promotion = promotion.clone();
    let newer = |term: Option<&Term>| term.is_some_and(|term| *term > promotion.term);
    if newer(group.term()) || newer(group.record.term()) {
        return lose(group, s);
    }
    let age = s.now.since(promotion.started_at);
    if promotion.candidate.is_none() {
        let eligible = |name: &InstanceName| {
            group.replaces.as_ref() != Some(name)
                && s.accepts_work(name)
                && group.health(name, s) == Health::Alive
        };
        let only_eligible = age < ELIGIBLE_GRACE;
        promotion.choose(s.size(), eligible, only_eligible, s.now);
    }
    let commands = match (&promotion.candidate, promotion.chosen_at) {
        (Some(_), Some(at)) if s.now.since(at) > PROMOTE_TIMEOUT => {
            // The candidate may yet become primary of this term, so that another needs a new one.
            let replaces = group.replaces.clone();
            return start(group, replaces, s);
        }
        (Some(candidate), _) => {
            let request = InstanceRequest::Promote {
                term: promotion.term.clone(),
            };
            let at_once = promotion.chosen_at == Some(s.now);
            order(group, candidate, request, at_once, s)
                .into_iter()
                .collect()
        }
        (None, _) if age > ADOPT_TIMEOUT => {
            group.phase = Phase::Steady;
            group.retry_at = Some(s.now + LOST_RETRY);
            return Vec::new();
        }
        (None, _) => {
            let waiting = s.config.instances.iter().map(|record| &record.name);
            let waiting = waiting.filter(|name| !promotion.has_heard(name));
            let adopt = InstanceRequest::Adopt {
                term: promotion.term.clone(),
            };
            waiting
                .filter_map(|name| order(group, name, adopt.clone(), false, s))
                .collect()
        }
    };
    group.phase = Phase::Promoting(promotion);
    commands
}

fn finish(group: &mut Group, primary: &InstanceName, s: &Surroundings) -> Vec<Command> {
    let Phase::Promoting(promotion) = std::mem::take(&mut group.phase) else {
        return Vec::new();
    };
    group.note_promotion(s.now);
    group.retry_at = None;
    group.replaces = None;
    group.record.want(TermRecord {
        term: promotion.term.clone(),
        primary: Some(primary.clone()),
    });
    for evidence in group.evidence.values_mut() {
        evidence.allow_command();
    }
    let line = log("promotion_finished", s)
        .with("term", &promotion.term)
        .with("primary", primary)
        .with("took_ms", s.now.since(promotion.started_at).as_millis());
    let mut commands = vec![Command::Log(line)];
    commands.extend(follow(group, primary, s));
    commands
}

fn lose(group: &mut Group, s: &Surroundings) -> Vec<Command> {
    group.phase = Phase::Steady;
    let spread = xxh3_64(s.vm.as_bytes()) % 100;
    group.retry_at = Some(s.now + LOST_RETRY.mul_f64(0.5 + spread as f64 / 200.0));
    vec![Command::Log(log("promotion_lost", s))]
}

fn order(
    group: &mut Group,
    instance: &InstanceName,
    request: InstanceRequest,
    at_once: bool,
    s: &Surroundings,
) -> Option<Command> {
    let evidence = group.evidence.get_mut(instance)?;
    if at_once {
        evidence.allow_command();
    }
    let interval = Duration::from_millis(s.settings.suspect_probe_interval_ms);
    evidence
        .command_due(interval, s.now)
        .then(|| Command::Instance {
            database: s.config.name.clone(),
            instance: instance.clone(),
            request,
        })
}
