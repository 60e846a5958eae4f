//! Keeps every replica of a database from confirming saves of a former primary, except the one that
//! is to be promoted.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::control::ControlLink;
use super::directory;
use super::failover_lease::FailoverLease;
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

/// Replicas of a database whose primary is being replaced by the holder of the failover lease.
#[derive(Debug, Clone, Copy)]
pub struct Replicas<'a> {
    /// State of this VM.
    pub node: &'a Rc<Node>,
    /// Failover lease of this VM.
    pub lease: &'a Rc<FailoverLease>,
    /// Database that the replicas belong to.
    pub database: &'a DatabaseName,
    /// Primary that is being replaced.
    pub former: &'a InstanceName,
    /// Term under which the replicas are paused.
    pub term: u64,
}

impl Replicas<'_> {
    /// Pauses every replica that is announced, and returns the reports of those that respond. `None` if
    /// the announcements can't be read, or instances keep joining.
    ///
    /// The announcements are read while the replicas are paused. A replica that has joined, or whose
    /// restart has ended its pause, causes another round, so that the last round covers every instance
    /// which was announced after that round had begun.
    pub async fn pause_all(&self) -> Option<Vec<MemberReport>> {
        for _ in 0..MAX_ROUNDS {
            let asked = self.announced();
            let pausing = self.pause(asked.clone());
            let (is_read, reports) = tokio::join!(directory::refresh(self.node), pausing);
            if !is_read {
                return None;
            }
            let mut joined = self.announced();
            joined.retain(|instance| !contains_process(&asked, instance));
            if joined.is_empty() {
                return Some(reports);
            }
            log::info!(
                "event=replicas_joined database={} instances={}",
                self.database,
                joined.len()
            );
        }
        None
    }

    /// Lets one replica receive again and pauses those that aren't among the reports, until it is
    /// dropped. What the former primary still acknowledges is then in that replica's log.
    pub async fn receive_alone(
        &self,
        receiver: &InstanceName,
        reports: &[MemberReport],
    ) -> Infallible {
        let mut paused = self.announced();
        paused.retain(|known| has_reported(reports, known));
        let chosen = paused.iter().find(|known| known.name == *receiver);
        let receiving = self.resume(chosen.cloned());
        let pausing = async {
            loop {
                let mut joined = self.announced();
                joined.retain(|instance| {
                    instance.name != *receiver && !contains_process(&paused, instance)
                });
                let reports = self.pause(joined.clone()).await;
                for report in &reports {
                    log::info!("event=joined_replica_paused instance={}", report.instance);
                }
                joined.retain(|instance| has_reported(&reports, instance));
                paused.extend(joined);
                sleep(JOIN_POLL_INTERVAL).await;
            }
        };
        tokio::join!(receiving, pausing).1
    }

    async fn pause(&self, replicas: Vec<Rc<Instance>>) -> Vec<MemberReport> {
        reports::pause_replicas(self.node, self.lease, replicas, self.former, self.term).await
    }

    async fn resume(&self, instance: Option<Rc<Instance>>) {
        let Some(instance) = instance else { return };
        let (node, lease) = (Rc::clone(self.node), Rc::clone(self.lease));
        let mut link = ControlLink::of_holder(node, instance, lease);
        while link
            .request(&InstanceCommand::Resume, REPORT_TIMEOUT)
            .await
            .is_none()
        {
            log::warn!(
                "event=replica_not_resumed instance={}",
                link.instance().name
            );
        }
    }

    fn announced(&self) -> Vec<Rc<Instance>> {
        let state = self.node.state.borrow();
        let members = state.directory.in_database(self.database);
        let replicas = members.filter(|instance| instance.name != *self.former);
        replicas.cloned().collect()
    }
}

fn has_reported(reports: &[MemberReport], instance: &Instance) -> bool {
    reports
        .iter()
        .any(|report| report.instance == instance.name)
}

/// Returns whether the instances contain one of the same name that hasn't been restarted since.
fn contains_process(instances: &[Rc<Instance>], instance: &Instance) -> bool {
    instances
        .iter()
        .any(|known| known.name == instance.name && known.started_at_ms == instance.started_at_ms)
}
