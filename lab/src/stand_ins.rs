//! Stand-ins for what the VMs of one deployment use: platform, configuration and databases.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::database::{
    DatabaseGroup, DatabaseGroupSettings, InstanceLimits, InstanceSettings, Violation,
};
use crate::deployment::{Deployment, INSTANCES_PER_DATABASE, key_of, semenanjung};
use crate::platform::Platform;

/// Password that VMs log in to instances with.
pub const DATABASE_PASSWORD: &str = "lab-database-password";

/// Settings of the stand-ins.
#[derive(Debug, Clone)]
pub struct StandInSettings {
    /// Deployment that the stand-ins represent.
    pub deployment: Deployment,
    /// Replication lag of every replica.
    pub replication_lag: Duration,
    /// One-way network delay between VMs and instances.
    pub delay: Duration,
    /// Time that an instance takes to accept a new connection.
    pub connect_time_ms: u64,
    /// Time that an instance spends on each statement in addition to running it.
    pub service_time_ms: u64,
}

impl Default for StandInSettings {
    fn default() -> Self {
        Self {
            deployment: semenanjung(),
            replication_lag: Duration::from_millis(20),
            delay: Duration::ZERO,
            connect_time_ms: 10,
            service_time_ms: 0,
        }
    }
}

/// Running stand-ins; they stop when this is dropped.
#[derive(Debug)]
pub struct StandIns {
    /// Stand-in for the platform.
    pub platform: Platform,
    /// Deployment that the stand-ins represent.
    pub deployment: Deployment,
    groups: BTreeMap<String, DatabaseGroup>,
}

impl StandIns {
    /// Starts the databases and the platform, and writes the deployment's configuration.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub async fn start(settings: StandInSettings) -> std::io::Result<Self> {
        let deployment = settings.deployment.clone();
        let mut groups = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for database in &deployment.databases {
            let group = DatabaseGroup::start(group_settings(database, &settings)).await?;
            addresses.extend(group.addresses());
            groups.insert((*database).to_owned(), group);
        }
        let platform = Platform::start(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)).await?;
        for record in deployment.records(&addresses) {
            platform.put_record(&record);
        }
        Ok(Self {
            platform,
            deployment,
            groups,
        })
    }

    /// Returns the group of instances of a database.
    ///
    /// # Panics
    ///
    /// Panics when the deployment has no such database.
    pub fn group(&self, database: &str) -> &DatabaseGroup {
        let group = self.groups.get(database);
        group.unwrap_or_else(|| {
            panic!("the deployment has no database {database}; use one of its database names")
        })
    }

    /// Returns all groups with the names of their databases.
    pub fn groups(&self) -> impl Iterator<Item = (&str, &DatabaseGroup)> {
        self.groups
            .iter()
            .map(|(name, group)| (name.as_str(), group))
    }

    /// Returns the violations by the VMs that the databases detected.
    pub fn violations(&self) -> Vec<Violation> {
        self.groups
            .values()
            .flat_map(DatabaseGroup::violations)
            .collect()
    }
}

fn group_settings(database: &str, settings: &StandInSettings) -> DatabaseGroupSettings {
    let deployment = &settings.deployment;
    let limits = InstanceLimits {
        slots: deployment.slots,
        connections: deployment.connections,
        connect_time_ms: settings.connect_time_ms,
        service_time_ms: settings.service_time_ms,
    };
    let instance = |index: usize| InstanceSettings {
        name: Deployment::instance_name(database, index),
        limits: limits.clone(),
        ..InstanceSettings::default()
    };
    DatabaseGroupSettings {
        instances: (0..INSTANCES_PER_DATABASE).map(instance).collect(),
        password: Some(DATABASE_PASSWORD.to_owned()),
        forbidden_keys: deployment
            .workspaces
            .iter()
            .map(|(name, _)| key_of(name))
            .collect(),
        replication_lag: settings.replication_lag,
        delay: settings.delay,
        schema: deployment.schema.clone(),
    }
}
