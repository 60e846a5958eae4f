//! Local view that a VM has of the fleet.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use super::catalog::Catalog;
use super::encoded::EncodedConfiguration;
use super::evacuation::EvacuatedZones;
use super::freshness::Freshness;
use super::instance::{Directory, Instance, InstanceState};
use super::position::Position;
use super::quota::Quota;
use super::record::{
    GatewayList, Phase, PrimaryRecord, SettledTimelineRecord, VersionedRecord, VmRecord,
};
use super::validity::ValidityLease;
use crate::configuration::{Revision, Timeline};
use crate::name::{DatabaseName, InstanceName, VmName};
use crate::time::Timestamp;

/// Time without a response of the store after which a VM without a sublease stops taking callers,
/// because its validity lease will soon end, and from which the known announcements may be outdated.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// Local view that a VM has of the fleet.
#[derive(Debug, Default)]
pub struct State {
    /// Configuration in force; `None` until it has been read.
    pub catalog: Option<Rc<Catalog>>,
    /// Configuration in the form in which other VMs fetch it from this one.
    pub encoded_configuration: Option<EncodedConfiguration>,
    /// Announced instances.
    pub directory: Directory,
    /// Zones that the operators have requested to evacuate.
    pub evacuated_zones: EvacuatedZones,
    /// Whether the announcements have been read since this VM became a gateway.
    pub directory_known: bool,
    /// Instances whose announcements are missing, with the time since when.
    pub missing: HashMap<InstanceName, Timestamp>,
    /// Validity from this VM's own lease at the store.
    pub validity_lease: ValidityLease,
    /// Validity granted by another VM while the store doesn't respond.
    pub sublease: ValidityLease,
    /// Time at which the last sublease has ended that this process, or a former one of this VM, granted.
    pub subleased_until: Timestamp,
    /// Whether this VM is registered as a gateway.
    pub gateway: bool,
    /// Time until which other VMs may still wait for this VM's confirmations after it stopped being
    /// a gateway.
    pub gateway_until: Timestamp,
    /// Store lease of this VM's registration; `None` while it isn't registered.
    pub lease: Option<u64>,
    /// Store lease under which this VM is about to register.
    pub pending_lease: Option<u64>,
    /// Time of the last response of the store to a registration or renewal.
    pub store_responded_at: Timestamp,
    /// Local view of each database.
    pub databases: HashMap<DatabaseName, DatabaseState>,
    /// Gateways: VMs that hold connections to instances and have a validity lease.
    pub gateways: BTreeMap<VmName, VmRecord>,
    /// Store revision up to which `gateways` contains every change; zero until they have been read.
    pub gateways_revision: Revision,
    /// Time at which a gateway last announced its version of the configuration.
    pub gateway_contact_at: Timestamp,
    /// VM that holds the failover lease, the right to replace primaries.
    pub failover_holder: Option<VmName>,
    /// Limits of the workspaces, as their owner and as a holder of tokens.
    pub quota: Quota,
    /// Timeline of the store that `timeline_seen_at` refers to.
    pub timeline: Timeline,
    /// Time at which this VM first saw the timeline.
    pub timeline_seen_at: Timestamp,
    /// Timeline that the store records as settled.
    pub settled: SettledTimelineRecord,
    /// Store revision of `settled`; zero when there is none.
    pub settled_revision: Revision,
    /// Phase of a planned stop.
    pub stop: StopPhase,
    /// Time since when this VM hasn't been ready; `None` while it is ready or stopping.
    pub unready_since: Option<Timestamp>,
    /// Time at which the open sessions were last signalled to move to other VMs; `None` if never.
    pub shed_at: Option<Timestamp>,
}

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was requested.
    #[default]
    Running,
    /// Reports itself as not ready, but still serves.
    Leaving,
    /// Closes sessions as soon as their callers pause between two transactions.
    Draining,
    /// Refuses what still arrives, with a response, because the process is about to end.
    Closing,
    /// Is no longer registered, and only declines tasks.
    Deregistered,
}

