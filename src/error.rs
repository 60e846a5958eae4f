//! Errors that prevent the daemon from running.

use snafu::Snafu;

use crate::admin::server::ServeError;
use crate::control::event::PlatformFailure;
use crate::peer::server::ServerError;
use crate::telemetry::span::SpanError;
use crate::traffic::caller::listener::ListenError;

/// Result of starting or running the daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why the daemon can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The threads can't be started.
    #[snafu(display("can't start threads; raise the process limit: {source}"))]
    Threads {
        /// The cause.
        source: std::io::Error,
    },
    /// Signals can't be received.
    #[snafu(display("can't receive signals: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
    /// The listener for callers can't be started.
    #[snafu(display("{source}"))]
    Callers {
        /// The cause.
        source: ListenError,
    },
    /// The administration API can't be started.
    #[snafu(display("{source}"))]
    Administration {
        /// The cause.
        source: ServeError,
    },
    /// Spans can't be exported.
    #[snafu(display("{source}"))]
    Spans {
        /// The cause.
        source: SpanError,
    },
    /// The server for messages between VMs can't be started.
    #[snafu(display("{source}"))]
    Peers {
        /// The cause.
        source: ServerError,
    },
    /// The client of the platform's service can't be built.
    #[snafu(display("{source}"))]
    Platform {
        /// The cause.
        source: PlatformFailure,
    },
    /// The daemon stopped during its start.
    #[snafu(display("the daemon stopped during its start; see its log"))]
    Ended,
}
