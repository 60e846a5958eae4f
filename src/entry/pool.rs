//! This VM's connections to one instance.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::clock;
use super::health::{Health, Verdict};
use super::instance::Instance;
use super::link::{Link, LinkError, rejection};
use super::placement::{Availability, Latency};
use super::position::Position;
use super::statement::{FailureKind, Protocol};
use crate::name::WorkspaceName;
use crate::time::Timestamp;

/// Result of taking a connection.
pub type Result<T, E = LinkError> = std::result::Result<T, E>;

/// Time after an instance said that it has no connection left, in which none is opened.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Idle time after which a connection beyond [`Limits::kept`] is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Time over which the uses counted for a workspace lose half of their weight.
const USES_HALF_LIFE: Duration = Duration::from_secs(5);

/// Uses below which a workspace is forgotten.
const FORGOTTEN_USES: f64 = 0.01;

/// How many connections a VM may have to one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limits {
    /// Connections that may be open.
    pub open: usize,
    /// Connections that are kept while they are idle.
    pub kept: usize,
}

impl Limits {
    /// Divides an instance's connections among VMs. A VM may open more than its part, because the
    /// others seldom use all of theirs, but keeps half of it idle at most: after a loss of power an
    /// instance counts the lost connections for seconds, and the VMs need others meanwhile.
    pub fn divide(max_connections: usize, vms: usize) -> Self {
        let part = max_connections / vms.max(1);
        Self {
            open: (part * 2).clamp(1, max_connections.max(1)),
            kept: (part / 2).max(1),
        }
    }
}

/// Connections to one instance.
#[derive(Debug)]
pub struct Pool {
    instance: RefCell<Rc<Instance>>,
    protocol: Protocol,
    limits: Cell<Limits>,
    idle: RefCell<Vec<Link>>,
    uses: RefCell<HashMap<WorkspaceName, f64>>,
    open: Cell<usize>,
    full_until: Cell<Option<Instant>>,
    freed: Notify,
    latency: Cell<Latency>,
    position: Cell<Option<Position>>,
    in_flight: Cell<u32>,
    health: RefCell<Health>,
    lost: Notify,
}

/// Connection that is taken from a pool; goes back or is closed when dropped.
#[derive(Debug)]
pub struct Lease {
    pool: Rc<Pool>,
    link: Option<Link>,
}

