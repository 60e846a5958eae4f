//! Tracking of the prepared statements that exist on one connection to an instance.

use std::collections::HashMap;

/// Maximum number of prepared statements kept on one connection.
pub(crate) const MAX_STATEMENTS: usize = 200;

#[derive(Debug, Clone, Copy)]
struct StatementEntry {
    used: u64,
    confirmed: bool,
}

/// Names of the prepared statements on a connection. When there are too many, the least recently
/// used one is evicted.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    known: HashMap<String, StatementEntry>,
    unconfirmed: usize,
    uses: u64,
}

impl Statements {
    /// Returns whether the statement exists on the connection or its `Parse` is pending, and marks
    /// it as used.
    pub(crate) fn touch(&mut self, name: &str) -> bool {
        self.uses += 1;
        let Some(known) = self.known.get_mut(name) else {
            return false;
        };
        known.used = self.uses;
        true
    }

    /// Records that a `Parse` was sent; returns the evicted statement, which must be closed.
    pub(crate) fn prepare(&mut self, name: &str) -> Option<String> {
        let evicted = self.least_recent(name);
        if let Some(evicted) = &evicted {
            self.remove(evicted);
        }
        self.uses += 1;
        let known = StatementEntry {
            used: self.uses,
            confirmed: false,
        };
        let before = self.known.insert(name.to_owned(), known);
        if before.is_none_or(|before| before.confirmed) {
            self.unconfirmed += 1;
        }
        evicted
    }

    fn least_recent(&self, name: &str) -> Option<String> {
        if self.known.len() < MAX_STATEMENTS || self.known.contains_key(name) {
            return None;
        }
        let confirmed = self.known.iter().filter(|(_, known)| known.confirmed);
        let oldest = confirmed.min_by_key(|(_, known)| known.used);
        oldest.map(|(name, _)| name.clone())
    }

    /// Records that the instance has prepared the statement.
    pub(crate) fn confirm(&mut self, name: &str) {
        let Some(known) = self.known.get_mut(name) else {
            return;
        };
        if !known.confirmed {
            known.confirmed = true;
            self.unconfirmed -= 1;
        }
    }

    /// Removes the statements whose `Parse` was not confirmed; called at `ReadyForQuery`.
    pub(crate) fn drop_unconfirmed(&mut self) {
        if self.unconfirmed > 0 {
            self.known.retain(|_, known| known.confirmed);
            self.unconfirmed = 0;
        }
    }

    pub(crate) fn remove(&mut self, name: &str) {
        let removed = self.known.remove(name);
        if removed.is_some_and(|known| !known.confirmed) {
            self.unconfirmed -= 1;
        }
    }

    pub(crate) fn clear(&mut self) {
        self.known.clear();
        self.unconfirmed = 0;
    }
}

#[cfg(test)]
mod tests;
