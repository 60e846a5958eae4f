//! Keys in the store.

use crate::name::{DatabaseName, VmName};

/// Key of the operators' configuration.
pub const CONFIGURATION: &str = "configuration";

/// Prefix of the instances' announcements.
pub const INSTANCES: &str = "instances/";

/// Prefix of the records of primaries.
pub const DATABASES: &str = "databases/";

/// Prefix of the VMs' registrations.
pub const VMS: &str = "vms/";

/// Key of the duty to replace primaries.
pub const DUTY: &str = "duty";

/// Prefix that covers the configuration and the records, but neither announcements nor
/// confirmations: those change often and are read by other means.
pub const SHARED: &str = "";

/// Returns the key of a database's record.
pub fn database(name: &DatabaseName) -> String {
    format!("{DATABASES}{name}")
}

/// Returns the key of a VM's registration.
pub fn vm(name: &VmName) -> String {
    format!("{VMS}{name}")
}

/// Returns the prefix of the confirmations that a database's replacement has begun.
pub fn confirmations(database: &DatabaseName, generation: u64) -> String {
    format!("confirmations/{database}/{generation}/")
}