impl Pool {
    /// Builds an empty pool.
    pub fn new(instance: Rc<Instance>, protocol: Protocol, limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            instance: RefCell::new(instance),
            protocol,
            limits: Cell::new(limits),
            idle: RefCell::default(),
            uses: RefCell::default(),
            open: Cell::new(0),
            full_until: Cell::new(None),
            freed: Notify::new(),
            latency: Cell::default(),
            position: Cell::new(None),
            in_flight: Cell::new(0),
            health: RefCell::default(),
            lost: Notify::new(),
        })
    }

    /// Takes over a new announcement of the instance; a new process or address closes what is idle.
    pub fn update(&self, instance: &Rc<Instance>) {
        let previous = self.instance.replace(Rc::clone(instance));
        let same_process = previous.address == instance.address
            && previous.started_at_ms == instance.started_at_ms
            && previous.database == instance.database;
        if !same_process {
            self.close_idle();
            self.position.set(None);
            self.clear_health();
        }
    }

    /// Changes the limits.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.set(limits);
    }

    /// Closes the connections that are not in use.
    pub fn close_idle(&self) {
        let closed = std::mem::take(&mut *self.idle.borrow_mut()).len();
        self.open.set(self.open.get() - closed);
    }

    /// Closes connections that have been idle for long; lets measurements grow older.
    pub fn tidy(&self, elapsed: Duration) {
        let mut latency = self.latency.get();
        latency.grow_older(elapsed);
        self.latency.set(latency);
        let kept = 0.5_f64.powf(elapsed.as_secs_f64() / USES_HALF_LIFE.as_secs_f64());
        self.uses.borrow_mut().retain(|_, uses| {
            *uses *= kept;
            *uses > FORGOTTEN_USES
        });
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|link| link.used_at.elapsed() < IDLE_LIMIT && link.is_usable());
        self.open.set(self.open.get() - (before - idle.len()));
    }

    /// Returns how a connection of the workspace would be had.
    pub fn availability(&self, workspace: &WorkspaceName) -> Availability {
        let idle = self.idle.borrow();
        if idle.iter().any(|link| link.workspace == *workspace) {
            Availability::Open
        } else if idle.is_empty() && !self.may_open() {
            Availability::Exhausted
        } else {
            Availability::Closed
        }
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the expected time of a statement.
    pub fn latency(&self) -> Duration {
        self.latency.get().expected()
    }

    /// Returns the latest position seen of the instance.
    pub fn position(&self) -> Option<Position> {
        self.position.get()
    }

    /// Returns how many statements run.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the instance as it announces itself now.
    pub fn instance(&self) -> Rc<Instance> {
        Rc::clone(&self.instance.borrow())
    }

    /// Returns what the evidence about the instance says.
    pub fn verdict(&self) -> Verdict {
        self.health.borrow().verdict(clock::now())
    }

    /// Records evidence about the instance; ends the statements on it that may run elsewhere once
    /// it counts as unreachable.
    pub fn note_health(&self, note: impl FnOnce(&mut Health, Timestamp)) {
        let now = clock::now();
        note(&mut self.health.borrow_mut(), now);
        if self.verdict() == Verdict::Unreachable {
            self.lost.notify_waiters();
        }
    }

    /// Forgets the evidence about the instance.
    pub fn clear_health(&self) {
        self.health.replace(Health::default());
    }

    /// Waits until the instance counts as unreachable.
    pub async fn lost(&self) {
        self.lost.notified().await;
    }

    /// Counts a statement that starts.
    pub fn started(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.note_health(Health::sent);
    }

    /// Counts a statement that was answered, with what the answer told of the instance.
    pub fn answered(&self, taken: Duration, position: Option<Position>) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.note_health(Health::answered);
        let mut latency = self.latency.get();
        latency.note(taken);
        self.latency.set(latency);
        if position.is_some() {
            self.position.set(position);
        }
    }

    /// Counts a statement that was given up.
    pub fn unanswered(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.note_health(Health::unanswered);
    }

    /// Takes a connection that was opened for the workspace, or opens one.
    ///
    /// # Errors
    ///
    /// Fails when none can be had before the deadline.
    pub async fn take(
        self: &Rc<Self>,
        workspace: &WorkspaceName,
        open_within: Duration,
        deadline: Instant,
    ) -> Result<Lease> {
        *self.uses.borrow_mut().entry(workspace.clone()).or_default() += 1.0;
        loop {
            if let Some(link) = self.take_idle(workspace) {
                return Ok(self.lease(link));
            }
            if self.may_open() || self.evict_idle() {
                let until = deadline.min(Instant::now() + open_within);
                match self.connect(workspace, until).await {
                    Err(error) if rejection(&error) == Some(FailureKind::TooManyConnections) => {
                        self.full_until.set(Some(Instant::now() + FULL_PAUSE));
                    }
                    opened => return opened,
                }
            }
            self.wait_for_room(deadline).await?;
        }
    }

    /// Opens a connection beyond the limits, for control.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached before the deadline.
    pub async fn open_extra(
        self: &Rc<Self>,
        workspace: &WorkspaceName,
        deadline: Instant,
    ) -> Result<Lease> {
        self.connect(workspace, deadline).await
    }

    async fn wait_for_room(&self, deadline: Instant) -> Result<()> {
        let freed = self.freed.notified();
        let pause = Instant::now() + FULL_PAUSE;
        if timeout_at(deadline.min(pause), freed).await.is_err() && Instant::now() >= deadline {
            return Err(LinkError::NoRoom);
        }
        Ok(())
    }

    async fn connect(
        self: &Rc<Self>,
        workspace: &WorkspaceName,
        deadline: Instant,
    ) -> Result<Lease> {
        self.open.set(self.open.get() + 1);
        let mut lease = Lease {
            pool: Rc::clone(self),
            link: None,
        };
        let instance = Rc::clone(&self.instance.borrow());
        let link = Link::open(instance, workspace.clone(), self.protocol, deadline).await?;
        lease.link = Some(link);
        Ok(lease)
    }

    fn lease(self: &Rc<Self>, link: Link) -> Lease {
        Lease {
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

    fn may_open(&self) -> bool {
        let full = self
            .full_until
            .get()
            .is_some_and(|until| Instant::now() < until);
        self.open.get() < self.limits.get().open && !full
    }

    /// Closes the idle connection whose workspace uses the instance least; returns whether there
    /// was one.
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

    fn give_back(&self, link: Option<Link>) {
        match link {
            Some(link) if self.accepts(&link) => self.idle.borrow_mut().push(link),
            _ => self.open.set(self.open.get() - 1),
        }
        while self.idle.borrow().len() > self.limits.get().kept {
            self.evict_idle();
        }
        self.freed.notify_one();
    }

    fn accepts(&self, link: &Link) -> bool {
        let instance = self.instance.borrow();
        link.instance.address == instance.address
            && link.instance.started_at_ms == instance.started_at_ms
            && link.is_usable()
    }
}

impl Lease {
    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Never: the connection is there until the lease is dropped.
    pub fn link(&mut self) -> &mut Link {
        self.link.as_mut().expect("a lease holds its connection")
    }

    /// Returns the pool that the connection belongs to.
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// Closes the connection: its state isn't known.
    pub fn close(mut self) {
        self.link = None;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let link = self.link.take();
        self.pool.give_back(link);
    }
}
