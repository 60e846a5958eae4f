//! Checks the request records of a run against the promises, and computes the run's figures.

use std::collections::BTreeMap;
use std::time::Duration;

use currantlb::configuration::Limits;

use super::events::AppliedEvents;
use super::promises::{Promise, Verdicts};
use super::record::{RequestRecord, Status};
use super::trace::Action;
use crate::database::ViolationKind;
use crate::stand_ins::StandIns;

/// Number of rows found in the databases for each save, by session and sequence number.
pub(super) type SaveCounts = BTreeMap<(String, i64), u64>;

/// Checks every promise against the request records and what the stand-ins observed.
pub(super) fn check_all(
    records: &[RequestRecord],
    save_counts: &SaveCounts,
    stand_ins: &StandIns,
    applied: &AppliedEvents,
) -> Verdicts {
    let mut verdicts = Verdicts::default();
    for record in records {
        check_response(&mut verdicts, record);
        check_save(&mut verdicts, record, save_counts);
    }
    for (name, limits) in &stand_ins.deployment.workspaces {
        check_rate(&mut verdicts, records, name, limits);
    }
    check_violations(&mut verdicts, records, stand_ins);
    check_withdrawn_keys(&mut verdicts, records, applied);
    check_planned_stops(&mut verdicts, records, applied);
    check_drained_instances(&mut verdicts, stand_ins, applied);
    verdicts
}

fn check_response(verdicts: &mut Verdicts, record: &RequestRecord) {
    let Status::Answered(found) = &record.status else {
        return;
    };
    if record.action == Action::View {
        verdicts.check(Promise::OwnAnswers, record.response_matches, || {
            record.describe()
        });
    }
    if let Some(found) = found {
        verdicts.check(Promise::ReadYourWrites, *found >= record.number, || {
            record.describe()
        });
    }
}

fn check_save(verdicts: &mut Verdicts, record: &RequestRecord, save_counts: &SaveCounts) {
    if !record.action.writes() {
        return;
    }
    let key = (record.session.clone(), record.number);
    let count = save_counts.get(&key).copied().unwrap_or_default();
    let describe = || format!("{}, found {count} times", record.describe());
    match &record.status {
        Status::Answered(_) => verdicts.check(Promise::AcknowledgedSavesKept, count >= 1, describe),
        // An empty SQLSTATE means that no connection could be opened; the session then uses the
        // same number for its next save.
        Status::NotRun { sqlstate, .. } if !sqlstate.is_empty() => {
            verdicts.check(Promise::RefusalsTrue, count == 0, describe);
        }
        _ => {}
    }
    verdicts.check(Promise::AtMostOnce, count <= 1, describe);
}

/// Checks that admitted requests stayed within rate and burst over every time window.
fn check_rate(
    verdicts: &mut Verdicts,
    records: &[RequestRecord],
    workspace: &str,
    limits: &Limits,
) {
    let mut executed: Vec<_> = records
        .iter()
        .filter(|record| {
            record.workspace == workspace && !matches!(record.status, Status::NotRun { .. })
        })
        .collect();
    executed.sort_by_key(|record| record.done);
    // A request may have been admitted at any time between `sent` and `done`, so each window may be
    // longer by the longest such span.
    let longest_request = executed
        .iter()
        .map(|record| record.done.saturating_sub(record.sent))
        .max()
        .unwrap_or_default();
    let allowance = limits
        .rate_per_s
        .mul_add(longest_request.as_secs_f64(), limits.burst);
    let mut lowest = f64::INFINITY;
    for (index, record) in executed.iter().enumerate() {
        let excess = limits
            .rate_per_s
            .mul_add(-record.done.as_secs_f64(), index as f64);
        lowest = lowest.min(excess);
        let used = excess - lowest + 1.0;
        verdicts.check(Promise::RateKept, used <= allowance, || {
            format!(
                "{workspace} used {used:.0} above its rate, its burst is {:.0}",
                limits.burst
            )
        });
    }
}

fn check_violations(verdicts: &mut Verdicts, records: &[RequestRecord], stand_ins: &StandIns) {
    let kinds = [
        (
            Promise::TransactionsApart,
            vec![ViolationKind::TransactionsMixed],
        ),
        (Promise::KeysUnseen, vec![ViolationKind::CallerKeySeen]),
        (
            Promise::InstanceLimitsKept,
            vec![
                ViolationKind::TooManyConnections,
                ViolationKind::TooManyStatements,
            ],
        ),
    ];
    let violations = stand_ins.violations();
    for (promise, kinds) in kinds {
        for _ in records.iter().filter(|record| record.is_answered()) {
            verdicts.check(promise, true, String::new);
        }
        for violation in violations
            .iter()
            .filter(|violation| kinds.contains(&violation.kind))
        {
            verdicts.check(promise, false, || {
                format!(
                    "{} at {}: {}",
                    violation.kind, violation.instance, violation.detail
                )
            });
        }
    }
}

