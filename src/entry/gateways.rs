//! Gateways: VMs that hold connections to instances and run the tasks of other VMs' sessions.
//!
//! With few VMs, each is a gateway and serves its own callers. With many VMs, an instance doesn't
//! have enough connections for all of them: some VMs are gateways and the others forward to them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::gateway::Gateway;
use super::health::Verdict;
use super::node::Node;
use super::record::VmRecord;
use super::settings::EntrySettings;
use super::state::State;
use super::statement::Access;
use super::task::{Action, Task};
use crate::name::{DatabaseName, VmName, WorkspaceName, ZoneName};

/// Number of gateways in the zone of a primary that are tried before those of the own zone.
const MAX_IN_PRIMARY_ZONE: usize = 2;

/// Gateways known to this VM, with its connections to them.
#[derive(Debug, Default)]
pub struct Gateways {
    known: RefCell<HashMap<VmName, Rc<Gateway>>>,
    primary_zones: RefCell<HashMap<DatabaseName, ZoneName>>,
}

/// Gateway as it ranks for a task.
#[derive(Debug)]
struct Ranked<T> {
    accepts_tasks: bool,
    availability_zone: ZoneName,
    score: f64,
    gateway: T,
}

impl Gateways {
    /// Returns the reachable gateways in order of preference for a task: those that haven't
    /// recently declined a task first, then by zone, then by a hash of gateway and workspace that
    /// is weighted by capacity. Unreachable gateways are left out and only pinged in the
    /// background, because an attempt to connect would use up most of a statement's time.
    pub fn ranked(&self, node: &Node, task: &Task) -> Vec<Rc<Gateway>> {
        let primary_zones = self.primary_zones.borrow();
        let primary_zone = primary_zones.get(&task.route.database);
        let own_zone = &node.settings.availability_zone;
        let primary_zone = primary_zone.filter(|_| needs_primary(task));
        rank(
            self.reachable(node, &task.workspace),
            own_zone,
            primary_zone,
        )
    }

    /// Records the zone of a database's primary, if a gateway has told it.
    pub fn record_primary_zone(&self, database: &DatabaseName, zone: Option<ZoneName>) {
        if let Some(zone) = zone {
            let mut primary_zones = self.primary_zones.borrow_mut();
            primary_zones.insert(database.clone(), zone);
        }
    }

    fn reachable(&self, node: &Node, workspace: &WorkspaceName) -> Vec<Ranked<Rc<Gateway>>> {
        let state = node.state.borrow();
        let known = other_gateways(&state, &node.settings.vm);
        let known = known.map(|(vm, record)| (vm, record, self.get(vm, record)));
        let known = known.filter(|(.., gateway)| gateway.verdict() != Verdict::Unreachable);
        let ranked = known.map(|(vm, record, gateway)| Ranked {
            accepts_tasks: gateway.accepts_tasks(),
            availability_zone: record.availability_zone.clone(),
            score: rendezvous_score(vm, record, workspace),
            gateway,
        });
        ranked.collect()
    }

    /// Returns whether at least one gateway isn't known to be unreachable.
    pub fn any_reachable(&self, state: &State, own: &VmName) -> bool {
        let known = self.known.borrow();
        other_gateways(state, own).any(|(vm, record)| {
            known.get(vm).is_none_or(|gateway| {
                !gateway.is_same_process(record) || gateway.verdict() != Verdict::Unreachable
            })
        })
    }

    fn get(&self, vm: &VmName, record: &VmRecord) -> Rc<Gateway> {
        let mut known = self.known.borrow_mut();
        let current = known
            .get(vm)
            .filter(|gateway| gateway.is_same_process(record));
        if let Some(gateway) = current {
            return Rc::clone(gateway);
        }
        // The VM is new or has restarted: start without evidence about its health.
        let gateway = Rc::new(Gateway::new(vm.clone(), record));
        known.insert(vm.clone(), Rc::clone(&gateway));
        gateway
    }

