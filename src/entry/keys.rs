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

/// Prefix of the registrations of the other VMs.
pub const ENTRIES: &str = "entries/";

/// Key of the duty to replace primaries.
pub const DUTY: &str = "duty";

/// Prefix that covers the configuration, the records and the gateways, but neither announcements
/// nor confirmations nor other VMs: those change often and are read by other means.
pub const SHARED: &str = "";

/// Returns the key of a database's record.
pub fn database(name: &DatabaseName) -> String {
    format!("{DATABASES}{name}")
}

/// Returns the key of a gateway's registration.
pub fn gateway(name: &VmName) -> String {
    format!("{GATEWAYS}{name}")
}

/// Returns the key of the registration of a VM that is no gateway.
pub fn entry(name: &VmName) -> String {
    format!("{ENTRIES}{name}")
}

/// Returns the prefix of the confirmations that a database's replacement has begun.
pub fn confirmations(database: &DatabaseName, generation: u64) -> String {
    format!("confirmations/{database}/{generation}/")
}
