//! An instance of a database that this VM is the home of: its connection pool, its control
//! connection, and the health information that both collect.

mod control;
mod health;
pub(crate) mod query;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use control::ControlConnection;
pub(crate) use health::HealthReporter;
pub(crate) use query::InstanceQuery;

use crate::control::event::InstanceReport;
use crate::control::snapshot::InstanceView;
use crate::name::{DatabaseName, InstanceName, VmName};
use crate::settings::Settings;
use crate::time::Timestamp;
use crate::traffic::pool::{Pool, PoolLimits};
use crate::traffic::upstream::Login;

/// Connections that are not available to callers: one for the control connection, and one that
/// stays free so that the next home can log in and terminate the connections this home leaves open.
const RESERVED_CONNECTIONS: u32 = 2;

/// Callback for each report of the instance. The instance was in the reported state at the given
/// time or later.
pub(crate) type ReportHook = Box<dyn Fn(&InstanceReport, Timestamp) + Send + Sync>;

/// Callback that returns whether the home's lease is valid. Only then may the home terminate the
/// connections of other homes.
pub(crate) type LeaseCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// Identity of a home towards an instance; it forms the `application_name` of its connections.
#[derive(Debug, Clone)]
pub(crate) struct HomeIdentity {
    /// Database of the instance.
    pub(crate) database: DatabaseName,
    /// VM that is the home of the database.
    pub(crate) vm: VmName,
    /// Epoch of the home's lease.
    pub(crate) epoch: u64,
}

impl HomeIdentity {
    /// Returns the `application_name` that identifies this home's connections at the instance.
    pub(crate) fn application_name(&self) -> String {
        format!("currantlb/{}/{}", self.vm, self.epoch)
    }
}

/// Connections of a home to one instance.
#[derive(Debug)]
pub(crate) struct Instance {
    /// Name of the instance.
    pub(crate) name: InstanceName,
    /// Address that the home connects to.
    pub(crate) address: SocketAddr,
    /// Connections for callers' statements.
    pub(crate) pool: Pool,
    /// Posts observations of the instance's health to the control thread.
    pub(crate) health: Arc<HealthReporter>,
    queries: mpsc::UnboundedSender<InstanceQuery>,
    control: JoinHandle<()>,
}

impl Instance {
    /// Starts the control connection. It starts the pool after it has terminated the connections of
    /// previous homes.
    pub(crate) fn start(
        view: &InstanceView,
        identity: &HomeIdentity,
        settings: &Settings,
        health: HealthReporter,
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
        let health = Arc::new(health);
        let pool_health = Arc::clone(&health);
        let pool = Pool::new(
            login.clone(),
            pool_limits(view, settings),
            runtime.clone(),
            Box::new(move |error| pool_health.post_failure(error)),
        );
        let (queries, receiver) = mpsc::unbounded_channel();
        let control = ControlConnection::new(
            login,
            Arc::clone(&health),
            on_report,
            may_open,
            pool.clone(),
            Duration::from_millis(settings.control.suspect_after_ms),
        );
        Self {
            name: view.name.clone(),
            address: view.address,
            pool,
            health,
            queries,
            control: runtime.spawn(control.run(receiver)),
        }
    }

    /// Queues a query to the instance; its result is posted as an event.
    pub(crate) fn send(&self, query: InstanceQuery) {
        if self.queries.send(query).is_err() {
            log::debug!("event=query_dropped instance={}", self.name);
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
