//! Decisions of a home about a group: monitors the primary and makes the replicas follow it.

use std::time::Duration;

use super::attempt::{promote, start};
use super::evidence::Health;
use super::group::{Group, GroupContext, Phase, Switchover};
use super::probe::probe;
use super::switch::{switch, switch_due};
use crate::control::command::{Command, InstanceRequest, LogEvent};
use crate::name::InstanceName;

/// Interval between `Follow` requests to an instance that has not accepted one yet.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between `Follow` requests to an instance that has accepted one but does not follow yet.
const FOLLOW_REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the due actions of the group.
pub fn step(group: &mut Group, cx: &GroupContext) -> Vec<Command> {
    group.update_low_water_mark(cx);
    let mut commands = match &group.phase {
        _ if !cx.lease_valid() => {
            group.phase = Phase::Steady;
            Vec::new()
        }
        Phase::Steady => watch(group, cx),
        Phase::Switching(switchover) => {
            let switchover = switchover.clone();
            switch(group, &switchover, cx)
        }
        Phase::Promoting(_) => promote(group, cx),
    };
    commands.extend(probe(group, cx));
    commands
}

fn watch(group: &mut Group, cx: &GroupContext) -> Vec<Command> {
    let Some(primary) = group.primary().cloned() else {
        return watch_without_primary(group, cx);
    };
    group.no_primary_since = None;
    let health = group.health(&primary, cx);
    if health == Health::Failed {
        let silent_since = group.evidence[&primary].silent_since();
        let enough = group.enough_live(Some(&primary), silent_since.unwrap_or(cx.now), cx);
        if enough && may_start(group, cx) {
            return start(group, Some(primary), cx);
        }
        return Vec::new();
    }
    if health == Health::Alive && !cx.accepts_work(&primary) && switch_due(group, &primary, cx) {
        group.phase = Phase::Switching(Switchover {
            started_at: cx.now,
            writes_ended_at: None,
        });
        return vec![Command::Log(log("switchover_started", cx))];
    }
    follow(group, &primary, cx)
}

fn watch_without_primary(group: &mut Group, cx: &GroupContext) -> Vec<Command> {
    let since = group.since;
    let state_known = |name: &InstanceName| {
        let evidence = group.evidence.get(name);
        let has_responded = evidence.is_some_and(|e| e.alive_at.is_some_and(|at| at >= since));
        has_responded || group.health(name, cx) == Health::Failed
    };
    if !cx
        .config
        .instances
        .iter()
        .all(|record| state_known(&record.name))
    {
        return Vec::new();
    }
    let no_primary_since = *group.no_primary_since.get_or_insert(cx.now);
    // An instance that was asked to become primary may not have reported its promotion yet.
    let waited_long_enough =
        cx.now.since(no_primary_since) >= Duration::from_millis(cx.settings.suspect_after_ms);
    if waited_long_enough && may_start(group, cx) && group.enough_live(None, no_primary_since, cx) {
        return start(group, None, cx);
    }
    Vec::new()
}

fn may_start(group: &Group, cx: &GroupContext) -> bool {
    group.retry_at.is_none_or(|at| cx.now >= at)
}

/// Sends `Follow` requests to the live replicas that don't follow the primary.
pub fn follow(group: &mut Group, primary: &InstanceName, cx: &GroupContext) -> Vec<Command> {
    let Some(term) = group.term().cloned() else {
        return Vec::new();
    };
    let needs_follow = |name: &&InstanceName| {
        let evidence = &group.evidence[*name];
        *name != primary
            && evidence.report.is_some()
            && !evidence.follows(&term)
            && group.health(name, cx) == Health::Alive
    };
    let needs_follow: Vec<_> = group
        .evidence
        .keys()
        .filter(needs_follow)
        .cloned()
        .collect();
    let mut commands = Vec::new();
    for name in needs_follow {
        let Some(evidence) = group.evidence.get_mut(&name) else {
            continue;
        };
        let interval = if evidence.follow_accepted.as_ref() == Some(&term) {
            FOLLOW_REPEAT_INTERVAL
        } else {
            FOLLOW_INTERVAL
        };
        if evidence.command_due(interval, cx.now) {
            commands.push(Command::Instance {
                database: cx.config.name.clone(),
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

/// Builds a log line with the database's name.
pub fn log(event: &'static str, cx: &GroupContext) -> LogEvent {
    LogEvent::info(event).with("database", &cx.config.name)
}
