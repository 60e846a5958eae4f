//! Requests that wait for a token of one workspace.

use std::collections::BTreeMap;

use slotmap::new_key_type;

use crate::time::Timestamp;

new_key_type! {
    /// Identifies a waiting request.
    pub struct Ticket;
}

/// Request that waits for a token.
#[derive(Debug, Clone, Copy)]
pub struct Waiter {
    /// Identifies it towards the caller of this module.
    pub ticket: Ticket,
    /// Hash of the request's identifier.
    pub request: u64,
    /// Time until which it may wait.
    pub deadline: Timestamp,
    /// Time at which its caller gives up.
    pub gives_up_at: Timestamp,
}

/// Waiting requests in order of route priority, then arrival.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: BTreeMap<(u8, u64), Waiter>,
    arrivals: u64,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, priority: u8, waiter: Waiter) {
        self.arrivals += 1;
        self.waiters.insert((priority, self.arrivals), waiter);
    }

    /// Removes and returns the first request.
    pub fn pop(&mut self) -> Option<Waiter> {
        self.waiters.pop_first().map(|(_, waiter)| waiter)
    }

    /// Removes a request whose caller no longer waits.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiters.retain(|_, waiter| waiter.ticket != ticket);
    }

    /// Removes and returns the requests for which `is_late` holds, given their position.
    pub fn drain_late(&mut self, is_late: impl Fn(usize, &Waiter) -> bool) -> Vec<Waiter> {
        let waiters = self.waiters.iter().enumerate();
        let late = waiters.filter(|(position, (_, waiter))| is_late(*position, waiter));
        let late: Vec<_> = late.map(|(_, (key, _))| *key).collect();
        late.iter()
            .filter_map(|key| self.waiters.remove(key))
            .collect()
    }

    /// Returns the number of requests that a new one of this priority waits behind.
    pub fn ahead_of(&self, priority: u8) -> usize {
        self.waiters.range(..=(priority, u64::MAX)).count()
    }

    /// Returns the waiting requests in their order.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.waiters.values().map(|waiter| waiter.ticket)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
