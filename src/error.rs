//! Errors of the daemon, each with its remedy.

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
    #[snafu(display("can't start threads; raise the limit of processes: {source}"))]
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
    /// The messages between VMs can't be started.
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
    /// The daemon ended while it was being started.
    #[snafu(display("the daemon ended while it was being started; see its log"))]
    Ended,
}
