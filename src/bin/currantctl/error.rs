//! Errors of `currantctl`, each with a remedy.

use std::path::PathBuf;

use currantlb::admin::error::ErrorBody;
use currantlb::configuration::validate::Finding;
use snafu::Snafu;

/// Result of a command.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("can't start the async runtime: {source}"))]
    Runtime { source: std::io::Error },
    #[snafu(display("no token; set CURRANTLB_TOKEN or give --token-file"))]
    NoToken,
    #[snafu(display("{what} is missing; see 'currantctl SUBJECT --help'"))]
    Missing { what: &'static str },
    #[snafu(display("can't read {}; check its path: {source}", path.display()))]
    ReadFile {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{} contains no certificate in PEM format: {source}", path.display()))]
    Certificate {
        path: PathBuf,
        source: reqwest::Error,
    },
    #[snafu(display("{} is not a valid {kind}: {source}", path.display()))]
    Body {
        path: PathBuf,
        kind: &'static str,
        source: serde_json::Error,
    },
    #[snafu(display("can't build the HTTP client: {source}"))]
    Client { source: reqwest::Error },
    #[snafu(display("can't reach {url}; check --url and whether the VM is running: {source}"))]
    Unreachable { url: String, source: reqwest::Error },
    #[snafu(display(
        "the outcome of the write is unknown; run the command again with --operation-id \
         {operation} --expect {expected} to get it"
    ))]
    OutcomeUnknown { operation: String, expected: u64 },
    #[snafu(display("{}", format_refusal(body)))]
    Refused { body: ErrorBody },
    #[snafu(display(
        "the response can't be decoded; use the currantctl version of the VM: {source}"
    ))]
    InvalidResponse { source: reqwest::Error },
    #[snafu(display(
        "the platform's service does not respond, so the VM returned its own copy of the record; \
         writes are possible once the service responds again"
    ))]
    NoRevision,
}

fn format_refusal(body: &ErrorBody) -> String {
    let line = |finding: &Finding| {
        format!(
            "\n  {}: {}; {}",
            finding.subject, finding.problem, finding.remedy
        )
    };
    let findings: String = body.findings.iter().map(line).collect();
    format!("{}{findings}", body.error)
}
