//! Pool of connections to one instance.
//!
//! The pool never holds more connections than its share of the instance's, opens few at a time,
//! and takes back only connections that are known to be clean; all others are closed.

mod lease;
mod state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use snafu::Snafu;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout_at};

pub(crate) use lease::Lease;
use state::{PoolState, Waiter};

use crate::traffic::SessionSetting;
use crate::traffic::upstream::{Connection, Login, UpstreamError};

/// SQLSTATE of an instance that has no connection left.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Time before another opening is tried at an instance that has no connection left.
const REOPEN_PAUSE: Duration = Duration::from_millis(20);

/// Largest number of requests that wait for a connection of one pool.
const MAX_WAITING: usize = 1_000;

/// Result of taking a connection.
pub(crate) type Result<T, E = PoolError> = std::result::Result<T, E>;

/// Why no connection could be had; nothing was sent to the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum PoolError {
    /// Too many requests wait already, or the wait took too long.
    #[snafu(display("no connection came free in time; raise the instance's connections"))]
    Exhausted,
    /// The instance could not be reached, or refused the connection.
    #[snafu(display("the instance can't be reached; check its address and health"))]
    Unreachable,
}

/// Bounds of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PoolLimits {
    /// Largest number of connections.
    pub(crate) max_connections: usize,
    /// Largest number of connections that are opening at once.
    pub(crate) max_opening: usize,
    /// Connections that are kept open while idle.
    pub(crate) warm: usize,
    /// Time after which an idle connection beyond `warm` is closed.
    pub(crate) idle_timeout: Duration,
}

/// Called with each failure to open a connection.
pub(crate) type FailureHook = Box<dyn Fn(&UpstreamError) + Send + Sync>;

/// Pool of connections to one instance; cheap to clone.
#[derive(Clone)]
pub(crate) struct Pool {
    shared: Arc<Shared>,
}

struct Shared {
    login: Login,
    limits: PoolLimits,
    runtime: Handle,
    on_failure: FailureHook,
    state: Mutex<PoolState>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool")
            .field("login", &self.shared.login)
            .field("limits", &self.shared.limits)
            .finish_non_exhaustive()
    }
}

impl Pool {
    /// Builds a pool that opens nothing until [`Pool::start`].
    pub(crate) fn new(
        login: Login,
        limits: PoolLimits,
        runtime: Handle,
        on_failure: FailureHook,
    ) -> Self {
        let shared = Shared {
            login,
            limits,
            runtime,
            on_failure,
            state: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Lets the pool open connections, and opens the ones that are kept warm.
    pub(crate) fn start(&self) {
        self.lock().is_started = true;
        self.open_wanted();
    }

    /// Closes idle connections and opens no more; running transactions end on theirs.
    pub(crate) fn stop(&self) {
        let (idle, waiters) = {
            let mut state = self.lock();
            state.is_stopped = true;
            (
                std::mem::take(&mut state.idle),
                std::mem::take(&mut state.waiters),
            )
        };
        drop(waiters);
        for idle in idle {
            idle.connection.close();
            self.lock().open -= 1;
        }
    }

    /// Takes a connection, preferably one that has the wanted settings.
    ///
    /// # Errors
    ///
    /// Fails when none comes free before the deadline, or the instance can't be reached.
    pub(crate) async fn take(&self, wanted: &[SessionSetting], deadline: Instant) -> Result<Lease> {
        let receiver = {
            let mut state = self.lock();
            if state.is_stopped {
                return Err(PoolError::Unreachable);
            }
            if let Some(connection) = state.pop_idle(wanted) {
                return Ok(Lease::new(connection, self.clone()));
            }
            if state.waiters.len() >= MAX_WAITING {
                return Err(PoolError::Exhausted);
            }
            let (sender, receiver) = oneshot::channel();
            state.waiters.push_back(sender);
            receiver
        };
        self.open_wanted();
        match timeout_at(deadline, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_dropped)) => Err(PoolError::Unreachable),
            Err(_elapsed) => Err(PoolError::Exhausted),
        }
    }

    /// Closes connections that have been idle for too long, and opens ones that are kept warm.
    pub(crate) fn maintain(&self, now: Instant) {
        let expired = self.lock().pop_expired(now, self.shared.limits);
        for connection in expired {
            connection.close();
        }
        self.open_wanted();
    }

    /// Returns whether every connection is in use and no other may be opened.
    pub(crate) fn is_saturated(&self) -> bool {
        let state = self.lock();
        state.idle.is_empty() && state.open >= self.shared.limits.max_connections
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts as many openings as waiters and the warm reserve want, within the bounds.
    fn open_wanted(&self) {
        let count = {
            let mut state = self.lock();
            let count = state.wanted_openings(self.shared.limits);
            state.opening += count;
            count
        };
        for _ in 0..count {
            let pool = self.clone();
            self.shared.runtime.spawn(async move { pool.open().await });
        }
    }

    async fn open(self) {
        let result = self.shared.login.connect().await;
        self.lock().opening -= 1;
        match result {
            Ok(connection) => {
                self.lock().open += 1;
                self.hand_over(connection);
            }
            Err(UpstreamError::Refused { sqlstate, .. }) if sqlstate == TOO_MANY_CONNECTIONS => {
                sleep(REOPEN_PAUSE).await;
            }
            Err(error) => {
                (self.shared.on_failure)(&error);
                self.fail_waiters();
                return;
            }
        }
        self.open_wanted();
    }

    /// Gives an open connection to the first waiter, or keeps it idle.
    fn hand_over(&self, mut connection: Connection) {
        loop {
            let waiter = {
                let mut state = self.lock();
                if state.is_stopped {
                    state.open -= 1;
                    break;
                }
                let Some(waiter) = state.next_waiter() else {
                    connection.shrink();
                    state.push_idle(connection, Instant::now());
                    return;
                };
                waiter
            };
            let lease = Lease::new(connection, self.clone());
            // The lease comes back when the waiter gave up in between.
            match waiter.send(Ok(lease)) {
                Ok(()) => return,
                Err(Ok(lease)) => connection = lease.into_connection(),
                Err(Err(_error)) => return,
            }
        }
        connection.close();
    }

    fn fail_waiters(&self) {
        let waiters: Vec<Waiter> = self.lock().waiters.drain(..).collect();
        for waiter in waiters {
            // A waiter that gave up needs no answer.
            let _ = waiter.send(Err(PoolError::Unreachable));
        }
    }

    /// Notes that a leased connection was closed.
    fn forget_one(&self) {
        self.lock().open -= 1;
        self.open_wanted();
    }
}
