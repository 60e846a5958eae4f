//! Registry of homes: follows the databases of the snapshot, and passes on what control asks.

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

/// Interval at which the registry looks at the snapshot.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(20);

/// Rounds after which the pools are maintained.
const MAINTAIN_EVERY: u32 = 50;

/// What control asks of the homes.
#[derive(Debug)]
pub(super) enum Order {
    /// Something of the traffic threads.
    Request(TrafficRequest),
    /// Something of an instance.
    Instance {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
        /// What is asked.
        request: InstanceRequest,
    },
}

/// Owner of the homes; the only one that adds or removes any.
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

    /// Runs until the last sender of orders is dropped.
    pub(super) async fn run(mut self, mut orders: mpsc::UnboundedReceiver<Order>) {
        let mut rounds = interval(FOLLOW_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut round = 0_u32;
        loop {
            tokio::select! {
                order = orders.recv() => match order {
                    Some(order) => {
                        self.follow();
                        self.carry_out(order);
                    }
                    None => break,
                },
                _ = rounds.tick() => {
                    self.follow();
                    round = round.wrapping_add(1);
                    if round.is_multiple_of(MAINTAIN_EVERY) {
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

    fn carry_out(&mut self, order: Order) {
        match order {
            Order::Request(TrafficRequest::Drain) => self.is_draining = true,
            Order::Request(TrafficRequest::TransfersEnded {
                database,
                workspace,
            }) => {
                if let Some(home) = self.home(&database) {
                    home.transfers_ended(&workspace);
                }
            }
            Order::Request(TrafficRequest::ReleaseHome { database, epoch }) => {
                self.release(database, epoch);
            }
            Order::Request(TrafficRequest::Deposit {
                database,
                workspace,
                tokens,
                until,
            }) => {
                if let Some(home) = self.home(&database) {
                    home.deposit(&workspace, tokens, until);
                }
            }
            Order::Request(TrafficRequest::Withdraw {
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
            Order::Instance {
                database,
                instance,
                request,
            } => self.ask(&database, &instance, &request),
        }
    }

    /// Lets a home take no more work; one that is not there has none.
    fn release(&self, database: DatabaseName, epoch: u64) {
        let home = self.home(&database);
        if let Some(home) = home.filter(|home| home.epoch() == epoch) {
            home.work.release();
            return;
        }
        let event = TrafficEvent::HomeReleased { database, epoch };
        self.shared.events.post(Event::Traffic(event));
    }

    fn ask(&self, database: &DatabaseName, instance: &InstanceName, request: &InstanceRequest) {
        let home = self.home(database);
        let found = home.and_then(|home| {
            let question = home.question(request)?;
            Some((home.instance(instance)?, question))
        });
        match found {
            Some((instance, question)) => instance.ask(question),
            None => self.refuse(database, instance, request),
        }
    }

    /// Answers for an instance that this VM has no connection to.
    fn refuse(&self, database: &DatabaseName, instance: &InstanceName, request: &InstanceRequest) {
        let (database, instance) = (database.clone(), instance.clone());
        let event = match request {
            InstanceRequest::Probe => InstanceEvent::Silent {
                database,
                instance,
                asked_at: self.shared.clock.now(),
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

    /// Reports work that has ended and was waited for.
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
