//! Bounds what peers can make this VM hold: connections, sessions that were never opened, and input
//! that isn't a complete message yet.
//!
//! Load: peers that connect and send nothing, half a message, or a message byte by byte. Beyond a
//! bound, the connection that costs most is to be closed. Sessions that are open and idle cost
//! nothing but a descriptor, are normal, and are never chosen.

use slotmap::{SlotMap, new_key_type};
use strum::{Display, IntoStaticStr};

use crate::time::Timestamp;

/// File descriptors that a process may usually open.
pub const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Callers' connections without a first message. Callers send it at once, so that more of them wait
/// only where hundreds connect in the same moment.
const MAX_UNOPENED: usize = 256;

/// Bytes of incomplete messages: eight messages of the largest size.
const MAX_PENDING_BYTES: usize = 8 << 20;

new_key_type! {
    /// Accepted connection.
    pub struct ConnectionKey;
}

/// Bounds over all connections that a VM has accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InputLimits {
    /// Connections in total, bounded by the file descriptors of the process.
    pub max_connections: usize,
    /// Callers' connections without a first message.
    pub max_unopened: usize,
    /// Bytes of incomplete messages.
    pub max_pending_bytes: usize,
}

impl InputLimits {
    /// Returns the bounds for a process that may open `max_descriptors` files and sockets. A quarter
    /// of them is left for connections to instances, gateways and the store.
    pub const fn for_descriptors(max_descriptors: usize) -> Self {
        Self {
            max_connections: max_descriptors - max_descriptors / 4,
            max_unopened: MAX_UNOPENED,
            max_pending_bytes: MAX_PENDING_BYTES,
        }
    }
}

impl Default for InputLimits {
    fn default() -> Self {
        Self::for_descriptors(DEFAULT_DESCRIPTORS)
    }
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// Too many connections are open.
    Connections,
    /// Too many callers have sent no first message.
    Unopened,
    /// The incomplete messages take too many bytes.
    PendingInput,
    /// A message wasn't completed in time.
    SlowMessage,
}

/// Connection to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Eviction {
    /// The connection that costs most.
    pub connection: ConnectionKey,
    /// Bound that was exceeded.
    pub cause: Cause,
}

/// Other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// A caller, who opens a session with the first message.
    Caller,
    /// Another VM.
    Vm,
}

#[derive(Debug)]
struct Connection {
    accepted_at: Timestamp,
    is_opened: bool,
    pending_bytes: usize,
    pending_since: Timestamp,
    is_evicted: bool,
}

/// Connections and the input that they hold.
#[derive(Debug)]
pub struct InputBudget {
    limits: InputLimits,
    connections: SlotMap<ConnectionKey, Connection>,
    unopened: usize,
    pending_bytes: usize,
    evicted: usize,
}

impl InputBudget {
    /// Creates a budget without connections.
    pub fn new(limits: InputLimits) -> Self {
        Self {
            limits,
            connections: SlotMap::with_key(),
            unopened: 0,
            pending_bytes: 0,
            evicted: 0,
        }
    }

    /// Adds a connection that was accepted. Returns the one to close if there are too many: the
    /// oldest without a first message, or else the new one.
    pub fn add(&mut self, peer: Peer, now: Timestamp) -> (ConnectionKey, Option<Eviction>) {
        let is_opened = peer == Peer::Vm;
        let added = self.connections.insert(Connection {
            accepted_at: now,
            is_opened,
            pending_bytes: 0,
            pending_since: now,
            is_evicted: false,
        });
        self.unopened += usize::from(!is_opened);
        let cause = if self.connections.len() - self.evicted > self.limits.max_connections {
            Cause::Connections
        } else if self.unopened > self.limits.max_unopened {
            Cause::Unopened
        } else {
            return (added, None);
        };
        let chosen = self.oldest_unopened().unwrap_or(added);
        (added, Some(self.evict(chosen, cause)))
    }

    /// Records that a caller has sent the first message.
    pub fn open(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let is_counted = !connection.is_opened && !connection.is_evicted;
        connection.is_opened = true;
        self.unopened -= usize::from(is_counted);
    }

    /// Records how many bytes of an incomplete message a connection holds. Returns the connection to
    /// close if all hold too many: the one that has held most for longest.
    pub fn set_pending(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        now: Timestamp,
    ) -> Option<Eviction> {
        let connection = self.connections.get_mut(key)?;
        if connection.is_evicted {
            return None;
        }
        if connection.pending_bytes == 0 {
            connection.pending_since = now;
        }
        self.pending_bytes = self.pending_bytes - connection.pending_bytes + bytes;
        connection.pending_bytes = bytes;
        if self.pending_bytes <= self.limits.max_pending_bytes {
            return None;
        }
        let costliest = self.costliest(now)?;
        Some(self.evict(costliest, Cause::PendingInput))
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.remove(key) else {
            return;
        };
        if connection.is_evicted {
            self.evicted -= 1;
            return;
        }
        self.unopened -= usize::from(!connection.is_opened);
        self.pending_bytes -= connection.pending_bytes;
    }

    /// Returns the number of connections, without those to be closed.
    pub fn connections(&self) -> usize {
        self.connections.len() - self.evicted
    }

    /// Returns the bytes of incomplete messages that all connections hold.
    pub const fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Frees what a connection that is to be closed holds: it ends a little later.
    fn evict(&mut self, key: ConnectionKey, cause: Cause) -> Eviction {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.is_evicted = true;
            self.evicted += 1;
            self.unopened -= usize::from(!connection.is_opened);
            self.pending_bytes -= std::mem::take(&mut connection.pending_bytes);
        }
        Eviction {
            connection: key,
            cause,
        }
    }

    fn candidates(&self) -> impl Iterator<Item = (ConnectionKey, &Connection)> {
        let connections = self.connections.iter();
        connections.filter(|(_, connection)| !connection.is_evicted)
    }

    fn oldest_unopened(&self) -> Option<ConnectionKey> {
        self.candidates()
            .filter(|(_, connection)| !connection.is_opened)
            .min_by_key(|(_, connection)| connection.accepted_at)
            .map(|(key, _)| key)
    }

    fn costliest(&self, now: Timestamp) -> Option<ConnectionKey> {
        let cost = |connection: &Connection| {
            // One ms at least, so that the bytes count for connections of the same moment.
            let held_ms = now.since(connection.pending_since).as_millis().max(1);
            held_ms * connection.pending_bytes as u128
        };
        self.candidates()
            .max_by_key(|(_, connection)| cost(connection))
            .map(|(key, _)| key)
    }
}

#[cfg(test)]
mod tests;
