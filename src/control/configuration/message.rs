//! Messages about the configuration between VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, ConfigurationChange, Revision};
use crate::name::VmName;

/// Message about the configuration between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// State of the sender's configuration. A VM sends it to the watchers, which reply with their
    /// own.
    Digest {
        /// Latest revision of the sender.
        revision: Revision,
        /// Time since the sender was last in contact with the service or with most of its cell;
        /// `None` when it never was.
        contact_age_ms: Option<u64>,
        /// Whether this is the reply to a digest.
        is_reply: bool,
    },
    /// Requests the changes after a revision.
    Fetch {
        /// Latest revision of the sender.
        after: Revision,
    },
    /// Changes that lead from one revision to another.
    Changes {
        /// Watcher along whose tree the changes are forwarded; `None` when they are sent to bring
        /// one VM up to date.
        origin: Option<VmName>,
        /// Revision to which the changes apply.
        after: Revision,
        /// Revision that results from the changes.
        upto: Revision,
        /// Changes in the order of their revisions.
        changes: Vec<ConfigurationChange>,
    },
    /// The full configuration, for a VM whose revision is too old for `Changes`.
    Full {
        /// The configuration.
        configuration: Arc<Configuration>,
    },
}
