//! How long saves stop when a primary fails, and what becomes of each of them.

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

/// Time between two failovers, in which the former primary comes back and catches up.
const RECOVERY: Duration = Duration::from_secs(5);

/// Time after which a failover counts as never ended.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(20);

const MAX_P50_MS: f64 = 400.0;
const MAX_GAP_MS: f64 = 1_500.0;
const MAX_GATE_MS: f64 = 2.0;

/// Deployment with the delays between its VMs and instances.
struct Place {
    deployment: Deployment,
    vms: usize,
    delay: Duration,
}

/// What one run has shown.
struct Run {
    gaps_ms: Vec<f64>,
    outcomes: Outcomes,
    lost: usize,
    doubled: usize,
    refused_but_kept: usize,
    violations: usize,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a fleet can't be run.
pub async fn run() -> Result<Report> {
    let places = [
        Place {
            deployment: semenanjung(),
            vms: 7,
            delay: Duration::from_micros(500),
        },
        Place {
            deployment: bagmati(),
            vms: 7,
            delay: Duration::from_micros(1_500),
        },
    ];
    let mut figures = Vec::new();
    for place in &places {
        let own = fail_over(place, ControlSettings::default(), FAILOVERS).await?;
        let plain = fail_over(place, plain_settings(), BASELINE_FAILOVERS).await?;
        figures.extend(figures_of(place, own, plain));
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

/// The plain way: a primary is replaced after three seconds of missed probes.
fn plain_settings() -> ControlSettings {
    ControlSettings {
        probe_interval_ms: 1_000,
        suspect_probe_interval_ms: 1_000,
        suspect_after_ms: 3_000,
        fail_after_ms: 3_000,
        ..ControlSettings::default()
    }
}

fn figures_of(place: &Place, own: Run, plain: Run) -> Vec<Figure> {
    let region = place.deployment.region;
    let named = |what: &str| format!("{region}: {what}");
    let count = |what: &str, value: usize| {
        Figure::new(named(what), value as f64, "").reaching(Target::AtMost(0.0))
    };
    let gaps = sorted(own.gaps_ms);
    let plain_gaps = sorted(plain.gaps_ms);
    let saves = sorted(own.outcomes.latencies_ms.clone());
    let gate_ms = quantile(&saves, 0.5) - REPLICATION_LAG.as_secs_f64() * 1_000.0;
    vec![
        Figure::new(named("failover gap, p50"), quantile(&gaps, 0.5), "ms")
            .beside(quantile(&plain_gaps, 0.5))
            .reaching(Target::AtMost(MAX_P50_MS)),
        Figure::new(named("failover gap, worst"), quantile(&gaps, 1.0), "ms")
            .beside(quantile(&plain_gaps, 1.0))
            .reaching(Target::AtMost(MAX_GAP_MS)),
        Figure::new(named("save beyond replication lag, p50"), gate_ms, "ms")
            .reaching(Target::AtMost(MAX_GATE_MS)),
        Figure::new(named("failovers"), gaps.len() as f64, "")
            .reaching(Target::AtLeast(FAILOVERS as f64)),
        Figure::new(
            named("saves acknowledged"),
            own.outcomes.acknowledged.len() as f64,
            "",
        ),
        Figure::new(
            named("saves of unknown outcome"),
            own.outcomes.unknown as f64,
            "",
        ),
        Figure::new(
            named("saves refused as not run"),
            own.outcomes.not_run.len() as f64,
            "",
        ),
        count("acknowledged saves lost", own.lost),
        count("saves doubled", own.doubled),
        count("wrong \"not run\"", own.refused_but_kept),
        count("violations seen by the databases", own.violations),
    ]
}

async fn fail_over(place: &Place, control: ControlSettings, failovers: usize) -> Result<Run> {
    let fleet = Fleet::start(FleetSettings {
        stand_ins: StandInSettings {
            deployment: place.deployment.clone(),
            replication_lag: REPLICATION_LAG,
            delay: place.delay,
            service_time_ms: 1,
            ..StandInSettings::default()
        },
        vms: place.vms,
        control,
        ..FleetSettings::default()
    })
    .await
    .map_err(failed)?;
    fleet.ready().await.map_err(failed)?;
    let database = place.deployment.databases[0];
    let group = fleet.stand_ins.group(database);
    let savers = Savers::start(&fleet, database, SAVERS).await?;
    sleep(RECOVERY).await;
    let mut gaps_ms = Vec::new();
    for number in 0..failovers {
        if let Some(gap) = one_failover(group, &savers, number).await? {
            gaps_ms.push(gap.as_secs_f64() * 1_000.0);
        }
        sleep(RECOVERY).await;
    }
    let outcomes = savers.stop().await;
    sleep(RECOVERY).await;
    let kept = saver::read_back(group)?;
    let distinct: BTreeSet<&String> = kept.iter().collect();
    let missing = |id: &&String| !distinct.contains(id);
    let not_run = &outcomes.not_run;
    Ok(Run {
        gaps_ms,
        lost: outcomes.acknowledged.iter().filter(missing).count(),
        doubled: kept.len() - distinct.len(),
        refused_but_kept: not_run.iter().filter(|id| !missing(id)).count(),
        violations: fleet.stand_ins.violations().len(),
        outcomes,
    })
}

/// Fails the primary in one of three ways and returns how long no save was acknowledged; `None`
/// when none was before the timeout.
async fn one_failover(
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
    // Answers that were on their way still arrive; the gap starts at the last of them.
    let deadline = failed_at + FAILOVER_TIMEOUT;
    let gap = loop {
        sleep(Duration::from_millis(5)).await;
        let replaced = group.primary().is_some_and(|primary| primary != old);
        let gap = savers.longest_gap_since(failed_at);
        if let Some(gap) = gap
            && replaced
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
        0 => group.heal(&old),
        1 => group.restart(&old).map_err(failed)?,
        _ => group.resume(&old),
    }
    Ok(gap)
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "map_err hands errors over by value"
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
