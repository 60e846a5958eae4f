//! How long saves are interrupted when a primary fails, and whether any save is lost or duplicated.

mod saver;

use std::collections::BTreeSet;
use std::time::Duration;

use currantlb::settings::ControlSettings;
use tokio::time::{Instant, sleep};

use super::report::build_profile;
use super::{Figure, MeasureError, Report, Result, Target};
use crate::database::DatabaseGroup;
use crate::deployment::{Deployment, bagmati, semenanjung};
use crate::fleet::{Fleet, FleetSettings};
use crate::stand_ins::StandInSettings;
use saver::{Outcomes, Savers};

const NAME: &str = "failover-gap";

const FAILOVERS: usize = 30;
const BASELINE_FAILOVERS: usize = 4;
const SAVERS: usize = 8;
const REPLICATION_LAG: Duration = Duration::from_millis(20);

/// Pause between failovers, in which the former primary reconnects and catches up.
const RECOVERY_PAUSE: Duration = Duration::from_secs(5);

/// Time after which a failover counts as failed.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(20);

const MAX_P50_MS: f64 = 400.0;
const MAX_GAP_MS: f64 = 1_500.0;
/// Limit for the time that a save takes beyond the replication lag.
const MAX_BEYOND_LAG_MS: f64 = 2.0;

/// Deployment to measure, with the one-way network delay between its VMs and instances.
struct Scenario {
    deployment: Deployment,
    vms: usize,
    delay: Duration,
}

