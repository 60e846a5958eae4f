//! Keys in the store.

use crate::name::{DatabaseName, VmName};

/// Key of the operators' configuration.
pub const CONFIGURATION: &str = "configuration";

/// Prefix of the operators' requests to evacuate an availability zone, which is the rest of the key.
/// A request holds for as long as its key exists, whatever its value.
pub const EVACUATIONS: &str = "evacuations/";

/// Prefix of the instances' announcements.
pub const INSTANCES: &str = "instances/";

/// Prefix of what the VMs themselves keep in the store: the records of primaries, the gateways'
/// registrations and their revocations, and the failover lease.
pub const FLEET: &str = "fleet/";

/// Prefix of the records of primaries.
pub const DATABASES: &str = "fleet/databases/";

/// Prefix of the gateways' registrations.
pub const GATEWAYS: &str = "fleet/gateways/";

/// Prefix of the revocations of registrations.
pub const REVOCATIONS: &str = "fleet/revocations/";

/// Key of the failover lease: the right to replace primaries.
pub const FAILOVER_LEASE: &str = "fleet/duty";

/// Key of the timeline that the fleet has known for long enough.
pub const SETTLED_TIMELINE: &str = "fleet/timeline";

/// Prefix of the keys that every gateway watches: the configuration and the keys under
/// [`EVACUATIONS`] and [`FLEET`].
/// Although the prefix is empty, the adapter's store leaves out announcements and confirmations,
/// because they change often; they are read separately.
pub const SHARED: &str = "";

/// Returns the key of a database's record.
pub fn database(name: &DatabaseName) -> String {
    format!("{DATABASES}{name}")
}

/// Returns the key of a gateway's registration.
pub fn gateway(name: &VmName) -> String {
    format!("{GATEWAYS}{name}")
}

/// Returns the key of the revocations by one replacement of a database's primary.
pub fn revocation(database: &DatabaseName, generation: u64) -> String {
    format!("{REVOCATIONS}{generation}/{database}")
}

/// Returns the prefix of the keys by which VMs confirm one replacement of a database's primary.
pub fn confirmations(database: &DatabaseName, generation: u64) -> String {
    format!("confirmations/{database}/{generation}/")
}
