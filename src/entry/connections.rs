//! Connections that this VM has accepted, and their closing when they cost too much.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slotmap::SecondaryMap;
use tokio::sync::Notify;

use super::clock;
use super::input_budget::{Cause, ConnectionKey, InputBudget, InputLimits, Peer};
use crate::telemetry::metrics::metrics;
use crate::time::Timestamp;

/// Shortest interval between two log lines: a flood of connections must not become one of lines.
const LOG_INTERVAL: Duration = Duration::from_millis(100);

/// Connections that this VM has accepted.
#[derive(Debug)]
pub struct Connections {
    budget: RefCell<InputBudget>,
    closings: RefCell<SecondaryMap<ConnectionKey, Rc<Closing>>>,
    logged_at: Cell<Timestamp>,
    unlogged: Cell<u64>,
}

/// Whether a connection is to be closed.
#[derive(Debug)]
struct Closing {
    address: SocketAddr,
    cause: Cell<Option<Cause>>,
    decided: Notify,
}

/// Connection that counts until it is dropped.
#[derive(Debug)]
pub struct Tracked {
    connections: Rc<Connections>,
    key: ConnectionKey,
    closing: Rc<Closing>,
}

impl Connections {
    /// Builds the bounds for a VM without connections.
    pub fn new(limits: InputLimits) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(InputBudget::new(limits)),
            closings: RefCell::default(),
            logged_at: Cell::default(),
            unlogged: Cell::default(),
        })
    }

    /// Counts a connection that was accepted. Another one, or itself, may have to be closed for it.
    pub fn track(self: &Rc<Self>, peer: Peer, address: SocketAddr) -> Tracked {
        let (key, eviction) = self.budget.borrow_mut().add(peer, clock::now());
        let closing = Rc::new(Closing {
            address,
            cause: Cell::default(),
            decided: Notify::new(),
        });
        self.closings.borrow_mut().insert(key, Rc::clone(&closing));
        if let Some(eviction) = eviction {
            self.close(eviction.connection, eviction.cause);
        }
        Tracked {
            connections: Rc::clone(self),
            key,
            closing,
        }
    }

    /// Returns the bytes of incomplete messages that all connections hold.
    pub fn pending_bytes(&self) -> usize {
        self.budget.borrow().pending_bytes()
    }

    fn close(&self, key: ConnectionKey, cause: Cause) {
        let closings = self.closings.borrow();
        let Some(closing) = closings.get(key) else {
            return;
        };
        closing.cause.set(Some(cause));
        closing.decided.notify_one();
        self.record(closing.address, cause);
    }

    /// Counts and logs a connection that is closed because it costs too much.
    fn record(&self, address: SocketAddr, cause: Cause) {
        metrics().count_closed_connection(cause.into());
        let now = clock::now();
        if now.since(self.logged_at.get()) < LOG_INTERVAL {
            self.unlogged.set(self.unlogged.get() + 1);
            return;
        }
        self.logged_at.set(now);
        let budget = self.budget.borrow();
        log::warn!(
            "event=costly_connection_closed cause={cause} peer={address} connections={} \
             pending_bytes={} unlogged={}",
            budget.connections(),
            budget.pending_bytes(),
            self.unlogged.take()
        );
    }
}

impl Tracked {
    /// Records that a caller has sent the first message.
    pub fn open(&self) {
        self.connections.budget.borrow_mut().open(self.key);
    }

    /// Records how many bytes of an incomplete message the connection holds.
    pub fn set_pending(&self, bytes: usize) {
        let mut budget = self.connections.budget.borrow_mut();
        let eviction = budget.set_pending(self.key, bytes, clock::now());
        drop(budget);
        if let Some(eviction) = eviction {
            self.connections.close(eviction.connection, eviction.cause);
        }
    }

    /// Records that the connection is closed because a message wasn't completed in time.
    pub fn record_slow_message(&self) {
        self.connections
            .record(self.closing.address, Cause::SlowMessage);
    }

    /// Waits until the connection is to be closed. Await it only while the connection waits for
    /// input, so that nothing that runs is cut off.
    pub async fn must_close(&self) -> Cause {
        loop {
            if let Some(cause) = self.closing.cause.get() {
                return cause;
            }
            self.closing.decided.notified().await;
        }
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.connections.closings.borrow_mut().remove(self.key);
        self.connections.budget.borrow_mut().remove(self.key);
    }
}
