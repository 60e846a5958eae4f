//! Connections to database instances: the frontend side of the PostgreSQL protocol.

pub(crate) mod answer;
pub(crate) mod cancel;
pub(crate) mod connection;
pub(crate) mod login;
pub(crate) mod query;
pub(crate) mod replies;
pub(crate) mod request;
pub(crate) mod session;
pub(crate) mod statements;
pub(crate) mod wire;

use std::io;

use snafu::Snafu;

pub(crate) use connection::Connection;
pub(crate) use login::Login;

/// Result of using a connection to an instance.
pub(crate) type Result<T, E = UpstreamError> = std::result::Result<T, E>;

/// Why a connection to an instance can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum UpstreamError {
    /// The instance can't be reached, or closed the connection.
    #[snafu(display(
        "the connection to the instance failed: {source}; check its address and health"
    ))]
    Io {
        /// What the operating system says.
        source: io::Error,
    },
    /// The instance closed the connection.
    #[snafu(display("the instance closed the connection; check its log"))]
    Closed,
    /// The instance gave no answer in time.
    #[snafu(display("the instance gave no answer in {timeout_ms} ms; check its health"))]
    Timeout {
        /// Time that was allowed.
        timeout_ms: u128,
    },
    /// The instance refused the login or a statement.
    #[snafu(display("the instance refused with SQLSTATE {sqlstate}: {message}"))]
    Refused {
        /// SQLSTATE of the refusal.
        sqlstate: String,
        /// The instance's own words.
        message: String,
    },
    /// A message that the protocol does not allow here.
    #[snafu(display("unexpected {what}; check that the instance speaks PostgreSQL protocol 3"))]
    Protocol {
        /// What was received.
        what: String,
    },
}
