//! Pool of this VM's connections to one instance.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::clock;
use super::health::{Health, Verdict};
use super::instance::Instance;
use super::latency::{InstanceLatency, StatementKind};
use super::link::{Link, LinkError, rejection};
use super::outlier::{OutlierRecord, ReadOutcome};
use super::placement::Availability;
use super::position::Position;
use super::replica_lag::ReplicaLag;
use super::saves::SavesInFlight;
use super::slots::Slots;
use super::statement::{FailureKind, Protocol};
use super::warmup::Pace;
use crate::name::{RouteName, WorkspaceName};
use crate::telemetry::metrics::{OpenReason, metrics};
use crate::time::Timestamp;

mod limits;

pub use limits::{Claim, Limits, Sharing};

/// Result of taking a connection.
pub type Result<T, E = LinkError> = std::result::Result<T, E>;

/// Time for which no connection is opened after the instance reported that it has none left.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a pool keeps few idle connections after the instance reported that it has none
/// left: as long as the instance counts lost connections.
const CROWDED_PERIOD: Duration = Duration::from_secs(3);

/// Time after a rejection for lack of capacity for which an instance counts as contended.
const CONTENDED_PERIOD: Duration = Duration::from_millis(500);

/// Estimated lag from which a replica's lag is logged.
const LONG_LAG: Duration = Duration::from_millis(500);

/// Half-life of the uses counted for a workspace.
const USES_HALF_LIFE: Duration = Duration::from_secs(5);

/// Decayed number of uses below which a workspace is no longer tracked.
const MIN_TRACKED_USES: f64 = 0.01;

/// Statement that needs a connection.
#[derive(Debug, Clone, Copy)]
pub struct LinkRequest<'a> {
    /// Workspace of the statement.
    pub workspace: &'a WorkspaceName,
    /// Part of the connections that it may use.
    pub claim: Claim,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time until which the statement waits for a connection.
    pub deadline: Instant,
}

/// Connections to one instance, with its health and the measurements used for its selection.
#[derive(Debug)]
pub struct Pool {
    instance: RefCell<Rc<Instance>>,
    slots: Rc<Slots>,
    protocol: Protocol,
    limits: Cell<Limits>,
    idle: RefCell<Vec<Link>>,
    uses: RefCell<HashMap<WorkspaceName, f64>>,
    open: Cell<usize>,
    full_at: Cell<Option<Instant>>,
    released: Notify,
    latency: Cell<InstanceLatency>,
    answered_at: Cell<Option<Instant>>,
    rejected_at: Cell<Option<Instant>>,
    position: Cell<Option<Position>>,
    lag: Cell<ReplicaLag>,
    outlier: RefCell<OutlierRecord>,
    in_flight: Cell<u32>,
    saves: Rc<SavesInFlight>,
    health: RefCell<Health>,
    became_unreachable: Notify,
    /// Statements a second that this VM may send; `None` unless the instance is cold.
    cold_share_per_s: Cell<Option<f64>>,
    pace: Cell<Pace>,
}

/// Response to a statement, as evidence about the instance that sent it.
#[derive(Debug, Clone, Copy)]
pub struct Answer<'a> {
    /// Route of the statement.
    pub route: &'a RouteName,
    /// Workspace of the statement.
    pub workspace: &'a WorkspaceName,
    /// Kind of the statement.
    pub kind: StatementKind,
    /// Time from sending the statement to its response.
    pub taken: Duration,
    /// Usual time of such statements, over all instances.
    pub usual: Duration,
    /// Position that the instance reported.
    pub position: Option<Position>,
    /// Position that the statement required; `None` if it required none.
    pub min_position: Option<Position>,
    /// Why the statement failed; `None` if it succeeded.
    pub failure: Option<FailureKind>,
}

/// Connection that was taken from a pool. When dropped, it is returned to the pool if it is still
/// usable, and closed otherwise.
#[derive(Debug)]
pub struct PooledLink {
    pool: Rc<Pool>,
    link: Option<Link>,
}

