//! Instances that announce themselves, and which of them may take work.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use strum::Display;

use crate::name::{DatabaseName, InstanceName, ZoneName};

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// Takes work.
    Serving,
    /// Is about to leave; takes no new work.
    Draining,
}

/// Announcement of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique over all databases.
    pub name: InstanceName,
    /// Database that it belongs to.
    pub database: DatabaseName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub availability_zone: ZoneName,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// Whether it considers itself the primary.
    pub is_primary: bool,
    /// Start of its process, in milliseconds of Unix time; tells restarts apart.
    pub started_at_ms: u64,
}

/// Instances known, by name.
#[derive(Debug, Default)]
pub struct Directory {
    by_name: HashMap<InstanceName, Rc<Instance>>,
}

impl Directory {
    /// Returns an instance.
    pub fn get(&self, name: &InstanceName) -> Option<&Rc<Instance>> {
        self.by_name.get(name)
    }

    /// Returns the instances of a database, in no particular order.
    pub fn of<'a>(&'a self, database: &'a DatabaseName) -> impl Iterator<Item = &'a Rc<Instance>> {
        self.by_name
            .values()
            .filter(move |instance| instance.database == *database)
    }

    /// Returns every instance.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Instance>> {
        self.by_name.values()
    }

    /// Takes over an announcement; returns the previous one if it differs.
    pub fn update(&mut self, instance: Instance) -> Option<Change> {
        let previous = self.by_name.get(&instance.name);
        if previous.is_some_and(|previous| **previous == instance) {
            return None;
        }
        let previous = previous.cloned();
        let current = Rc::new(instance);
        self.by_name
            .insert(current.name.clone(), Rc::clone(&current));
        Some(Change {
            previous,
            current: Some(current),
        })
    }

    /// Forgets an instance.
    pub fn remove(&mut self, name: &str) -> Option<Change> {
        let previous = self.by_name.remove(name)?;
        Some(Change {
            previous: Some(previous),
            current: None,
        })
    }
}

/// Change of one announcement.
#[derive(Debug)]
pub struct Change {
    /// Announcement before.
    pub previous: Option<Rc<Instance>>,
    /// Announcement now; `None` when the instance is gone.
    pub current: Option<Rc<Instance>>,
}
