//! Exclusive use of one connection of a pool.

use std::ops::{Deref, DerefMut};

use super::Pool;
use crate::traffic::upstream::Connection;

/// Connection in use; closed on drop unless it was returned with [`Lease::release`].
#[derive(Debug)]
pub(crate) struct Lease {
    connection: Option<Connection>,
    pool: Pool,
}

impl Lease {
    pub(super) const fn new(connection: Connection, pool: Pool) -> Self {
        Self {
            connection: Some(connection),
            pool,
        }
    }

    /// Returns the connection to the pool if it is clean, and closes it otherwise.
    pub(crate) fn release(mut self) {
        if self.is_clean()
            && let Some(connection) = self.connection.take()
        {
            self.pool.hand_over(connection);
        }
    }

    /// Extracts the connection without closing it; the pool still counts it as open.
    pub(super) fn into_connection(mut self) -> Connection {
        self.connection.take().expect(HELD)
    }
}

const HELD: &str = "a lease holds its connection until it ends";

impl Deref for Lease {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        self.connection.as_ref().expect(HELD)
    }
}

impl DerefMut for Lease {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect(HELD)
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close();
            self.pool.connection_closed();
        }
    }
}
