//! Errors of the operators' tool, each with its remedy.

use std::path::PathBuf;

use currantlb::admin::error::ErrorBody;
use currantlb::configuration::validate::Finding;
use snafu::Snafu;

/// Result of a command.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("can't start: {source}"))]
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
    #[snafu(display("{} holds no certificate in PEM: {source}", path.display()))]
    Certificate {
        path: PathBuf,
        source: reqwest::Error,
    },
    #[snafu(display("{} is no valid {kind}: {source}", path.display()))]
    Body {
        path: PathBuf,
        kind: &'static str,
        source: serde_json::Error,
    },
    #[snafu(display("can't build the client: {source}"))]
    Client { source: reqwest::Error },
    #[snafu(display("can't reach {url}; check --url and that the VM runs: {source}"))]
    Unreachable { url: String, source: reqwest::Error },
    #[snafu(display(
        "the connection was lost; run the command again with --operation-id {operation} \
         --expect {expected} to learn the outcome"
    ))]
    Lost { operation: String, expected: u64 },
    #[snafu(display("{}", format_refusal(body)))]
    Refused { body: ErrorBody },
    #[snafu(display("the answer can't be read; use the same version as the VM: {source}"))]
    Answer { source: reqwest::Error },
    #[snafu(display(
        "the record comes from the VM's memory, as the platform's service gives no answer; \
         writes must wait until it does"
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
