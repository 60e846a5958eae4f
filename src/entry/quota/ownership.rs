//! Which gateway owns the limit of a workspace.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::entry::gateways::rendezvous_score;
use crate::entry::record::VmRecord;
use crate::name::{VmName, WorkspaceName};
use crate::time::Timestamp;

/// Number of gateways that a holder asks for tokens in turn: the owner, and those that own the
/// workspace while the owner isn't known to all.
const MAX_RANKS: usize = 3;

/// Number of digests above which those of VMs that are no gateways are forgotten.
const MAX_DIGESTS: usize = 64;

/// Gateway as a candidate for ownership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the VM.
    pub vm: VmName,
    /// Address on which it receives datagrams.
    pub address: SocketAddr,
    /// Store lease of its registration.
    pub lease: u64,
}

/// Difference between two lists of gateways.
#[derive(Debug, Default)]
pub struct ListChange {
    /// Gateways that registered.
    pub joined: Vec<VmName>,
    /// Gateways that are no longer registered, and whether they said goodbye.
    pub left: Vec<(VmName, bool)>,
}

/// Order in which the registered gateways own each workspace.
///
/// The first-ranked gateway is the owner. The order of two gateways never depends on the others, so
/// a gateway that is first in its list knows that all before it are gone. Only one that has just
/// registered may be first while another, which hasn't seen its registration yet, still grants.
#[derive(Debug)]
pub struct Ownership {
    own: VmName,
    own_lease: Option<u64>,
    registrations: u32,
    gateways: BTreeMap<VmName, VmRecord>,
    goodbyes: HashMap<VmName, u64>,
    /// Gateways whose registration has ended before their validity lease, with the end of the
    /// lease. Until then they rank as before.
    departed: HashMap<VmName, (VmRecord, Timestamp)>,
    digest: u32,
    /// Number of changes of the list.
    changes: u32,
    /// Change with which this VM's present registration appeared in the list.
    registered_by: u32,
    /// Change with which each gateway appeared first, under any registration.
    known_since: HashMap<VmName, u32>,
    /// Latest change that each gateway is known to have seen.
    seen_by: HashMap<VmName, u32>,
    /// Digest that each gateway announced last. It may be that of a list which this VM takes over
    /// later.
    digests: HashMap<VmName, u32>,
    is_established: bool,
    changed_at: Timestamp,
    ranks: HashMap<WorkspaceName, Rc<[Candidate]>>,
}

impl Ownership {
    /// Creates the view of a VM that knows no gateways yet.
    pub fn new(own: VmName) -> Self {
        Self {
            own,
            own_lease: None,
            registrations: 0,
            gateways: BTreeMap::new(),
            goodbyes: HashMap::new(),
            departed: HashMap::new(),
            digest: digest(&BTreeMap::new()),
            changes: 0,
            registered_by: 0,
            known_since: HashMap::new(),
            seen_by: HashMap::new(),
            digests: HashMap::new(),
            is_established: false,
            changed_at: Timestamp::ZERO,
            ranks: HashMap::new(),
        }
    }

    /// Takes over the list of gateways and this VM's registration. `valid_until` returns until when
    /// a gateway that has left may rely on its registration. Returns `None` if nothing has changed.
    pub fn update(
        &mut self,
        gateways: &BTreeMap<VmName, VmRecord>,
        own_lease: Option<u64>,
        valid_until: impl Fn(&VmName) -> Timestamp,
        now: Timestamp,
    ) -> Option<ListChange> {
        let departed = self.departed.len();
        self.departed
            .retain(|vm, (_, until)| now < *until && !gateways.contains_key(vm));
        let is_unchanged = departed == self.departed.len();
        if is_unchanged && self.own_lease == own_lease && self.gateways == *gateways {
            return None;
        }
        let mut change = ListChange::default();
        for (vm, record) in &self.gateways {
            if !gateways.contains_key(vm) {
                let said_goodbye = self.goodbyes.get(vm) == Some(&record.lease);
                let until = valid_until(vm);
                if !said_goodbye && now < until {
                    self.departed.insert(vm.clone(), (record.clone(), until));
                }
                change.left.push((vm.clone(), said_goodbye));
            }
        }
        let is_new = |vm: &VmName, record: &VmRecord| {
            let known = self.gateways.get(vm);
            known.is_none_or(|known| known.lease != record.lease)
        };
        let joined = gateways.iter().filter(|(vm, record)| is_new(vm, record));
        change.joined = joined.map(|(vm, _)| vm.clone()).collect();
        self.changes += 1;
        if change.joined.contains(&self.own) {
            self.registered_by = self.changes;
        }
        for (vm, _) in change.left.iter().filter(|(_, said_goodbye)| *said_goodbye) {
            self.known_since.remove(vm);
        }
        for vm in &change.joined {
            let since = self.known_since.entry(vm.clone());
            since.or_insert(self.changes);
        }
        if self.own_lease != own_lease {
            self.own_lease = own_lease;
            self.registrations += u32::from(own_lease.is_some());
            self.is_established = false;
        }
        self.gateways.clone_from(gateways);
        self.goodbyes.retain(|vm, lease| {
            let record = gateways.get(vm);
            record.is_some_and(|record| record.lease == *lease)
        });
        self.digest = digest(gateways);
        self.record_change(now);
        Some(change)
    }

