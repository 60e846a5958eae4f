//! Collects reports of the instances of a database.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;

use super::clock;
use super::control::ControlLink;
use super::failover_lease::FailoverLease;
use super::health::Health;
use super::instance::Instance;
use super::node::Node;
use super::promotion::MemberReport;
use super::state::State;
use super::statement::{InstanceCommand, InstanceReport};
use crate::name::InstanceName;

/// Time limit for one instance to report.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Collects a report of every instance that responds in time.
pub async fn collect(node: &Rc<Node>, members: Vec<Rc<Instance>>) -> Vec<MemberReport> {
    let requests = members.into_iter().map(|instance| {
        let mut link = ControlLink::new(Rc::clone(node), instance);
        async move {
            let report = link.request(&InstanceCommand::Report, REPORT_TIMEOUT);
            let report = report.await;
            record_silence(node, &link, report.is_none());
            report.map(|report| member_report(node, link.instance(), report))
        }
    });
    join_all(requests).await.into_iter().flatten().collect()
}

/// Pauses the replicas under `term` and collects a report of every instance that responds in time.
pub async fn pause_replicas(
    node: &Rc<Node>,
    lease: &Rc<FailoverLease>,
    members: Vec<Rc<Instance>>,
    primary: &InstanceName,
    term: u64,
) -> Vec<MemberReport> {
    let requests = members.into_iter().map(|instance| {
        let is_former = instance.name == *primary;
        let command = if is_former {
            InstanceCommand::Report
        } else {
            InstanceCommand::Pause { term }
        };
        let mut link = ControlLink::of_holder(Rc::clone(node), instance, Rc::clone(lease));
        async move {
            let mut report = link.request(&command, REPORT_TIMEOUT).await;
            if report.is_none() && !is_former {
                // An instance that is the primary in a newer term refuses to pause.
                report = link
                    .request(&InstanceCommand::Report, REPORT_TIMEOUT / 4)
                    .await;
                report = report.filter(|report| report.is_primary);
            }
            // Without the lease, the command may not have been sent.
            record_silence(node, &link, report.is_none() && lease.is_valid());
            report.map(|report| member_report(node, link.instance(), report))
        }
    });
    join_all(requests).await.into_iter().flatten().collect()
}

/// Records that an instance didn't respond. One that doesn't for long can't follow a primary.
fn record_silence(node: &Node, link: &ControlLink, is_missing: bool) {
    if is_missing && !link.has_responded() {
        node.pool(link.instance()).record_health(Health::on_failed);
    }
}

fn member_report(node: &Node, instance: &Instance, report: InstanceReport) -> MemberReport {
    let state = node.state.borrow();
    let has_lost_log = has_lost_log(&state, instance, &report);
    if has_lost_log {
        log::warn!(
            "event=log_lost database={} instance={} started_at_ms={}",
            instance.database,
            instance.name,
            instance.started_at_ms
        );
    }
    MemberReport {
        instance: instance.name.clone(),
        report,
        may_lead: state.may_lead(instance),
        is_cold: state.directory.is_cold(&instance.name, clock::now()),
        has_lost_log,
    }
}

/// Returns whether an instance was started again and holds nothing of a database that isn't empty.
fn has_lost_log(state: &State, instance: &Instance, report: &InstanceReport) -> bool {
    let known = state.databases.get(&instance.database);
    let record = known.and_then(|known| Some(&known.record.as_ref()?.record));
    let position = record.and_then(|record| known?.primary_position(&record.primary));
    let is_database_empty = position.is_some_and(|position| position.number == 0);
    let holds_nothing = report.received.number == 0;
    holds_nothing && !is_database_empty && state.has_restarted(instance)
}
