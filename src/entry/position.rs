//! Place in the log of a database, as instances report it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Place in the log of a database group; ordered by term, then by number.
///
/// Unlike [`crate::position::LogPosition`] its term carries no promoter: the instances assign terms.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of the term.
    pub term: u64,
    /// Number of the entry.
    pub number: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}
