//! Replays recorded traces against VMs and stand-ins, and compares the run with its stated
//! outcomes.

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
use checks::SaveCounts;
use events::{EventRunner, instances};
use record::RequestRecord;
use session::{Session, SessionPlan, VmDirectory};

/// Time within which a replica must have adopted the term of the primary at the end of a run, so
/// that the saves on this primary can be counted.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Result of a replay.
pub type Result<T, E = ReplayError> = std::result::Result<T, E>;

/// Error from replaying a trace.
#[derive(Debug, Snafu)]
pub enum ReplayError {
    /// The trace is invalid or can't be read.
    #[snafu(display("{source}"), context(false))]
    Trace {
        /// Underlying error.
        source: TraceError,
    },
    /// The fleet could not be started, or a VM could not be restarted.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// Underlying error.
        source: FleetError,
    },
    /// A database has no primary from which its saves can be counted at the end.
    #[snafu(display(
        "{database} has no primary at the end of the trace, so its saves can't be counted"
    ))]
    NoPrimary {
        /// Name of the database.
        database: String,
    },
}

/// Options for replaying a trace.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// Seed of the random choice of VMs by sessions.
    pub seed: u64,
    /// Factor by which the times of the trace are divided.
    pub speed: f64,
    /// Control settings of the VMs: intervals and time limits.
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

/// Result of a replay.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Name of the trace.
    pub trace: String,
    /// Number of requests made, including those for which no connection could be opened.
    pub requests: usize,
    /// Number of requests answered without an error.
    pub answered: usize,
    /// Results of the checks of each promise.
    pub verdicts: Verdicts,
    /// Figures of the run.
    pub measures: Measures,
    /// Descriptions of the stated outcomes that were not met.
    pub failures: Vec<String>,
}

impl Outcome {
    /// Returns whether the run met all its stated outcomes.
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
/// Fails when the fleet can't be started, a VM can't be restarted, or a database has no primary at
/// the end.
pub async fn run(trace: &Trace, options: &ReplayOptions) -> Result<Outcome> {
    let mut fleet = Fleet::start(fleet_settings(trace, options)).await?;
    fleet.wait_until_ready().await?;
    let before = replica_statements(&fleet.stand_ins);
    let start = Instant::now();
    let addresses = (0..fleet.len())
        .map(|vm| Some(fleet.caller_address(vm)))
        .collect();
    let directory: VmDirectory = Arc::new(RwLock::new(addresses));
    let mut sessions = start_sessions(trace, options, start, &fleet, &directory);
    let mut runner = EventRunner::new(&mut fleet, directory, start);
    let at = |ms: u64| start + Duration::from_millis(ms).div_f64(options.speed);
    for event in &trace.events {
        tokio::time::sleep_until(at(event.at_ms)).await;
        runner.record_drained_statements();
        runner.apply(event).await?;
    }
    tokio::time::sleep_until(at(trace.header.end_ms)).await;
    runner.record_drained_statements();
    let mut records = Vec::new();
    while let Some(finished) = sessions.join_next().await {
        records.extend(finished.unwrap_or_default());
    }
    records.sort_by_key(|record: &RequestRecord| record.sent);
    let databases = runner.fleet.stand_ins.deployment.databases.clone();
    for database in &databases {
        runner.repair(database);
    }
    let applied = std::mem::take(&mut runner.applied);
    let save_counts = count_saves(&fleet.stand_ins, &databases).await?;
    let verdicts = checks::check_all(&records, &save_counts, &fleet.stand_ins, &applied);
    let replicas = replica_statements(&fleet.stand_ins).saturating_sub(before);
    let measures = checks::measures(&records, &fleet.stand_ins, replicas, &applied);
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
    directory: &VmDirectory,
) -> JoinSet<Vec<RequestRecord>> {
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

/// Counts the rows of each save on the final primary of each database.
async fn count_saves(stand_ins: &StandIns, databases: &[&'static str]) -> Result<SaveCounts> {
    let mut save_counts = SaveCounts::new();
    for database in databases {
        let group = stand_ins.group(database);
        let established_primary = || {
            let primary = group.primary()?;
            let term = group.report(&primary).adopted;
            let adopters = instances(database)
                .iter()
                .filter(|name| group.report(name).adopted == term)
                .count();
            (adopters >= 2).then_some(primary)
        };
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let primary = loop {
            match established_primary() {
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
            *save_counts.entry((row[0].clone(), number)).or_default() +=
                row[2].parse::<u64>().unwrap_or_default();
        }
    }
    Ok(save_counts)
}

/// Returns how many statements all instances have run as replicas.
fn replica_statements(stand_ins: &StandIns) -> u64 {
    let group_statements = |(database, group): (&str, &crate::database::DatabaseGroup)| -> u64 {
        instances(database)
            .iter()
            .map(|instance| group.replica_statements(instance))
            .sum()
    };
    stand_ins.groups().map(group_statements).sum()
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
    let mut fail_if = |not_met: bool, failure: String| {
        if not_met {
            failures.push(failure);
        }
    };
    if let Some(least) = outcomes.min_replica_read_share {
        let share = measures.replica_read_share;
        fail_if(
            share < least,
            format!("replicas served {share:.3} of the reads, not {least}"),
        );
    }
    if let Some(longest) = outcomes.max_failover_gap_ms {
        let gap = measures.failover_gap_ms;
        fail_if(
            gap > longest,
            format!("saves stopped for {gap} ms, more than {longest}"),
        );
    }
    if let Some(least) = outcomes.min_served_share {
        let share = measures.worst_served_share;
        fail_if(
            share < least,
            format!("a workspace got {share:.3} of its requests answered, not {least}"),
        );
    }
    if let Some(most) = outcomes.max_wrongful_refusals {
        let count = measures.wrongful_refusals;
        fail_if(
            count > most,
            format!("{count} requests within their rate were refused, more than {most}"),
        );
    }
    failures
}
