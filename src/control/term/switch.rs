//! Planned switchovers: pauses writes, waits for a replica to catch up, then promotes it.

use std::time::Duration;

use super::attempt::start;
use super::decide::log;
use super::evidence::Health;
use super::group::{Group, GroupContext, Phase, Switchover};
use crate::control::command::Command;
use crate::name::InstanceName;

/// Longest time for which a planned switchover may pause writes.
const SWITCHOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the next attempt after a planned switchover that timed out.
const SWITCHOVER_RETRY: Duration = Duration::from_secs(10);

/// Returns whether a planned switchover may start now.
pub fn switch_due(group: &Group, primary: &InstanceName, cx: &GroupContext) -> bool {
    let Some(term) = group.term() else {
        return false;
    };
    let ready = |name: &InstanceName| {
        name != primary
            && cx.accepts_work(name)
            && group.health(name, cx) == Health::Alive
            && group.evidence[name].follows(term)
    };
    group.switch_at.is_none_or(|at| cx.now >= at) && group.evidence.keys().any(ready)
}

/// Runs the due actions of the current switchover.
pub fn switch(group: &mut Group, switchover: &Switchover, cx: &GroupContext) -> Vec<Command> {
    let (Some(primary), Some(term)) = (group.primary().cloned(), group.term().cloned()) else {
        group.phase = Phase::Steady;
        return Vec::new();
    };
    let failed = group.health(&primary, cx) == Health::Failed;
    if failed || cx.accepts_work(&primary) {
        group.phase = Phase::Steady;
        return Vec::new();
    }
    if cx.now.since(switchover.started_at) > SWITCHOVER_TIMEOUT {
        group.phase = Phase::Steady;
        group.switch_at = Some(cx.now + SWITCHOVER_RETRY);
        return vec![Command::Log(log("switchover_given_up", cx))];
    }
    let Some(ended_at) = switchover.writes_ended_at else {
        return Vec::new();
    };
    let evidence = &group.evidence[&primary];
    let Some(report) = evidence
        .report
        .as_ref()
        .filter(|_| evidence.alive_at >= Some(ended_at))
    else {
        return Vec::new();
    };
    let caught_up = |name: &InstanceName| {
        let evidence = &group.evidence[name];
        let last = evidence.report.as_ref().map(|report| &report.last);
        *name != primary
            && cx.accepts_work(name)
            && group.health(name, cx) == Health::Alive
            && evidence.follows(&term)
            && last >= Some(&report.last)
    };
    if !group.evidence.keys().any(caught_up) {
        return Vec::new();
    }
    start(group, None, cx)
}
