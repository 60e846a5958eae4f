//! Pool of connections to one instance.
//!
//! The pool never holds more connections than its share of the instance's connection limit, opens
//! only a few at a time, and reuses only connections that are known to be clean; others are closed.

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

/// SQLSTATE `too_many_connections`: the instance has reached its connection limit.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Delay before the next attempt to connect to an instance that has reached its connection limit.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of requests that wait for a connection of one pool.
const MAX_WAITING: usize = 1_000;

/// Result of taking a connection from the pool.
pub(crate) type Result<T, E = PoolError> = std::result::Result<T, E>;

/// Why no connection was available; nothing was sent to the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum PoolError {
    /// Too many requests were waiting already, or no connection became free before the deadline.
    #[snafu(display("no connection became free in time; raise the instance's connections"))]
    Exhausted,
    /// The instance could not be reached, or refused the connection.
    #[snafu(display("the instance can't be reached; check its address and health"))]
    Unreachable,
}

/// Limits of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PoolLimits {
    /// Maximum number of connections.
    pub(crate) max_connections: usize,
    /// Maximum number of connections that are opened concurrently.
    pub(crate) max_opening: usize,
    /// Connections that are kept open while idle.
    pub(crate) warm: usize,
    /// Time after which an idle connection beyond `warm` is closed.
    pub(crate) idle_timeout: Duration,
}

/// Callback for each failure to open a connection.
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
    /// Builds a pool that opens no connections until [`Pool::start`] is called.
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

    /// Allows the pool to open connections, and opens those that are kept warm.
    pub(crate) fn start(&self) {
        self.lock().is_started = true;
        self.open_missing();
    }

    /// Closes idle connections and opens no more; running transactions finish on their connections.
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

    /// Takes a connection, preferably one on which the required settings are already applied.
    ///
    /// # Errors
    ///
    /// Fails when no connection becomes free before the deadline, when too many requests wait
    /// already, or when the instance can't be reached.
    pub(crate) async fn take(
        &self,
        required: &[SessionSetting],
        deadline: Instant,
    ) -> Result<Lease> {
        let receiver = {
            let mut state = self.lock();
            if state.is_stopped {
                return Err(PoolError::Unreachable);
            }
            if let Some(connection) = state.pop_idle(required) {
                return Ok(Lease::new(connection, self.clone()));
            }
            if state.waiters.len() >= MAX_WAITING {
                return Err(PoolError::Exhausted);
            }
            let (sender, receiver) = oneshot::channel();
            state.waiters.push_back(sender);
            receiver
        };
        self.open_missing();
        match timeout_at(deadline, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_dropped)) => Err(PoolError::Unreachable),
            Err(_elapsed) => Err(PoolError::Exhausted),
        }
    }

    /// Closes connections that have been idle for too long, and opens those that are kept warm.
    pub(crate) fn maintain(&self, now: Instant) {
        let expired = self.lock().pop_expired(now, self.shared.limits);
        for connection in expired {
            connection.close();
        }
        self.open_missing();
    }

    /// Returns whether every connection is in use and the limit allows no other.
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

    /// Starts opening the connections that waiters and the warm reserve need, within the limits.
    fn open_missing(&self) {
        let count = {
            let mut state = self.lock();
            let count = state.openings_needed(self.shared.limits);
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
                sleep(OPEN_RETRY_DELAY).await;
            }
            Err(error) => {
                (self.shared.on_failure)(&error);
                self.fail_waiters();
                return;
            }
        }
        self.open_missing();
    }

    /// Passes an open connection to the first waiter, or adds it to the idle ones.
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
            // `send` returns the lease when the waiter has stopped waiting in the meantime.
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
            // The receiver is dropped when the waiter has stopped waiting.
            let _ = waiter.send(Err(PoolError::Unreachable));
        }
    }

    /// Updates the count after a leased connection was closed, and opens a replacement if needed.
    fn connection_closed(&self) {
        self.lock().open -= 1;
        self.open_missing();
    }
}
