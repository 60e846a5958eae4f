//! Records in the store: primaries, registered VMs and the holder of the failover lease.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::configuration::{Revision, Timeline};
use crate::name::{InstanceName, VmName, ZoneName};

/// Progress of the replacement of a database's primary.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// No replacement is under way; the primary takes reads and saves.
    Steady,
    /// The primary is being replaced. No VM may send new work to it.
    Moving {
        /// VM that replaces the primary.
        holder: VmName,
        /// Generation of that VM's failover lease.
        generation: u64,
    },
    /// The new primary was promoted, but some VMs may still use the former one. Reads are served,
    /// because nothing has been saved since the promotion; saves wait.
    Settling {
        /// VM that replaced the former primary.
        holder: VmName,
        /// Generation of that VM's failover lease.
        generation: u64,
    },
}

impl Phase {
    /// Returns the holder and the generation of the replacement; `None` when none is under way.
    pub fn replacement(&self) -> Option<(&VmName, u64)> {
        match self {
            Self::Steady => None,
            Self::Moving { holder, generation } | Self::Settling { holder, generation } => {
                Some((holder, *generation))
            }
        }
    }
}

/// Instances that the holders of the failover lease may have called to be promoted since a primary was last
/// recorded as steady.
///
/// A VM that has received a record from another VM, and not from the store, doesn't know them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Option<Vec<InstanceName>>", into = "Option<Vec<InstanceName>>")]
pub enum PromotionCalls {
    /// Any instance may have been called: the record was written by an earlier version, which doesn't name
    /// them, or was received from another VM.
    #[default]
    Unknown,
    /// Only these instances may have been called.
    Named(Vec<InstanceName>),
}

impl PromotionCalls {
    /// No instance has been called.
    pub const NONE: Self = Self::Named(Vec::new());

    /// Returns whether an instance may have been called.
    pub fn may_include(&self, instance: &InstanceName) -> bool {
        match self {
            Self::Unknown => true,
            Self::Named(instances) => instances.contains(instance),
        }
    }

    /// Returns whether an instance other than this one may have been called.
    pub fn may_include_other(&self, instance: &InstanceName) -> bool {
        match self {
            Self::Unknown => true,
            Self::Named(instances) => instances.iter().any(|called| called != instance),
        }
    }

    /// Adds an instance that is about to be called.
    pub fn add(&mut self, instance: &InstanceName) {
        if !self.may_include(instance)
            && let Self::Named(instances) = self
        {
            instances.push(instance.clone());
        }
    }

    /// Removes an instance whose call had no effect.
    pub fn remove(&mut self, instance: &InstanceName) {
        if let Self::Named(instances) = self {
            instances.retain(|called| called != instance);
        }
    }
}

impl From<Option<Vec<InstanceName>>> for PromotionCalls {
    fn from(instances: Option<Vec<InstanceName>>) -> Self {
        instances.map_or(Self::Unknown, Self::Named)
    }
}

impl From<PromotionCalls> for Option<Vec<InstanceName>> {
    fn from(calls: PromotionCalls) -> Self {
        match calls {
            PromotionCalls::Unknown => None,
            PromotionCalls::Named(instances) => Some(instances),
        }
    }
}

/// Encodes a field in the store's records only. The layout of datagrams is by position and has no room for it.
mod stored_only {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<T, S>(value: &T, serializer: S) -> Result<S::Ok, S::Error>
    where
        T: Serialize,
        S: Serializer,
    {
        if serializer.is_human_readable() {
            value.serialize(serializer)
        } else {
            serializer.serialize_unit()
        }
    }

    pub fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
    where
        T: Deserialize<'de> + Default,
        D: Deserializer<'de>,
    {
        if deserializer.is_human_readable() {
            T::deserialize(deserializer)
        } else {
            Ok(T::default())
        }
    }
}