    /// Records a gateway's goodbye; returns whether it is new.
    pub fn record_goodbye(&mut self, vm: &VmName, lease: u64, now: Timestamp) -> bool {
        let is_new =
            self.is_registered(vm, lease) && self.goodbyes.insert(vm.clone(), lease) != Some(lease);
        if is_new {
            self.record_change(now);
        }
        is_new
    }

    /// Records that a gateway has taken over a list with this digest; returns whether this VM is
    /// thereby established.
    pub fn record_digest(&mut self, vm: &VmName, digest: u32) -> bool {
        self.digests.insert(vm.clone(), digest);
        self.compare_digests();
        !self.is_established && self.check_established()
    }

    /// Returns the first-ranked gateways of a workspace, in order.
    pub fn ranks(&mut self, workspace: &WorkspaceName) -> Rc<[Candidate]> {
        if let Some(ranks) = self.ranks.get(workspace) {
            return Rc::clone(ranks);
        }
        let ranks = self.rank(workspace);
        self.ranks.insert(workspace.clone(), Rc::clone(&ranks));
        ranks
    }

    /// Returns whether this VM is registered and ranks first for a workspace.
    pub fn is_first(&mut self, workspace: &WorkspaceName) -> bool {
        let is_registered = self.is_own_registered();
        let ranks = self.ranks(workspace);
        is_registered && ranks.first().is_some_and(|first| first.vm == self.own)
    }

    /// Returns whether all gateways know of this VM's registration, so that none grants tokens of
    /// the workspaces for which this VM ranks first.
    pub const fn is_established(&self) -> bool {
        self.is_established
    }

    /// Returns whether this VM has registered since its process started.
    pub const fn has_registered(&self) -> bool {
        self.registrations > 0
    }

    /// Returns whether this VM has registered for the first time since its process started.
    pub const fn has_just_started(&self) -> bool {
        self.registrations <= 1
    }

    /// Returns whether a registration is in the list.
    pub fn is_registered(&self, vm: &VmName, lease: u64) -> bool {
        let record = self.gateways.get(vm);
        record.is_some_and(|record| record.lease == lease)
    }

    /// Returns the lease of this VM's registration.
    pub const fn own_lease(&self) -> Option<u64> {
        self.own_lease
    }

    /// Returns the digest of the list of gateways.
    pub const fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the time of the last change.
    pub const fn changed_at(&self) -> Timestamp {
        self.changed_at
    }

    /// Returns the number of gateways in the list, at least one.
    pub fn gateway_count(&self) -> usize {
        self.gateways.len().max(1)
    }

    /// Returns the gateways beside this VM that haven't said goodbye.
    pub fn others(&self) -> impl Iterator<Item = &VmName> {
        self.remaining()
            .map(|(vm, _)| vm)
            .filter(|vm| **vm != self.own)
    }

    /// Returns the gateways beside this VM that haven't said goodbye, with their addresses.
    pub fn others_with_address(&self) -> impl Iterator<Item = (&VmName, SocketAddr)> {
        let others = self.remaining().filter(|(vm, _)| **vm != self.own);
        others.map(|(vm, record)| (vm, record.peer_address))
    }

