//! Orders and questions to instances, apart from callers' statements.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::instance::Instance;
use super::link::{first_row, rejection};
use super::node::Node;
use super::pool::Lease;
use super::statement::{FailureKind, InstanceCommand, InstanceReport, Outcome};
use crate::name::WorkspaceName;

/// Name under which the VMs themselves connect.
const CONTROL: &str = "-";

/// Pause before an instance that had no capacity is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(10);

/// Connection for control, opened when it is first needed and again when it breaks.
#[derive(Debug)]
pub struct ControlLink {
    node: Rc<Node>,
    instance: Rc<Instance>,
    lease: Option<Lease>,
    answered: bool,
}

impl ControlLink {
    /// Builds a control connection that isn't open yet.
    pub const fn new(node: Rc<Node>, instance: Rc<Instance>) -> Self {
        Self {
            node,
            instance,
            lease: None,
            answered: false,
        }
    }

    /// Returns whether the instance has answered anything, a refusal included.
    pub const fn has_answered(&self) -> bool {
        self.answered
    }

    /// Returns the instance.
    pub const fn instance(&self) -> &Rc<Instance> {
        &self.instance
    }

    /// Sends a command that is answered with a report; `None` when none came in time.
    pub async fn ask(
        &mut self,
        command: &InstanceCommand,
        within: Duration,
    ) -> Option<InstanceReport> {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let report = self.ask_once(command, deadline).await;
            if report.is_some() {
                return report;
            }
            sleep(BUSY_PAUSE).await;
        }
        None
    }

    async fn ask_once(
        &mut self,
        command: &InstanceCommand,
        deadline: Instant,
    ) -> Option<InstanceReport> {
        let mut lease = match self.lease.take() {
            Some(lease) => lease,
            None => self.open(deadline).await?,
        };
        match lease.link().order(command, deadline).await {
            Ok(answer) => {
                self.answered = true;
                self.lease = Some(lease);
                if let Outcome::Failed(failure) = &answer.outcome {
                    log::debug!(
                        "event=order_refused instance={} reason={}",
                        self.instance.name,
                        failure.kind
                    );
                    return None;
                }
                (self.node.adapter.protocol.decode_report)(first_row(&answer.rows))
            }
            Err(error) => {
                log::debug!(
                    "event=order_lost instance={} error=\"{error}\"",
                    self.instance.name
                );
                lease.close();
                None
            }
        }
    }

    async fn open(&mut self, deadline: Instant) -> Option<Lease> {
        let pool = self.node.pool(&self.instance);
        let workspace = WorkspaceName::from(CONTROL);
        match pool.open_extra(&workspace, deadline).await {
            Ok(lease) => Some(lease),
            Err(error) => {
                self.answered |= rejection(&error).is_some();
                if rejection(&error) == Some(FailureKind::TooManyConnections) {
                    pool.close_idle();
                }
                log::debug!(
                    "event=order_unsent instance={} error=\"{error}\"",
                    self.instance.name
                );
                None
            }
        }
    }
}

impl Drop for ControlLink {
    fn drop(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.close();
        }
    }
}