/// Primary of a database, as recorded in the store for all VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// Instance that is the primary.
    pub primary: InstanceName,
    /// Term in which it is the primary.
    pub term: u64,
    /// Progress of a replacement; `Steady` when none is under way.
    pub phase: Phase,
    /// Number of instances of the database when the record was written. Includes missing instances
    /// that may hold acknowledged saves.
    pub instances: usize,
    /// Timeline of the store in which the record was written.
    #[serde(default)]
    pub timeline: Timeline,
    /// Promotion calls of the replacement that is under way. In the store only.
    #[serde(default, with = "stored_only")]
    pub promotion_calls: PromotionCalls,
    /// Start of each instance's process, in Unix milliseconds, when it was first known. An instance that has another
    /// start now may have lost its log. In the store only.
    #[serde(default, with = "stored_only")]
    pub started_at_ms: BTreeMap<InstanceName, u64>,
}

impl PrimaryRecord {
    /// Returns the promotion calls that may still take effect, or have taken effect without being recorded.
    /// There are none unless the primary is being replaced.
    pub fn unrecorded_calls(&self) -> PromotionCalls {
        match self.phase {
            Phase::Moving { .. } => self.promotion_calls.clone(),
            Phase::Steady | Phase::Settling { .. } => PromotionCalls::NONE,
        }
    }
}

/// Record of a primary with the store revision at which it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRecord {
    /// Content of the record.
    pub record: PrimaryRecord,
    /// Store revision of the record.
    pub revision: Revision,
    /// Revision of the record that the store holds. Later than `revision` if the store was restored
    /// and holds an older record, or none.
    pub stored: Revision,
}

impl VersionedRecord {
    /// Builds the record that the store holds at `revision`.
    pub fn new(record: PrimaryRecord, revision: Revision) -> Self {
        Self {
            record,
            revision,
            stored: revision,
        }
    }

    /// Returns whether the record was written in the timeline in which it was read. Otherwise a
    /// restoration of the store has brought it back, and it may name a former primary.
    pub fn is_reliable(&self) -> bool {
        self.record.timeline == self.revision.timeline()
    }

    /// Returns whether the record must be written again because the store was restored.
    pub fn is_outdated(&self) -> bool {
        self.stored != self.revision || !self.is_reliable()
    }

    /// Takes over a record that was received; returns whether it replaces the known one. One that a
    /// restoration has brought back doesn't replace one that is reliable.
    pub fn update(&mut self, received: Self) -> bool {
        let stored = self.stored.max(received.stored);
        if received.revision == self.revision
            && self.record.promotion_calls == PromotionCalls::Unknown
        {
            // The same record, now as the store holds it.
            self.record = received.record.clone();
        }
        let is_newer = received.revision > self.revision;
        let is_replaced = is_newer && (received.is_reliable() || !self.is_reliable());
        if is_replaced {
            *self = received;
        }
        self.stored = stored;
        is_replaced
    }
}

/// Registration of a VM; the store deletes it when the VM's lease lapses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Store lease that the registration is attached to.
    pub lease: u64,
    /// Address on which the VM receives messages of other VMs.
    pub peer_address: std::net::SocketAddr,
    /// Availability zone that the VM runs in.
    pub availability_zone: ZoneName,
    /// CPU of the VM, in cores.
    pub cpu_share: f64,
}

/// VM with its registration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegisteredVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Its registration.
    pub registration: VmRecord,
}

/// Registrations that are revoked because their VMs haven't confirmed a replacement. The record is
/// written before the revocation, and gone when no validity lease of theirs is left.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevocationRecord {
    /// Timeline of the store in which the record was written.
    pub timeline: Timeline,
    /// VMs whose registrations are revoked.
    pub vms: Vec<RegisteredVm>,
    /// Whether the store has revoked all of them. The record is then bound to a store lease that was
    /// granted afterwards for the time-to-live of a registration.
    pub is_carried_out: bool,
}

/// Registered gateways.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayList {
    /// Store revision up to which the list contains every change.
    pub revision: Revision,
    /// Registrations by VM.
    pub gateways: BTreeMap<VmName, VmRecord>,
}

/// Timeline of the store that a gateway has known for the time-to-live of a registration, so that
/// no lease of an earlier timeline is left.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledTimelineRecord {
    /// Timeline without leases of an earlier one.
    pub timeline: Timeline,
}

/// Holder of the failover lease: the right to replace primaries, which one VM has at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverLeaseRecord {
    /// VM that holds the failover lease.
    pub holder: VmName,
    /// Store lease that the record is attached to. Distinguishes this tenure from a later one of
    /// the same VM.
    pub lease: u64,
}

#[cfg(test)]
mod tests;
