//! Decoded form of the operators' configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{DatabaseName, RouteName, WorkspaceName};

/// One complete version of the operators' configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version of the configuration; increases with every change.
    pub version: u64,
    /// Routes by the name that callers request.
    pub routes: HashMap<Arc<str>, Arc<Route>>,
    /// Databases by name.
    pub databases: HashMap<DatabaseName, Arc<Database>>,
    /// Workspaces by name.
    pub workspaces: HashMap<WorkspaceName, Arc<Workspace>>,
    /// Workspace that each key belongs to.
    pub keys: HashMap<Arc<str>, WorkspaceName>,
    /// Time after which an idle transaction may be rolled back; `None` when there is no limit.
    pub transaction_idle: Option<Duration>,
}

impl Catalog {
    /// Returns the workspace that a key belongs to; `None` when the key isn't known.
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(self.keys.get(key)?)
    }

    /// Returns whether a database acknowledges a save only once a replica has received it.
    pub fn is_synchronous(&self, database: &DatabaseName) -> bool {
        let database = self.databases.get(database);
        database.is_some_and(|database| database.synchronous_replicas > 0)
    }
}

/// Consistency of the reads of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Reads see every acknowledged save.
    Primary,
    /// Reads may miss saves that were acknowledged within the last `staleness`.
    Bounded {
        /// Largest allowed staleness.
        staleness: Duration,
    },
    /// Like `Bounded`, but reads see every save of their own session.
    Session {
        /// Largest allowed staleness.
        staleness: Duration,
    },
}

impl Consistency {
    /// Returns the largest allowed staleness; `None` when every acknowledged save must be seen.
    pub const fn staleness(self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::Bounded { staleness } | Self::Session { staleness } => Some(staleness),
        }
    }
}

/// Route: the database that callers reach by a name, and how their statements are served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Database that the route leads to.
    pub database: DatabaseName,
    /// Consistency of the route's reads.
    pub consistency: Consistency,
    /// Time limit of one statement.
    pub statement_timeout: Duration,
    /// Target response time of an operation.
    pub latency_objective: Duration,
    /// Priority of the route's operations; 0 is the highest.
    pub priority: u8,
    /// Whether callers may connect without a key.
    pub allows_anonymous: bool,
}

/// Group of one primary and its replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct Database {
    /// Name of the database.
    pub name: DatabaseName,
    /// Maximum number of connections to one instance, over all VMs.
    pub max_connections: usize,
    /// Number of replicas that must have received a save before it is acknowledged.
    pub synchronous_replicas: usize,
    /// Statements a second that an instance takes while it is cold, over all VMs; zero for no limit.
    pub cold_per_s: f64,
}

/// Customer of the operators, with its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Allowed operations per second, over all VMs.
    pub rate_per_s: f64,
    /// Allowed burst of operations, over all VMs.
    pub burst: f64,
}
