//! Control commands and report requests to instances, as opposed to callers' statements.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::failover_lease::FailoverLease;
use super::instance::Instance;
use super::link::{first_row, is_misrouted, rejection};
use super::node::Node;
use super::pool::PooledLink;
use super::statement::{FailureKind, InstanceCommand, InstanceReport, Outcome};
use crate::name::WorkspaceName;

/// Workspace name under which VMs open control connections.
const CONTROL_WORKSPACE: &str = "-";

/// Delay before a command that failed or was refused is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Control connection to an instance; opened on first use and reopened after an error.
#[derive(Debug)]
pub struct ControlLink {
    node: Rc<Node>,
    instance: Rc<Instance>,
    pooled: Option<PooledLink>,
    responded: bool,
    /// Failover lease without which only reports are requested.
    lease: Option<Rc<FailoverLease>>,
}

impl ControlLink {
    /// Creates a control connection without opening it.
    pub const fn new(node: Rc<Node>, instance: Rc<Instance>) -> Self {
        Self {
            node,
            instance,
            pooled: None,
            responded: false,
            lease: None,
        }
    }

    /// Creates a control connection of the holder of the failover lease. Commands that change the
    /// instance are sent only while the lease is valid.
    pub fn of_holder(node: Rc<Node>, instance: Rc<Instance>, lease: Rc<FailoverLease>) -> Self {
        let mut link = Self::new(node, instance);
        link.lease = Some(lease);
        link
    }

    /// Returns whether the instance has sent any response, including a refusal.
    pub const fn has_responded(&self) -> bool {
        self.responded
    }

    /// Returns the instance that this connection leads to.
    pub const fn instance(&self) -> &Rc<Instance> {
        &self.instance
    }

    /// Sends a command and returns the instance's report. Repeats the command until a report
    /// arrives; returns `None` when none arrives within the given time.
    pub async fn request(
        &mut self,
        command: &InstanceCommand,
        within: Duration,
    ) -> Option<InstanceReport> {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let report = self.request_once(command, deadline).await;
            if report.is_some() {
                return report;
            }
            sleep(RETRY_DELAY).await;
        }
        None
    }

    async fn request_once(
        &mut self,
        command: &InstanceCommand,
        deadline: Instant,
    ) -> Option<InstanceReport> {
        if self.pooled.is_none() {
            self.pooled = Some(self.open(deadline).await?);
        }
        // No wait may come between this check and the write.
        if !self.may_send(command) {
            log::info!("event=command_outdated instance={}", self.instance.name);
            return None;
        }
        let link = self.pooled.as_mut()?.link();
        match link.run_control_command(command, deadline).await {
            Ok(response) => {
                self.responded = true;
                if let Outcome::Failed(failure) = &response.outcome {
                    log::debug!(
                        "event=command_refused instance={} reason={}",
                        self.instance.name,
                        failure.kind
                    );
                    return None;
                }
                (self.node.adapter.protocol.decode_report)(first_row(&response.rows))
            }
            Err(error) => {
                log::debug!(
                    "event=command_failed instance={} error=\"{error}\"",
                    self.instance.name
                );
                self.close();
                None
            }
        }
    }

    /// Closes the connection. A command of a holder that was given up is discarded, so that it
    /// doesn't arrive after the commands of the next holder.
    fn close(&mut self) {
        let Some(mut pooled) = self.pooled.take() else {
            return;
        };
        if self.lease.is_some() {
            pooled.link().discard_unanswered();
        }
        pooled.close();
    }

    fn may_send(&self, command: &InstanceCommand) -> bool {
        matches!(command, InstanceCommand::Report)
            || self.lease.as_ref().is_none_or(|lease| lease.is_valid())
    }

    async fn open(&mut self, deadline: Instant) -> Option<PooledLink> {
        let pool = self.node.pool(&self.instance);
        let workspace = WorkspaceName::from(CONTROL_WORKSPACE);
        match pool.open_beyond_limits(&workspace, deadline).await {
            Ok(pooled) => Some(pooled),
            Err(error) => {
                self.responded |= rejection(&error).is_some() && !is_misrouted(&error);
                if rejection(&error) == Some(FailureKind::TooManyConnections) {
                    pool.close_idle();
                }
                log::debug!(
                    "event=command_not_sent instance={} error=\"{error}\"",
                    self.instance.name
                );
                None
            }
        }
    }
}

impl Drop for ControlLink {
    fn drop(&mut self) {
        self.close();
    }
}
