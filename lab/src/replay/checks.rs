//! Holds the records of a run against the promises.

use std::collections::BTreeMap;
use std::time::Duration;

use currantlb::configuration::Limits;

use super::events::Happened;
use super::promises::{Promise, Verdicts};
use super::record::{Ending, Record};
use super::trace::Action;
use crate::database::ViolationKind;
use crate::stand_ins::StandIns;

/// Saves found in the databases: how often each session's number is there.
pub(super) type Saved = BTreeMap<(String, i64), u64>;

/// Checks everything that records and stand-ins show.
pub(super) fn check_all(
    records: &[Record],
    saved: &Saved,
    stand_ins: &StandIns,
    happened: &Happened,
) -> Verdicts {
    let mut verdicts = Verdicts::default();
    for record in records {
        check_answer(&mut verdicts, record);
        check_save(&mut verdicts, record, saved);
    }
    for (name, limits) in &stand_ins.deployment.workspaces {
        check_rate(&mut verdicts, records, name, limits);
    }
    check_violations(&mut verdicts, records, stand_ins);
    check_withdrawn(&mut verdicts, records, happened);
    check_stops(&mut verdicts, records, happened);
    check_drained(&mut verdicts, stand_ins, happened);
    verdicts
}

fn check_answer(verdicts: &mut Verdicts, record: &Record) {
    let Ending::Answered(found) = &record.ending else {
        return;
    };
    if record.action == Action::View {
        verdicts.check(Promise::OwnAnswers, record.own_answer, || record.describe());
    }
    if let Some(found) = found {
        verdicts.check(Promise::ReadYourWrites, *found >= record.number, || {
            record.describe()
        });
    }
}

fn check_save(verdicts: &mut Verdicts, record: &Record, saved: &Saved) {
    if !record.action.writes() {
        return;
    }
    let key = (record.session.clone(), record.number);
    let count = saved.get(&key).copied().unwrap_or_default();
    let describe = || format!("{}, found {count} times", record.describe());
    match &record.ending {
        Ending::Answered(_) => verdicts.check(Promise::AcknowledgedSavesKept, count >= 1, describe),
        // A number is used again after a refusal that nothing was sent for.
        Ending::NotRun { sqlstate, .. } if !sqlstate.is_empty() => {
            verdicts.check(Promise::RefusalsTrue, count == 0, describe);
        }
        _ => {}
    }
    verdicts.check(Promise::AtMostOnce, count <= 1, describe);
}

/// Holds admitted requests against rate and burst in every window.
fn check_rate(verdicts: &mut Verdicts, records: &[Record], workspace: &str, limits: &Limits) {
    let mut ran: Vec<_> = records
        .iter()
        .filter(|record| {
            record.workspace == workspace && !matches!(record.ending, Ending::NotRun { .. })
        })
        .collect();
    ran.sort_by_key(|record| record.done);
    // A request was admitted between its start and its end, so that a window may be this much longer.
    let slack = ran
        .iter()
        .map(|record| record.done.saturating_sub(record.sent))
        .max()
        .unwrap_or_default();
    let allowance = limits.rate_per_s.mul_add(slack.as_secs_f64(), limits.burst);
    let mut lowest = f64::INFINITY;
    for (index, record) in ran.iter().enumerate() {
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

fn check_violations(verdicts: &mut Verdicts, records: &[Record], stand_ins: &StandIns) {
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

fn check_withdrawn(verdicts: &mut Verdicts, records: &[Record], happened: &Happened) {
    for (workspace, bound) in &happened.withdrawn {
        let later = records
            .iter()
            .filter(|record| record.workspace == *workspace && record.sent > *bound);
        for record in later {
            let is_refused = !record.is_answered();
            verdicts.check(Promise::WithdrawnKeysStop, is_refused, || record.describe());
            verdicts.check(Promise::ConfigurationInForce, is_refused, || {
                record.describe()
            });
        }
    }
}

fn check_stops(verdicts: &mut Verdicts, records: &[Record], happened: &Happened) {
    for (vm, from, to) in &happened.stopped {
        let running =
            |record: &&Record| record.vm == *vm && record.sent < *to && record.done > *from;
        let mut checked = 0;
        for record in records.iter().filter(running) {
            let is_cut = matches!(record.ending, Ending::Unknown { .. });
            verdicts.check(Promise::PlannedStopsCutNothing, !is_cut, || {
                record.describe()
            });
            checked += 1;
        }
        if checked == 0 {
            // Nothing ran on the VM when it stopped, so that nothing could be cut.
            verdicts.check(Promise::PlannedStopsCutNothing, true, String::new);
        }
    }
}

fn check_drained(verdicts: &mut Verdicts, stand_ins: &StandIns, happened: &Happened) {
    for drained in &happened.drained {
        let Some(settled) = drained.statements else {
            continue;
        };
        let now = stand_ins
            .group(&drained.database)
            .statements(&drained.instance);
        verdicts.check(Promise::LeavingInstancesIdle, now == settled, || {
            format!(
                "{} ran {} statements after it had left",
                drained.instance,
                now - settled
            )
        });
    }
}

/// Figures that the users measure.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct Measures {
    /// Share of reads that replicas served.
    pub replica_read_share: f64,
    /// Longest time between two acknowledged saves of a database.
    pub failover_gap_ms: u64,
    /// Least share of its requests within its rate that a workspace got answered.
    pub worst_served_share: f64,
    /// Requests refused for their rate although the workspace was within it.
    pub wrongful_refusals: u64,
}

/// Computes what the users measure.
pub(super) fn measures(
    records: &[Record],
    stand_ins: &StandIns,
    replica_statements: u64,
    happened: &Happened,
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
        let is_withdrawn = happened
            .withdrawn
            .iter()
            .any(|(withdrawn, _)| withdrawn == name);
        let (served, within, wrongful) = service(records, name, limits);
        measures.wrongful_refusals += wrongful;
        if within > 0 && !is_withdrawn {
            measures.worst_served_share = measures
                .worst_served_share
                .min(served as f64 / within as f64);
        }
    }
    measures
}

fn failover_gap(records: &[Record]) -> Duration {
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

/// Returns how many requests within the rate were answered, how many there were, and how many of
/// them were refused for their rate.
fn service(records: &[Record], workspace: &str, limits: &Limits) -> (u64, u64, u64) {
    let mut own: Vec<_> = records
        .iter()
        .filter(|record| record.workspace == workspace)
        .collect();
    own.sort_by_key(|record| record.sent);
    let (mut tokens, mut last) = (limits.burst, Duration::ZERO);
    let (mut served, mut within, mut wrongful) = (0, 0, 0);
    for record in own {
        let refill = record.sent.saturating_sub(last).as_secs_f64() * limits.rate_per_s;
        tokens = (tokens + refill).min(limits.burst);
        last = record.sent;
        if tokens < 1.0 {
            continue;
        }
        tokens -= 1.0;
        within += 1;
        served += u64::from(record.is_answered());
        let for_rate =
            matches!(&record.ending, Ending::NotRun { sqlstate, .. } if sqlstate == "53400");
        wrongful += u64::from(for_rate);
    }
    (served, within, wrongful)
}
