//! Replies that an instance still owes on one connection.

use std::collections::VecDeque;

/// Reply that needs attention when it comes; all others are passed on as they are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reply {
    /// `ParseComplete` of a named statement.
    Parsed {
        /// Name of the statement, empty for the unnamed one.
        name: String,
        /// Whether the caller expects the reply.
        pass: bool,
    },
    /// `CloseComplete` of a named statement.
    Closed {
        /// Whether the caller expects the reply.
        pass: bool,
    },
    /// `ReadyForQuery` after a simple query or a function call.
    QueryReady,
    /// `ReadyForQuery` after a `Sync`.
    SyncReady,
}

/// Replies owed, in the order of the requests.
#[derive(Debug, Default)]
pub(crate) struct Replies {
    owed: VecDeque<Reply>,
}

impl Replies {
    /// Notes that a request was sent.
    pub(crate) fn push(&mut self, reply: Reply) {
        self.owed.push_back(reply);
    }

    /// Takes the reply that is next in order.
    pub(crate) fn pop(&mut self) -> Option<Reply> {
        self.owed.pop_front()
    }

    /// Handles `ReadyForQuery`: drops what an error made the instance skip.
    ///
    /// Returns whether a `ReadyForQuery` was owed.
    pub(crate) fn ready(&mut self) -> bool {
        while let Some(reply) = self.owed.pop_front() {
            if matches!(reply, Reply::QueryReady | Reply::SyncReady) {
                return true;
            }
        }
        false
    }

    /// Handles `CopyInResponse`: the instance ignores a `Sync` that follows an extended query's
    /// `Execute` until the copy has ended.
    pub(crate) fn copy_in(&mut self) {
        if self.owed.front() != Some(&Reply::QueryReady) {
            self.owed.clear();
        }
    }

    /// Returns whether the instance owes nothing.
    pub(crate) fn is_empty(&self) -> bool {
        self.owed.is_empty()
    }
}

#[cfg(test)]
mod tests;
