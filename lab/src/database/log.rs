//! Replicated log of a group, with one entry for each commit.

use std::sync::Arc;

use currantlb::position::{LogPosition, Term};
use rusqlite::types::Value;
use tokio::time::Instant;

/// Statement of a log entry.
#[derive(Debug, Clone)]
pub(crate) struct LoggedStatement {
    /// The statement in the SQL dialect of SQLite.
    pub(crate) sql: Arc<str>,
    /// Values of its parameters.
    pub(crate) parameters: Vec<Value>,
}

/// Log entry of one commit.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Position in the log.
    pub(crate) position: LogPosition,
    /// Statements of the commit, in the order in which they ran.
    pub(crate) statements: Vec<LoggedStatement>,
    /// Result of `now()` in these statements, in milliseconds since the Unix epoch.
    pub(crate) now_ms: i64,
    /// Seed of the random functions in these statements.
    pub(crate) seed: u64,
    /// Time of the commit on the primary; replicas apply the entry once the replication lag has
    /// passed.
    pub(crate) committed_at: Instant,
}

/// Returns the initial term of every group.
pub(crate) fn first_term() -> Term {
    Term {
        number: 1,
        promoter: "platform".into(),
    }
}

/// Returns the position of the last entry in a log, or position 0 of the first term when it is
/// empty.
pub(crate) fn last_position(log: &[Arc<Entry>]) -> LogPosition {
    match log.last() {
        Some(entry) => entry.position.clone(),
        None => LogPosition {
            term: first_term(),
            position: 0,
        },
    }
}

/// Returns the number of entries in the common prefix of two logs.
pub(crate) fn common_entries(one: &[Arc<Entry>], other: &[Arc<Entry>]) -> usize {
    let same = |(a, b): &(&Arc<Entry>, &Arc<Entry>)| a.position == b.position;
    one.iter().zip(other).take_while(same).count()
}
