//! State of one VM, shared by its sessions and its background tasks.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::adapter::Adapter;
use super::catalog::Catalog;
use super::clock;
use super::confirmation_tracker::ConfirmationTracker;
use super::connections::Connections;
use super::datagram::Outbox;
use super::directory::Refresh;
use super::ejection;
use super::follow::Progress;
use super::gateways::Gateways;
use super::health::Verdict;
use super::idle_transactions::IdleTransactions;
use super::input_budget::InputLimits;
use super::instance::{Change, Instance};
use super::latency::RouteTimes;
use super::limiter::Limiter;
use super::overload::Overload;
use super::pool::{Limits, Pool, Sharing};
use super::quota::Quota;
use super::replication::ReceivedPositions;
use super::retry_budget::{RetryBudgetSettings, RetryBudgets};
use super::retry_delay::{RetryDelaySettings, RetryDelays};
use super::settings::EntrySettings;
use super::state::{State, StopPhase};
use super::warmup;
use crate::configuration::Timeline;
use crate::control::command::PlatformRequest;
use crate::control::event::PlatformResponse;
use crate::name::{DatabaseName, InstanceName};
use crate::store;
use crate::telemetry::metrics::metrics;

/// Shared state of one VM: read and written by its tasks, all on one thread.
#[derive(Debug)]
pub struct Node {
    /// Settings of this VM.
    pub settings: EntrySettings,
    /// Functions that the deployment provides: store, protocol and promotion call.
    pub adapter: Adapter,
    /// Local view of the fleet: configuration, instances, primaries and other VMs.
    pub state: RefCell<State>,
    /// Signals that the local view has changed: a record, an instance, the list of gateways, the
    /// validity lease, the role or the configuration.
    pub changed: Notify,
    /// Signals that the store responds again after a renewal without a response, or that this VM has
    /// registered again. Connections of watches may have fallen silent before.
    pub store_regained: Notify,
    /// Latest change of the shared keys seen here, and by other VMs.
    pub shared_progress: Progress,
    /// Latest change of the instances' announcements seen here, and by other VMs.
    pub directory_progress: Progress,
    /// Reads of the instances' announcements beside the watch.
    pub directory_refresh: Refresh,
    /// Confirmations that VMs have stopped using a former primary.
    pub confirmations: ConfirmationTracker,
    /// What every replica is known to have received, for saves without a lease.
    pub received_positions: ReceivedPositions,
    /// Requests that wait for a token of their workspace.
    pub limiter: Limiter,
    /// Queue of datagrams to other VMs.
    pub outbox: Outbox,
    /// Signals sessions to move to other VMs: this one is stopping or can't serve them.
    pub sessions_must_move: Notify,
    /// Gateways that this VM forwards to.
    pub gateways: Gateways,
    /// Load of this VM, by its own measurements.
    pub overload: RefCell<Overload>,
    /// Connections of callers and other VMs.
    pub connections: Rc<Connections>,
    /// Retry delays for refused callers.
    pub retry_delays: RefCell<RetryDelays>,
    /// Budgets of this VM's own retries.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// Number of connected callers.
    pub sessions: Cell<usize>,
    /// Number of connections of other VMs that have a running task or an open transaction.
    pub tasks: Cell<usize>,
    /// Open transactions whose callers are between two statements.
    pub idle_transactions: IdleTransactions,
    /// Usual times of the routes' statements.
    pub route_times: RefCell<RouteTimes>,
    pools: RefCell<HashMap<InstanceName, Rc<Pool>>>,
}

impl Node {
    /// Builds the state of a VM that has read nothing from the store yet.
    pub fn new(settings: EntrySettings, adapter: Adapter) -> Rc<Self> {
        let input_limits = InputLimits::for_descriptors(settings.max_descriptors);
        let state = State {
            quota: Quota::new(
                settings.vm.clone(),
                settings.peer_address,
                settings.gateway_ttl,
            ),
            ..State::default()
        };
        Rc::new(Self {
            settings,
            adapter,
            overload: RefCell::default(),
            connections: Connections::new(input_limits),
            state: RefCell::new(state),
            changed: Notify::new(),
            store_regained: Notify::new(),
            shared_progress: Progress::default(),
            directory_progress: Progress::default(),
            directory_refresh: Refresh::default(),
            confirmations: ConfirmationTracker::default(),
            received_positions: ReceivedPositions::default(),
            limiter: Limiter::default(),
            outbox: Outbox::default(),
            sessions_must_move: Notify::new(),
            gateways: Gateways::default(),
            retry_delays: RefCell::new(RetryDelays::new(
                RetryDelaySettings::default(),
                clock::now(),
            )),
            retry_budgets: RefCell::new(RetryBudgets::new(RetryBudgetSettings::default())),
            sessions: Cell::new(0),
            tasks: Cell::new(0),
            idle_transactions: IdleTransactions::default(),
            route_times: RefCell::default(),
            pools: RefCell::default(),
        })
    }

