//! Keys in the store.

use crate::name::{DatabaseName, VmName};

/// Key of the operators' configuration.
pub const CONFIGURATION: &str = "configuration";

/// Prefix of the instances' announcements.
pub const INSTANCES: &str = "instances/";

/// Prefix of the records of primaries.
pub const DATABASES: &str = "databases/";

/// Prefix of the gateways' registrations.
pub const GATEWAYS: &str = "gateways/";

/// Prefix of the registrations of VMs that aren't gateways.
pub const FORWARDERS: &str = "entries/";

/// Key of the failover lease: the right to replace primaries.
pub const FAILOVER_LEASE: &str = "duty";

/// Prefix of the keys that every gateway follows: the configuration, the records of primaries, the
/// gateways and the failover lease. Although the prefix is empty, the adapter's store leaves out
/// announcements, confirmations and the registrations of VMs that aren't gateways, because they
/// change often; they are read separately.
pub const SHARED: &str = "";

/// Returns the key of a database's record.
pub fn database(name: &DatabaseName) -> String {
    format!("{DATABASES}{name}")
}

/// Returns the key of a gateway's registration.
pub fn gateway(name: &VmName) -> String {
    format!("{GATEWAYS}{name}")
}

/// Returns the key of the registration of a VM that isn't a gateway.
pub fn forwarder(name: &VmName) -> String {
    format!("{FORWARDERS}{name}")
}

/// Returns the prefix of the keys by which VMs confirm one replacement of a database's primary.
pub fn confirmations(database: &DatabaseName, generation: u64) -> String {
    format!("confirmations/{database}/{generation}/")
}
