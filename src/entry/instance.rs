//! Announcements of instances, and the directory of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use strum::Display;

use crate::name::{DatabaseName, InstanceName, ZoneName};
use crate::time::Timestamp;

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// The instance takes new work.
    Serving,
    /// The instance is about to leave and takes no new work.
    Draining,
}

/// Announcement of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance, unique across all databases.
    pub name: InstanceName,
    /// Database that the instance belongs to.
    pub database: DatabaseName,
    /// Address that the instance listens on.
    pub address: SocketAddr,
    /// Availability zone that the instance runs in.
    pub availability_zone: ZoneName,
    /// Number of statements that the instance runs concurrently.
    pub slots: u32,
    /// Whether the instance takes new work.
    pub state: InstanceState,
    /// Whether the instance considers itself the primary.
    pub is_primary: bool,
    /// Start of the instance's process in Unix time, in milliseconds. Changes with a restart.
    pub started_at_ms: u64,
    /// Number of the announcement since that start; grows with each one that is written.
    pub sequence: u64,
    /// Time for which the instance is still slow because it has just started, counted from when it
    /// wrote the announcement.
    pub cold_left: Duration,
}

impl Instance {
    /// Returns whether the instance's process wrote this announcement before `other`.
    fn precedes(&self, other: &Self) -> bool {
        self.started_at_ms == other.started_at_ms && self.sequence < other.sequence
    }
}

/// Time for which an instance is remembered, at least, after its announcement has gone.
const DEPARTED_RETENTION: Duration = Duration::from_mins(10);

/// Known instances by name.
#[derive(Debug, Default)]
pub struct Directory {
    by_name: HashMap<InstanceName, Rc<Instance>>,
    /// End of the cold time of instances that didn't start warm.
    cold: HashMap<InstanceName, ColdTime>,
    /// Time at which every change until then is certain to have been received.
    current_at: Option<Timestamp>,
    /// Latest time at which an instance that leaves is certain not to have begun to; `None` if there is
    /// none.
    draining_after: HashMap<InstanceName, Option<Timestamp>>,
    /// Sequence of the last announcement that was older than the known one, for each instance that
    /// has received one since.
    outdated: HashMap<InstanceName, u64>,
    /// Start of the process under which each instance was first known.
    first_started_at_ms: HashMap<InstanceName, u64>,
    /// Instances whose announcements have gone.
    departed: HashMap<InstanceName, Departed>,
}

/// Instance whose announcement has gone.
#[derive(Debug)]
struct Departed {
    instance: Rc<Instance>,
    /// Start of the process under which it was first known.
    first_started_at_ms: u64,
    since: Timestamp,
}

/// End of the time for which an instance is slow because it has just started.
#[derive(Debug, Clone, Copy)]
struct ColdTime {
    /// Start of the process, as announced.
    started_at_ms: u64,
    until: Timestamp,
}

impl Directory {
    /// Returns the last announcement of an instance; `None` when the instance isn't known.
    pub fn get(&self, name: &InstanceName) -> Option<&Rc<Instance>> {
        self.by_name.get(name)
    }

