//! State of a connection pool.

use std::collections::VecDeque;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{Lease, PoolLimits, Result};
use crate::traffic::SessionSetting;
use crate::traffic::upstream::Connection;

/// Request that waits for a connection.
pub(super) type Waiter = oneshot::Sender<Result<Lease>>;

/// Connection that is not in use.
#[derive(Debug)]
pub(super) struct Idle {
    pub(super) connection: Connection,
    since: Instant,
}

/// Connections and waiters of a pool.
#[derive(Debug, Default)]
pub(super) struct PoolState {
    /// Idle connections, the most recently used last.
    pub(super) idle: Vec<Idle>,
    /// Connections that are open, idle or leased.
    pub(super) open: usize,
    /// Connections that are opening.
    pub(super) opening: usize,
    pub(super) waiters: VecDeque<Waiter>,
    pub(super) is_started: bool,
    pub(super) is_stopped: bool,
}

impl PoolState {
    /// Takes the most recently used idle connection that is alive, preferring one with the required
    /// settings.
    pub(super) fn pop_idle(&mut self, required: &[SessionSetting]) -> Option<Connection> {
        while !self.idle.is_empty() {
            let matching = |idle: &Idle| idle.connection.session.matches(required);
            let at = self.idle.iter().rposition(matching);
            let mut idle = self.idle.remove(at.unwrap_or(self.idle.len() - 1));
            if idle.connection.is_alive() {
                return Some(idle.connection);
            }
            self.open -= 1;
        }
        None
    }

    /// Adds a connection to the idle ones.
    pub(super) fn push_idle(&mut self, connection: Connection, now: Instant) {
        self.idle.push(Idle {
            connection,
            since: now,
        });
    }

    /// Removes connections that were idle for too long, except those that are kept warm.
    pub(super) fn pop_expired(&mut self, now: Instant, limits: PoolLimits) -> Vec<Connection> {
        let mut expired = Vec::new();
        while self.open > limits.warm {
            let Some(oldest) = self.idle.first() else {
                break;
            };
            if now.duration_since(oldest.since) < limits.idle_timeout {
                break;
            }
            expired.push(self.idle.remove(0).connection);
            self.open -= 1;
        }
        expired
    }

    /// Takes the first waiter that still waits.
    pub(super) fn next_waiter(&mut self) -> Option<Waiter> {
        loop {
            let waiter = self.waiters.pop_front()?;
            if !waiter.is_closed() {
                return Some(waiter);
            }
        }
    }

    /// Returns how many connections to start opening.
    pub(super) fn openings_needed(&mut self, limits: PoolLimits) -> usize {
        if !self.is_started || self.is_stopped {
            return 0;
        }
        self.waiters.retain(|waiter| !waiter.is_closed());
        let held = self.open + self.opening;
        let for_waiters = self.waiters.len().saturating_sub(self.opening);
        let for_reserve = limits.warm.saturating_sub(held);
        for_waiters
            .max(for_reserve)
            .min(limits.max_connections.saturating_sub(held))
            .min(limits.max_opening.saturating_sub(self.opening))
    }
}
