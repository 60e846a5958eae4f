//! A database that this VM is the home of, during one epoch of its lease.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Shared;
use super::state::HomeState;
use super::work::Work;
use crate::control::allowance::Allowance;
use crate::control::bucket::Share;
use crate::control::command::InstanceRequest;
use crate::control::event::{InstanceReport, TrafficEvent};
use crate::control::snapshot::{DatabaseView, InstanceView};
use crate::controller::{EventSender, SharedSnapshot};
use crate::name::{DatabaseName, InstanceName, WorkspaceName};
use crate::settings::Settings;
use crate::time::{Clock, Timestamp};
use crate::traffic::instance::{HealthReporter, HomeIdentity, Instance, InstanceQuery};

/// Which kinds of ended work were already reported to the control code.
#[derive(Debug, Default)]
struct ReportedWork {
    is_released: bool,
    writes_ended: bool,
}

/// The home of one database.
#[derive(Debug)]
pub(super) struct Home {
    identity: HomeIdentity,
    pub(super) settings: Settings,
    pub(super) snapshot: SharedSnapshot,
    pub(super) clock: Clock,
    pub(super) events: EventSender,
    runtime: Handle,
    instances: ArcSwap<BTreeMap<InstanceName, Arc<Instance>>>,
    state: Mutex<HomeState>,
    pub(super) work: Work,
    reported: Mutex<ReportedWork>,
    /// Counter that is incremented whenever something that a request may wait for has changed.
    changes: watch::Sender<u64>,
}

impl Home {
    /// Starts the home. No connections are opened until [`Home::follow`] supplies the instances.
    pub(super) fn start(database: &DatabaseName, epoch: u64, shared: &Shared) -> Arc<Self> {
        let identity = HomeIdentity {
            database: database.clone(),
            vm: shared.settings.vm.name.clone(),
            epoch,
        };
        log::info!("event=home_started database={database} epoch={epoch}");
        Arc::new(Self {
            identity,
            settings: shared.settings.clone(),
            snapshot: Arc::clone(&shared.snapshot),
            clock: shared.clock,
            events: shared.events.clone(),
            runtime: shared.runtime.clone(),
            instances: ArcSwap::default(),
            state: Mutex::new(HomeState::new(shared.clock.now())),
            work: Work::new(Arc::clone(&shared.ended)),
            reported: Mutex::default(),
            changes: watch::Sender::new(0),
        })
    }

    /// Returns the lease epoch that this home was started for.
    pub(super) const fn epoch(&self) -> u64 {
        self.identity.epoch
    }

    pub(super) const fn database(&self) -> &DatabaseName {
        &self.identity.database
    }

    /// Returns the control code's view of the database, or `None` when the lease has passed to
    /// another epoch.
    pub(super) fn view(&self) -> Option<Arc<DatabaseView>> {
        let snapshot = self.snapshot.load();
        let view = snapshot.databases.get(self.database())?;
        (view.lease.epoch == self.epoch()).then(|| Arc::clone(view))
    }

    /// Returns whether the lease of this home's epoch is valid at the current time.
    pub(super) fn is_leased(&self) -> bool {
        is_leased(&self.snapshot, &self.identity, self.clock.now())
    }

    /// Returns an instance by name, or `None` when the home has no such instance.
    pub(super) fn instance(&self, name: &InstanceName) -> Option<Arc<Instance>> {
        self.instances.load().get(name).cloned()
    }

    /// Returns all current instances of the database by name.
    pub(super) fn instances(&self) -> Arc<BTreeMap<InstanceName, Arc<Instance>>> {
        self.instances.load_full()
    }