    /// Removes gateways that are no longer registered, and maintains the others as described at
    /// [`Gateway::maintain`].
    pub fn maintain(&self, state: &State) {
        if let Some(catalog) = &state.catalog {
            let mut primary_zones = self.primary_zones.borrow_mut();
            primary_zones.retain(|database, _| catalog.databases.contains_key(database));
        }
        let mut known = self.known.borrow_mut();
        known.retain(|vm, gateway| {
            let record = state.gateways.get(vm);
            record.is_some_and(|record| gateway.is_same_process(record))
        });
        for gateway in known.values() {
            gateway.maintain();
        }
    }
}

/// Orders gateways by preference for a task.
///
/// A task that needs the primary goes to the zone of the primary: it crosses zones once in either
/// case, and the instance's connections are shared by the gateways of one zone and not by all. No
/// more than [`MAX_IN_PRIMARY_ZONE`] of them are tried before those of the own zone, in case that
/// the zone of the primary is cut off.
fn rank<T>(
    mut gateways: Vec<Ranked<T>>,
    own_zone: &ZoneName,
    primary_zone: Option<&ZoneName>,
) -> Vec<T> {
    gateways.sort_by(|a, b| a.score.total_cmp(&b.score));
    let mut preferred = 0;
    let order = |ranked: &Ranked<T>| {
        let in_primary_zone = primary_zone == Some(&ranked.availability_zone);
        preferred += usize::from(in_primary_zone && ranked.accepts_tasks);
        let zone_rank = if in_primary_zone && preferred <= MAX_IN_PRIMARY_ZONE {
            0
        } else if ranked.availability_zone == *own_zone {
            1
        } else {
            2
        };
        (!ranked.accepts_tasks, zone_rank)
    };
    let orders: Vec<_> = gateways.iter().map(order).collect();
    let mut ordered: Vec<_> = orders.into_iter().zip(gateways).collect();
    ordered.sort_by_key(|(order, _)| *order);
    ordered
        .into_iter()
        .map(|(_, ranked)| ranked.gateway)
        .collect()
}

/// Returns whether a task can only run on the primary.
fn needs_primary(task: &Task) -> bool {
    let access = match &task.action {
        Action::Autocommit(runnable) => Some(runnable.access),
        Action::Begin { access, .. } => Some(*access),
        Action::Commit { begin, .. } => *begin,
        Action::Admit | Action::InTransaction(_) | Action::Rollback => None,
    };
    let reads_primary = task.route.consistency.staleness().is_none();
    access.is_some_and(|access| reads_primary || access == Access::Write)
}

/// Returns the zone of the primary that a task needs, if it is another one than this VM's.
pub fn other_primary_zone(node: &Node, task: &Task) -> Option<ZoneName> {
    if !needs_primary(task) {
        return None;
    }
    let state = node.state.borrow();
    let zone = &state.primary(&task.route.database)?.availability_zone;
    (*zone != node.settings.availability_zone).then(|| zone.clone())
}

/// Returns the registered gateways other than this VM.
pub fn other_gateways<'a>(
    state: &'a State,
    own: &'a VmName,
) -> impl Iterator<Item = (&'a VmName, &'a VmRecord)> {
    state.gateways.iter().filter(move |(vm, _)| *vm != own)
}

/// Returns the addresses of the other gateways in this VM's zone, or of all other gateways if the
/// zone has none. What is fetched from them may be large, and traffic between zones is expensive.
pub fn nearest_addresses(state: &State, own: &EntrySettings) -> Vec<SocketAddr> {
    let same_zone = |record: &VmRecord| record.availability_zone == own.availability_zone;
    let in_zone = other_gateways(state, &own.vm).filter(|(_, record)| same_zone(record));
    let in_zone: Vec<_> = in_zone.map(|(_, record)| record.peer_address).collect();
    if in_zone.is_empty() {
        let all = other_gateways(state, &own.vm);
        return all.map(|(_, record)| record.peer_address).collect();
    }
    in_zone
}

/// Weighted rendezvous hash: the gateway with the smallest value serves the workspace, so that each
/// gateway serves workspaces in proportion to its capacity. It also owns the limits of the workspace.
pub(crate) fn rendezvous_score(vm: &VmName, record: &VmRecord, workspace: &WorkspaceName) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64(format!("{vm}/{workspace}").as_bytes());
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / record.cpu_share.max(f64::EPSILON)
}

#[cfg(test)]
mod tests;
