//! Planned switchovers: pause writes, let a replica catch up, then promote it.

use std::time::Duration;

use super::attempt::start;
use super::decide::log;
use super::evidence::Health;
use super::group::{Group, Phase, Surroundings, Switchover};
use crate::control::command::Command;
use crate::name::InstanceName;

/// Time for which writes may be paused by a planned switchover.
const SWITCHOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between planned switchovers that did not succeed.
const SWITCHOVER_RETRY: Duration = Duration::from_secs(10);

/// Returns whether the primary may be moved now.
pub fn switch_due(group: &Group, primary: &InstanceName, s: &Surroundings) -> bool {
    let Some(term) = group.term() else {
        return false;
    };
    let ready = |name: &InstanceName| {
        name != primary
            && s.accepts_work(name)
            && group.health(name, s) == Health::Alive
            && group.evidence[name].follows(term)
    };
    group.switch_at.is_none_or(|at| s.now >= at) && group.evidence.keys().any(ready)
}

/// Does what is due for the switchover under way.
pub fn switch(group: &mut Group, switchover: &Switchover, s: &Surroundings) -> Vec<Command> {
    let (Some(primary), Some(term)) = (group.primary().cloned(), group.term().cloned()) else {
        group.phase = Phase::Steady;
        return Vec::new();
    };
    let failed = group.health(&primary, s) == Health::Failed;
    if failed || s.accepts_work(&primary) {
        group.phase = Phase::Steady;
        return Vec::new();
    }
    if s.now.since(switchover.started_at) > SWITCHOVER_TIMEOUT {
        group.phase = Phase::Steady;
        group.switch_at = Some(s.now + SWITCHOVER_RETRY);
        return vec![Command::Log(log("switchover_given_up", s))];
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
            && s.accepts_work(name)
            && group.health(name, s) == Health::Alive
            && evidence.follows(&term)
            && last >= Some(&report.last)
    };
    if !group.evidence.keys().any(caught_up) {
        return Vec::new();
    }
    start(group, None, s)
}
