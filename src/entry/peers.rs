//! Exchanges demands, proofs and configurations with the other VMs.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{Instant, sleep};

use super::agreement;
use super::borrowing;
use super::channel::{self, Channel, PeerRequest, PeerResponse};
use super::clock;
use super::gateways;
use super::gossip::{Datagram, MAX_DATAGRAM_BYTES, ProvenRecord};
use super::handover::Replacement;
use super::node::Node;
use super::quota::Demand;
use super::state::State;
use crate::configuration::Revision;
use crate::name::{VmName, WorkspaceName};
use crate::time::Timestamp;

/// Interval at which demand is announced.
const DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a proof is asked for while the store can't be heard.
const PROOF_INTERVAL: Duration = Duration::from_millis(150);

/// Silence of the store after which proofs are asked for.
const STORE_SILENCE: Duration = Duration::from_millis(1_800);

/// Longest time for which a proof is lent; a replacement of a primary may wait for it.
const MAX_PROOF: Duration = Duration::from_millis(400);

/// Shortest time of a proof that is worth sending.
const MIN_PROOF: Duration = Duration::from_millis(100);

/// Longest time to fetch a configuration from another VM.
const FETCH_WITHIN: Duration = Duration::from_secs(1);

/// Intervals after which a VM that is no gateway asks one for its version of the configuration.
const VERSION_INTERVALS: u32 = 2;

/// Silence of the gateways nearby after which those of other zones are asked too.
const NEAR_SILENCE: Duration = Duration::from_millis(1_200);

/// Demands in one datagram.
const MAX_DEMANDS: usize = 60;

/// Operations per second below which a VM counts as idle.
const IDLE_DEMAND: f64 = 0.05;

/// Intervals between the announcements of an idle VM.
const IDLE_INTERVALS: u32 = 2;

/// Sockets towards the other VMs.
#[derive(Debug)]
pub struct Peers {
    node: Rc<Node>,
    socket: UdpSocket,
    asked: Cell<Option<(u64, Timestamp)>>,
    fetching: Cell<bool>,
}

