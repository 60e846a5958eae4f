//! VMs that hold connections to instances and run the tasks of other VMs' sessions.
//!
//! Where VMs are few, each is a gateway and serves its own callers. Where they are many, an
//! instance's connections don't suffice for all: some VMs are gateways, the others forward.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use super::gateway::Gateway;
use super::health::Verdict;
use super::node::Node;
use super::record::VmRecord;
use super::settings::EntrySettings;
use super::state::State;
use crate::name::{VmName, WorkspaceName};

/// Fewest gateways: the loss of one leaves most of the others.
const MIN_GATEWAYS: usize = 8;

/// Connections of an instance that a gateway should have: some workspaces' own ones beside those
/// in use.
const CONNECTIONS_PER_GATEWAY: usize = 10;

/// Part of the largest capacity in a zone that a gateway needs at least.
const CAPACITY_PART: f64 = 0.5;

/// Returns whether this VM should be a gateway, by the registrations known: the VMs of a zone with
/// the most capacity are, where not all can be. VMs that start together wait for each other's
/// registrations before the first becomes one.
pub fn is_chosen(own: &EntrySettings, state: &State) -> bool {
    let registered = || state.gateways.iter().chain(&state.entries);
    let others = || registered().filter(|(vm, _)| **vm != own.vm);
    let is_known = registered().any(|(vm, _)| *vm == own.vm);
    if !is_known && state.gateways.is_empty() {
        return false;
    }
    if others().count() < own.direct_vms {
        return true;
    }
    let zones = others().map(|(_, vm)| &vm.availability_zone);
    let zones: BTreeSet<_> = zones.chain([&own.availability_zone]).collect();
    let wanted = (state.least_connections() / CONNECTIONS_PER_GATEWAY).max(MIN_GATEWAYS);
    let wanted_here = wanted.div_ceil(zones.len());
    let near = || others().filter(|(_, vm)| vm.availability_zone == own.availability_zone);
    let largest = near().map(|(_, vm)| vm.cpu_share).fold(0.0, f64::max);
    let before = |(name, vm): &(&VmName, &VmRecord)| {
        vm.cpu_share > own.cpu_share || (vm.cpu_share >= own.cpu_share && **name < own.vm)
    };
    own.cpu_share >= largest * CAPACITY_PART && near().filter(before).count() < wanted_here
}

/// Gateways that this VM has used.
#[derive(Debug, Default)]
pub struct Gateways {
    known: RefCell<HashMap<VmName, Rc<Gateway>>>,
}

impl Gateways {
    /// Returns the gateways that can be reached in the order in which they serve a workspace:
    /// willing ones first, then those of this VM's zone, then by a hash of both weighted by
    /// capacity. One that can't be reached is only asked whether it lives: an attempt to connect
    /// would cost a statement most of its time.
    pub fn ranked(&self, node: &Node, workspace: &WorkspaceName) -> Vec<Rc<Gateway>> {
        let state = node.state.borrow();
        let known = others(&state, &node.settings.vm);
        let known = known.map(|(vm, record)| (vm, record, self.get(vm, record)));
        let mut ranked: Vec<_> = known
            .filter(|(.., gateway)| gateway.verdict() != Verdict::Unreachable)
            .map(|(vm, record, gateway)| {
                let near = record.availability_zone == node.settings.availability_zone;
                let order = (!gateway.is_willing(), !near);
                (order, distance(vm, record, workspace), gateway)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|(.., gateway)| gateway).collect()
    }

    /// Returns whether a gateway can be reached, as far as is known.
    pub fn any_reachable(&self, state: &State, own: &VmName) -> bool {
        let known = self.known.borrow();
        others(state, own).any(|(vm, record)| {
            known.get(vm).is_none_or(|gateway| {
                !gateway.is_of(record) || gateway.verdict() != Verdict::Unreachable
            })
        })
    }

    fn get(&self, vm: &VmName, record: &VmRecord) -> Rc<Gateway> {
        let mut known = self.known.borrow_mut();
        let current = known.get(vm).filter(|gateway| gateway.is_of(record));
        if let Some(gateway) = current {
            return Rc::clone(gateway);
        }
        // Another process, which nothing is known of.
        let gateway = Rc::new(Gateway::new(vm.clone(), record));
        known.insert(vm.clone(), Rc::clone(&gateway));
        gateway
    }

    /// Forgets gateways that are registered no longer; asks doubtful ones whether they live.
    pub fn tidy(&self, state: &State) {
        let mut known = self.known.borrow_mut();
        known.retain(|vm, gateway| {
            let record = state.gateways.get(vm);
            record.is_some_and(|record| gateway.is_of(record))
        });
        for gateway in known.values() {
            gateway.tidy();
        }
    }
}

/// Returns the gateways other than this VM.
pub fn others<'a>(
    state: &'a State,
    own: &'a VmName,
) -> impl Iterator<Item = (&'a VmName, &'a VmRecord)> {
    state.gateways.iter().filter(move |(vm, _)| *vm != own)
}

/// Returns the addresses of the other gateways in this VM's zone, or of all where there is none:
/// what is fetched from them may be large, and bytes between zones are dear.
pub fn near(state: &State, own: &EntrySettings) -> Vec<SocketAddr> {
    let near = |record: &VmRecord| record.availability_zone == own.availability_zone;
    let here = others(state, &own.vm).filter(|(_, record)| near(record));
    let here: Vec<_> = here.map(|(_, record)| record.peer_address).collect();
    if here.is_empty() {
        let all = others(state, &own.vm);
        return all.map(|(_, record)| record.peer_address).collect();
    }
    here
}

/// Weighted rendezvous hash: the gateway with the smallest value serves the workspace, and each
/// serves workspaces in proportion to its capacity.
fn distance(vm: &VmName, record: &VmRecord, workspace: &WorkspaceName) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64(format!("{vm}/{workspace}").as_bytes());
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / record.cpu_share.max(f64::EPSILON)
}

#[cfg(test)]
mod tests;
