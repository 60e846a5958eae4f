//! Probes: how often each instance is asked for a report.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::evidence::Health;
use super::group::{Group, Phase, Surroundings};
use crate::control::command::{Command, InstanceRequest};

/// Silence after which an instance is probed less often again.
const LONG_SILENCE: Duration = Duration::from_secs(5);

const LONG_SILENCE_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the probes that are due.
pub fn probe(group: &mut Group, s: &Surroundings) -> Vec<Command> {
    let settings = s.settings;
    let steady = matches!(group.phase, Phase::Steady) && group.floor.is_some();
    let primary = group.primary();
    let calm = steady && primary.is_some_and(|name| group.health(name, s) == Health::Alive);
    let names: Vec<_> = group.evidence.keys().cloned().collect();
    let mut commands = Vec::new();
    for name in names {
        let health = group.health(&name, s);
        let Some(evidence) = group.evidence.get_mut(&name) else {
            continue;
        };
        let silent_for = evidence.silent_since().map(|since| s.now.since(since));
        let interval = if silent_for.is_some_and(|silence| silence > LONG_SILENCE) {
            LONG_SILENCE_INTERVAL
        } else if calm && health == Health::Alive {
            // Spread by name, so that probes of many databases don't come in bursts.
            let spread = (xxh3_64(name.as_bytes()) % 256) as f64 / 1024.0;
            Duration::from_millis(settings.probe_interval_ms).mul_f64(1.0 + spread)
        } else {
            Duration::from_millis(settings.suspect_probe_interval_ms)
        };
        if evidence.probe_due(interval, s.now) {
            evidence.probed(s.now);
            commands.push(Command::Instance {
                database: s.config.name.clone(),
                instance: name,
                request: InstanceRequest::Probe,
            });
        }
    }
    commands
}
