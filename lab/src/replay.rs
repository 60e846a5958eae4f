//! Replays recorded traces against VMs and stand-ins, and holds the run against stated outcomes.

mod checks;
mod events;
pub mod promises;
mod record;
mod session;
pub mod trace;

use std::fmt;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use currantlb::settings::ControlSettings;
use serde::Serialize;
use snafu::Snafu;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use checks::Measures;
pub use promises::{Promise, Tally, Verdicts};
pub use trace::{Trace, TraceError};

use crate::deployment;
use crate::fleet::{Fleet, FleetError, FleetSettings};
use crate::stand_ins::{StandInSettings, StandIns};
use checks::Saved;
use events::{Stage, instances};
use record::Record;
use session::{Directory, Session, SessionPlan};

/// Time for replicas to catch up before saves are counted.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Result of a replay.
pub type Result<T, E = ReplayError> = std::result::Result<T, E>;

/// Why a trace could not be replayed.
#[derive(Debug, Snafu)]
pub enum ReplayError {
    /// The trace can't be used.
    #[snafu(display("{source}"), context(false))]
    Trace {
        /// Cause.
        source: TraceError,
    },
    /// The fleet does not run.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// Cause.
        source: FleetError,
    },
    /// The saves can't be read at the end.
    #[snafu(display(
        "{database} has no primary at the end of the trace, so that its saves can't be counted"
    ))]
    NoPrimary {
        /// The database.
        database: String,
    },
}

/// How a trace is replayed.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// Seed of the sessions' roaming.
    pub seed: u64,
    /// Factor that times of the trace are divided by.
    pub speed: f64,
    /// Intervals and bounds of the VMs' control code.
    pub control: ControlSettings,
}

impl Default for ReplayOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            speed: 1.0,
            control: ControlSettings::default(),
        }
    }
}

/// What a replay came to.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Name of the trace.
    pub trace: String,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered.
    pub answered: usize,
    /// Checks of every promise.
    pub verdicts: Verdicts,
    /// What the users measure.
    pub measures: Measures,
    /// What does not meet the stated outcomes.
    pub failures: Vec<String>,
}

impl Outcome {
    /// Returns whether the run came to its stated outcomes.
    pub fn is_met(&self) -> bool {
        self.failures.is_empty()
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: {} of {} requests answered",
            self.trace, self.answered, self.requests
        )?;
        writeln!(
            f,
            "{:<28} {:>8} {:>8}  first",
            "promise", "checked", "broken"
        )?;
        for (
            promise,
            Tally {
                checked,
                broken,
                first,
            },
        ) in self.verdicts.all()
        {
            writeln!(
                f,
                "{promise:<28} {checked:>8} {broken:>8}  {}",
                first.unwrap_or_default()
            )?;
        }
        let Measures {
            replica_read_share,
            failover_gap_ms,
            worst_served_share,
            wrongful_refusals,
        } = self.measures;
        writeln!(
            f,
            "reads served by replicas {replica_read_share:.3}, failover gap {failover_gap_ms} ms"
        )?;
        writeln!(
            f,
            "worst-served workspace {worst_served_share:.3}, wrongful refusals {wrongful_refusals}"
        )?;
        for failure in &self.failures {
            writeln!(f, "FAILED: {failure}")?;
        }
        Ok(())
    }
}

/// Replays one trace.
///
/// # Errors
///
/// Fails when the fleet does not run.
pub async fn run(trace: &Trace, options: &ReplayOptions) -> Result<Outcome> {
    let mut fleet = Fleet::start(fleet_settings(trace, options)).await?;
    fleet.ready().await?;
    let before = replica_statements(&fleet.stand_ins);
    let start = Instant::now();
    let addresses = (0..fleet.len())
        .map(|vm| Some(fleet.caller_address(vm)))
        .collect();
    let directory: Directory = Arc::new(RwLock::new(addresses));
    let mut sessions = start_sessions(trace, options, start, &fleet, &directory);
    let mut stage = Stage::new(&mut fleet, directory, start);
    let at = |ms: u64| start + Duration::from_millis(ms).div_f64(options.speed);
    for event in &trace.events {
        tokio::time::sleep_until(at(event.at_ms)).await;
        stage.observe();
        stage.carry_out(event).await?;
    }
    tokio::time::sleep_until(at(trace.header.end_ms)).await;
    stage.observe();
    let mut records = Vec::new();
    while let Some(finished) = sessions.join_next().await {
        records.extend(finished.unwrap_or_default());
    }
    records.sort_by_key(|record: &Record| record.sent);
    let databases = stage.fleet.stand_ins.deployment.databases.clone();
    for database in &databases {
        stage.heal(database);
    }
    let happened = std::mem::take(&mut stage.happened);
    let saved = count_saves(&fleet.stand_ins, &databases).await?;
    let verdicts = checks::check_all(&records, &saved, &fleet.stand_ins, &happened);
    let replicas = replica_statements(&fleet.stand_ins).saturating_sub(before);
    let measures = checks::measures(&records, &fleet.stand_ins, replicas, &happened);
    Ok(Outcome {
        trace: trace.header.name.clone(),
        requests: records.len(),
        answered: records.iter().filter(|record| record.is_answered()).count(),
        failures: failures(trace, &verdicts, &measures),
        verdicts,
        measures,
    })
}

