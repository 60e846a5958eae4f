//! What a home does about a group: watches its primary and has the replicas follow it.

use std::time::Duration;

use super::attempt::{promote, start};
use super::evidence::Health;
use super::group::{Group, Phase, Surroundings, Switchover};
use super::probe::probe;
use super::switch::{switch, switch_due};
use crate::control::command::{Command, InstanceRequest, LogEvent};
use crate::name::InstanceName;

/// Interval between orders to follow until one is answered.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between orders to an instance that has answered one and doesn't follow yet.
const FOLLOW_AGAIN_INTERVAL: Duration = Duration::from_secs(2);

/// Does what is due for the group.
pub fn step(group: &mut Group, s: &Surroundings) -> Vec<Command> {
    group.update_floor(s);
    let mut commands = match &group.phase {
        _ if !s.lease_valid() => {
            group.phase = Phase::Steady;
            Vec::new()
        }
        Phase::Steady => watch(group, s),
        Phase::Switching(switchover) => {
            let switchover = switchover.clone();
            switch(group, &switchover, s)
        }
        Phase::Promoting(_) => promote(group, s),
    };
    commands.extend(probe(group, s));
    commands
}

fn watch(group: &mut Group, s: &Surroundings) -> Vec<Command> {
    let Some(primary) = group.primary().cloned() else {
        return watch_headless(group, s);
    };
    group.headless_since = None;
    let health = group.health(&primary, s);
    if health == Health::Failed {
        let silent_since = group.evidence[&primary].silent_since();
        let enough = group.enough_live(Some(&primary), silent_since.unwrap_or(s.now), s);
        if enough && may_start(group, s) {
            return start(group, Some(primary), s);
        }
        return Vec::new();
    }
    if health == Health::Alive && !s.accepts_work(&primary) && switch_due(group, &primary, s) {
        group.phase = Phase::Switching(Switchover {
            started_at: s.now,
            writes_ended_at: None,
        });
        return vec![Command::Log(log("switchover_started", s))];
    }
    follow(group, &primary, s)
}

fn watch_headless(group: &mut Group, s: &Surroundings) -> Vec<Command> {
    let since = group.since;
    let settled = |name: &InstanceName| {
        let evidence = group.evidence.get(name);
        let heard = evidence.is_some_and(|e| e.alive_at.is_some_and(|at| at >= since));
        heard || group.health(name, s) == Health::Failed
    };
    if !s
        .config
        .instances
        .iter()
        .all(|record| settled(&record.name))
    {
        return Vec::new();
    }
    let headless_since = *group.headless_since.get_or_insert(s.now);
    // An instance that was told to become primary may be about to say that it is.
    let patient = s.now.since(headless_since) >= Duration::from_millis(s.settings.suspect_after_ms);
    if patient && may_start(group, s) && group.enough_live(None, headless_since, s) {
        return start(group, None, s);
    }
    Vec::new()
}

fn may_start(group: &Group, s: &Surroundings) -> bool {
    group.retry_at.is_none_or(|at| s.now >= at)
}

/// Has every replica that strayed follow the primary.
pub fn follow(group: &mut Group, primary: &InstanceName, s: &Surroundings) -> Vec<Command> {
    let Some(term) = group.term().cloned() else {
        return Vec::new();
    };
    let strayed = |name: &&InstanceName| {
        let evidence = &group.evidence[*name];
        *name != primary
            && evidence.report.is_some()
            && !evidence.follows(&term)
            && group.health(name, s) == Health::Alive
    };
    let strayed: Vec<_> = group.evidence.keys().filter(strayed).cloned().collect();
    let mut commands = Vec::new();
    for name in strayed {
        let Some(evidence) = group.evidence.get_mut(&name) else {
            continue;
        };
        let interval = if evidence.told_to_follow.as_ref() == Some(&term) {
            FOLLOW_AGAIN_INTERVAL
        } else {
            FOLLOW_INTERVAL
        };
        if evidence.command_due(interval, s.now) {
            commands.push(Command::Instance {
                database: s.config.name.clone(),
                instance: name,
                request: InstanceRequest::Follow {
                    term: term.clone(),
                    primary: primary.clone(),
                },
            });
        }
    }
    commands
}

/// Starts a log line about the group.
pub fn log(event: &'static str, s: &Surroundings) -> LogEvent {
    LogEvent::info(event).with("database", &s.config.name)
}
