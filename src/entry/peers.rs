//! Exchanges statuses, tokens, records, subleases, confirmations and configurations with other VMs.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use super::clock;
use super::confirmation_tracker::Replacement;
use super::datagram::{self, Datagram, MAX_DATAGRAM_BYTES, RecordUpdate};
use super::fetch;
use super::gateways;
use super::limiter;
use super::node::Node;
use super::saves;
use super::state::State;
use super::synchronization;
use super::validity::{MAX_SUBLEASE, outlived_within};
use crate::configuration::Revision;
use crate::name::{VmName, ZoneName};
use crate::time::Timestamp;

/// Interval at which a busy gateway, or one whose status has changed, announces it.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a sublease is requested while the store doesn't respond.
const SUBLEASE_REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Time without a response of the store after which subleases are requested.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(1_800);

/// Shortest validity of a sublease that is worth sending.
const MIN_SUBLEASE: Duration = Duration::from_millis(100);

/// Number of status intervals between two version requests of a VM that isn't a gateway.
const VERSION_INTERVALS: u32 = 2;

/// Time without contact with any gateway after which requests also go to those of other zones.
const NEARBY_SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// Number of status intervals between two announcements of an idle gateway.
const IDLE_INTERVALS: u32 = 2;

/// Sends and handles datagrams between this VM and the others.
#[derive(Debug)]
pub struct Peers {
    node: Rc<Node>,
    socket: UdpSocket,
    sublease_request: Cell<Option<(u64, Timestamp)>>,
    fetching: Cell<bool>,
    fetching_gateways: Cell<bool>,
}