/// Local view of one database.
#[derive(Debug, Default)]
pub struct DatabaseState {
    /// Record of the primary; `None` until one is known.
    pub record: Option<VersionedRecord>,
    /// Log positions reported by the primary, for the staleness of reads.
    pub freshness: Freshness,
    /// Number of instances that may hold acknowledged saves. Includes instances that are missing
    /// now.
    pub group_size: usize,
    /// Instance that was the primary at the last response which showed its position, and the latest
    /// position that it has reported.
    reported: Option<(InstanceName, Position)>,
    /// Whether this VM has confirmed a replacement of the primary, and acknowledges no save until it
    /// has ended.
    pub withholds_saves: bool,
}

impl DatabaseState {
    /// Records a position that the primary has reported.
    pub fn record_primary_position(&mut self, primary: &InstanceName, position: Position) {
        let known = self.primary_position(primary);
        self.reported = Some((
            primary.clone(),
            known.map_or(position, |at| at.max(position)),
        ));
    }

    /// Forgets what an instance other than the recorded primary has reported: its log may be cut back before
    /// it is the primary again.
    pub fn forget_other_primary(&mut self, primary: &InstanceName) {
        self.reported = self.reported.take().filter(|(name, _)| name == primary);
    }

    /// Returns the latest position that an instance has reported as the primary; `None` if it has reported
    /// none since another one did.
    pub fn primary_position(&self, primary: &InstanceName) -> Option<Position> {
        let (_, position) = self.reported.as_ref().filter(|(name, _)| name == primary)?;
        Some(*position)
    }

    /// Records that the store holds no record of the database, which a restoration has caused if
    /// `timeline` is later than that of the record.
    pub fn record_lost(&mut self, timeline: Timeline) {
        if let Some(record) = &mut self.record {
            record.stored = record.stored.max(Revision::new(timeline, 0));
        }
    }
}

impl State {
    /// Returns whether the records may be relied on, by this VM's own lease or a sublease.
    pub fn has_validity_lease(&self, now: Timestamp) -> bool {
        self.validity_lease.is_valid(now) || self.sublease.is_valid(now)
    }

    /// Returns whether routes, keys and primaries are known and may be relied on.
    pub fn has_initial_data(&self, now: Timestamp) -> bool {
        self.catalog.is_some() && self.directory_known && self.has_validity_lease(now)
    }

    /// Returns whether the records may be relied on and will be for some time: the store still
    /// responds to renewals, or another VM grants subleases.
    pub fn is_validity_stable(&self, now: Timestamp) -> bool {
        let responsive = now.since(self.store_responded_at) < STORE_SILENCE_LIMIT;
        (self.validity_lease.is_valid(now) && responsive) || self.sublease.is_valid(now)
    }

    /// Returns whether every instance that was announced until a short time ago is known.
    pub fn is_directory_current(&self, now: Timestamp) -> bool {
        let current_at = self.directory.current_at();
        let is_current = current_at.is_some_and(|at| now.since(at) < STORE_SILENCE_LIMIT);
        self.directory_known && is_current
    }

    /// Returns the primary of a database that takes saves; `None` while it is being replaced.
    pub fn primary(&self, database: &DatabaseName) -> Option<&Rc<Instance>> {
        let record = self.record(database)?;
        let is_available = record.phase == Phase::Steady;
        self.directory.get(&record.primary).filter(|_| is_available)
    }

    /// Returns the primary of a database that takes reads; `None` until it has been promoted.
    pub fn readable_primary(&self, database: &DatabaseName) -> Option<&Rc<Instance>> {
        let record = self.record(database)?;
        let is_available = !matches!(record.phase, Phase::Moving { .. });
        self.directory.get(&record.primary).filter(|_| is_available)
    }

    /// Returns whether an instance announced that it leaves, and is announced no longer.
    pub fn has_left(&self, instance: &Instance) -> bool {
        instance.state == InstanceState::Draining && self.missing.contains_key(&instance.name)
    }

    /// Returns how many instances of a database may hold its log. One that has started again under
    /// another name at the same address has taken over the log of the former one, whose announcement may
    /// still be present.
    pub fn count_logs(&self, database: &DatabaseName) -> usize {
        let members = self.directory.in_database(database);
        let present = members.filter(|instance| !self.has_left(instance));
        let addresses = present.map(|instance| instance.address);
        addresses.collect::<HashSet<_>>().len()
    }

