//! Registry of homes: keeps them in line with the databases of the snapshot, and executes commands
//! of the control code.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::Shared;
use super::database::Home;
use crate::control::Event;
use crate::control::command::{InstanceRequest, TrafficRequest};
use crate::control::event::{InstanceEvent, TrafficEvent};
use crate::name::{DatabaseName, InstanceName};

/// Interval at which the registry checks the snapshot for changes.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(20);

/// Number of follow intervals between two rounds of pool maintenance.
const MAINTENANCE_INTERVALS: u32 = 50;

/// Command of the control code to the homes.
#[derive(Debug)]
pub(super) enum Command {
    /// Request to the traffic threads.
    Request(TrafficRequest),
    /// Request to an instance.
    Instance {
        /// Database of the instance.
        database: DatabaseName,
        /// Instance that the request is sent to.
        instance: InstanceName,
        /// Probe or term command.
        request: InstanceRequest,
    },
}

/// Owner of the homes; only the registry adds or removes them.
pub(super) struct Registry {
    shared: Arc<Shared>,
    is_draining: bool,
}

impl Registry {
    pub(super) const fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            is_draining: false,
        }
    }

    /// Runs until the last sender of commands is dropped.
    pub(super) async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut rounds = interval(FOLLOW_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut round = 0_u32;
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => {
                        self.follow();
                        self.execute(command);
                    }
                    None => break,
                },
                _ = rounds.tick() => {
                    self.follow();
                    round = round.wrapping_add(1);
                    if round.is_multiple_of(MAINTENANCE_INTERVALS) {
                        self.maintain();
                    }
                }
                () = self.shared.ended.notified() => {}
            }
            self.report_ended();
        }
        self.shared.homes.store(Arc::default());
    }

    /// Adds and removes homes so that they match the snapshot's leases.
    fn follow(&self) {
        let snapshot = self.shared.snapshot.load();
        let current = self.shared.homes.load();
        let is_same = |(name, home): (&DatabaseName, &Arc<Home>)| {
            let view = snapshot.databases.get(name);
            view.is_some_and(|view| view.lease.epoch == home.epoch())
        };
        let unchanged = current.len() == snapshot.databases.len() && current.iter().all(is_same);
        if !unchanged {
            let homes = snapshot.databases.iter().map(|(name, view)| {
                let kept = current.get(name);
                let home = kept.filter(|home| home.epoch() == view.lease.epoch);
                let start = || Home::start(name, view.lease.epoch, &self.shared);
                (name.clone(), home.map_or_else(start, Arc::clone))
            });
            let homes: BTreeMap<_, _> = homes.collect();
            log::info!("event=homes_changed count={}", homes.len());
            self.shared.homes.store(Arc::new(homes));
        }
        for (name, home) in self.shared.homes.load().iter() {
            if let Some(view) = snapshot.databases.get(name) {
                home.follow(view);
            }
        }
    }

    fn maintain(&self) {
        let now = Instant::now();
        for home in self.shared.homes.load().values() {
            home.maintain(now);
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Request(TrafficRequest::Drain) => self.is_draining = true,
            Command::Request(TrafficRequest::TransfersEnded {
                database,
                workspace,
            }) => {
                if let Some(home) = self.home(&database) {
                    home.transfers_ended(&workspace);
                }
            }
            Command::Request(TrafficRequest::ReleaseHome { database, epoch }) => {
                self.release(database, epoch);
            }
            Command::Request(TrafficRequest::Deposit {
                database,
                workspace,
                tokens,
                until,
            }) => {
                if let Some(home) = self.home(&database) {
                    home.deposit(&workspace, tokens, until);
                }
            }
            Command::Request(TrafficRequest::Withdraw {
                transfer,
                database,
                workspace,
                tokens,
            }) => {
                let home = self.home(&database);
                let tokens = home.map_or(0.0, |home| home.withdraw(&workspace, tokens));
                let event = TrafficEvent::TokensWithdrawn {
                    transfer,
                    database,
                    workspace,
                    tokens,
                };
                self.shared.events.post(Event::Traffic(event));
            }
            Command::Instance {
                database,
                instance,
                request,
            } => self.query_instance(&database, &instance, &request),
        }
    }

    /// Makes a home stop accepting work. A home that does not exist has no work, so it is reported
    /// as released right away.
    fn release(&self, database: DatabaseName, epoch: u64) {
        let home = self.home(&database);
        if let Some(home) = home.filter(|home| home.epoch() == epoch) {
            home.work.release();
            return;
        }
        let event = TrafficEvent::HomeReleased { database, epoch };
        self.shared.events.post(Event::Traffic(event));
    }

    fn query_instance(
        &self,
        database: &DatabaseName,
        instance: &InstanceName,
        request: &InstanceRequest,
    ) {
        let home = self.home(database);
        let found = home.and_then(|home| {
            let query = home.query(request)?;
            Some((home.instance(instance)?, query))
        });
        match found {
            Some((instance, query)) => instance.send(query),
            None => self.post_unreachable(database, instance, request),
        }
    }

    /// Posts the result of a request that can't be sent because its home or an instance is unknown.
    fn post_unreachable(
        &self,
        database: &DatabaseName,
        instance: &InstanceName,
        request: &InstanceRequest,
    ) {
        let (database, instance) = (database.clone(), instance.clone());
        let event = match request {
            InstanceRequest::Probe => InstanceEvent::NoResponse {
                database,
                instance,
                requested_at: self.shared.clock.now(),
            },
            request => InstanceEvent::CommandEnded {
                database,
                instance,
                request: request.clone(),
                report: None,
            },
        };
        self.shared.events.post(Event::Instance(event));
    }

    fn home(&self, database: &DatabaseName) -> Option<Arc<Home>> {
        self.shared.homes.load().get(database).cloned()
    }

    /// Posts an event for work that the control code waits for and that has ended.
    fn report_ended(&mut self) {
        for (name, home) in self.shared.homes.load().iter() {
            for event in home.ended_work(name) {
                self.shared.events.post(Event::Traffic(event));
            }
        }
        if self.is_draining && self.shared.work.is_idle() {
            self.is_draining = false;
            self.shared
                .events
                .post(Event::Traffic(TrafficEvent::Drained));
        }
    }
}
