//! Ejects outliers among the instances of each database from reads.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::clock;
use super::health::Verdict;
use super::instance::InstanceState;
use super::node::Node;
use super::outlier::{Member, find};
use super::pool::Pool;
use crate::telemetry::metrics::metrics;
use crate::time::Timestamp;

/// Ejects instances that have become outliers. `elapsed` is the time since the last call.
pub fn update(node: &Node, elapsed: Duration) {
    let now = clock::now();
    let mut by_database: HashMap<_, Vec<_>> = HashMap::new();
    for pool in node.pools() {
        let database = pool.instance().database.clone();
        by_database.entry(database).or_default().push(pool);
    }
    for pools in by_database.values() {
        log_returned(pools, elapsed, now);
        eject(node, pools, now);
    }
}

fn log_returned(pools: &[Rc<Pool>], elapsed: Duration, now: Timestamp) {
    for pool in pools {
        if pool.outlier().borrow().has_returned_within(elapsed, now) {
            let instance = pool.instance();
            log::info!(
                "event=instance_readmitted database={} instance={}",
                instance.database,
                instance.name
            );
        }
    }
}

fn eject(node: &Node, pools: &[Rc<Pool>], now: Timestamp) {
    let records: Vec<_> = pools.iter().map(|pool| pool.outlier().borrow()).collect();
    let members: Vec<_> = pools
        .iter()
        .zip(&records)
        .map(|(pool, record)| {
            let instance = pool.instance();
            let state = node.state.borrow();
            let primary = state.primary(&instance.database);
            Member {
                record,
                may_be_ejected: primary.is_some_and(|primary| primary.name != instance.name),
                is_usable: instance.state == InstanceState::Serving
                    && pool.verdict() != Verdict::Unreachable,
            }
        })
        .collect();
    let Some((index, symptom)) = find(&members, now) else {
        return;
    };
    let share = records[index].share(symptom);
    drop(members);
    drop(records);
    let ejection = pools[index].outlier().borrow_mut().eject(now);
    let instance = pools[index].instance();
    metrics().count_ejection(&instance.database, symptom.to_string());
    log::warn!(
        "event=instance_ejected database={} instance={} symptom={symptom} share_percent={:.0} \
         for_ms={}",
        instance.database,
        instance.name,
        share * 100.0,
        ejection.as_millis()
    );
}
