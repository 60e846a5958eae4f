//! Connections to database instances, using the frontend side of the PostgreSQL protocol.

pub(crate) mod cancel;
pub(crate) mod connection;
pub(crate) mod login;
pub(crate) mod query;
pub(crate) mod replies;
pub(crate) mod request;
pub(crate) mod response;
pub(crate) mod session;
pub(crate) mod statements;
pub(crate) mod wire;

use std::io;

use snafu::Snafu;

pub(crate) use connection::Connection;
pub(crate) use login::Login;

/// Result of using a connection to an instance.
pub(crate) type Result<T, E = UpstreamError> = std::result::Result<T, E>;

/// Error on a connection to an instance.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum UpstreamError {
    /// The instance can't be reached, or closed the connection.
    #[snafu(display(
        "the connection to the instance failed: {source}; check its address and health"
    ))]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The instance closed the connection.
    #[snafu(display("the instance closed the connection; check its log"))]
    Closed,
    /// The instance did not respond in time.
    #[snafu(display("the instance did not respond within {timeout_ms} ms; check its health"))]
    Timeout {
        /// Timeout in milliseconds.
        timeout_ms: u128,
    },
    /// The instance responded to the login or a statement with an `ErrorResponse`.
    #[snafu(display("the instance returned an error with SQLSTATE {sqlstate}: {message}"))]
    Refused {
        /// SQLSTATE of the error.
        sqlstate: String,
        /// Error message of the instance.
        message: String,
    },
    /// A message that the protocol does not allow in this state.
    #[snafu(display("unexpected {what}; check that the instance speaks PostgreSQL protocol 3"))]
    Protocol {
        /// Description of what was received.
        what: String,
    },
}