impl Peers {
    /// Binds the sockets.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn bind(node: Rc<Node>) -> io::Result<(Rc<Self>, TcpListener)> {
        let address = node.settings.peer_address;
        let socket = UdpSocket::bind(address).await?;
        let listener = TcpListener::bind(address).await?;
        let peers = Self {
            node,
            socket,
            asked: Cell::new(None),
            fetching: Cell::new(false),
        };
        Ok((Rc::new(peers), listener))
    }

    /// Announces this VM's demand until the process ends.
    pub async fn announce(self: Rc<Self>) {
        let mut turn = 0;
        loop {
            sleep(DEMAND_INTERVAL).await;
            let now = clock::now();
            let mut state = self.node.state.borrow_mut();
            let gateway = state.gateway;
            let demand = state.quota.measure(now);
            drop(state);
            turn += 1;
            let busy = demand.values().any(|rate| *rate > IDLE_DEMAND);
            if gateway && (busy || turn % IDLE_INTERVALS == 0) {
                self.send_demand(&demand);
            } else if !gateway && turn % VERSION_INTERVALS == 0 {
                self.ask_version();
            }
        }
    }

    /// Tells the other gateways this VM's demand.
    fn send_demand(&self, demand: &Demand) {
        let demand = demand.iter().filter(|(_, rate)| **rate > IDLE_DEMAND);
        let demand: Vec<_> = demand
            .map(|(workspace, rate)| (workspace.clone(), *rate as f32))
            .collect();
        let mut parts = demand.chunks(MAX_DEMANDS);
        let first = parts.next().unwrap_or_default();
        let others = self.gateways();
        for address in &others {
            self.node.outbox.send(*address, self.status(first, false));
        }
        for part in parts {
            for address in &others {
                self.node.outbox.send(*address, self.status(part, true));
            }
        }
    }

    /// Asks a gateway for its version of the configuration: one nearby, unless those are silent.
    fn ask_version(&self) {
        let now = clock::now();
        let (others, version) = {
            let state = self.node.state.borrow();
            let silent = now.since(state.gateways_heard_at) > NEAR_SILENCE;
            let others = if silent {
                self.gateways()
            } else {
                gateways::near(&state, &self.node.settings)
            };
            (others, version(&state))
        };
        if !others.is_empty() {
            let index = rand::random_range(0..others.len());
            let wanted = Datagram::VersionWanted { version };
            self.node.outbox.send(others[index], wanted);
        }
    }

    fn status(&self, demand: &[(WorkspaceName, f32)], continued: bool) -> Datagram {
        let state = self.node.state.borrow();
        Datagram::Status {
            vm: self.node.settings.vm.clone(),
            version: version(&state),
            shared_change: self.node.shared_progress.own().0,
            directory_change: self.node.directory_progress.own().0,
            demand: demand.to_vec(),
            continued,
        }
    }

    /// Asks other VMs for proofs while the store can't be heard.
    pub async fn seek_proofs(self: Rc<Self>) {
        let mut turn = 0;
        loop {
            sleep(PROOF_INTERVAL).await;
            let now = clock::now();
            let heard = self.node.state.borrow().store_heard_at;
            let silent = heard > Timestamp::ZERO && now.since(heard) > STORE_SILENCE;
            let others = self.gateways();
            if !silent || others.is_empty() || !self.node.state.borrow().gateway {
                continue;
            }
            turn += 1;
            self.asked.set(Some((turn, now)));
            let question = Datagram::ProofWanted { nonce: turn };
            let index = usize::try_from(turn).unwrap_or_default();
            for offset in 0..2.min(others.len()) {
                let other = others[(index + offset) % others.len()];
                self.node.outbox.send(other, question.clone());
            }
        }
    }

    /// Handles what other VMs send until the process ends.
    pub async fn listen(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match postcard::from_bytes(&buffer[..length]) {
                    Ok(datagram) => self.handle(datagram, from),
                    Err(error) => {
                        log::debug!("event=datagram_unreadable from={from} error=\"{error}\"");
                    }
                },
                Err(error) => log::debug!("event=datagram_unreceived error=\"{error}\""),
            }
        }
    }

    fn handle(self: &Rc<Self>, datagram: Datagram, from: SocketAddr) {
        match datagram {
            Datagram::Status {
                vm,
                version,
                shared_change,
                directory_change,
                demand,
                continued,
            } => {
                self.hear_demand(vm, demand, continued);
                self.node.shared_progress.heard(Revision(shared_change));
                self.node
                    .directory_progress
                    .heard(Revision(directory_change));
                self.fetch_newer(version, from);
            }
            Datagram::VersionWanted { version } => self.tell_version(version, from),
            Datagram::Version { version } => {
                self.node.state.borrow_mut().gateways_heard_at = clock::now();
                self.fetch_newer(version, from);
            }
            Datagram::ProofWanted { nonce } => {
                if let Some(proof) = self.lend(nonce) {
                    self.node.outbox.send(from, proof);
                }
            }
            Datagram::TokensWanted { workspace, nonce } => {
                self.lend_tokens(&workspace, nonce, from);
            }
            Datagram::Tokens { nonce, tokens } => borrowing::take(&self.node, nonce, tokens),
            Datagram::Record(proven) => self.apply(proven),
            Datagram::Left {
                vm,
                database,
                generation,
            } => self.hear_left(vm, (database, generation), from),
            Datagram::LeftNoted {
                database,
                generation,
            } => self.node.handover.note((database, generation)),
            Datagram::Proof {
                nonce,
                holds_ms,
                version,
                records,
            } => self.borrow(
                nonce,
                Duration::from_millis(holds_ms.into()),
                version,
                records,
                from,
            ),
        }
    }

    fn lend_tokens(&self, workspace: &WorkspaceName, nonce: u64, to: SocketAddr) {
        let tokens = {
            let mut state = self.node.state.borrow_mut();
            state.quota.lend(workspace, clock::now())
        };
        self.node
            .outbox
            .send(to, Datagram::Tokens { nonce, tokens });
    }

    /// Tells the version of this VM's configuration to a VM that has version `theirs`.
    fn tell_version(self: &Rc<Self>, theirs: u64, to: SocketAddr) {
        let version = version(&self.node.state.borrow());
        self.node.outbox.send(to, Datagram::Version { version });
        self.fetch_newer(theirs, to);
    }

    fn hear_demand(&self, vm: VmName, demand: Vec<(WorkspaceName, f32)>, continued: bool) {
        let mut state = self.node.state.borrow_mut();
        if state.gateways.contains_key(&vm) {
            let demand = demand.into_iter();
            let demand = demand.map(|(name, rate)| (name, f64::from(rate))).collect();
            state.quota.heard(vm, demand, continued, clock::now());
        }
    }

    /// Acknowledges that a VM has left a former primary, if that is collected here.
    fn hear_left(&self, vm: VmName, replacement: Replacement, from: SocketAddr) {
        if self.node.handover.hear(&replacement, vm) {
            let (database, generation) = replacement;
            let noted = Datagram::LeftNoted {
                database,
                generation,
            };
            self.node.outbox.send(from, noted);
        }
    }

    fn apply(&self, proven: ProvenRecord) {
        let value = serde_json::to_vec(&proven.record).ok();
        let revision = Revision(proven.revision);
        agreement::apply_record(&self.node, proven.database, revision, value);
        self.node.changed.notify_waiters();
    }

    /// Builds a proof from this VM's own guard; remembers that it is lent.
    fn lend(&self, nonce: u64) -> Option<Datagram> {
        let now = clock::now();
        let mut state = self.node.state.borrow_mut();
        let holds = state.guard.time_left(now).min(MAX_PROOF);
        if holds < MIN_PROOF {
            return None;
        }
        state.lent_until = state.lent_until.max(now + holds);
        let records = state.databases.iter().filter_map(|(database, known)| {
            let record = known.record.as_ref()?;
            Some(ProvenRecord {
                database: database.clone(),
                record: record.record.clone(),
                revision: record.revision.0,
            })
        });
        Some(Datagram::Proof {
            nonce,
            holds_ms: u32::try_from(holds.as_millis()).unwrap_or_default(),
            version: version(&state),
            records: records.collect(),
        })
    }

    /// Takes a proof, counted from when it was asked for: it was lent later.
    fn borrow(
        self: &Rc<Self>,
        nonce: u64,
        holds: Duration,
        version: u64,
        records: Vec<ProvenRecord>,
        from: SocketAddr,
    ) {
        let Some((_, asked_at)) = self.asked.get().filter(|(asked, _)| *asked == nonce) else {
            return;
        };
        for proven in records {
            self.apply(proven);
        }
        let mut state = self.node.state.borrow_mut();
        state.borrowed_guard.borrow(asked_at, holds);
        drop(state);
        self.node.changed.notify_waiters();
        self.fetch_newer(version, from);
    }

    /// Fetches the configuration of another VM that has a newer one.
    fn fetch_newer(self: &Rc<Self>, theirs: u64, from: SocketAddr) {
        let own = version(&self.node.state.borrow());
        if theirs > own && !self.fetching.replace(true) {
            let peers = Rc::clone(self);
            tokio::task::spawn_local(async move {
                peers.fetch(from).await;
                peers.fetching.set(false);
            });
        }
    }

    async fn fetch(&self, from: SocketAddr) {
        match fetch_configuration(from).await {
            Ok(Some((revision, value))) => {
                log::info!("event=configuration_fetched from={from} revision={revision}");
                agreement::apply_configuration(&self.node, Revision(revision), Some(value));
            }
            Ok(None) => log::info!("event=configuration_unfetched from={from} error=none_held"),
            Err(error) => {
                log::warn!("event=configuration_unfetched from={from} error=\"{error}\"");
            }
        }
    }

    fn gateways(&self) -> Vec<SocketAddr> {
        let state = self.node.state.borrow();
        let others = gateways::others(&state, &self.node.settings.vm);
        others.map(|(_, record)| record.peer_address).collect()
    }

    /// Sends what is waiting until the process ends.
    pub async fn deliver(self: Rc<Self>) {
        loop {
            let (to, datagram) = self.node.outbox.next().await;
            match postcard::to_stdvec(&datagram) {
                Ok(bytes) => {
                    if let Err(error) = self.socket.send_to(&bytes, to).await {
                        log::debug!("event=datagram_unsent to={to} error=\"{error}\"");
                    }
                }
                Err(error) => log::warn!("event=datagram_unencoded error=\"{error}\""),
            }
        }
    }
}

fn version(state: &State) -> u64 {
    state.catalog.as_ref().map_or(0, |catalog| catalog.version)
}

/// Fetches the configuration of another VM; `None` when it has none.
async fn fetch_configuration(from: SocketAddr) -> channel::Result<Option<(u64, Vec<u8>)>> {
    let mut channel = Channel::open(from, FETCH_WITHIN).await?;
    let deadline = Instant::now() + FETCH_WITHIN;
    match channel.ask(&PeerRequest::Configuration, deadline).await? {
        PeerResponse::Configuration(held) => Ok(held),
        _ => Ok(None),
    }
}
