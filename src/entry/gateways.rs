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
use crate::name::{VmName, WorkspaceName};

/// Gateways known to this VM, with its connections to them.
#[derive(Debug, Default)]
pub struct Gateways {
    known: RefCell<HashMap<VmName, Rc<Gateway>>>,
}

impl Gateways {
    /// Returns the reachable gateways in order of preference for a workspace: those that haven't
    /// recently declined a task first, then those of this VM's zone, then by a hash of gateway and
    /// workspace that is weighted by capacity. Unreachable gateways are left out and only pinged
    /// in the background, because an attempt to connect would use up most of a statement's time.
    pub fn ranked(&self, node: &Node, workspace: &WorkspaceName) -> Vec<Rc<Gateway>> {
        let state = node.state.borrow();
        let known = other_gateways(&state, &node.settings.vm);
        let known = known.map(|(vm, record)| (vm, record, self.get(vm, record)));
        let mut ranked: Vec<_> = known
            .filter(|(.., gateway)| gateway.verdict() != Verdict::Unreachable)
            .map(|(vm, record, gateway)| {
                let same_zone = record.availability_zone == node.settings.availability_zone;
                let order = (!gateway.accepts_tasks(), !same_zone);
                (order, rendezvous_score(vm, record, workspace), gateway)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|(.., gateway)| gateway).collect()
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
