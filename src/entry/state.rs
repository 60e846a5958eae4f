//! What a VM believes of its surroundings.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use super::catalog::Catalog;
use super::freshness::Freshness;
use super::guard::Guard;
use super::instance::{Directory, Instance};
use super::quota::Quota;
use super::record::{Phase, PrimaryRecord, VersionedRecord, VmRecord};
use crate::configuration::Revision;
use crate::name::{DatabaseName, InstanceName, VmName};
use crate::time::Timestamp;

/// Silence of the store after which a VM without proofs of others stops taking callers: its guard
/// will run out soon.
const STORE_SILENCE: Duration = Duration::from_millis(2_500);

/// What a VM believes of its surroundings.
#[derive(Debug, Default)]
pub struct State {
    /// Configuration in force; `None` until it has been read.
    pub catalog: Option<Rc<Catalog>>,
    /// Configuration as the store holds it, for VMs that can't read it.
    pub catalog_value: Option<(Revision, Vec<u8>)>,
    /// Instances that announce themselves.
    pub directory: Directory,
    /// Whether the announcements have been read.
    pub directory_known: bool,
    /// Instances whose announcements have vanished, since when.
    pub missing: HashMap<InstanceName, Timestamp>,
    /// Proof from this VM's own lease.
    pub guard: Guard,
    /// Proof lent by another VM.
    pub borrowed_guard: Guard,
    /// Until when proofs lent to other VMs hold.
    pub lent_until: Timestamp,
    /// Whether this VM is registered as a gateway.
    pub gateway: bool,
    /// Until when others may wait for confirmations of this VM after it was a gateway.
    pub gateway_until: Timestamp,
    /// Lease of this VM's registration.
    pub lease: Option<u64>,
    /// When the store last answered a renewal.
    pub store_heard_at: Timestamp,
    /// What is known of each database.
    pub databases: HashMap<DatabaseName, DatabaseState>,
    /// VMs that hold connections to instances and rely on a guard.
    pub gateways: BTreeMap<VmName, VmRecord>,
    /// When a gateway last told its version of the configuration.
    pub gateways_heard_at: Timestamp,
    /// The other VMs, as they were known some seconds ago.
    pub entries: BTreeMap<VmName, VmRecord>,
    /// Holder of the duty to replace primaries.
    pub duty_holder: Option<VmName>,
    /// Limits of the workspaces.
    pub quota: Quota,
    /// How far a planned stop has come.
    pub stop: StopPhase,
    /// Since when this VM hasn't been ready, after it was.
    pub unready_since: Option<Timestamp>,
    /// When sessions opened earlier were asked to move to other VMs.
    pub shed_at: Option<Timestamp>,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Not asked to stop.
    #[default]
    Running,
    /// Reports itself not ready; still serves.
    Leaving,
    /// Closes idle sessions and takes no new operation.
    Draining,
}

/// What a VM knows of one database.
#[derive(Debug, Default)]
pub struct DatabaseState {
    /// Record of the primary.
    pub record: Option<VersionedRecord>,
    /// Positions of the primary.
    pub freshness: Freshness,
    /// Instances that the database had when most of them announced themselves.
    pub group_size: usize,
}

impl State {
    /// Returns whether the records can be relied on.
    pub fn guarded(&self, now: Timestamp) -> bool {
        self.guard.holds(now) || self.borrowed_guard.holds(now)
    }

    /// Returns whether routes, keys and primaries are known.
    pub fn is_informed(&self, now: Timestamp) -> bool {
        self.catalog.is_some() && self.directory_known && self.guarded(now)
    }

    /// Returns whether the records can be relied on and this can be expected to last.
    pub fn in_touch(&self, now: Timestamp) -> bool {
        let heard = now.since(self.store_heard_at) < STORE_SILENCE;
        (self.guard.holds(now) && heard) || self.borrowed_guard.holds(now)
    }

    /// Returns the primary of a database that takes saves; `None` while it is being replaced.
    pub fn primary(&self, database: &DatabaseName) -> Option<&Rc<Instance>> {
        let record = self.record(database)?;
        let takes = record.phase == Phase::Steady;
        self.directory.get(&record.primary).filter(|_| takes)
    }

    /// Returns the primary of a database that takes reads; `None` until it has been promoted.
    pub fn readable_primary(&self, database: &DatabaseName) -> Option<&Rc<Instance>> {
        let record = self.record(database)?;
        let takes = !matches!(record.phase, Phase::Moving { .. });
        self.directory.get(&record.primary).filter(|_| takes)
    }

    /// Returns whether a replacement of a primary may wait for this VM's confirmation.
    pub fn confirms(&self, now: Timestamp) -> bool {
        self.gateway || now < self.gateway_until
    }

    /// Returns the fewest connections that an instance of some database takes.
    pub fn least_connections(&self) -> usize {
        let databases = self
            .catalog
            .iter()
            .flat_map(|catalog| catalog.databases.values());
        let connections = databases.map(|database| database.max_connections);
        connections.min().unwrap_or_default()
    }

    fn record(&self, database: &DatabaseName) -> Option<&PrimaryRecord> {
        let record = self.databases.get(database)?.record.as_ref()?;
        Some(&record.record)
    }

    /// Returns what is known of a database, to be changed.
    pub fn database(&mut self, name: &DatabaseName) -> &mut DatabaseState {
        self.databases.entry(name.clone()).or_default()
    }
}
