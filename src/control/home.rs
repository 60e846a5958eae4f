//! Controller of homes: which VM holds the connections to each database.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::blackboard::Blackboard;
use super::command::Command;
use super::event::Event;
use super::membership::VmState;
use super::snapshot::{HomeLease, HomeView};
use crate::name::{DatabaseName, VmName};
use crate::time::Timestamp;

/// What the home controller knows.
#[derive(Debug, Default)]
pub struct HomeState {
    /// Home of each database of the cell.
    pub homes: Arc<BTreeMap<DatabaseName, HomeView>>,
    /// Leases under which this VM is a home.
    pub leases: BTreeMap<DatabaseName, HomeLease>,
}

impl HomeState {
    /// Returns the homes as the traffic threads need them.
    pub fn views(&self) -> Arc<BTreeMap<DatabaseName, HomeView>> {
        Arc::clone(&self.homes)
    }
}

/// Messages about homes between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HomeMessage {
    /// The sender has given up the home of a database.
    Released {
        /// The database.
        database: DatabaseName,
        /// Epoch that the sender held.
        epoch: u64,
    },
}

/// Handles one event.
pub fn handle(board: &mut Blackboard, event: &Event, now: Timestamp) -> Vec<Command> {
    if !matches!(event, Event::Tick) {
        return Vec::new();
    }
    let mut homes = BTreeMap::new();
    let mut leases = BTreeMap::new();
    let vms: Vec<_> = board
        .membership
        .vms
        .values()
        .filter(|vm| vm.state == VmState::Live)
        .collect();
    for name in board.configuration.current.databases.keys() {
        let Some(vm) = vms.iter().max_by_key(|vm| weight(name, &vm.name)) else {
            continue;
        };
        homes.insert(
            name.clone(),
            HomeView {
                vm: vm.name.clone(),
                epoch: 1,
            },
        );
        if vm.name == board.local.name {
            let valid_until = now + std::time::Duration::from_millis(board.settings.lease_ms);
            leases.insert(
                name.clone(),
                HomeLease {
                    epoch: 1,
                    valid_until,
                },
            );
        }
    }
    board.homes.leases = leases;
    if *board.homes.homes != homes {
        board.homes.homes = Arc::new(homes);
    }
    vec![Command::Publish]
}

/// Returns the rendezvous weight of a VM for a database; the greatest is preferred.
pub fn weight(database: &DatabaseName, vm: &VmName) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), xxh3_64_with_seed(database.as_bytes(), 0))
}
