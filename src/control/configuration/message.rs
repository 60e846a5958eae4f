//! Messages about the configuration between VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, ConfigurationChange, Revision};
use crate::name::VmName;

/// Message about the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// What the sender has. A VM sends it to the watchers, which answer with their own.
    Digest {
        /// Latest revision of the sender.
        revision: Revision,
        /// Time since the sender was last in contact with the service or with most of its cell.
        contact_age_ms: Option<u64>,
        /// Whether this answers a digest.
        is_answer: bool,
    },
    /// Asks for what follows a revision.
    Fetch {
        /// Latest revision of the sender.
        after: Revision,
    },
    /// Changes that lead from one revision to another.
    Changes {
        /// Watcher on whose tree the changes travel; `None` when they answer a `Fetch`.
        origin: Option<VmName>,
        /// Revision that the changes continue.
        after: Revision,
        /// Revision that they lead to.
        upto: Revision,
        /// Changes in the order of their revisions.
        changes: Vec<ConfigurationChange>,
    },
    /// A whole configuration, for a VM that is too far behind.
    Whole {
        /// The configuration.
        configuration: Arc<Configuration>,
    },
}
