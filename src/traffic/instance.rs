//! One instance of a database that this VM is the home of: its pool, its control connection, and
//! what both learn of its health.

mod control;
mod evidence;
pub(crate) mod question;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use control::ControlConnection;
pub(crate) use evidence::Evidence;
pub(crate) use question::Question;

use crate::control::event::InstanceReport;
use crate::control::snapshot::InstanceView;
use crate::name::{DatabaseName, InstanceName, VmName};
use crate::settings::Settings;
use crate::time::Timestamp;
use crate::traffic::pool::{Pool, PoolLimits};
use crate::traffic::upstream::Login;

/// Connections that callers may not use: one for control, and one that stays free so that the
/// next home can log in and end what this one leaves behind.
const RESERVED_CONNECTIONS: u32 = 2;

/// Called with each report of the instance and the time from which it is true.
pub(crate) type ReportHook = Box<dyn Fn(&InstanceReport, Timestamp) + Send + Sync>;

/// Returns whether the home's lease is valid, so that it may end the connections of other homes.
pub(crate) type LeaseCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// Home of an instance, as the instance is told.
#[derive(Debug, Clone)]
pub(crate) struct HomeIdentity {
    /// Database of the instance.
    pub(crate) database: DatabaseName,
    /// The home.
    pub(crate) vm: VmName,
    /// Epoch of the home's lease.
    pub(crate) epoch: u64,
}

impl HomeIdentity {
    /// Returns the name by which the instance knows this home's connections.
    pub(crate) fn application_name(&self) -> String {
        format!("currantlb/{}/{}", self.vm, self.epoch)
    }
}

/// One instance as its home uses it.
#[derive(Debug)]
pub(crate) struct Instance {
    /// Name of the instance.
    pub(crate) name: InstanceName,
    /// Address that the connections go to.
    pub(crate) address: SocketAddr,
    /// Connections for callers' statements.
    pub(crate) pool: Pool,
    /// What is learned of the instance's health.
    pub(crate) evidence: Arc<Evidence>,
    questions: mpsc::UnboundedSender<Question>,
    control: JoinHandle<()>,
}

impl Instance {
    /// Starts the control connection, which lets the pool open once former homes' connections have
    /// been ended.
    pub(crate) fn start(
        view: &InstanceView,
        identity: &HomeIdentity,
        settings: &Settings,
        evidence: Evidence,
        runtime: &Handle,
        on_report: ReportHook,
        may_open: LeaseCheck,
    ) -> Self {
        let login = Login {
            address: view.address,
            user: settings.databases.user.clone(),
            password: settings.databases.password.clone(),
            database: identity.database.to_string(),
            application_name: identity.application_name(),
            timeout: Duration::from_millis(settings.databases.connect_timeout_ms),
        };
        let evidence = Arc::new(evidence);
        let for_pool = Arc::clone(&evidence);
        let pool = Pool::new(
            login.clone(),
            pool_limits(view, settings),
            runtime.clone(),
            Box::new(move |error| for_pool.failed(error)),
        );
        let (questions, receiver) = mpsc::unbounded_channel();
        let control = ControlConnection::new(
            login,
            Arc::clone(&evidence),
            on_report,
            may_open,
            pool.clone(),
            Duration::from_millis(settings.control.suspect_after_ms),
        );
        Self {
            name: view.name.clone(),
            address: view.address,
            pool,
            evidence,
            questions,
            control: runtime.spawn(control.run(receiver)),
        }
    }

    /// Asks something of the instance; the answer is posted as an event.
    pub(crate) fn ask(&self, question: Question) {
        if self.questions.send(question).is_err() {
            log::debug!("event=question_dropped instance={}", self.name);
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.pool.stop();
        self.control.abort();
    }
}

fn pool_limits(view: &InstanceView, settings: &Settings) -> PoolLimits {
    let usable = view.connections.saturating_sub(RESERVED_CONNECTIONS).max(1);
    let warm = view.slots.min(usable);
    PoolLimits {
        max_connections: usable as usize,
        max_opening: settings.databases.max_opening.max(1),
        warm: warm as usize,
        idle_timeout: Duration::from_millis(settings.databases.idle_timeout_ms),
    }
}
