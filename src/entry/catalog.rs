//! Operators' configuration as the entry uses it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{DatabaseName, RouteName, WorkspaceName};

/// Configuration in force: one version, whole.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version; only grows.
    pub version: u64,
    /// Routes by the name that callers ask for.
    pub routes: HashMap<Arc<str>, Arc<Route>>,
    /// Databases that routes may lead to.
    pub databases: HashMap<DatabaseName, Arc<Database>>,
    /// Workspaces by name.
    pub workspaces: HashMap<WorkspaceName, Arc<Workspace>>,
    /// Workspace that each key belongs to.
    pub keys: HashMap<Arc<str>, WorkspaceName>,
    /// Time after which an idle transaction may be ended; `None` when there is no limit.
    pub transaction_idle: Option<Duration>,
}

impl Catalog {
    /// Returns the workspace that a key belongs to.
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(self.keys.get(key)?)
    }
}

/// How fresh the reads of a route must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Sees every acknowledged save.
    Primary,
    /// May miss what was acknowledged within the given time.
    Bounded {
        /// Largest staleness.
        staleness: Duration,
    },
    /// Like `Bounded`, but sees every save of its own session.
    Session {
        /// Largest staleness.
        staleness: Duration,
    },
}

impl Consistency {
    /// Returns the largest staleness; `None` when every acknowledged save must be seen.
    pub const fn staleness(self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::Bounded { staleness } | Self::Session { staleness } => Some(staleness),
        }
    }
}

/// Way to a database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Database that it leads to.
    pub database: DatabaseName,
    /// How fresh its reads must be.
    pub consistency: Consistency,
    /// Longest time of one statement.
    pub statement_timeout: Duration,
    /// Time within which an operation should be answered.
    pub objective: Duration,
    /// Urgency; 0 is the highest.
    pub priority: u8,
    /// Whether callers need no key.
    pub open: bool,
}

/// Group of one primary and its replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Database {
    /// Name of the database.
    pub name: DatabaseName,
    /// Connections that one instance takes from all VMs together.
    pub max_connections: usize,
    /// Replicas that must have received a save before it is acknowledged.
    pub synchronous_replicas: usize,
}

/// Customer of the operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Operations per second over all VMs.
    pub rate_per_s: f64,
    /// Operations that may come at once over all VMs.
    pub burst: f64,
}