    /// Returns the instances of a database, in no particular order.
    pub fn in_database<'a>(
        &'a self,
        database: &'a DatabaseName,
    ) -> impl Iterator<Item = &'a Rc<Instance>> {
        self.by_name
            .values()
            .filter(move |instance| instance.database == *database)
    }

    /// Returns the instances of all databases, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Instance>> {
        self.by_name.values()
    }

    /// Returns when the cold time of an instance ends or has ended; `None` if it started warm.
    pub fn cold_until(&self, name: &InstanceName) -> Option<Timestamp> {
        self.cold.get(name).map(|cold| cold.until)
    }

    /// Returns whether an instance has just started and is still slow.
    pub fn is_cold(&self, name: &InstanceName, now: Timestamp) -> bool {
        self.cold_until(name).is_some_and(|until| now < until)
    }

    /// Returns the instances of a database whose announcements have gone, as they were announced last.
    pub fn departed_from<'a>(
        &'a self,
        database: &'a DatabaseName,
    ) -> impl Iterator<Item = &'a Rc<Instance>> {
        let departed = self.departed.values().map(|departed| &departed.instance);
        departed.filter(move |instance| instance.database == *database)
    }

    /// Returns the start of the process under which an announced instance was first known, in Unix
    /// milliseconds.
    pub fn first_started_at_ms(&self, name: &InstanceName) -> Option<u64> {
        self.first_started_at_ms.get(name).copied()
    }

    /// Returns whether an instance is known to have started again under its name.
    pub fn has_restarted(&self, name: &InstanceName) -> bool {
        let first = self.first_started_at_ms.get(name);
        let known = self.by_name.get(name).zip(first);
        known.is_some_and(|(instance, first)| instance.started_at_ms != *first)
    }

    /// Returns for how long an instance may have been leaving at most: zero if it isn't, and
    /// [`Duration::MAX`] if it was when it was first known here.
    pub fn draining_for(&self, name: &InstanceName, now: Timestamp) -> Duration {
        match self.draining_after.get(name) {
            None => Duration::ZERO,
            Some(None) => Duration::MAX,
            Some(Some(after)) => now.since(*after),
        }
    }

    /// Returns the time at which every change until then is certain to have been received.
    pub const fn current_at(&self) -> Option<Timestamp> {
        self.current_at
    }

    /// Records that every change until `at` has been received.
    pub fn record_current(&mut self, at: Timestamp) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Records that changes after `at` may not have been received.
    pub fn limit_current(&mut self, at: Timestamp) {
        self.current_at = self.current_at.map(|current_at| current_at.min(at));
    }

    /// Records whether an instance leaves, as an announcement received at `now` tells. It may have begun
    /// to since the last time at which its former announcement was certainly current.
    fn record_draining(&mut self, instance: &Instance, now: Timestamp) {
        let name = &instance.name;
        if instance.state == InstanceState::Serving {
            self.draining_after.remove(name);
            return;
        }
        let known = self.by_name.get(name).and(self.current_at);
        let after = known.map(|current_at| current_at.min(now));
        let draining_after = self.draining_after.entry(name.clone());
        draining_after.or_insert(after);
    }

    /// Records the cold time that an announcement received at `now` tells of. One process's time is
    /// never prolonged: an announcement may be read long after it was written.
    fn record_cold_time(&mut self, instance: &Instance, now: Timestamp) {
        let by_name = &self.by_name;
        self.cold
            .retain(|name, cold| by_name.contains_key(name) || cold.until > now);
        let started_at_ms = instance.started_at_ms;
        let known = self.cold.get(&instance.name);
        let known = known.filter(|known| known.started_at_ms == started_at_ms);
        let until = now + instance.cold_left;
        let until = match known {
            Some(known) => known.until.min(until),
            None if instance.cold_left.is_zero() => {
                self.cold.remove(&instance.name);
                return;
            }
            None => until,
        };
        let cold = ColdTime {
            started_at_ms,
            until,
        };
        self.cold.insert(instance.name.clone(), cold);
    }

    /// Returns whether an announcement is older than the known one: a restoration of the store brings
    /// older ones back, and a write may arrive late. Announcements that go on with rising sequences
    /// below the known one are from the instance, and the known one isn't.
    fn is_outdated(&mut self, received: &Instance, known: &Instance) -> bool {
        if !received.precedes(known) {
            return false;
        }
        let sequence = received.sequence;
        let last = self.outdated.insert(received.name.clone(), sequence);
        last.is_none_or(|last| sequence <= last)
    }

    /// Stores an announcement that was received at `now`. Returns the change, or `None` when the
    /// announcement is the same as the previous one, or older.
    pub fn update(&mut self, instance: Instance, now: Timestamp) -> Option<Change> {
        let previous = self.by_name.get(&instance.name).cloned();
        if let Some(previous) = &previous
            && (**previous == instance || self.is_outdated(&instance, previous))
        {
            return None;
        }
        self.outdated.remove(&instance.name);
        self.record_start(&instance);
        self.record_cold_time(&instance, now);
        self.record_draining(&instance, now);
        let current = Rc::new(instance);
        self.by_name
            .insert(current.name.clone(), Rc::clone(&current));
        Some(Change {
            previous,
            current: Some(current),
        })
    }

    fn record_start(&mut self, instance: &Instance) {
        let departed = self.departed.remove(&instance.name);
        let first = departed.map_or(instance.started_at_ms, |known| known.first_started_at_ms);
        let known = self.first_started_at_ms.entry(instance.name.clone());
        known.or_insert(first);
    }

    /// Removes an instance at `now`. Returns the change, or `None` when the instance isn't known.
    pub fn remove(&mut self, name: &str, now: Timestamp) -> Option<Change> {
        self.outdated.remove(name);
        self.draining_after.remove(name);
        self.departed
            .retain(|_, departed| now.since(departed.since) < DEPARTED_RETENTION);
        let previous = self.by_name.remove(name)?;
        let first = self.first_started_at_ms.remove(name);
        let departed = Departed {
            instance: Rc::clone(&previous),
            first_started_at_ms: first.unwrap_or(previous.started_at_ms),
            since: now,
        };
        self.departed.insert(previous.name.clone(), departed);
        Some(Change {
            previous: Some(previous),
            current: None,
        })
    }
}

/// Change of an instance's announcement.
#[derive(Debug)]
pub struct Change {
    /// Announcement before the change; `None` when the instance is new.
    pub previous: Option<Rc<Instance>>,
    /// Announcement after the change; `None` when the instance was removed.
    pub current: Option<Rc<Instance>>,
}

#[cfg(test)]
mod tests;