    /// Returns the first known start of each instance of a database, for its record: those that it names, and
    /// those of other announced instances.
    pub fn first_starts(&self, database: &DatabaseName) -> BTreeMap<InstanceName, u64> {
        let mut starts = self.announced_starts(database);
        let known = self.databases.get(database);
        if let Some(record) = known.and_then(|known| known.record.as_ref()) {
            starts.extend(record.record.started_at_ms.clone());
        }
        starts
    }

    fn announced_starts(&self, database: &DatabaseName) -> BTreeMap<InstanceName, u64> {
        let names = self.directory.in_database(database);
        let names = names.map(|instance| &instance.name);
        names
            .filter_map(|name| Some((name.clone(), self.directory.first_started_at_ms(name)?)))
            .collect()
    }

    /// Returns whether an instance is known to have started again under its name, from its announcements or
    /// from the record of its database.
    pub fn has_restarted(&self, instance: &Instance) -> bool {
        let known = self.databases.get(&instance.database);
        let record = known.and_then(|known| known.record.as_ref());
        let recorded = record.and_then(|record| record.record.started_at_ms.get(&instance.name));
        recorded.is_some_and(|start| *start != instance.started_at_ms)
            || self.directory.has_restarted(&instance.name)
    }

    /// Returns when the zone of an instance ceased to be evacuated; `None` if it is evacuated or
    /// never was, or if the instance is the primary, which needn't have been left.
    pub fn returned_at(&self, instance: &Instance) -> Option<Timestamp> {
        let returned_at = self
            .evacuated_zones
            .returned_at(&instance.availability_zone);
        let primary = self.primary(&instance.database);
        let is_primary = primary.is_some_and(|primary| primary.name == instance.name);
        returned_at.filter(|_| !is_primary)
    }

    /// Returns how many statements a second a cold instance of a database takes; `None` for no
    /// limit.
    pub fn cold_per_s(&self, database: &DatabaseName) -> Option<f64> {
        let database = self.catalog.as_ref()?.databases.get(database)?;
        Some(database.cold_per_s).filter(|per_s| *per_s > 0.0)
    }

    /// Returns whether an instance may be promoted: it takes new work and its zone isn't evacuated.
    pub fn may_lead(&self, instance: &Instance) -> bool {
        let is_evacuated = self.evacuated_zones.contains(&instance.availability_zone);
        instance.state == InstanceState::Serving && !is_evacuated
    }

    /// Returns whether a replacement of a primary may wait for this VM's confirmation.
    pub fn confirms(&self, now: Timestamp) -> bool {
        self.gateway || now < self.gateway_until
    }

    /// Returns the smallest connection limit that any database sets for its instances; zero without
    /// databases.
    pub fn least_connections(&self) -> usize {
        let databases = self
            .catalog
            .iter()
            .flat_map(|catalog| catalog.databases.values());
        let connections = databases.map(|database| database.max_connections);
        connections.min().unwrap_or_default()
    }

    /// Replaces the gateways by a newer list; returns whether it was newer.
    pub fn update_gateways(&mut self, list: GatewayList) -> bool {
        let is_newer = list.revision > self.gateways_revision;
        if is_newer {
            self.gateways = list.gateways;
            self.gateways_revision = list.revision;
        }
        is_newer
    }

    /// Returns whether no record of a database is known that was written after `revision`.
    pub fn is_latest(&self, database: &DatabaseName, revision: Revision) -> bool {
        let known = self.databases.get(database);
        let record = known.and_then(|known| known.record.as_ref());
        record.is_none_or(|record| record.revision <= revision)
    }

    /// Returns whether the record of a database already names the replacement that a phase names.
    pub fn is_replaced_by(&self, database: &DatabaseName, phase: &Phase) -> bool {
        let known = self.record(database);
        *phase != Phase::Steady && known.is_some_and(|known| known.phase == *phase)
    }

    fn record(&self, database: &DatabaseName) -> Option<&PrimaryRecord> {
        let record = self.databases.get(database)?.record.as_ref()?;
        Some(&record.record).filter(|_| record.is_reliable())
    }

    /// Returns the local view of a database for modification; creates it if it is missing.
    pub fn database(&mut self, name: &DatabaseName) -> &mut DatabaseState {
        self.databases.entry(name.clone()).or_default()
    }
}
