//! Test cell: the real controllers of several VMs, with messages and service calls delivered by the
//! test.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::configuration::{
    DatabaseGroup, InstanceRecord, InstanceState, Record, RecordPath, Revision,
};
use crate::control::blackboard::{CallId, Incarnation};
use crate::control::command::{PlatformRequest, TrafficRequest};
use crate::control::configuration::CONFIGURATION_PREFIX;
use crate::control::event::{
    KeyValue, PlatformEvent, PlatformFailure, PlatformResponse, TrafficEvent,
};
use crate::control::membership::{VM_LIST_PREFIX, VmRecord, VmState};
use crate::control::snapshot::Standing;
use crate::control::{Blackboard, Command, Event, LocalVm, handle};
use crate::name::{DatabaseName, VmName};
use crate::peer::PeerMessage;
use crate::settings::ControlSettings;
use crate::time::Timestamp;

const STEP: Duration = Duration::from_millis(5);
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// State of the platform's service as the VMs experience it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Service {
    Up,
    Down,
    /// Requests take effect, but every response is lost.
    ResponsesLost,
}

#[derive(Debug)]
struct Process {
    board: Blackboard,
    started_at: Timestamp,
    is_paused: bool,
    is_drained: bool,
    next_tick: Timestamp,
}

#[derive(Debug, Clone)]
enum Delivery {
    Event(Event),
    Call {
        call: CallId,
        sent_at: Timestamp,
        request: PlatformRequest,
    },
}

#[derive(Debug, Clone)]
struct Scheduled {
    at: Timestamp,
    order: u64,
    vm: VmName,
    incarnation: Incarnation,
    delivery: Delivery,
}

#[derive(Debug)]
struct Watch {
    vm: VmName,
    incarnation: Incarnation,
    call: CallId,
    prefix: String,
    next: Revision,
}

/// VMs of one cell, their messages and the platform's service.
#[derive(Debug)]
pub(crate) struct TestCell {
    pub(crate) now: Timestamp,
    pub(crate) service: Service,
    /// Pairs of sender and receiver between which every message is lost.
    pub(crate) lost_links: BTreeSet<(VmName, VmName)>,
    /// Every n-th message is lost; 0 loses none.
    pub(crate) lose_every: u64,
    pub(crate) service_calls: u64,
    pub(crate) messages: u64,
    pub(crate) message_bytes: u64,
    /// Requests to the traffic threads that the test cell doesn't handle itself, each with its VM.
    pub(crate) traffic: Vec<(VmName, TrafficRequest)>,
    processes: BTreeMap<VmName, Process>,
    incarnations: u64,
    keys: BTreeMap<String, (Vec<u8>, Revision)>,
    revision: u64,
    history: Vec<KeyValue>,
    cut_from_service: BTreeSet<VmName>,
    watches: Vec<Watch>,
    pending: Vec<Scheduled>,
    order: u64,
    /// Longest time that each database had no valid home, counted after it first had one.
    pub(crate) longest_gap: BTreeMap<DatabaseName, Duration>,
    last_served: BTreeMap<DatabaseName, Timestamp>,
}

impl TestCell {
    /// Creates a cell of `vms` listed VMs and `databases` databases; none of the VMs runs yet.
    pub(crate) fn new(vms: usize, databases: usize) -> Self {
        let mut cell = Self {
            now: Timestamp::from_millis(1_000),
            service: Service::Up,
            lost_links: BTreeSet::new(),
            lose_every: 0,
            service_calls: 0,
            messages: 0,
            message_bytes: 0,
            traffic: Vec::new(),
            processes: BTreeMap::new(),
            incarnations: 0,
            keys: BTreeMap::new(),
            revision: 0,
            history: Vec::new(),
            cut_from_service: BTreeSet::new(),
            watches: Vec::new(),
            pending: Vec::new(),
            order: 0,
            longest_gap: BTreeMap::new(),
            last_served: BTreeMap::new(),
        };
        for index in 1..=vms {
            cell.list(index, VmState::Live);
        }
        for index in 1..=databases {
            cell.put_record(&Record::Database(database(index)));
        }
        cell
    }

