//! Runs the control code of one cell's VMs on one thread over simulated time.

use std::alloc::System;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use currantlb::control::blackboard::{Blackboard, Incarnation, LocalVm};
use currantlb::control::command::{InstanceRequest, TrafficRequest};
use currantlb::control::event::{InstanceEvent, InstanceReport, TrafficEvent};
use currantlb::control::{self, Command, Event};
use currantlb::name::{DatabaseName, InstanceName, VmName};
use currantlb::position::{LogPosition, Term};
use currantlb::settings::ControlSettings;
use currantlb::time::Timestamp;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

use super::service::Service;

/// Bytes that a datagram adds to a message: IP and UDP headers (28), names and tag (40).
const DATAGRAM_OVERHEAD_BYTES: u64 = 28 + 40;

/// Cost of the control code, summed over all VMs and the simulated time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Cost {
    pub(super) cpu: Duration,
    pub(super) allocations: u64,
    pub(super) messages: u64,
    pub(super) message_bytes: u64,
    pub(super) platform_calls: u64,
    pub(super) events: u64,
}

/// Load of one VM.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Load {
    pub(super) cpu: Duration,
    pub(super) message_bytes: u64,
}

/// VMs of one cell with the simulated platform service that they share.
pub(super) struct Cell {
    /// Control state of each VM.
    boards: Vec<Blackboard>,
    loads: Vec<Load>,
    /// Index into `boards` of each VM.
    indexes: BTreeMap<VmName, usize>,
    service: Service,
    now: Timestamp,
    tick: Duration,
    /// Events that are not handled yet, with the index of their VM.
    pending: VecDeque<(usize, Event)>,
    cost: Cost,
}

fn allocator() -> &'static StatsAlloc<System> {
    &INSTRUMENTED_SYSTEM
}

/// Returns the number of bytes currently allocated.
fn allocated_bytes() -> u64 {
    let stats = allocator().stats();
    // `bytes_reallocated` counts the changes of size, so it may be negative.
    let allocated = stats.bytes_allocated as i64 + stats.bytes_reallocated as i64;
    (allocated - stats.bytes_deallocated as i64).max(0) as u64
}

impl Cell {
    pub(super) fn new(local_vms: Vec<LocalVm>) -> Self {
        let settings = ControlSettings::default();
        let indexes = local_vms
            .iter()
            .enumerate()
            .map(|(number, local)| (local.name.clone(), number))
            .collect();
        Self {
            loads: vec![Load::default(); local_vms.len()],
            tick: Duration::from_millis(settings.tick_ms),
            boards: local_vms
                .into_iter()
                .map(|local| Blackboard::new(local, settings.clone()))
                .collect(),
            indexes,
            service: Service::default(),
            now: Timestamp::from_millis(1_000),
            pending: VecDeque::new(),
            cost: Cost::default(),
        }
    }