    /// Runs `f` with the home's state locked; `f` must not block.
    pub(super) fn with_state<T>(&self, f: impl FnOnce(&mut HomeState) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Wakes every request that waits for a change.
    pub(super) fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of changes from now on.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Applies the instances, term and low-water mark of a new view.
    pub(super) fn follow(self: &Arc<Self>, view: &Arc<DatabaseView>) {
        let current = self.instances.load();
        let is_same = |view: &InstanceView| {
            let instance = current.get(&view.name);
            instance.is_some_and(|instance| instance.address == view.address)
        };
        if current.len() != view.instances.len() || !view.instances.iter().all(is_same) {
            let instances = view.instances.iter().map(|view| {
                let kept = current.get(&view.name).filter(|_| is_same(view));
                let instance = kept.map_or_else(|| Arc::new(self.start_instance(view)), Arc::clone);
                (view.name.clone(), instance)
            });
            self.instances.store(Arc::new(instances.collect()));
        }
        let now = self.clock.now();
        let shares = self.snapshot.load().shares.get(self.database()).cloned();
        if let Some(shares) = shares {
            let adopted_at = now.min(view.lease.valid_until);
            self.with_state(|state| state.allowances.follow(&shares, adopted_at));
        }
        if self.with_state(|state| state.follow(view, now)) {
            self.notify_changed();
        }
    }

    fn start_instance(self: &Arc<Self>, view: &InstanceView) -> Instance {
        let health = HealthReporter::new(
            self.database().clone(),
            view.name.clone(),
            self.events.clone(),
            self.clock,
        );
        let home = Arc::downgrade(self);
        let name = view.name.clone();
        let on_report = move |report: &InstanceReport, requested_at| {
            if let Some(home) = Weak::upgrade(&home) {
                home.record_report(&name, report, requested_at);
            }
        };
        let (snapshot, identity, clock) = (
            Arc::clone(&self.snapshot),
            self.identity.clone(),
            self.clock,
        );
        let may_open = move || is_leased(&snapshot, &identity, clock.now());
        Instance::start(
            view,
            &self.identity,
            &self.settings,
            health,
            &self.runtime,
            Box::new(on_report),
            Box::new(may_open),
        )
    }

    /// Records a report of an instance and releases the responses that it allows.
    pub(super) fn record_report(
        &self,
        instance: &InstanceName,
        report: &InstanceReport,
        requested_at: Timestamp,
    ) {
        let now = self.clock.now();
        let released =
            self.with_state(|state| state.record_report(instance, report, requested_at, now));
        for (verdict, sender) in released {
            // The receiver is dropped when the caller has disconnected.
            let _ = sender.send(verdict);
        }
        self.notify_changed();
    }

    /// Returns the query that executes a request of the control code, or `None` when the request
    /// names an unknown instance.
    pub(super) fn query(&self, request: &InstanceRequest) -> Option<InstanceQuery> {
        InstanceQuery::new(request, |name| Some(self.instance(name)?.address))
    }

    /// Returns the workspace's share of the rate limit at this home, or `None` when it has none.
    pub(super) fn share(&self, workspace: &WorkspaceName) -> Option<Share> {
        let snapshot = self.snapshot.load();
        let shares = snapshot.shares.get(self.database())?;
        shares.get(workspace).copied()
    }

    /// Runs `f` with the allowance of a workspace and the current time, limited to the end of the
    /// lease: after its lease has expired, a home may use up its remaining tokens, but its buckets
    /// no longer refill.
    pub(super) fn with_allowance<T>(
        &self,
        workspace: &WorkspaceName,
        f: impl FnOnce(&mut Allowance, Timestamp) -> T,
    ) -> Option<T> {
        let (table, valid_until) = {
            let snapshot = self.snapshot.load();
            let table = Arc::clone(snapshot.shares.get(self.database())?);
            (
                table,
                snapshot.databases.get(self.database())?.lease.valid_until,
            )
        };
        let now = self.clock.now().min(valid_until);
        self.with_state(|state| {
            state.allowances.follow(&table, now);
            let allowance = state.allowances.get(workspace)?;
            Some(f(allowance, now))
        })
    }

    /// Adds tokens transferred from another home. Tokens above the burst expire at `until`.
    pub(super) fn deposit(&self, workspace: &WorkspaceName, tokens: f64, until: Timestamp) {
        self.with_allowance(workspace, |allowance, now| {
            allowance.deposit(tokens, until, now);
        });
        self.notify_changed();
    }

    /// Records that the other homes have transferred all the tokens they can spare.
    pub(super) fn transfers_ended(&self, workspace: &WorkspaceName) {
        self.with_allowance(workspace, Allowance::transfers_ended);
        self.notify_changed();
    }

    /// Removes tokens for a transfer to another home; returns how many were removed.
    pub(super) fn withdraw(&self, workspace: &WorkspaceName, tokens: f64) -> f64 {
        if !self.is_leased() {
            return 0.0;
        }
        let withdrawn =
            self.with_allowance(workspace, |allowance, now| allowance.withdraw(tokens, now));
        withdrawn.unwrap_or(0.0)
    }

    /// Returns an event when the released home has become idle, and one when no write is running
    /// any more while writes are paused; each only once per release or pause.
    pub(super) fn ended_work(&self, database: &DatabaseName) -> Vec<TrafficEvent> {
        let epoch = self.epoch();
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        let mut events = Vec::new();
        if self.work.is_releasing() && !reported.is_released && self.work.is_idle() {
            reported.is_released = true;
            let database = database.clone();
            events.push(TrafficEvent::HomeReleased { database, epoch });
        }
        let is_paused = self.view().is_some_and(|view| view.writes_paused);
        if !is_paused {
            reported.writes_ended = false;
        } else if !reported.writes_ended && self.work.has_no_writes() {
            reported.writes_ended = true;
            let database = database.clone();
            events.push(TrafficEvent::WritesEnded { database, epoch });
        }
        events
    }

    /// Closes idle connections that are no longer needed, and maintains the home's state.
    pub(super) fn maintain(&self, now: Instant) {
        for instance in self.instances.load().values() {
            instance.pool.maintain(now);
        }
        let now = self.clock.now();
        self.with_state(|state| state.maintain(now));
    }

    /// Returns how long a caller that could not be served should wait before it retries.
    pub(super) fn retry_after(&self) -> Duration {
        Duration::from_millis(self.settings.control.suspect_after_ms)
    }
}

fn is_leased(snapshot: &SharedSnapshot, identity: &HomeIdentity, now: Timestamp) -> bool {
    let snapshot = snapshot.load();
    let view = snapshot.databases.get(&identity.database);
    view.is_some_and(|view| view.lease.epoch == identity.epoch && now <= view.lease.valid_until)
}