    /// Returns whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && !self.overload.borrow().is_withdrawn()
    }

    /// Returns whether this VM can serve callers, and isn't stopping.
    pub fn can_serve(&self) -> bool {
        let state = self.state.borrow();
        let now = clock::now();
        let can_serve = if state.gateway {
            state.directory_known && state.is_validity_stable(now) && !state.databases.is_empty()
        } else {
            self.gateways.any_reachable(&state, &self.settings.vm)
        };
        state.stop == StopPhase::Running && state.catalog.is_some() && can_serve
    }

    /// Signals the open sessions to move to other VMs if this VM can't serve them. Does so only
    /// once the balancer has had time to detect it, so that callers aren't sent back here.
    pub fn shed_if_isolated(&self) {
        let now = clock::now();
        // The sessions of an overloaded VM stay: others may be no better off.
        let ready = self.can_serve();
        let mut state = self.state.borrow_mut();
        if ready || state.stop != StopPhase::Running {
            state.unready_since = None;
            return;
        }
        let since = *state.unready_since.get_or_insert(now);
        let already_shed = state.shed_at.is_some_and(|at| at >= since);
        if now.since(since) < self.settings.balancer_detection_time || already_shed {
            return;
        }
        state.shed_at = Some(now);
        drop(state);
        log::warn!("event=sessions_shed sessions={}", self.sessions.get());
        self.sessions_must_move.notify_waiters();
    }

    /// Waits, at most for `timeout`, until this VM knows routes, keys and primaries. Until then a
    /// VM that has just started would refuse valid requests.
    pub async fn await_initial_data(&self, timeout: Duration) {
        let known = async {
            loop {
                let changed = self.changed.notified();
                if self.has_initial_data() {
                    return;
                }
                changed.await;
            }
        };
        if tokio::time::timeout(timeout, known).await.is_err() {
            log::debug!("event=start_timed_out timeout_ms={}", timeout.as_millis());
        }
    }

    /// Waits until a condition holds. Every change of it must be signalled by [`Node::changed`].
    pub async fn wait_until(&self, condition: impl Fn(&State) -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition(&self.state.borrow()) {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether this VM has the information needed to open and serve sessions.
    fn has_initial_data(&self) -> bool {
        let state = self.state.borrow();
        let forwards = || self.gateways.any_reachable(&state, &self.settings.vm);
        state.has_initial_data(clock::now()) || (state.catalog.is_some() && forwards())
    }

    /// Records the first attempt of a statement, which allows retries.
    pub fn record_first_attempt(&self, database: &DatabaseName) {
        self.retry_budgets.borrow_mut().on_first_attempt(database);
    }

    /// Takes a retry for a statement that has had `attempts` attempts; returns whether there was one.
    pub fn take_retry(
        &self,
        id: &str,
        database: &DatabaseName,
        attempts: u8,
        reason: &'static str,
    ) -> bool {
        let taken = self.retry_budgets.borrow_mut().take(database, attempts);
        let Err(denial) = taken else { return true };
        metrics().count_retry_denied(reason, denial.into());
        log::info!(
            "event=retry_denied id={id} database={database} reason={reason} denied_by={denial} \
             attempts={attempts}"
        );
        false
    }

    /// Signals that the store responds again after a gap, in which watches may have missed changes.
    pub fn signal_store_regained(&self) {
        self.directory_progress.record_gap();
        self.store_regained.notify_waiters();
    }

    /// Returns the configuration in force; `None` until it has been read.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.state.borrow().catalog.clone()
    }

    /// Returns for how long this VM has known the store's timeline. Unlimited in the first timeline,
    /// which no restoration has begun, and in one that another VM has known for long enough.
    pub fn timeline_age(&self) -> Duration {
        let timeline = self.adapter.store.timeline();
        if timeline == Timeline::default() {
            return Duration::MAX;
        }
        let state = self.state.borrow();
        if state.settled.timeline == timeline {
            return Duration::MAX;
        }
        if state.timeline != timeline {
            return Duration::ZERO;
        }
        clock::now().since(state.timeline_seen_at)
    }

    /// Calls the store and counts the call.
    ///
    /// # Errors
    ///
    /// Returns the error of the store's client.
    pub async fn call(&self, request: PlatformRequest) -> store::Result<PlatformResponse> {
        let kind = kind(&request);
        let response = (self.adapter.store.call)(request).await;
        log::debug!(
            "event=store_called kind={kind} answered={}",
            response.is_ok()
        );
        metrics().count_store_call(kind, response.is_ok());
        response
    }

    /// Returns the connection pool of an instance, which is created on first use.
    pub fn pool(&self, instance: &Rc<Instance>) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(instance.name.clone()).or_insert_with(|| {
            let limits = self.limits(instance);
            let pool = Pool::new(Rc::clone(instance), self.adapter.protocol, limits);
            self.update_warmth(&pool);
            pool
        });
        Rc::clone(pool)
    }

    /// Returns the health of an instance; `Healthy` while it has no pool.
    pub fn health_verdict(&self, instance: &InstanceName) -> Verdict {
        let pools = self.pools.borrow();
        pools
            .get(instance)
            .map_or(Verdict::Healthy, |pool| pool.verdict())
    }

    /// Returns all pools that have been created.
    pub fn pools(&self) -> Vec<Rc<Pool>> {
        self.pools.borrow().values().cloned().collect()
    }

    /// Updates or removes the pool of an instance whose announcement has changed.
    pub fn apply_change(&self, change: &Change) {
        match (&change.previous, &change.current) {
            (_, Some(current)) => {
                if let Some(pool) = self.pools.borrow().get(&current.name) {
                    pool.update(current);
                    self.update_warmth(pool);
                }
                if change.previous.is_none() {
                    self.forget_stalled_saves(&current.database);
                }
                log_instance(current);
            }
            (Some(previous), None) => {
                if let Some(pool) = self.pools.borrow_mut().remove(&previous.name) {
                    pool.close_idle();
                }
                log::info!(
                    "event=instance_gone database={} instance={}",
                    previous.database,
                    previous.name
                );
            }
            (None, None) => {}
        }
    }

    /// Removes the pool that a control connection has created for an instance that isn't announced.
    pub fn forget_unannounced(&self, instance: &InstanceName) {
        if self.state.borrow().directory.get(instance).is_none() {
            self.pools.borrow_mut().remove(instance);
        }
    }

    /// Forgets the saves of a database that timed out before an instance joined. They may have timed
    /// out for want of a replica.
    fn forget_stalled_saves(&self, database: &DatabaseName) {
        let pools = self.pools();
        for pool in pools
            .iter()
            .filter(|pool| pool.instance().database == *database)
        {
            pool.record_health(|health, _| health.forget_saves());
        }
    }

    /// Applies the current limits to every pool, closes connections that were idle for long and
    /// decays measurements. `elapsed` is the time since the last call.
    pub fn maintain_pools(&self, elapsed: Duration) {
        let mut connections = 0;
        for pool in self.pools() {
            pool.set_limits(self.limits(&pool.instance()));
            self.update_warmth(&pool);
            pool.maintain(elapsed);
            connections += pool.open();
            let instance = pool.instance();
            if !instance.is_primary {
                metrics().set_replica_lag(&instance.name, pool.lag().estimate());
            }
        }
        ejection::update(self, elapsed);
        metrics().set_open_counts(self.sessions.get(), connections);
        metrics().set_pending_input(self.connections.pending_bytes());
        if let Some(catalog) = self.catalog() {
            let mut route_times = self.route_times.borrow_mut();
            route_times.retain(catalog.routes.values().map(|route| &route.name));
        }
    }

    /// Applies to a pool how far its instance may be used now: fewer slots while it is cold, or after
    /// its zone was evacuated, and a limited rate of statements while it is cold.
    fn update_warmth(&self, pool: &Pool) {
        let now = clock::now();
        let instance = pool.instance();
        let state = self.state.borrow();
        let cold_until = state.directory.cold_until(&instance.name);
        let warm_from = cold_until.max(state.returned_at(&instance));
        let slots = self.settings.warmup.slots(instance.slots, warm_from, now);
        let cold_per_s = state.cold_per_s(&instance.database);
        let cold_per_s = cold_per_s.filter(|_| state.directory.is_cold(&instance.name, now));
        let share_per_s = cold_per_s.map(|cold_per_s| {
            let (own, gateways) = (&self.settings.vm, state.gateways.keys());
            warmup::share_per_s(cold_per_s, &instance.name, own, gateways)
        });
        pool.set_warmth(slots, share_per_s);
    }

    fn limits(&self, instance: &Instance) -> Limits {
        let state = self.state.borrow();
        let catalog = state.catalog.as_ref();
        let known = catalog.and_then(|catalog| catalog.databases.get(&instance.database));
        let max_connections = known.map_or(1, |database| database.max_connections);
        let gateways = state.gateways.values();
        let near =
            gateways.filter(|gateway| gateway.availability_zone == instance.availability_zone);
        let near = near.count();
        let sharing = Sharing {
            near,
            far: state.gateways.len() - near,
            is_near: self.settings.availability_zone == instance.availability_zone,
        };
        Limits::divide(max_connections, sharing)
    }
}

fn kind(request: &PlatformRequest) -> &'static str {
    match request {
        PlatformRequest::Get { .. } => "get",
        PlatformRequest::List { .. } => "list",
        PlatformRequest::CompareAndSwap { .. } => "compare_and_swap",
        PlatformRequest::GrantLease { .. } => "grant_lease",
        PlatformRequest::KeepAlive { .. } => "keep_alive",
        PlatformRequest::Revoke { .. } => "revoke",
        PlatformRequest::Watch { .. } | PlatformRequest::EndWatch { .. } => "watch",
    }
}

fn log_instance(instance: &Instance) {
    log::info!(
        "event=instance_announced database={} instance={} address={} state={} primary={} \
         started_at_ms={} cold_left_ms={}",
        instance.database,
        instance.name,
        instance.address,
        instance.state,
        instance.is_primary,
        instance.started_at_ms,
        instance.cold_left.as_millis()
    );
}
