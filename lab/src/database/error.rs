//! Errors that an instance returns to its clients.

use snafu::Snafu;

/// Result of running a statement.
pub(crate) type Result<T, E = SqlError> = std::result::Result<T, E>;

/// Error as it is sent to the client, with its SQLSTATE.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{message} ({sqlstate})"))]
pub(crate) struct SqlError {
    /// Five-character SQLSTATE.
    pub(crate) sqlstate: &'static str,
    /// Human-readable message.
    pub(crate) message: String,
}

impl SqlError {
    pub(crate) fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self {
            sqlstate,
            message: message.into(),
        }
    }

    pub(crate) fn read_only() -> Self {
        Self::new(
            "25006",
            "cannot execute a write on an instance that is not the primary",
        )
    }

    pub(crate) fn cancelled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }

    pub(crate) fn aborted() -> Self {
        Self::new(
            "25P02",
            "current transaction is aborted, commands ignored until end of transaction block",
        )
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let sqlstate = match error.sqlite_error().map(|error| error.extended_code) {
            Some(
                rusqlite::ffi::SQLITE_CONSTRAINT_UNIQUE
                | rusqlite::ffi::SQLITE_CONSTRAINT_PRIMARYKEY,
            ) => "23505",
            Some(rusqlite::ffi::SQLITE_CONSTRAINT_NOTNULL) => "23502",
            Some(rusqlite::ffi::SQLITE_CONSTRAINT_CHECK) => "23514",
            Some(rusqlite::ffi::SQLITE_CONSTRAINT_FOREIGNKEY) => "23503",
            _ if message.contains("no such table") => "42P01",
            _ if message.contains("no such column") => "42703",
            _ if message.contains("already exists") => "42P07",
            _ if message.contains("syntax error") => "42601",
            _ => "XX000",
        };
        Self::new(sqlstate, message)
    }
}