fn check_withdrawn_keys(
    verdicts: &mut Verdicts,
    records: &[RequestRecord],
    applied: &AppliedEvents,
) {
    for (workspace, deadline) in &applied.withdrawn {
        let later = records
            .iter()
            .filter(|record| record.workspace == *workspace && record.sent > *deadline);
        for record in later {
            let is_refused = !record.is_answered();
            verdicts.check(Promise::WithdrawnKeysStop, is_refused, || record.describe());
            verdicts.check(Promise::ConfigurationInForce, is_refused, || {
                record.describe()
            });
        }
    }
}

fn check_planned_stops(
    verdicts: &mut Verdicts,
    records: &[RequestRecord],
    applied: &AppliedEvents,
) {
    for (vm, from, to) in &applied.stopped {
        let running =
            |record: &&RequestRecord| record.vm == *vm && record.sent < *to && record.done > *from;
        let mut checked = 0;
        for record in records.iter().filter(running) {
            let is_cut = matches!(record.status, Status::Unknown { .. });
            verdicts.check(Promise::PlannedStopsCutNothing, !is_cut, || {
                record.describe()
            });
            checked += 1;
        }
        if checked == 0 {
            // No request was in progress on the VM when it stopped, so none could be cut.
            verdicts.check(Promise::PlannedStopsCutNothing, true, String::new);
        }
    }
}

fn check_drained_instances(verdicts: &mut Verdicts, stand_ins: &StandIns, applied: &AppliedEvents) {
    for drained in &applied.drained {
        let Some(idle_statements) = drained.statements else {
            continue;
        };
        let now = stand_ins
            .group(&drained.database)
            .statements(&drained.instance);
        verdicts.check(
            Promise::LeavingInstancesIdle,
            now == idle_statements,
            || {
                format!(
                    "{} ran {} statements after it was taken out of service",
                    drained.instance,
                    now - idle_statements
                )
            },
        );
    }
}

/// Figures of a run that the stated outcomes refer to.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct Measures {
    /// Share of the answered reads that replicas served.
    pub replica_read_share: f64,
    /// Longest time between consecutive acknowledged saves to the same database.
    pub failover_gap_ms: u64,
    /// Share of its requests within its rate that were answered, for the worst-served workspace.
    pub worst_served_share: f64,
    /// Number of requests refused for exceeding the rate although the workspace was within it.
    pub wrongful_refusals: u64,
}

/// Computes the figures of a run.
pub(super) fn measures(
    records: &[RequestRecord],
    stand_ins: &StandIns,
    replica_statements: u64,
    applied: &AppliedEvents,
) -> Measures {
    let reads = records
        .iter()
        .filter(|record| !record.action.writes() && record.is_answered())
        .count();
    let mut measures = Measures {
        replica_read_share: if reads == 0 {
            0.0
        } else {
            replica_statements as f64 / reads as f64
        },
        failover_gap_ms: failover_gap(records).as_millis() as u64,
        worst_served_share: 1.0,
        wrongful_refusals: 0,
    };
    for (name, limits) in &stand_ins.deployment.workspaces {
        let is_withdrawn = applied
            .withdrawn
            .iter()
            .any(|(withdrawn, _)| withdrawn == name);
        let (served, within, wrongful) = rate_service(records, name, limits);
        measures.wrongful_refusals += wrongful;
        if within > 0 && !is_withdrawn {
            measures.worst_served_share = measures
                .worst_served_share
                .min(served as f64 / within as f64);
        }
    }
    measures
}

fn failover_gap(records: &[RequestRecord]) -> Duration {
    let mut saves: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    for record in records
        .iter()
        .filter(|record| record.action.writes() && record.is_answered())
    {
        saves.entry(&record.database).or_default().push(record.done);
    }
    let gap = |times: &mut Vec<Duration>| {
        times.sort();
        times
            .windows(2)
            .map(|pair| pair[1].saturating_sub(pair[0]))
            .max()
    };
    saves.values_mut().filter_map(gap).max().unwrap_or_default()
}

/// Returns, for a workspace's requests within its rate: how many were answered, how many there
/// were, and how many were refused for exceeding the rate.
fn rate_service(records: &[RequestRecord], workspace: &str, limits: &Limits) -> (u64, u64, u64) {
    let mut requests: Vec<_> = records
        .iter()
        .filter(|record| record.workspace == workspace)
        .collect();
    requests.sort_by_key(|record| record.sent);
    let (mut tokens, mut last) = (limits.burst, Duration::ZERO);
    let (mut served, mut within, mut wrongful) = (0, 0, 0);
    for record in requests {
        let refill = record.sent.saturating_sub(last).as_secs_f64() * limits.rate_per_s;
        tokens = (tokens + refill).min(limits.burst);
        last = record.sent;
        if tokens < 1.0 {
            continue;
        }
        tokens -= 1.0;
        within += 1;
        served += u64::from(record.is_answered());
        let refused_for_rate = matches!(
            &record.status,
            Status::NotRun { sqlstate, .. } if sqlstate == "53400"
        );
        wrongful += u64::from(refused_for_rate);
    }
    (served, within, wrongful)
}
