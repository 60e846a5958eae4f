//! Position in the log of a database, as reported by instances.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position in the log of a database; ordered by term, then by entry number.
///
/// Unlike [`crate::position::LogPosition`], the term doesn't include the promoting VM, because
/// the instances assign the terms.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of the term.
    pub term: u64,
    /// Number of the entry within the log.
    pub number: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}
