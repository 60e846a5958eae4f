//! Probing: decides how often each instance is asked for a report.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::evidence::Health;
use super::group::{Group, GroupContext, Phase};
use crate::control::command::{Command, InstanceRequest};

/// Silence after which an instance is probed less often, at [`LONG_SILENCE_INTERVAL`].
const LONG_SILENCE: Duration = Duration::from_secs(5);

/// Interval between probes of an instance that has been silent for [`LONG_SILENCE`].
const LONG_SILENCE_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the probes that are due.
pub fn probe(group: &mut Group, cx: &GroupContext) -> Vec<Command> {
    let settings = cx.settings;
    let steady = matches!(group.phase, Phase::Steady) && group.low_water_mark.is_some();
    let primary = group.primary();
    let is_stable = steady && primary.is_some_and(|name| group.health(name, cx) == Health::Alive);
    let names: Vec<_> = group.evidence.keys().cloned().collect();
    let mut commands = Vec::new();
    for name in names {
        let health = group.health(&name, cx);
        let Some(evidence) = group.evidence.get_mut(&name) else {
            continue;
        };
        let silent_for = evidence.silent_since().map(|since| cx.now.since(since));
        let interval = if silent_for.is_some_and(|silence| silence > LONG_SILENCE) {
            LONG_SILENCE_INTERVAL
        } else if is_stable && health == Health::Alive {
            // Spread by name, so that the probes of many databases are not sent in bursts.
            let spread = (xxh3_64(name.as_bytes()) % 256) as f64 / 1024.0;
            Duration::from_millis(settings.probe_interval_ms).mul_f64(1.0 + spread)
        } else {
            Duration::from_millis(settings.suspect_probe_interval_ms)
        };
        if evidence.probe_due(interval, cx.now) {
            evidence.probed(cx.now);
            commands.push(Command::Instance {
                database: cx.config.name.clone(),
                instance: name,
                request: InstanceRequest::Probe,
            });
        }
    }
    commands
}