/// Results of one run.
struct Run {
    gaps_ms: Vec<f64>,
    outcomes: Outcomes,
    /// Acknowledged saves that the final primary does not have.
    lost: usize,
    /// Extra rows of saves that the final primary has more than once.
    duplicated: usize,
    /// Saves refused as not run that the final primary has nevertheless.
    refused_but_kept: usize,
    /// Violations by the VMs that the databases detected.
    violations: usize,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a fleet can't be started, a caller can't connect or a database has no primary.
pub async fn run() -> Result<Report> {
    let scenarios = [
        Scenario {
            deployment: semenanjung(),
            vms: 7,
            delay: Duration::from_micros(500),
        },
        Scenario {
            deployment: bagmati(),
            vms: 7,
            delay: Duration::from_micros(1_500),
        },
    ];
    let mut figures = Vec::new();
    for scenario in &scenarios {
        let own = run_failovers(scenario, ControlSettings::default(), FAILOVERS).await?;
        let baseline = run_failovers(scenario, baseline_settings(), BASELINE_FAILOVERS).await?;
        figures.extend(figures_of(scenario, own, baseline));
    }
    Ok(Report {
        measurement: NAME,
        setting: format!(
            "{}, 7 VMs a deployment, {FAILOVERS} failovers (isolated, killed, paused in turn), \
             {SAVERS} savers, replication lag {} ms; baseline: 3 s of missed probes, \
             {BASELINE_FAILOVERS} failovers",
            build_profile(),
            REPLICATION_LAG.as_millis()
        ),
        figures,
    })
}

/// Returns the baseline's settings: a primary is replaced after three seconds of missed probes.
fn baseline_settings() -> ControlSettings {
    ControlSettings {
        probe_interval_ms: 1_000,
        suspect_probe_interval_ms: 1_000,
        suspect_after_ms: 3_000,
        fail_after_ms: 3_000,
        ..ControlSettings::default()
    }
}

fn figures_of(scenario: &Scenario, own: Run, baseline: Run) -> Vec<Figure> {
    let region = scenario.deployment.region;
    let figure_name = |what: &str| format!("{region}: {what}");
    let count = |what: &str, value: usize| {
        Figure::new(figure_name(what), value as f64, "").with_target(Target::AtMost(0.0))
    };
    let gaps = sorted(own.gaps_ms);
    let baseline_gaps = sorted(baseline.gaps_ms);
    let saves = sorted(own.outcomes.latencies_ms.clone());
    let beyond_lag_ms = quantile(&saves, 0.5) - REPLICATION_LAG.as_secs_f64() * 1_000.0;
    vec![
        Figure::new(figure_name("failover gap, p50"), quantile(&gaps, 0.5), "ms")
            .with_baseline(quantile(&baseline_gaps, 0.5))
            .with_target(Target::AtMost(MAX_P50_MS)),
        Figure::new(
            figure_name("failover gap, worst"),
            quantile(&gaps, 1.0),
            "ms",
        )
        .with_baseline(quantile(&baseline_gaps, 1.0))
        .with_target(Target::AtMost(MAX_GAP_MS)),
        Figure::new(
            figure_name("save beyond replication lag, p50"),
            beyond_lag_ms,
            "ms",
        )
        .with_target(Target::AtMost(MAX_BEYOND_LAG_MS)),
        Figure::new(figure_name("failovers"), gaps.len() as f64, "")
            .with_target(Target::AtLeast(FAILOVERS as f64)),
        Figure::new(
            figure_name("saves acknowledged"),
            own.outcomes.acknowledged.len() as f64,
            "",
        ),
        Figure::new(
            figure_name("saves of unknown outcome"),
            own.outcomes.unknown as f64,
            "",
        ),
        Figure::new(
            figure_name("saves refused as not run"),
            own.outcomes.not_run.len() as f64,
            "",
        ),
        count("acknowledged saves lost", own.lost),
        count("saves doubled", own.duplicated),
        count("wrong \"not run\"", own.refused_but_kept),
        count("violations seen by the databases", own.violations),
    ]
}

async fn run_failovers(
    scenario: &Scenario,
    control: ControlSettings,
    failovers: usize,
) -> Result<Run> {
    let fleet = Fleet::start(FleetSettings {
        stand_ins: StandInSettings {
            deployment: scenario.deployment.clone(),
            replication_lag: REPLICATION_LAG,
            delay: scenario.delay,
            service_time_ms: 1,
            ..StandInSettings::default()
        },
        vms: scenario.vms,
        control,
        ..FleetSettings::default()
    })
    .await
    .map_err(failed)?;
    fleet.wait_until_ready().await.map_err(failed)?;
    let database = scenario.deployment.databases[0];
    let group = fleet.stand_ins.group(database);
    let savers = Savers::start(&fleet, database, SAVERS).await?;
    sleep(RECOVERY_PAUSE).await;
    let mut gaps_ms = Vec::new();
    for number in 0..failovers {
        if let Some(gap) = measure_failover(group, &savers, number).await? {
            gaps_ms.push(gap.as_secs_f64() * 1_000.0);
        }
        sleep(RECOVERY_PAUSE).await;
    }
    let outcomes = savers.stop().await;
    sleep(RECOVERY_PAUSE).await;
    let kept = saver::read_back(group)?;
    let distinct: BTreeSet<&String> = kept.iter().collect();
    let missing = |id: &&String| !distinct.contains(id);
    let not_run = &outcomes.not_run;
    Ok(Run {
        gaps_ms,
        lost: outcomes.acknowledged.iter().filter(missing).count(),
        duplicated: kept.len() - distinct.len(),
        refused_but_kept: not_run.iter().filter(|id| !missing(id)).count(),
        violations: fleet.stand_ins.violations().len(),
        outcomes,
    })
}

/// Makes the primary fail in one of three ways, and returns how long no save was acknowledged;
/// `None` if the failover did not complete before the timeout.
async fn measure_failover(
    group: &DatabaseGroup,
    savers: &Savers,
    number: usize,
) -> Result<Option<Duration>> {
    let old = group
        .primary()
        .ok_or_else(|| failed("the group has no primary"))?;
    let failed_at = Instant::now();
    match number % 3 {
        0 => group.isolate(&old),
        1 => group.kill(&old),
        _ => group.pause(&old),
    }
    // Responses in flight may still arrive after the failure; the gap starts at the last of them.
    let deadline = failed_at + FAILOVER_TIMEOUT;
    let gap = loop {
        sleep(Duration::from_millis(5)).await;
        let has_new_primary = group.primary().is_some_and(|primary| primary != old);
        let gap = savers.longest_gap_since(failed_at);
        if let Some(gap) = gap
            && has_new_primary
            && savers.acknowledged_within(Duration::from_millis(20))
            && gap > Duration::from_millis(50)
        {
            break Some(gap);
        }
        if Instant::now() >= deadline {
            break None;
        }
    };
    match number % 3 {
        0 => group.restore_links(&old),
        1 => group.restart(&old).map_err(failed)?,
        _ => group.resume(&old),
    }
    Ok(gap)
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "map_err passes errors by value"
)]
fn failed(reason: impl ToString) -> MeasureError {
    MeasureError::Failed {
        name: NAME,
        reason: reason.to_string(),
    }
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