impl Peers {
    /// Binds the socket for datagrams and the listener for connections of other VMs.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn bind(node: Rc<Node>) -> io::Result<(Rc<Self>, TcpListener)> {
        let address = node.settings.peer_address;
        let socket = UdpSocket::bind(address).await?;
        // The former process of this VM may have granted subleases until the address was free.
        node.state.borrow_mut().subleased_until = clock::now() + outlived_within(MAX_SUBLEASE);
        let listener = TcpListener::bind(address).await?;
        let peers = Self {
            node,
            socket,
            sublease_request: Cell::new(None),
            fetching: Cell::new(false),
            fetching_gateways: Cell::new(false),
        };
        Ok((Rc::new(peers), listener))
    }

    /// Announces this VM's status if it is a gateway, and otherwise requests configuration
    /// versions, until the process ends.
    pub async fn announce(self: Rc<Self>) {
        let mut round = 0;
        let mut announced = None;
        loop {
            sleep(STATUS_INTERVAL).await;
            round += 1;
            let (gateway, is_busy, limits) = {
                let mut state = self.node.state.borrow_mut();
                let is_busy = state.quota.take_busy();
                (state.gateway, is_busy, state.quota.status())
            };
            let is_due = is_busy || limits != announced || round % IDLE_INTERVALS == 0;
            if gateway && is_due {
                send_status(&self.node);
                announced = limits;
            } else if !gateway && round % VERSION_INTERVALS == 0 {
                self.request_version();
            }
        }
    }

    /// Requests the configuration version of a random gateway nearby, or of any gateway if there
    /// was no contact with one for [`NEARBY_SILENCE_LIMIT`].
    fn request_version(&self) {
        let now = clock::now();
        let (others, version) = {
            let state = self.node.state.borrow();
            let silent = now.since(state.gateway_contact_at) > NEARBY_SILENCE_LIMIT;
            let others = if silent {
                self.gateways()
            } else {
                gateways::nearest_addresses(&state, &self.node.settings)
            };
            (others, version(&state))
        };
        if !others.is_empty() {
            let index = rand::random_range(0..others.len());
            let request = Datagram::VersionRequest { version };
            self.node.outbox.send(others[index], request);
        }
    }

    /// Requests subleases from two other gateways at a time while the store doesn't respond.
    pub async fn request_subleases(self: Rc<Self>) {
        let mut round: usize = 0;
        loop {
            sleep(SUBLEASE_REQUEST_INTERVAL).await;
            let now = clock::now();
            let responded_at = self.node.state.borrow().store_responded_at;
            let silent =
                responded_at > Timestamp::ZERO && now.since(responded_at) > STORE_SILENCE_LIMIT;
            let others = self.gateways();
            if !silent || others.is_empty() || !self.node.state.borrow().gateway {
                continue;
            }
            round += 1;
            // A counter would start again in a restarted process, which could then take the response
            // to a request of the former one as that to a later request.
            let nonce = rand::random();
            self.sublease_request.set(Some((nonce, now)));
            let request = Datagram::SubleaseRequest { nonce };
            for offset in 0..2.min(others.len()) {
                let other = others[(round + offset) % others.len()];
                self.node.outbox.send(other, request.clone());
            }
        }
    }

    /// Handles datagrams of other VMs until the process ends.
    pub async fn listen(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match datagram::decode(&buffer[..length]) {
                    Ok(datagram) => self.handle(datagram, from),
                    Err(error) => {
                        log::debug!("event=datagram_decoding_failed from={from} error=\"{error}\"");
                    }
                },
                Err(error) => log::debug!("event=datagram_receive_failed error=\"{error}\""),
            }
        }
    }

    fn handle(self: &Rc<Self>, datagram: Datagram, from: SocketAddr) {
        match datagram {
            Datagram::FormerStatus {
                version,
                shared_change,
                directory_change,
                ..
            } => self.record_progress(version, shared_change, directory_change, from),
            Datagram::Status {
                vm,
                version,
                shared_change,
                directory_change,
                limits,
            } => {
                limiter::receive_status(&self.node, &vm, limits);
                self.record_progress(version, shared_change, directory_change, from);
            }
            Datagram::FormerTokenRequest | Datagram::FormerTokenGrant => {}
            Datagram::Limit(message) => limiter::handle(&self.node, message, from),
            Datagram::VersionRequest { version } => self.send_version(version, from),
            Datagram::Version {
                version,
                gateways_revision,
            } => self.follow_gateway(version, Revision(gateways_revision), from),
            Datagram::SubleaseRequest { nonce } => self.send_sublease(nonce, from),
            Datagram::EvacuatedZones { revision, zones } => {
                self.receive_evacuated_zones(Revision(revision), &zones);
            }
            Datagram::Record(update) => self.apply(update),
            Datagram::Confirmation {
                vm,
                database,
                generation,
            } => self.record_confirmation(vm, (database, generation), from),
            Datagram::ConfirmationAck {
                database,
                generation,
            } => self
                .node
                .confirmations
                .record_acknowledgement((database, generation)),
            Datagram::Sublease {
                nonce,
                valid_ms,
                version,
                records,
            } => self.accept_sublease(
                nonce,
                Duration::from_millis(valid_ms.into()),
                version,
                records,
                from,
            ),
        }
    }

    /// Fetches what a gateway has announced, where it is newer than what is known here.
    fn follow_gateway(
        self: &Rc<Self>,
        version: u64,
        gateways_revision: Revision,
        from: SocketAddr,
    ) {
        self.node.state.borrow_mut().gateway_contact_at = clock::now();
        self.fetch_newer(version, from);
        self.fetch_gateways(gateways_revision, from);
    }

    /// Records what another gateway knows of the store.
    fn record_progress(
        self: &Rc<Self>,
        version: u64,
        shared_change: u64,
        directory_change: u64,
        from: SocketAddr,
    ) {
        let node = &self.node;
        node.shared_progress.record_peer(Revision(shared_change));
        node.directory_progress
            .record_peer(Revision(directory_change));
        self.fetch_newer(version, from);
    }

    /// Sends the version of this VM's configuration to a VM that has version `peer_version`.
    fn send_version(self: &Rc<Self>, peer_version: u64, to: SocketAddr) {
        let announcement = {
            let state = self.node.state.borrow();
            Datagram::Version {
                version: version(&state),
                gateways_revision: state.gateways_revision.0,
            }
        };
        self.node.outbox.send(to, announcement);
        self.fetch_newer(peer_version, to);
    }

    /// Records and acknowledges the confirmation of a VM, if this VM collects confirmations of that
    /// replacement.
    fn record_confirmation(&self, vm: VmName, replacement: Replacement, from: SocketAddr) {
        if self
            .node
            .confirmations
            .record_confirmation(&replacement, vm)
        {
            let (database, generation) = replacement;
            let acknowledgement = Datagram::ConfirmationAck {
                database,
                generation,
            };
            self.node.outbox.send(from, acknowledgement);
        }
    }

    fn apply(&self, update: RecordUpdate) {
        let value = serde_json::to_vec(&update.record).ok();
        let revision = Revision(update.revision);
        synchronization::apply_record(&self.node, update.database, revision, value);
        self.node.changed.notify_waiters();
    }

    /// Sends a sublease and the evacuated zones to a VM that can't reach the store.
    fn send_sublease(&self, nonce: u64, to: SocketAddr) {
        if let Some(sublease) = self.grant_sublease(nonce) {
            self.node.outbox.send(to, sublease);
            self.node.outbox.send(to, self.evacuated_zones());
        }
    }

    /// Grants a sublease of this VM's own validity lease and records when it ends. Returns `None`
    /// if too little validity is left.
    fn grant_sublease(&self, nonce: u64) -> Option<Datagram> {
        let now = clock::now();
        let mut state = self.node.state.borrow_mut();
        let valid_for = state.validity_lease.time_left(now).min(MAX_SUBLEASE);
        if valid_for < MIN_SUBLEASE {
            return None;
        }
        state.subleased_until = state.subleased_until.max(now + outlived_within(valid_for));
        let records = state.databases.iter().filter_map(|(database, known)| {
            let record = known.record.as_ref()?;
            Some(RecordUpdate {
                database: database.clone(),
                record: record.record.clone(),
                revision: record.revision.0,
            })
        });
        Some(Datagram::Sublease {
            nonce,
            valid_ms: u32::try_from(valid_for.as_millis()).unwrap_or_default(),
            version: version(&state),
            records: records.collect(),
        })
    }

    /// Names the evacuated zones for a VM that can't read them from the store.
    fn evacuated_zones(&self) -> Datagram {
        let state = self.node.state.borrow();
        let zones = state.evacuated_zones.time_left(clock::now()).into_iter();
        let left_ms = |left: Duration| u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        Datagram::EvacuatedZones {
            revision: state.evacuated_zones.revision().0,
            zones: zones.map(|(zone, left)| (zone, left_ms(left))).collect(),
        }
    }

    fn receive_evacuated_zones(&self, revision: Revision, zones: &[(ZoneName, u32)]) {
        let left = |left_ms: u32| Duration::from_millis(left_ms.into());
        let zones = zones.iter();
        let zones = zones.map(|(zone, left_ms)| (zone.clone(), left(*left_ms)));
        let mut state = self.node.state.borrow_mut();
        state
            .evacuated_zones
            .receive(zones.collect(), revision, clock::now());
        drop(state);
        self.node.changed.notify_waiters();
    }

    /// Accepts a sublease granted for the latest request. Its validity is counted from when the
    /// request was sent, which was before it was granted.
    fn accept_sublease(
        self: &Rc<Self>,
        nonce: u64,
        valid_for: Duration,
        version: u64,
        records: Vec<RecordUpdate>,
        from: SocketAddr,
    ) {
        let Some((_, requested_at)) = self
            .sublease_request
            .get()
            .filter(|(requested, _)| *requested == nonce)
        else {
            return;
        };
        for update in records {
            self.apply(update);
        }
        // A replacement waits for subleases only until their grantor has confirmed it.
        let state = self.node.state.borrow();
        let is_waited_for = state.validity_lease.is_valid(clock::now());
        drop(state);
        if !is_waited_for {
            saves::withhold_replaced(&self.node);
        }
        let mut state = self.node.state.borrow_mut();
        state.sublease.accept_sublease(requested_at, valid_for);
        drop(state);
        self.node.changed.notify_waiters();
        self.fetch_newer(version, from);
    }

    /// Fetches the configuration of another VM in the background if that VM has a newer version.
    fn fetch_newer(self: &Rc<Self>, peer_version: u64, from: SocketAddr) {
        let own = version(&self.node.state.borrow());
        if peer_version > own && !self.fetching.replace(true) {
            let peers = Rc::clone(self);
            tokio::task::spawn_local(async move {
                fetch::configuration(&peers.node, from).await;
                peers.fetching.set(false);
            });
        }
    }

    /// Fetches the list of gateways in the background if another VM has a newer one. A gateway
    /// itself watches the list.
    fn fetch_gateways(self: &Rc<Self>, revision: Revision, from: SocketAddr) {
        let is_needed = {
            let state = self.node.state.borrow();
            !state.gateway && revision > state.gateways_revision
        };
        if is_needed && !self.fetching_gateways.replace(true) {
            let peers = Rc::clone(self);
            tokio::task::spawn_local(async move {
                fetch::gateways(&peers.node, from).await;
                peers.fetching_gateways.set(false);
            });
        }
    }

    fn gateways(&self) -> Vec<SocketAddr> {
        let state = self.node.state.borrow();
        let others = gateways::other_gateways(&state, &self.node.settings.vm);
        others.map(|(_, record)| record.peer_address).collect()
    }

    /// Sends queued datagrams until the process ends.
    pub async fn send_queued(self: Rc<Self>) {
        loop {
            let (to, datagram) = self.node.outbox.next().await;
            match datagram::encode(&datagram) {
                Ok(bytes) => {
                    if let Err(error) = self.socket.send_to(&bytes, to).await {
                        log::debug!("event=datagram_send_failed to={to} error=\"{error}\"");
                    }
                }
                Err(error) => log::warn!("event=datagram_encoding_failed error=\"{error}\""),
            }
        }
    }
}

/// Announces this VM's status to the other gateways, if it is one.
pub fn send_status(node: &Node) {
    let state = node.state.borrow();
    let Some(limits) = state.quota.status() else {
        return;
    };
    for (_, record) in gateways::other_gateways(&state, &node.settings.vm) {
        let status = Datagram::Status {
            vm: node.settings.vm.clone(),
            version: version(&state),
            shared_change: node.shared_progress.own().0,
            directory_change: node.directory_progress.own().0,
            limits,
        };
        node.outbox.send(record.peer_address, status);
    }
}

fn version(state: &State) -> u64 {
    state.catalog.as_ref().map_or(0, |catalog| catalog.version)
}
