//! Availability zones that the operators have requested to evacuate.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::configuration::Revision;
use crate::name::ZoneName;
use crate::time::Timestamp;

/// Time after a VM learned of a request until which statements that need an instance of the zone
/// still run there. Nothing may arrive there 5 s after the request was written; the difference is
/// for the delay of the watch and for statements under way.
const STATEMENT_LIMIT: Duration = Duration::from_secs(3);

/// Evacuated zones, as the store holds them.
#[derive(Debug, Default)]
pub struct EvacuatedZones {
    /// Time until which statements that need an instance of the zone still run there.
    limits: BTreeMap<ZoneName, Timestamp>,
    /// Revision up to which every change is contained.
    revision: Revision,
    /// Zones whose request was withdrawn, with the time at which this VM learned of it.
    returned: BTreeMap<ZoneName, Timestamp>,
}

impl EvacuatedZones {
    /// Returns the revision up to which every change is contained.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.limits.contains_key(zone)
    }

    /// Returns whether nothing may be sent to instances of a zone any longer, not even what only
    /// they can run.
    pub fn is_closed(&self, zone: &ZoneName, now: Timestamp) -> bool {
        self.limits.get(zone).is_some_and(|limit| now >= *limit)
    }

    /// Returns when this VM learned that the request for a zone was withdrawn; `None` for a zone
    /// that is evacuated or never was.
    pub fn returned_at(&self, zone: &ZoneName) -> Option<Timestamp> {
        self.returned.get(zone).copied()
    }

    /// Returns the evacuated zones, with the time left until they are closed.
    pub fn time_left(&self, now: Timestamp) -> Vec<(ZoneName, Duration)> {
        let limits = self.limits.iter();
        limits
            .map(|(zone, limit)| (zone.clone(), limit.since(now)))
            .collect()
    }

    /// Applies a change that the watch has delivered, unless it is older than what is known.
    pub fn apply(&mut self, zone: ZoneName, is_requested: bool, at: Revision, now: Timestamp) {
        if at <= self.revision {
            return;
        }
        self.revision = at;
        if is_requested {
            self.insert(zone, now + STATEMENT_LIMIT);
        } else if self.limits.remove(&zone).is_some() {
            self.withdraw(zone, now);
        }
    }

    /// Replaces the zones by those that were read from the store, unless a later change is known.
    ///
    /// The age of a request that this VM didn't know is unknown: it has just started, or its watch
    /// delivered nothing for a while. Such a zone is closed at once.
    pub fn replace(&mut self, zones: Vec<ZoneName>, at: Revision, now: Timestamp) {
        let zones = zones.into_iter().map(|zone| (zone, Duration::ZERO));
        self.receive(zones.collect(), at, now);
    }

    /// As [`EvacuatedZones::replace`], with the zones that another VM knows and the time left until
    /// it closes them.
    pub fn receive(&mut self, zones: Vec<(ZoneName, Duration)>, at: Revision, now: Timestamp) {
        if at <= self.revision {
            return;
        }
        self.revision = at;
        let is_kept = |zone: &ZoneName| zones.iter().any(|(kept, _)| kept == zone);
        let known = self.limits.keys();
        let withdrawn: Vec<_> = known.filter(|zone| !is_kept(zone)).cloned().collect();
        for zone in withdrawn {
            self.limits.remove(&zone);
            self.withdraw(zone, now);
        }
        for (zone, left) in zones {
            self.insert(zone, now + left.min(STATEMENT_LIMIT));
        }
    }

    /// Adds a zone; a known one keeps its limit.
    fn insert(&mut self, zone: ZoneName, limit: Timestamp) {
        self.returned.remove(&zone);
        if !self.limits.contains_key(&zone) {
            log::warn!(
                "event=zone_evacuated zone={zone} revision={}",
                self.revision.0
            );
            self.limits.insert(zone, limit);
        }
    }

    fn withdraw(&mut self, zone: ZoneName, now: Timestamp) {
        log::warn!(
            "event=zone_returned zone={zone} revision={}",
            self.revision.0
        );
        self.returned.insert(zone, now);
    }
}

#[cfg(test)]
mod tests;
