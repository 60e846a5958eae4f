//! Replies that are pending on one connection to an instance.

use std::collections::VecDeque;

/// Expected reply that needs special handling; all others are forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reply {
    /// `ParseComplete` of a named statement.
    Parsed {
        /// Name of the statement, empty for the unnamed one.
        name: String,
        /// Whether the caller expects the reply.
        pass: bool,
    },
    /// `CloseComplete` of a statement or portal.
    Closed {
        /// Whether the caller expects the reply.
        pass: bool,
    },
    /// `ReadyForQuery` after a simple query or a function call.
    QueryReady,
    /// `ReadyForQuery` after a `Sync`.
    SyncReady,
}

/// Pending replies, in the order of their requests.
#[derive(Debug, Default)]
pub(crate) struct Replies {
    pending: VecDeque<Reply>,
}

impl Replies {
    /// Records the reply expected for a request that was sent.
    pub(crate) fn push(&mut self, reply: Reply) {
        self.pending.push_back(reply);
    }

    /// Removes the reply that is expected next.
    pub(crate) fn pop(&mut self) -> Option<Reply> {
        self.pending.pop_front()
    }

    /// Handles `ReadyForQuery`: removes the replies that precede it, which the instance skipped
    /// because of an error.
    ///
    /// Returns whether a `ReadyForQuery` was pending.
    pub(crate) fn ready(&mut self) -> bool {
        while let Some(reply) = self.pending.pop_front() {
            if matches!(reply, Reply::QueryReady | Reply::SyncReady) {
                return true;
            }
        }
        false
    }

    /// Handles `CopyInResponse`: the instance ignores a `Sync` that follows an extended query's
    /// `Execute` until the copy has ended.
    pub(crate) fn copy_in(&mut self) {
        if self.pending.front() != Some(&Reply::QueryReady) {
            self.pending.clear();
        }
    }

    /// Returns whether no reply is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

#[cfg(test)]
mod tests;
