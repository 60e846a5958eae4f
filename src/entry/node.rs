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
use super::datagram::Outbox;
use super::follow::Progress;
use super::gateways::Gateways;
use super::health::Verdict;
use super::instance::{Change, Instance};
use super::limiter::Limiter;
use super::pool::{Limits, Pool};
use super::quota::Quota;
use super::settings::EntrySettings;
use super::state::{State, StopPhase};
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
    /// Signals that the store responds again after a renewal without a response.
    pub store_regained: Notify,
    /// Latest change of the shared keys seen here, and by other VMs.
    pub shared_progress: Progress,
    /// Latest change of the instances' announcements seen here, and by other VMs.
    pub directory_progress: Progress,
    /// Confirmations that VMs have stopped using a former primary.
    pub confirmations: ConfirmationTracker,
    /// Requests that wait for a token of their workspace.
    pub limiter: Limiter,
    /// Queue of datagrams to other VMs.
    pub outbox: Outbox,
    /// Signals sessions to move to other VMs: this one is stopping or can't serve them.
    pub sessions_must_move: Notify,
    /// Gateways that this VM forwards to.
    pub gateways: Gateways,
    /// Number of connected callers.
    pub sessions: Cell<usize>,
    /// Number of tasks running for other VMs.
    pub tasks: Cell<usize>,
    pools: RefCell<HashMap<InstanceName, Rc<Pool>>>,
}

impl Node {
    /// Builds the state of a VM that has read nothing from the store yet.
    pub fn new(settings: EntrySettings, adapter: Adapter) -> Rc<Self> {
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
            state: RefCell::new(state),
            changed: Notify::new(),
            store_regained: Notify::new(),
            shared_progress: Progress::default(),
            directory_progress: Progress::default(),
            confirmations: ConfirmationTracker::default(),
            limiter: Limiter::default(),
            outbox: Outbox::default(),
            sessions_must_move: Notify::new(),
            gateways: Gateways::default(),
            sessions: Cell::new(0),
            tasks: Cell::new(0),
            pools: RefCell::default(),
        })
    }

    /// Returns whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
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
        let ready = self.is_ready();
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
            let limits = self.limits(&instance.database);
            Pool::new(Rc::clone(instance), self.adapter.protocol, limits)
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

    /// Applies the current limits to every pool, closes connections that were idle for long and
    /// decays measurements. `elapsed` is the time since the last call.
    pub fn maintain_pools(&self, elapsed: Duration) {
        let mut connections = 0;
        for pool in self.pools() {
            pool.set_limits(self.limits(&pool.instance().database));
            pool.maintain(elapsed);
            connections += pool.open();
        }
        metrics().set_open_counts(self.sessions.get(), connections);
    }

    fn limits(&self, database: &DatabaseName) -> Limits {
        let state = self.state.borrow();
        let catalog = state.catalog.as_ref();
        let known = catalog.and_then(|catalog| catalog.databases.get(database));
        let max_connections = known.map_or(1, |database| database.max_connections);
        Limits::divide(max_connections, state.gateways.len())
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
         started_at_ms={}",
        instance.database,
        instance.name,
        instance.address,
        instance.state,
        instance.is_primary,
        instance.started_at_ms
    );
}
