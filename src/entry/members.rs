//! Keeps every replica of a database from confirming saves of a former primary, except the one that
//! is to be promoted.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::control::ControlLink;
use super::directory;
use super::instance::Instance;
use super::node::Node;
use super::promotion::MemberReport;
use super::reports::{self, REPORT_TIMEOUT};
use super::statement::InstanceCommand;
use crate::name::{DatabaseName, InstanceName};

/// Maximum number of times that the replicas are paused again because others have joined.
const MAX_ROUNDS: usize = 8;

/// Interval at which the directory is searched for instances that have joined.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Pauses every replica that is announced, and returns the reports of those that respond. `None` if
/// the announcements can't be read, or instances keep joining.
///
/// The announcements are read while the replicas are paused. A replica that has joined, or whose
/// restart has ended its pause, causes another round, so that the last round covers every instance
/// which was announced after that round had begun.
pub async fn pause_all(
    node: &Rc<Node>,
    database: &DatabaseName,
    former: &InstanceName,
    term: u64,
) -> Option<Vec<MemberReport>> {
    for _ in 0..MAX_ROUNDS {
        let asked = replicas(node, database, former);
        let pausing = reports::pause_replicas(node, asked.clone(), former, term);
        let (is_read, reports) = tokio::join!(directory::refresh(node), pausing);
        if !is_read {
            return None;
        }
        let mut current = replicas(node, database, former);
        current.retain(|instance| !contains_process(&asked, instance));
        if current.is_empty() {
            return Some(reports);
        }
        log::info!(
            "event=replicas_joined database={database} instances={}",
            current.len()
        );
    }
    None
}

/// Lets one replica receive again and pauses those that aren't among the reports, until it is
/// dropped. What the former primary still acknowledges is then in that replica's log.
pub async fn receive_alone(
    node: &Rc<Node>,
    database: &DatabaseName,
    former: &InstanceName,
    receiver: &InstanceName,
    reports: &[MemberReport],
    term: u64,
) -> Infallible {
    let mut paused = replicas(node, database, former);
    paused.retain(|known| reports.iter().any(|report| report.instance == known.name));
    let chosen = paused.iter().find(|known| known.name == *receiver);
    let receiving = resume(node, chosen.cloned());
    let pausing = async {
        loop {
            let mut joined = replicas(node, database, former);
            joined.retain(|instance| {
                instance.name != *receiver && !contains_process(&paused, instance)
            });
            let reports = reports::pause_replicas(node, joined.clone(), former, term).await;
            for report in &reports {
                log::info!("event=joined_replica_paused instance={}", report.instance);
            }
            let is_paused = |instance: &Rc<Instance>| {
                reports
                    .iter()
                    .any(|report| report.instance == instance.name)
            };
            paused.extend(joined.into_iter().filter(is_paused));
            sleep(JOIN_POLL_INTERVAL).await;
        }
    };
    tokio::join!(receiving, pausing).1
}

async fn resume(node: &Rc<Node>, instance: Option<Rc<Instance>>) {
    let Some(instance) = instance else { return };
    let mut link = ControlLink::new(Rc::clone(node), instance);
    let resumed = link.request(&InstanceCommand::Resume, REPORT_TIMEOUT).await;
    if resumed.is_none() {
        log::warn!(
            "event=replica_not_resumed instance={}",
            link.instance().name
        );
    }
}

fn replicas(node: &Rc<Node>, database: &DatabaseName, former: &InstanceName) -> Vec<Rc<Instance>> {
    let state = node.state.borrow();
    let members = state.directory.in_database(database);
    members
        .filter(|instance| instance.name != *former)
        .cloned()
        .collect()
}

/// Returns whether the instances contain one of the same name that hasn't been restarted since.
fn contains_process(instances: &[Rc<Instance>], instance: &Instance) -> bool {
    instances
        .iter()
        .any(|known| known.name == instance.name && known.started_at_ms == instance.started_at_ms)
}