impl Pool {
    /// Builds an empty pool.
    pub fn new(instance: Rc<Instance>, protocol: Protocol, limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            slots: Slots::new(instance.slots),
            instance: RefCell::new(instance),
            protocol,
            limits: Cell::new(limits),
            idle: RefCell::default(),
            uses: RefCell::default(),
            open: Cell::new(0),
            full_at: Cell::new(None),
            released: Notify::new(),
            latency: Cell::default(),
            answered_at: Cell::new(None),
            rejected_at: Cell::new(None),
            position: Cell::new(None),
            lag: Cell::default(),
            outlier: RefCell::default(),
            in_flight: Cell::new(0),
            saves: Rc::default(),
            health: RefCell::default(),
            became_unreachable: Notify::new(),
            cold_share_per_s: Cell::new(None),
            pace: Cell::default(),
        })
    }

    /// Changes how far the instance is used: the number of its slots, and while it is cold, the
    /// statements a second that this VM may send.
    pub fn set_warmth(&self, slots: u32, cold_share_per_s: Option<f64>) {
        self.slots.set_count(slots);
        self.cold_share_per_s.set(cold_share_per_s);
    }

    /// Returns whether the instance is cold and takes a limited rate of statements.
    pub fn is_rate_limited(&self) -> bool {
        self.cold_share_per_s.get().is_some()
    }

    /// Returns whether the rate of a cold instance allows a statement at once.
    pub fn is_rate_free(&self) -> bool {
        let share = self.cold_share_per_s.get();
        share.is_none_or(|per_s| self.pace.get().is_free(per_s, clock::now()))
    }

    /// Reserves the next place in the rate of a cold instance and returns the time until then; zero
    /// if the instance isn't cold.
    ///
    /// # Errors
    ///
    /// Fails with the time until the next place if it is longer than `max_wait`.
    pub fn reserve_rate(&self, max_wait: Duration) -> Result<Duration, Duration> {
        let Some(per_s) = self.cold_share_per_s.get() else {
            return Ok(Duration::ZERO);
        };
        let mut pace = self.pace.get();
        let reserved = pace.reserve(per_s, max_wait, clock::now());
        self.pace.set(pace);
        reserved
    }

    /// Applies a new announcement of the instance. If its process, address or database changed,
    /// idle connections are closed and all measurements and the health are reset.
    pub fn update(&self, instance: &Rc<Instance>) {
        let previous = self.instance.replace(Rc::clone(instance));
        let same_process = previous.address == instance.address
            && previous.started_at_ms == instance.started_at_ms
            && previous.database == instance.database;
        if !same_process {
            self.close_idle();
            self.position.set(None);
            self.lag.take();
            self.outlier.take();
            self.latency.take();
            self.answered_at.take();
            self.rejected_at.take();
            self.full_at.take();
            self.clear_health();
        }
    }

    /// Changes the limits. Idle connections beyond them are closed when one is next returned.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.set(limits);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let closed = std::mem::take(&mut *self.idle.borrow_mut()).len();
        self.open.set(self.open.get() - closed);
    }

    /// Closes connections that exceeded the idle time limit, and decays measurements by the time
    /// elapsed.
    pub fn maintain(&self, elapsed: Duration) {
        self.update_latency(|latency| latency.decay(elapsed));
        self.update_lag(|lag| lag.decay(elapsed));
        self.outlier.borrow_mut().decay(elapsed, clock::now());
        let kept = 0.5_f64.powf(elapsed.as_secs_f64() / USES_HALF_LIFE.as_secs_f64());
        self.uses.borrow_mut().retain(|_, uses| {
            *uses *= kept;
            *uses > MIN_TRACKED_USES
        });
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|link| link.used_at.elapsed() < IDLE_TIMEOUT && link.is_usable());
        self.open.set(self.open.get() - (before - idle.len()));
    }

    /// Returns whether a connection for the workspace is idle, can be opened or must be awaited.
    pub fn availability(&self, workspace: &WorkspaceName, claim: Claim) -> Availability {
        let idle = self.idle.borrow();
        if idle.iter().any(|link| link.workspace == *workspace) {
            Availability::Idle
        } else if idle.is_empty() && !self.may_open(claim) {
            Availability::Exhausted
        } else {
            Availability::NotOpen
        }
    }

    /// Returns the number of open connections, idle or in use.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the measured latency of the instance.
    pub fn latency(&self) -> InstanceLatency {
        self.latency.get()
    }

    fn update_latency(&self, update: impl FnOnce(&mut InstanceLatency)) {
        let mut latency = self.latency.get();
        update(&mut latency);
        self.latency.set(latency);
    }

    /// Returns the time since the last response to a statement; `Duration::MAX` if there was none.
    pub fn view_age(&self) -> Duration {
        self.answered_at
            .get()
            .map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Returns whether statements wait for the instance's slots or use most of them, or it rejected
    /// one for lack of capacity lately: the load of other VMs shows only in rejections.
    pub fn is_contended(&self) -> bool {
        let rejected_at = self.rejected_at.get();
        let rejected = rejected_at.is_some_and(|at| at.elapsed() < CONTENDED_PERIOD);
        let most = (self.instance.borrow().slots * 3).div_ceil(4).max(1);
        rejected || self.slots.waiting() > 0 || self.in_flight.get() >= most
    }

    /// Returns the last position that the instance reported, `None` if it is unknown.
    pub fn position(&self) -> Option<Position> {
        self.position.get()
    }

    /// Returns the estimated lag of the instance behind the primary.
    pub fn lag(&self) -> ReplicaLag {
        self.lag.get()
    }

    /// Changes the estimated lag. Logs when it begins or ceases to be long.
    pub fn update_lag(&self, update: impl FnOnce(&mut ReplicaLag)) {
        let mut lag = self.lag.get();
        let was_long = lag.estimate() >= LONG_LAG;
        update(&mut lag);
        self.lag.set(lag);
        if was_long != (lag.estimate() >= LONG_LAG) {
            let instance = self.instance.borrow();
            log::info!(
                "event=replica_lag_changed database={} instance={} lag_ms={}",
                instance.database,
                instance.name,
                lag.estimate().as_millis()
            );
        }
    }

    /// Returns the number of statements that run on the instance or wait for one of its slots.
    pub fn load(&self) -> u32 {
        let waiting = u32::try_from(self.slots.waiting()).unwrap_or(u32::MAX);
        self.in_flight.get().saturating_add(waiting)
    }

    /// Returns the saves that were sent to the instance and not answered yet.
    pub const fn saves(&self) -> &Rc<SavesInFlight> {
        &self.saves
    }

    /// Returns the slots of the instance at this VM.
    pub const fn slots(&self) -> &Rc<Slots> {
        &self.slots
    }

    /// Returns the instance according to its latest announcement.
    pub fn instance(&self) -> Rc<Instance> {
        Rc::clone(&self.instance.borrow())
    }

    /// Returns the health of the instance according to the evidence recorded.
    pub fn verdict(&self) -> Verdict {
        self.health.borrow().verdict(clock::now())
    }

    /// Records evidence about the instance's health. When it becomes unreachable,
    /// [`Pool::wait_until_unreachable`] returns, so that statements that may run elsewhere are
    /// retried.
    pub fn record_health(&self, update: impl FnOnce(&mut Health, Timestamp)) {
        let now = clock::now();
        update(&mut self.health.borrow_mut(), now);
        if self.verdict() == Verdict::Unreachable {
            self.became_unreachable.notify_waiters();
        }
    }

    /// Returns whether a save may be sent to the instance although it has no known replica.
    pub fn admits_save(&self) -> bool {
        self.health.borrow_mut().admits_save(clock::now())
    }

    /// Discards the evidence about the instance's health.
    pub fn clear_health(&self) {
        self.health.replace(Health::default());
    }

    /// Waits until the instance counts as unreachable.
    pub async fn wait_until_unreachable(&self) {
        self.became_unreachable.notified().await;
    }

    /// Records that a statement was sent.
    pub fn statement_started(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.record_health(Health::on_sent);
    }

    /// Records the response to a statement.
    pub fn statement_answered(&self, answer: &Answer<'_>) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.record_health(Health::on_statement_response);
        self.answered_at.set(Some(Instant::now()));
        match answer.failure {
            None => self.update_latency(|latency| latency.record(answer.taken, answer.usual)),
            Some(FailureKind::Busy) => {
                self.rejected_at.set(Some(Instant::now()));
                self.update_latency(InstanceLatency::record_rejection);
            }
            // Other failures are sent before the statement has run to its end, and tell no latency.
            Some(_) => {}
        }
        if let Some(outcome) = outcome(answer) {
            self.record_read(answer.kind, answer.workspace, outcome);
        }
        if answer.position.is_some() {
            self.position.set(answer.position);
        }
    }

    fn record_read(&self, kind: StatementKind, workspace: &WorkspaceName, outcome: ReadOutcome) {
        if kind == StatementKind::Read {
            self.outlier.borrow_mut().record(workspace, outcome);
        }
    }

    /// Returns what is known of the instance's reads and ejections.
    pub const fn outlier(&self) -> &RefCell<OutlierRecord> {
        &self.outlier
    }

    /// Records that the wait for the response to a statement ended without one.
    pub fn statement_lost(&self, kind: StatementKind, workspace: &WorkspaceName) {
        self.record_read(kind, workspace, ReadOutcome::Failed);
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.record_health(Health::on_statement_failed);
        self.update_latency(InstanceLatency::record_loss);
    }

    /// Takes an idle connection that was opened for the workspace, or opens one.
    ///
    /// # Errors
    ///
    /// Fails when opening a connection fails, or when none becomes available before the deadline.
    pub async fn take(self: &Rc<Self>, request: &LinkRequest<'_>) -> Result<PooledLink> {
        let workspace = request.workspace;
        *self.uses.borrow_mut().entry(workspace.clone()).or_default() += 1.0;
        loop {
            if let Some(link) = self.take_idle(workspace) {
                return Ok(self.pooled(link));
            }
            if let Some(reason) = self.make_room(request.claim) {
                let until = request
                    .deadline
                    .min(Instant::now() + request.connect_timeout);
                match self.connect(workspace, reason, until).await {
                    Err(error) if rejection(&error) == Some(FailureKind::TooManyConnections) => {
                        self.full_at.set(Some(Instant::now()));
                    }
                    opened => return opened,
                }
            }
            self.wait_for_release(request.deadline).await?;
        }
    }

    /// Opens a connection for control commands, regardless of the limits.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached before the deadline.
    pub async fn open_beyond_limits(
        self: &Rc<Self>,
        workspace: &WorkspaceName,
        deadline: Instant,
    ) -> Result<PooledLink> {
        self.connect(workspace, OpenReason::Control, deadline).await
    }

    async fn wait_for_release(&self, deadline: Instant) -> Result<()> {
        let released = self.released.notified();
        let pause = Instant::now() + FULL_RETRY_DELAY;
        if timeout_at(deadline.min(pause), released).await.is_err() && Instant::now() >= deadline {
            return Err(LinkError::Exhausted);
        }
        Ok(())
    }

    async fn connect(
        self: &Rc<Self>,
        workspace: &WorkspaceName,
        reason: OpenReason,
        deadline: Instant,
    ) -> Result<PooledLink> {
        metrics().count_connection_opened(reason);
        self.open.set(self.open.get() + 1);
        let mut pooled = PooledLink {
            pool: Rc::clone(self),
            link: None,
        };
        let instance = Rc::clone(&self.instance.borrow());
        let link = Link::open(instance, workspace.clone(), self.protocol, deadline).await?;
        pooled.link = Some(link);
        Ok(pooled)
    }

    fn pooled(self: &Rc<Self>, link: Link) -> PooledLink {
        PooledLink {
            pool: Rc::clone(self),
            link: Some(link),
        }
    }

    fn take_idle(&self, workspace: &WorkspaceName) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        while let Some(index) = idle.iter().rposition(|link| link.workspace == *workspace) {
            let link = idle.remove(index);
            if link.is_usable() {
                return Some(link);
            }
            self.open.set(self.open.get() - 1);
        }
        None
    }

    /// Makes room for another connection, by closing an idle one if necessary. Returns why one is
    /// opened; `None` if there is no room.
    fn make_room(&self, claim: Claim) -> Option<OpenReason> {
        if self.may_open(claim) {
            return Some(OpenReason::NoneIdle);
        }
        self.evict_idle().then_some(OpenReason::Replaced)
    }

    fn may_open(&self, claim: Claim) -> bool {
        let max_open = self.limits.get().max_open_for(claim);
        self.open.get() < max_open && !self.was_full_within(FULL_RETRY_DELAY)
    }

    /// Returns whether the instance reported within the last `period` that it has no connection
    /// left.
    fn was_full_within(&self, period: Duration) -> bool {
        let full_at = self.full_at.get();
        full_at.is_some_and(|at| at.elapsed() < period)
    }

    /// Closes the idle connections beyond the limits.
    fn trim_idle(&self) {
        let crowded = self.was_full_within(CROWDED_PERIOD);
        loop {
            let idle = self.idle.borrow().len();
            let in_use = self.open.get() - idle;
            if idle <= self.limits.get().max_idle(in_use, crowded) {
                return;
            }
            self.evict_idle();
        }
    }

    /// Closes the idle connection whose workspace uses the instance least. Returns whether there
    /// was an idle connection.
    fn evict_idle(&self) -> bool {
        let uses = self.uses.borrow();
        let uses = |link: &Link| uses.get(&link.workspace).copied().unwrap_or_default();
        let mut idle = self.idle.borrow_mut();
        let indexes = 0..idle.len();
        let least = indexes.min_by(|a, b| uses(&idle[*a]).total_cmp(&uses(&idle[*b])));
        let Some(least) = least else {
            return false;
        };
        idle.remove(least);
        self.open.set(self.open.get() - 1);
        true
    }

    fn release(&self, link: Option<Link>) {
        match link {
            Some(link) if self.accepts(&link) => self.idle.borrow_mut().push(link),
            _ => self.open.set(self.open.get() - 1),
        }
        self.trim_idle();
        self.released.notify_one();
    }

    fn accepts(&self, link: &Link) -> bool {
        let instance = self.instance.borrow();
        link.instance.address == instance.address
            && link.instance.started_at_ms == instance.started_at_ms
            && link.is_usable()
    }
}

/// Returns what a response to a read shows about its instance; `None` for a rejection, which isn't a
/// fault of it.
fn outcome(answer: &Answer<'_>) -> Option<ReadOutcome> {
    match answer.failure {
        None => Some(ReadOutcome::of_completed(answer.taken, answer.usual)),
        Some(
            FailureKind::Failed | FailureKind::TimedOut | FailureKind::Unknown | FailureKind::Other,
        ) => Some(ReadOutcome::Failed),
        Some(_) => None,
    }
}

impl PooledLink {
    /// Returns the connection itself.
    ///
    /// # Panics
    ///
    /// Never: the connection is only taken out on drop.
    pub fn link(&mut self) -> &mut Link {
        self.link
            .as_mut()
            .expect("the connection is only taken out on drop")
    }

    /// Returns the pool that the connection belongs to.
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// Closes the connection instead of returning it, because its state is unknown.
    pub fn close(mut self) {
        self.link = None;
    }
}

impl Drop for PooledLink {
    fn drop(&mut self) {
        let link = self.link.take();
        self.pool.release(link);
    }
}

#[cfg(test)]
mod tests;
