//! Right to use one connection of a pool.

use std::ops::{Deref, DerefMut};

use super::Pool;
use crate::traffic::upstream::Connection;

/// Connection in use; closed when dropped, unless it is given back.
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

    /// Gives the connection back for the next caller if it is clean, and closes it otherwise.
    pub(crate) fn give_back(mut self) {
        if self.is_clean()
            && let Some(connection) = self.connection.take()
        {
            self.pool.hand_over(connection);
        }
    }

    /// Takes the connection out without closing it; the pool still counts it as open.
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
            self.pool.forget_one();
        }
    }
}