fn fleet_settings(trace: &Trace, options: &ReplayOptions) -> FleetSettings {
    let header = &trace.header;
    let deployment = deployment::named(&header.deployment);
    FleetSettings {
        vms: header.vms,
        control: options.control.clone(),
        stand_ins: StandInSettings {
            deployment: deployment.unwrap_or_else(deployment::semenanjung),
            replication_lag: Duration::from_millis(header.replication_lag_ms),
            service_time_ms: header.service_time_ms,
            ..StandInSettings::default()
        },
        ..FleetSettings::default()
    }
}

fn start_sessions(
    trace: &Trace,
    options: &ReplayOptions,
    start: Instant,
    fleet: &Fleet,
    directory: &Directory,
) -> JoinSet<Vec<Record>> {
    let mut sessions = JoinSet::new();
    for (stream, requests) in trace.requests.iter().enumerate() {
        for number in 0..requests.sessions {
            let spread = requests.every_ms * number as u64 / requests.sessions as u64;
            let plan = SessionPlan {
                name: format!("{}-{stream}-{number}", requests.workspace),
                requests: requests.clone(),
                offset: Duration::from_millis(spread).div_f64(options.speed),
                seed: options.seed.wrapping_mul(1_000_003) + (stream * 1_000 + number) as u64,
                start,
                speed: options.speed,
            };
            let session = Session::new(plan, fleet.connector().clone(), Arc::clone(directory));
            sessions.spawn(session.run());
        }
    }
    sessions
}

/// Counts every save on the last primary of each database.
async fn count_saves(stand_ins: &StandIns, databases: &[&'static str]) -> Result<Saved> {
    let mut saved = Saved::new();
    for database in databases {
        let group = stand_ins.group(database);
        let settled = || {
            let primary = group.primary()?;
            let term = group.report(&primary).adopted;
            let reached = instances(database)
                .iter()
                .filter(|name| group.report(name).adopted == term)
                .count();
            (reached >= 2).then_some(primary)
        };
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let primary = loop {
            match settled() {
                Some(primary) => break primary,
                None if Instant::now() >= deadline => {
                    return NoPrimarySnafu {
                        database: *database,
                    }
                    .fail();
                }
                None => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        let rows = group.query(
            &primary,
            "SELECT session, sequence, count(*) FROM note GROUP BY session, sequence",
        );
        for row in rows.unwrap_or_default() {
            let number = row[1].parse().unwrap_or_default();
            *saved.entry((row[0].clone(), number)).or_default() +=
                row[2].parse::<u64>().unwrap_or_default();
        }
    }
    Ok(saved)
}

/// Returns how many statements instances have run while they were replicas.
fn replica_statements(stand_ins: &StandIns) -> u64 {
    let of_group = |(database, group): (&str, &crate::database::DatabaseGroup)| -> u64 {
        instances(database)
            .iter()
            .map(|instance| group.replica_statements(instance))
            .sum()
    };
    stand_ins.groups().map(of_group).sum()
}

fn failures(trace: &Trace, verdicts: &Verdicts, measures: &Measures) -> Vec<String> {
    let outcomes = &trace.header.outcomes;
    let mut failures = Vec::new();
    for (promise, tally) in verdicts.all() {
        if tally.broken > 0 {
            failures.push(format!("{promise} was broken {} times", tally.broken));
        }
        if tally.checked == 0 && outcomes.promises.contains(&promise) {
            failures.push(format!("{promise} was not checked"));
        }
    }
    let mut bound = |missed: bool, what: String| {
        if missed {
            failures.push(what);
        }
    };
    if let Some(least) = outcomes.min_replica_read_share {
        let share = measures.replica_read_share;
        bound(
            share < least,
            format!("replicas served {share:.3} of the reads, not {least}"),
        );
    }
    if let Some(longest) = outcomes.max_failover_gap_ms {
        let gap = measures.failover_gap_ms;
        bound(
            gap > longest,
            format!("saves stopped for {gap} ms, more than {longest}"),
        );
    }
    if let Some(least) = outcomes.min_served_share {
        let share = measures.worst_served_share;
        bound(
            share < least,
            format!("a workspace got {share:.3} of its requests answered, not {least}"),
        );
    }
    if let Some(most) = outcomes.max_wrongful_refusals {
        let count = measures.wrongful_refusals;
        bound(
            count > most,
            format!("{count} requests within their rate were refused, more than {most}"),
        );
    }
    failures
}