    /// Returns the registrations, with their addresses, that must be known to have ended, or to have
    /// seen that of this VM, before this VM is established.
    pub fn unconfirmed(&self) -> Vec<(SocketAddr, u64)> {
        if self.is_established || !self.is_own_registered() {
            return Vec::new();
        }
        let others = self.remaining().filter(|(vm, _)| **vm != self.own);
        others
            .filter(|(vm, _)| !self.has_seen_own(vm))
            .map(|(_, record)| (record.peer_address, record.lease))
            .collect()
    }

    /// Returns how many of `known`, the gateways beside this VM, and this VM are certainly in the list of a
    /// gateway. One that hasn't seen this VM register has seen none that did so later.
    pub fn count_seen_by(&self, vm: &VmName, known: &HashSet<&VmName>, is_silent: bool) -> usize {
        let since = |gateway: &VmName| self.known_since.get(gateway).copied();
        let seen = self.seen_by.get(vm).copied();
        let has_seen = |gateway: &VmName| match seen {
            Some(seen) => since(gateway).is_some_and(|since| since <= seen),
            None if is_silent => since(gateway).is_some_and(|since| since <= self.registered_by),
            // It announces another list, which has none of the gateways that know this VM.
            None => !self.has_seen_own(gateway),
        };
        let others = known.iter().filter(|gateway| has_seen(gateway));
        others.count() + usize::from(self.has_seen_own(vm))
    }

    /// Forgets a gateway that left without a goodbye, and no longer shares limits.
    pub fn forget(&mut self, vm: &VmName) {
        if !self.gateways.contains_key(vm) {
            self.known_since.remove(vm);
        }
    }

    fn has_seen_own(&self, vm: &VmName) -> bool {
        let seen = self.seen_by.get(vm);
        seen.is_some_and(|seen| *seen >= self.registered_by)
    }

    /// Returns the registered gateways that haven't said goodbye.
    fn remaining(&self) -> impl Iterator<Item = (&VmName, &VmRecord)> {
        let goodbyes = &self.goodbyes;
        self.gateways
            .iter()
            .filter(move |(vm, record)| goodbyes.get(*vm) != Some(&record.lease))
    }

    fn is_own_registered(&self) -> bool {
        self.own_lease
            .is_some_and(|lease| self.is_registered(&self.own, lease))
    }

    fn compare_digests(&mut self) {
        let seen = self
            .digests
            .iter()
            .filter(|(vm, digest)| **digest == self.digest && self.gateways.contains_key(*vm));
        let changes = self.changes;
        self.seen_by
            .extend(seen.map(|(vm, _)| (vm.clone(), changes)));
    }

    fn record_change(&mut self, now: Timestamp) {
        if self.digests.len() > MAX_DIGESTS.max(2 * self.gateways.len()) {
            self.digests.retain(|vm, _| self.gateways.contains_key(vm));
            self.seen_by.retain(|vm, _| self.gateways.contains_key(vm));
        }
        self.compare_digests();
        self.ranks.clear();
        self.changed_at = now;
        self.check_established();
    }

    fn check_established(&mut self) -> bool {
        let seen_by_all = self.others().all(|vm| self.has_seen_own(vm));
        self.is_established |= self.is_own_registered() && seen_by_all;
        self.is_established
    }

    fn rank(&self, workspace: &WorkspaceName) -> Rc<[Candidate]> {
        let departed = self.departed.iter().map(|(vm, (record, _))| (vm, record));
        let mut scored: Vec<_> = self
            .remaining()
            .chain(departed)
            .map(|(vm, record)| (rendezvous_score(vm, record, workspace), vm, record))
            .collect();
        scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let candidates = scored.into_iter().take(MAX_RANKS);
        candidates
            .map(|(_, vm, record)| Candidate {
                vm: vm.clone(),
                address: record.peer_address,
                lease: record.lease,
            })
            .collect()
    }
}

/// Returns a number that differs between lists with different registrations.
fn digest(gateways: &BTreeMap<VmName, VmRecord>) -> u32 {
    let mut text = String::new();
    for (vm, record) in gateways {
        // Writing to a string doesn't fail.
        let _ = write!(text, "{vm}/{};", record.lease);
    }
    xxhash_rust::xxh3::xxh3_64(text.as_bytes()) as u32
}
