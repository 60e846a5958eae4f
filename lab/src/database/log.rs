//! The replicated log of a group: what each commit wrote.

use std::sync::Arc;

use currantlb::position::{LogPosition, Term};
use rusqlite::types::Value;
use tokio::time::Instant;

/// One statement of a commit.
#[derive(Debug, Clone)]
pub(crate) struct LoggedStatement {
    /// The statement as SQLite takes it.
    pub(crate) sql: Arc<str>,
    /// Its parameters.
    pub(crate) parameters: Vec<Value>,
}

/// One commit.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Place in the log.
    pub(crate) position: LogPosition,
    /// What it wrote.
    pub(crate) statements: Vec<LoggedStatement>,
    /// What `now()` gives.
    pub(crate) now_ms: i64,
    /// Seed of random functions.
    pub(crate) seed: u64,
    /// When it was committed, for the replication lag.
    pub(crate) committed_at: Instant,
}

/// Returns the term that every group starts in.
pub(crate) fn first_term() -> Term {
    Term {
        number: 1,
        promoter: "platform".into(),
    }
}

/// Returns the last position of a log.
pub(crate) fn last_position(log: &[Arc<Entry>]) -> LogPosition {
    match log.last() {
        Some(entry) => entry.position.clone(),
        None => LogPosition {
            term: first_term(),
            position: 0,
        },
    }
}

/// Returns how many entries two logs have in common from their start.
pub(crate) fn common_entries(one: &[Arc<Entry>], other: &[Arc<Entry>]) -> usize {
    let same = |(a, b): &(&Arc<Entry>, &Arc<Entry>)| a.position == b.position;
    one.iter().zip(other).take_while(same).count()
}