    /// Runs the control code of every VM for a simulated time; returns the cost.
    pub(super) fn run(&mut self, time: Duration) -> Cost {
        self.cost = Cost::default();
        self.loads.fill(Load::default());
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + self.tick;
            for board in 0..self.boards.len() {
                self.pending.push_back((board, Event::Tick));
            }
            self.handle_pending();
        }
        self.cost
    }

    /// Writes a key of the service and delivers the change to every watcher; returns the cost.
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>) -> Cost {
        self.cost = Cost::default();
        let events = self.service.put(key, value);
        self.pending.extend(
            events
                .into_iter()
                .map(|(board, event)| (board, Event::Platform(event))),
        );
        self.handle_pending();
        self.cost
    }

    /// Delivers to every home a new report of each of its instances; returns the cost.
    pub(super) fn report_all(&mut self, position: u64) -> Cost {
        self.cost = Cost::default();
        for board in 0..self.boards.len() {
            for event in self.reports(board, position) {
                self.pending.push_back((board, event));
            }
        }
        self.handle_pending();
        self.cost
    }

    fn reports(&self, board: usize, position: u64) -> Vec<Event> {
        let board = &self.boards[board];
        let leased = board.homes.leases.keys();
        let groups = leased.filter_map(|name| board.configuration.current.databases.get(name));
        let instances = groups.flat_map(|group| {
            group
                .instances
                .iter()
                .map(|instance| (&group.name, &instance.name))
        });
        instances
            .map(|(database, instance)| reported_event(database, instance, position, self.now))
            .collect()
    }

    /// Returns the greatest loads of any VM in the last run, usually those of the leader.
    pub(super) fn greatest_load(&self) -> Load {
        Load {
            cpu: self
                .loads
                .iter()
                .map(|load| load.cpu)
                .max()
                .unwrap_or_default(),
            message_bytes: self
                .loads
                .iter()
                .map(|load| load.message_bytes)
                .max()
                .unwrap_or_default(),
        }
    }

    /// Returns how many databases have a home in the cell.
    pub(super) fn home_count(&self) -> usize {
        self.boards
            .iter()
            .map(|board| board.homes.leases.len())
            .sum()
    }

    /// Drops the control state of all VMs; returns the number of bytes that it occupied.
    pub(super) fn into_state_bytes(mut self) -> u64 {
        let before = allocated_bytes();
        self.boards.clear();
        before.saturating_sub(allocated_bytes())
    }

    fn handle_pending(&mut self) {
        while let Some((board, event)) = self.pending.pop_front() {
            let commands = self.handle(board, &event);
            for command in commands {
                self.execute(board, command);
            }
        }
    }

    fn handle(&mut self, number: usize, event: &Event) -> Vec<Command> {
        let board = &mut self.boards[number];
        let allocations = allocator().stats().allocations;
        let start = Instant::now();
        let commands = control::handle(board, event, self.now);
        if commands.contains(&Command::Publish) {
            drop(board.snapshot(self.now));
        }
        let cpu = start.elapsed();
        self.cost.cpu += cpu;
        self.loads[number].cpu += cpu;
        self.cost.allocations += allocator().stats().allocations.saturating_sub(allocations) as u64;
        self.cost.events += 1;
        commands
    }

    fn execute(&mut self, board: usize, command: Command) {
        match command {
            Command::Send { to, message } => {
                self.cost.messages += 1;
                let bytes = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len() as u64);
                let bytes = bytes + DATAGRAM_OVERHEAD_BYTES;
                self.cost.message_bytes += bytes;
                self.loads[board].message_bytes += bytes;
                let Some(number) = self.indexes.get(&to) else {
                    return;
                };
                let from = self.boards[board].local.clone();
                let event = Event::Peer {
                    from: from.name,
                    incarnation: from.incarnation,
                    message,
                };
                self.pending.push_back((*number, event));
            }
            Command::Platform { call, request } => {
                self.cost.platform_calls += 1;
                let events = self.service.call(board, call, request, self.now);
                self.pending.extend(
                    events
                        .into_iter()
                        .map(|(board, event)| (board, Event::Platform(event))),
                );
            }
            Command::Instance {
                database,
                instance,
                request: InstanceRequest::Probe,
            } => {
                let event = reported_event(&database, &instance, 1, self.now);
                self.pending.push_back((board, event));
            }
            Command::Traffic(TrafficRequest::ReleaseHome { database, epoch }) => {
                let event = TrafficEvent::HomeReleased { database, epoch };
                self.pending.push_back((board, Event::Traffic(event)));
            }
            _ => {}
        }
    }
}

fn reported_event(
    database: &DatabaseName,
    instance: &InstanceName,
    position: u64,
    now: Timestamp,
) -> Event {
    let term = Term {
        number: 1,
        promoter: "platform".into(),
    };
    Event::Instance(InstanceEvent::Reported {
        database: database.clone(),
        instance: instance.clone(),
        report: InstanceReport {
            adopted: term.clone(),
            is_primary: instance.ends_with("-a"),
            last: LogPosition { term, position },
        },
        requested_at: now,
    })
}

/// Returns the identity of a VM in a cell.
pub(super) fn local_vm(cell: &str, number: usize) -> LocalVm {
    LocalVm {
        name: format!("{cell}-vm-{number}").into(),
        incarnation: Incarnation(1),
        availability_zone: format!("zone-{}", number % 3).into(),
        region: "region-1".into(),
        cell: cell.into(),
    }
}
