//! Terms, log positions and session tokens.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::name::{DatabaseName, VmName};

/// Result of parsing a term, position or token.
pub type Result<T, E = ParseError> = std::result::Result<T, E>;

/// Text that isn't a term, position or token.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a {kind}; expected the form {form:?}"))]
pub struct ParseError {
    text: String,
    kind: &'static str,
    form: &'static str,
}

/// Period in which one instance of a database group is the primary.
///
/// Terms are ordered by number, then by the promoting VM, so no two promotions share a term.
/// Text form: `7@vm-2`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    /// Number of the term; starts at 1.
    pub number: u64,
    /// VM that started the term.
    pub promoter: VmName,
}

impl Term {
    /// Returns the term that `promoter` would start after this one.
    #[must_use]
    pub fn next(&self, promoter: &VmName) -> Self {
        Self {
            number: self.number + 1,
            promoter: promoter.clone(),
        }
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.number, self.promoter)
    }
}

impl FromStr for Term {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = ParseSnafu {
            text,
            kind: "term",
            form: "7@vm-2",
        };
        let (number, promoter) = text.split_once('@').context(invalid)?;
        let number = number.parse().ok().context(invalid)?;
        Ok(Self {
            number,
            promoter: VmName::from(promoter),
        })
    }
}

/// Position in the log of a database group. Entry numbers are comparable only within a term.
///
/// Text form: `7@vm-2:1234`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term in which the entry was written.
    pub term: Term,
    /// Number of the entry in the log.
    pub position: u64,
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.position)
    }
}

impl FromStr for LogPosition {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = ParseSnafu {
            text,
            kind: "log position",
            form: "7@vm-2:1234",
        };
        let (term, position) = text.rsplit_once(':').context(invalid)?;
        let position = position.parse().ok().context(invalid)?;
        Ok(Self {
            term: term.parse()?,
            position,
        })
    }
}

/// Latest position of one database that a session has seen, returned to the caller after each
/// statement.
///
/// Text form: `canopy-1/7@vm-2:1234`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionToken {
    /// Database that the token belongs to.
    pub database: DatabaseName,
    /// Latest log position that the session has written or read.
    pub seen: LogPosition,
}

impl fmt::Display for SessionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.database, self.seen)
    }
}

impl FromStr for SessionToken {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = ParseSnafu {
            text,
            kind: "session token",
            form: "canopy-1/7@vm-2:1234",
        };
        let (database, seen) = text.split_once('/').context(invalid)?;
        Ok(Self {
            database: DatabaseName::from(database),
            seen: seen.parse()?,
        })
    }
}

#[cfg(test)]
mod tests;
