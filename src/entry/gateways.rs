//! VMs that hold connections to instances and run the tasks of other VMs' sessions.
//!
//! Where VMs are few, each is a gateway and serves its own callers. Where they are many, an
//! instance's connections don't suffice for all: some VMs are gateways, the others forward.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::channel::{Channel, PeerRequest, Result};
use super::clock;
use super::health::{Health, Verdict};
use super::node::{Node, State};
use super::record::VmRecord;
use super::settings::EntrySettings;
use crate::name::{VmName, WorkspaceName};
use crate::time::Timestamp;

/// Fewest gateways: the loss of one leaves most of the others.
const MIN_GATEWAYS: usize = 8;

/// Connections of an instance that a gateway should have: some workspaces' own ones beside those
/// in use.
const CONNECTIONS_PER_GATEWAY: usize = 10;

/// Part of the largest capacity in a zone that a gateway needs at least.
const CAPACITY_PART: f64 = 0.5;

/// Longest time to connect to a gateway.
const CONNECT_WITHIN: Duration = Duration::from_millis(250);

/// Idle time after which a connection to a gateway is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(8);

/// Time for which a gateway that left a task to another is asked last.
const DECLINED_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for a doubtful gateway to show that it lives.
const PING_WITHIN: Duration = Duration::from_millis(250);

/// Pause between two questions to a doubtful gateway.
const PING_PAUSE: Duration = Duration::from_millis(150);

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

/// Gateway, as a VM that forwards sees it.
#[derive(Debug)]
pub struct Gateway {
    vm: VmName,
    address: SocketAddr,
    lease: u64,
    idle: RefCell<Vec<Channel>>,
    health: RefCell<Health>,
    asked_at: Cell<Option<Instant>>,
    declined_at: Cell<Option<Instant>>,
    lost: Notify,
}

/// Connection to a gateway; goes back when dropped, but for one in the middle of something.
#[derive(Debug)]
pub struct ChannelLease {
    gateway: Rc<Gateway>,
    channel: Option<Channel>,
    is_settled: bool,
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
                gateway.lease != record.lease || gateway.verdict() != Verdict::Unreachable
            })
        })
    }

    fn get(&self, vm: &VmName, record: &VmRecord) -> Rc<Gateway> {
        let mut known = self.known.borrow_mut();
        let current = known
            .get(vm)
            .filter(|gateway| gateway.lease == record.lease);
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
            record.is_some_and(|record| record.lease == gateway.lease)
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

/// Weighted rendezvous hash: the gateway with the smallest value serves the workspace, and each
/// serves workspaces in proportion to its capacity.
fn distance(vm: &VmName, record: &VmRecord, workspace: &WorkspaceName) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64(format!("{vm}/{workspace}").as_bytes());
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / record.cpu_share.max(f64::EPSILON)
}

impl Gateway {
    fn new(vm: VmName, record: &VmRecord) -> Self {
        Self {
            vm,
            address: record.peer_address,
            lease: record.lease,
            idle: RefCell::default(),
            health: RefCell::default(),
            asked_at: Cell::new(None),
            declined_at: Cell::new(None),
            lost: Notify::new(),
        }
    }

    /// Returns the VM's name.
    pub const fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    ///
    /// Fails when the gateway can't be reached; nothing was sent.
    pub async fn take(self: &Rc<Self>) -> Result<ChannelLease> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let channel = match idle {
                Some(channel) if channel.is_usable(IDLE_LIMIT) => channel,
                Some(_) => continue,
                None => Channel::open(self.address, CONNECT_WITHIN).await?,
            };
            return Ok(ChannelLease::new(Rc::clone(self), channel));
        }
    }

    /// Records evidence about the gateway; ends the waits that may go elsewhere once it counts as
    /// unreachable.
    pub fn note_health(&self, note: impl FnOnce(&mut Health, Timestamp)) {
        note(&mut self.health.borrow_mut(), clock::now());
        if self.verdict() == Verdict::Unreachable {
            self.idle.borrow_mut().clear();
            self.lost.notify_waiters();
        }
    }

    /// Waits until the gateway counts as unreachable.
    pub async fn lost(&self) {
        self.lost.notified().await;
    }

    /// Records that the gateway left a task to another.
    pub fn note_declined(&self) {
        self.declined_at.set(Some(Instant::now()));
    }

    /// Returns whether the gateway left no task to another lately.
    pub fn is_willing(&self) -> bool {
        let declined = self.declined_at.get();
        declined.is_none_or(|at| at.elapsed() >= DECLINED_PAUSE)
    }

    fn verdict(&self) -> Verdict {
        self.health.borrow().verdict(clock::now())
    }

    fn tidy(self: &Rc<Self>) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|channel| channel.is_usable(IDLE_LIMIT));
        drop(idle);
        let asked = self.asked_at.get();
        let asked = asked.is_some_and(|at| at.elapsed() < PING_PAUSE + PING_WITHIN);
        if self.verdict() != Verdict::Healthy && !asked {
            self.asked_at.set(Some(Instant::now()));
            let gateway = Rc::clone(self);
            tokio::task::spawn_local(async move { gateway.ping().await });
        }
    }

    /// Asks on a new connection whether the VM lives: an old one may have gone silent.
    async fn ping(&self) {
        let asking = async {
            let mut channel = Channel::open(self.address, PING_WITHIN).await?;
            channel
                .ask(&PeerRequest::Ping, Instant::now() + PING_WITHIN)
                .await
        };
        match asking.await {
            Ok(_) => self.note_health(Health::heard),
            Err(error) => {
                log::info!("event=gateway_silent vm={} error=\"{error}\"", self.vm);
                self.note_health(Health::failed);
            }
        }
    }
}

impl ChannelLease {
    const fn new(gateway: Rc<Gateway>, channel: Channel) -> Self {
        Self {
            gateway,
            channel: Some(channel),
            is_settled: true,
        }
    }

    /// Returns the gateway.
    pub const fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Never: the connection is there until the lease is dropped.
    pub fn channel(&mut self) -> &mut Channel {
        self.channel.as_mut().expect("a lease holds its connection")
    }

    /// Records whether the connection may serve another session: no answer is outstanding on it
    /// and no transaction open.
    pub fn set_settled(&mut self, is_settled: bool) {
        self.is_settled = is_settled;
    }
}

impl Drop for ChannelLease {
    fn drop(&mut self) {
        if let Some(channel) = self.channel.take().filter(|_| self.is_settled) {
            self.gateway.idle.borrow_mut().push(channel);
        }
    }
}

#[cfg(test)]
mod tests;