    /// Writes a VM's entry to the platform's list.
    pub(crate) fn list(&mut self, index: usize, state: VmState) {
        let record = VmRecord {
            name: vm(index),
            peer_address: ([127, 0, 0, 1], 7_000 + index as u16).into(),
            availability_zone: format!("zone-{}", index % 3).into(),
            region: "region".into(),
            cell: "cell".into(),
            state,
        };
        let key = format!("{VM_LIST_PREFIX}{}", record.name);
        self.put(&key, serde_json::to_vec(&record).unwrap());
    }

    pub(crate) fn put_record(&mut self, record: &Record) {
        let path = match record {
            Record::Database(group) => RecordPath::Database(group.name.clone()),
            Record::Workspace(workspace) => RecordPath::Workspace(workspace.name.clone()),
            Record::Preset(preset) => RecordPath::Preset(preset.name.clone()),
            Record::Route(route) => RecordPath::Route(route.name.clone()),
            Record::InForce(_) => RecordPath::InForce,
        };
        let key = format!("{CONFIGURATION_PREFIX}{path}");
        self.put(&key, serde_json::to_vec(record).unwrap());
    }

    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.history.push(key_value(key, &value, revision));
        self.keys.insert(key.to_owned(), (value, revision));
    }

    /// Delivers new changes to the watches, unless the service is down.
    fn deliver_changes(&mut self) {
        if self.service == Service::Down {
            return;
        }
        let latest = Revision(self.revision);
        let mut events = Vec::new();
        let cut = &self.cut_from_service;
        let is_due = |watch: &&mut Watch| watch.next <= latest && !cut.contains(&watch.vm);
        for watch in self.watches.iter_mut().filter(is_due) {
            let next = std::mem::replace(&mut watch.next, Revision(latest.0 + 1));
            let is_new =
                |key: &&KeyValue| key.revision >= next && key.key.starts_with(&watch.prefix);
            let keys: Vec<_> = self.history.iter().filter(is_new).cloned().collect();
            let Some(revision) = keys.last().map(|key| key.revision) else {
                continue;
            };
            let changed = PlatformEvent::Changed {
                watch: watch.call,
                keys,
                revision,
            };
            events.push((
                watch.vm.clone(),
                watch.incarnation,
                Event::Platform(changed),
            ));
        }
        for (vm, incarnation, event) in events {
            self.schedule(
                &vm,
                incarnation,
                Delivery::Event(event),
                Duration::from_millis(3),
            );
        }
    }

    /// Returns the VMs that watch the service.
    pub(crate) fn watchers(&self) -> BTreeSet<VmName> {
        self.watches.iter().map(|watch| watch.vm.clone()).collect()
    }

    /// Starts or restarts a VM.
    pub(crate) fn start(&mut self, index: usize) {
        self.incarnations += 1;
        let local = LocalVm {
            name: vm(index),
            incarnation: Incarnation(self.incarnations),
            availability_zone: format!("zone-{}", index % 3).into(),
            region: "region".into(),
            cell: "cell".into(),
        };
        let process = Process {
            board: Blackboard::new(local, ControlSettings::default()),
            started_at: self.now,
            is_paused: false,
            is_drained: false,
            next_tick: self.now,
        };
        self.processes.insert(vm(index), process);
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.processes.remove(&vm(index));
        self.watches.retain(|watch| watch.vm != vm(index));
    }

    pub(crate) fn pause(&mut self, index: usize, is_paused: bool) {
        if let Some(process) = self.processes.get_mut(&vm(index)) {
            process.is_paused = is_paused;
        }
    }

    pub(crate) fn is_running(&self, index: usize) -> bool {
        self.processes.contains_key(&vm(index))
    }

    pub(crate) fn board_mut(&mut self, index: usize) -> &mut Blackboard {
        &mut self.processes.get_mut(&vm(index)).unwrap().board
    }

    /// Starts a VM with the list of VMs copied from a running VM, for tests in which the service is
    /// down.
    pub(crate) fn start_with_list(&mut self, index: usize) {
        let vms = self
            .processes
            .values()
            .next()
            .unwrap()
            .board
            .membership
            .vms
            .clone();
        self.start(index);
        self.board_mut(index).membership.replace(vms.into_values());
    }

    /// Makes a VM's calls to the service time out.
    pub(crate) fn cut_from_service(&mut self, index: usize) {
        self.cut_from_service.insert(vm(index));
    }

    pub(crate) fn restore_service(&mut self, index: usize) {
        self.cut_from_service.remove(&vm(index));
    }

    /// Requests that a VM shut down.
    pub(crate) fn shut_down(&mut self, index: usize) {
        self.post(&vm(index), Event::Shutdown, Duration::ZERO);
    }

    pub(crate) fn is_drained(&self, index: usize) -> bool {
        let process = self.processes.get(&vm(index));
        process.is_some_and(|process| process.is_drained)
    }

    /// Cuts the links in both directions between a VM and all others.
    pub(crate) fn isolate(&mut self, index: usize, others: usize) {
        for other in (1..=others).filter(|other| *other != index) {
            self.lost_links.insert((vm(index), vm(other)));
            self.lost_links.insert((vm(other), vm(index)));
        }
    }

    pub(crate) fn board(&self, index: usize) -> &Blackboard {
        &self.processes[&vm(index)].board
    }

    pub(crate) fn post(&mut self, to: &VmName, event: Event, delay: Duration) {
        let Some(process) = self.processes.get(to) else {
            return;
        };
        let incarnation = process.board.local.incarnation;
        self.schedule(to, incarnation, Delivery::Event(event), delay);
    }

    fn schedule(
        &mut self,
        vm: &VmName,
        incarnation: Incarnation,
        delivery: Delivery,
        delay: Duration,
    ) {
        self.order += 1;
        self.pending.push(Scheduled {
            at: self.now + delay,
            order: self.order,
            vm: vm.clone(),
            incarnation,
            delivery,
        });
    }

    /// Advances the time, checking at every step that no database has two homes.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver_changes();
            self.deliver();
            self.tick();
            self.record_gaps();
        }
    }

    /// Runs until every database has a home, and returns the time that this took; panics after
    /// `limit_ms`.
    pub(crate) fn run_until_served(&mut self, limit_ms: u64) -> Duration {
        let start = self.now;
        while self.served().len() < self.databases().len() {
            assert!(
                self.now.since(start) < Duration::from_millis(limit_ms),
                "{:?}",
                self.served()
            );
            self.run(5);
        }
        self.now.since(start)
    }

    pub(crate) fn databases(&self) -> Vec<DatabaseName> {
        let prefix = format!("{CONFIGURATION_PREFIX}databases/");
        let names = self.keys.keys().filter_map(|key| key.strip_prefix(&prefix));
        names.map(DatabaseName::from).collect()
    }

    /// Returns the VM with a valid lease for each database, including paused VMs.
    pub(crate) fn served(&self) -> BTreeMap<DatabaseName, VmName> {
        let mut served = BTreeMap::new();
        for (name, process) in &self.processes {
            let local = self.clock_of(process);
            for (database, lease) in &process.board.homes.leases {
                if lease.valid_until <= local {
                    continue;
                }
                let other = served.insert(database.clone(), name.clone());
                assert_eq!(other, None, "{database} has another home beside {name}");
            }
        }
        served
    }

    /// Returns the time of a VM's clock; `None` when the VM doesn't run.
    pub(crate) fn local_time(&self, name: &VmName) -> Option<Timestamp> {
        Some(self.clock_of(self.processes.get(name)?))
    }

    /// Returns the blackboard of a VM; `None` when the VM doesn't run.
    pub(crate) fn board_of(&self, name: &VmName) -> Option<&Blackboard> {
        Some(&self.processes.get(name)?.board)
    }

    fn clock_of(&self, process: &Process) -> Timestamp {
        Timestamp::ZERO + self.now.since(process.started_at)
    }

    fn record_gaps(&mut self) {
        let served = self.served();
        for database in served.keys() {
            if let Some(last) = self.last_served.insert(database.clone(), self.now) {
                let gap = self.longest_gap.entry(database.clone()).or_default();
                *gap = (*gap).max(self.now.since(last));
            }
        }
    }

    fn tick(&mut self) {
        let names: Vec<_> = self.processes.keys().cloned().collect();
        for name in names {
            let process = self.processes.get_mut(&name).unwrap();
            if process.is_paused || self.now < process.next_tick {
                continue;
            }
            process.next_tick = self.now + Duration::from_millis(20);
            self.handle(&name, &Event::Tick);
        }
    }

    fn deliver(&mut self) {
        loop {
            let due = self
                .pending
                .iter()
                .enumerate()
                .filter(|(_, p)| p.at <= self.now);
            let is_ready = |p: &Scheduled| {
                let process = self.processes.get(&p.vm);
                process.is_none_or(|process| !process.is_paused)
            };
            let next = due
                .filter(|(_, p)| is_ready(p))
                .min_by_key(|(_, p)| (p.at, p.order));
            let Some(index) = next.map(|(index, _)| index) else {
                return;
            };
            let pending = self.pending.swap_remove(index);
            self.deliver_one(pending);
        }
    }

    fn deliver_one(&mut self, pending: Scheduled) {
        let process = self.processes.get(&pending.vm);
        let is_same_process =
            process.is_some_and(|p| p.board.local.incarnation == pending.incarnation);
        match pending.delivery {
            Delivery::Event(event) if is_same_process => self.handle(&pending.vm, &event),
            Delivery::Event(_) => {}
            Delivery::Call {
                call,
                sent_at,
                request,
            } => {
                let is_cut = self.cut_from_service.contains(&pending.vm);
                let result = if is_cut {
                    Err(PlatformFailure::NoAnswer)
                } else {
                    self.respond(request)
                };
                let event = Event::Platform(PlatformEvent::Ended {
                    call,
                    sent_at,
                    result,
                });
                let delivery = Delivery::Event(event);
                self.schedule(
                    &pending.vm,
                    pending.incarnation,
                    delivery,
                    Duration::from_millis(3),
                );
            }
        }
    }

    fn handle(&mut self, name: &VmName, event: &Event) {
        let process = &self.processes[name];
        let local = self.clock_of(process);
        let process = self.processes.get_mut(name).unwrap();
        if matches!(event, Event::Traffic(TrafficEvent::Drained)) {
            process.is_drained = true;
        }
        let commands = handle(&mut process.board, event, local);
        for command in commands {
            self.execute(name, command, local);
        }
    }

    fn execute(&mut self, name: &VmName, command: Command, local: Timestamp) {
        let incarnation = self.processes[name].board.local.incarnation;
        match command {
            Command::Send { to, message } => self.send(name, incarnation, &to, message),
            Command::Platform { call, request } => {
                match request {
                    PlatformRequest::Watch { prefix, from: next } => {
                        let vm = name.clone();
                        self.watches.push(Watch {
                            vm,
                            incarnation,
                            call,
                            prefix,
                            next,
                        });
                        return;
                    }
                    PlatformRequest::EndWatch { watch } => {
                        self.watches
                            .retain(|known| known.vm != *name || known.call != watch);
                        return;
                    }
                    _ => {}
                }
                let delivery = Delivery::Call {
                    call,
                    sent_at: local,
                    request,
                };
                self.schedule(name, incarnation, delivery, Duration::from_millis(3));
            }
            Command::Traffic(request) => self.traffic(name, request),
            _ => {}
        }
    }

    fn traffic(&mut self, name: &VmName, request: TrafficRequest) {
        let event = match request.clone() {
            TrafficRequest::ReleaseHome { database, epoch } => {
                TrafficEvent::HomeReleased { database, epoch }
            }
            TrafficRequest::Drain => TrafficEvent::Drained,
            _ => {
                self.traffic.push((name.clone(), request));
                return;
            }
        };
        self.post(name, Event::Traffic(event), Duration::from_millis(30));
    }

    fn send(&mut self, from: &VmName, incarnation: Incarnation, to: &VmName, message: PeerMessage) {
        let bytes = postcard::to_stdvec(&message).unwrap().len();
        // Configuration records may be larger than a datagram and are then sent over TCP.
        let is_bounded = !matches!(message, PeerMessage::Configuration(_));
        assert!(
            !is_bounded || bytes <= MAX_DATAGRAM_BYTES,
            "{bytes} bytes in {message:?}"
        );
        self.messages += 1;
        self.message_bytes += bytes as u64;
        // A VM can't reach another VM whose address it doesn't know.
        if !self.processes[from].board.membership.vms.contains_key(to) {
            return;
        }
        let is_lost = self.lose_every > 0 && self.messages.is_multiple_of(self.lose_every);
        if is_lost || self.lost_links.contains(&(from.clone(), to.clone())) {
            return;
        }
        let event = Event::Peer {
            from: from.clone(),
            incarnation,
            message,
        };
        self.post(to, event, Duration::from_millis(1 + self.messages % 3));
    }

    fn respond(&mut self, request: PlatformRequest) -> Result<PlatformResponse, PlatformFailure> {
        if self.service == Service::Down {
            return Err(PlatformFailure::Unreachable);
        }
        self.service_calls += 1;
        let response = match request {
            PlatformRequest::Get { key } => self.read_keys(|known| *known == key),
            PlatformRequest::List { prefix, .. } => {
                self.read_keys(|known| known.starts_with(&prefix))
            }
            PlatformRequest::CompareAndSwap {
                key,
                expected,
                value,
                ..
            } => self.swap(key, expected, value),
            _ => return Err(PlatformFailure::Unreachable),
        };
        match self.service {
            Service::ResponsesLost => Err(PlatformFailure::NoAnswer),
            _ => Ok(response),
        }
    }

    fn read_keys(&self, is_selected: impl Fn(&String) -> bool) -> PlatformResponse {
        let keys = self.keys.iter().filter(|(key, _)| is_selected(key));
        PlatformResponse::Found {
            keys: keys
                .map(|(key, (value, revision))| key_value(key, value, *revision))
                .collect(),
            revision: Revision(self.revision),
        }
    }

    fn swap(
        &mut self,
        key: String,
        expected: Revision,
        value: Option<Vec<u8>>,
    ) -> PlatformResponse {
        let current = self.keys.get(&key);
        let revision = current.map_or(Revision(0), |(_, revision)| *revision);
        if revision != expected {
            let current = current.map(|(value, revision)| key_value(&key, value, *revision));
            return PlatformResponse::Conflict { current };
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.history.push(KeyValue {
            key: key.clone(),
            value: value.clone(),
            revision,
        });
        match value {
            Some(value) => self.keys.insert(key, (value, revision)),
            None => self.keys.remove(&key),
        };
        PlatformResponse::Swapped { revision }
    }

    /// Returns the leader; `None` unless exactly one running VM leads.
    pub(crate) fn leader(&self) -> Option<VmName> {
        let leaders = self
            .processes
            .iter()
            .filter(|(_, p)| p.board.homes.is_leader());
        let mut names = leaders.map(|(name, _)| name.clone());
        names.next().filter(|_| names.next().is_none())
    }

    pub(crate) fn serving(&self) -> usize {
        let standing = |process: &&Process| process.board.standing == Standing::Serving;
        self.processes.values().filter(standing).count()
    }
}

fn key_value(key: &str, value: &[u8], revision: Revision) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: Some(value.to_vec()),
        revision,
    }
}

pub(crate) fn vm(index: usize) -> VmName {
    format!("vm-{index}").into()
}

/// Returns the number in a VM name made by [`vm`].
pub(crate) fn index(vm: &VmName) -> usize {
    vm.trim_start_matches("vm-").parse().unwrap()
}

pub(crate) fn database(index: usize) -> DatabaseGroup {
    let instance = |instance: usize| InstanceRecord {
        name: format!("database-{index}-{instance}").into(),
        address: ([127, 0, 0, 1], 5_000).into(),
        availability_zone: format!("zone-{instance}").into(),
        slots: 3,
        connections: 20,
        state: InstanceState::Live,
    };
    DatabaseGroup {
        name: format!("database-{index}").into(),
        region: "region".into(),
        cell: "cell".into(),
        instances: (0..3).map(instance).collect(),
    }
}
