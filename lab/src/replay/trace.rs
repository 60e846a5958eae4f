//! Recorded traces: JSON lines with requests, events and the expected outcomes of a run.

use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::promises::Promise;

/// Version of the trace format that this program reads.
pub const FORMAT: u32 = 1;

/// Result of reading a trace.
pub type Result<T, E = TraceError> = std::result::Result<T, E>;

/// Error from reading a trace.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The file can't be read.
    #[snafu(display("{}: can't be read: {source}; name a file below traces/", file.display()))]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// A line does not follow the format.
    #[snafu(display("{}:{line}: {source}; docs/TRACES.md describes each field", file.display()))]
    Line {
        /// Path of the file.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Underlying error, which names the field.
        source: serde_json::Error,
    },
    /// A field has an unsupported value, or the header is missing.
    #[snafu(display("{}:{line}: field {field}: {problem}", file.display()))]
    Field {
        /// Path of the file.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Name of the field.
        field: &'static str,
        /// Description of the problem and its remedy.
        problem: String,
    },
}

/// First line of a trace: name, deployment and expected outcomes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the trace format; must be [`FORMAT`].
    pub format: u32,
    /// Name of the trace.
    pub name: String,
    /// Deployment: `semenanjung` or `bagmati`.
    pub deployment: String,
    /// Number of VMs.
    pub vms: usize,
    /// Replication lag of every replica at the start, in milliseconds.
    pub replication_lag_ms: u64,
    /// Time that each statement takes in a database, in milliseconds.
    #[serde(default)]
    pub service_time_ms: u64,
    /// Duration of the run in milliseconds.
    pub end_ms: u64,
    /// Expected outcomes of the run.
    pub outcomes: Outcomes,
}

/// Expected outcomes of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Outcomes {
    /// Promises that must be checked at least once and never be found broken.
    pub promises: Vec<Promise>,
    /// Minimum share of reads that replicas serve.
    #[serde(default)]
    pub min_replica_read_share: Option<f64>,
    /// Maximum time between consecutive acknowledged saves to the same database.
    #[serde(default)]
    pub max_failover_gap_ms: Option<u64>,
    /// Minimum share of its requests within its rate that are answered, for each workspace.
    #[serde(default)]
    pub min_served_share: Option<f64>,
    /// Maximum number of requests refused although their workspace is within its rate.
    #[serde(default)]
    pub max_wrongful_refusals: Option<u64>,
}

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Saves the session's next sequence number.
    Save,
    /// Saves the session's next sequence number in a transaction, after a read.
    Transaction,
    /// Reads the session's latest sequence number.
    ReadBack,
    /// Reads a row that never changes.
    View,
}

impl Action {
    /// Returns whether the request writes.
    pub fn writes(self) -> bool {
        matches!(self, Self::Save | Self::Transaction)
    }
}

/// Requests of one or several sessions of a workspace, sent at a fixed interval.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Requests {
    /// Time of the first request of each session, in milliseconds from the start.
    pub at_ms: u64,
    /// Interval between the requests of a session; 0 for a single request.
    #[serde(default)]
    pub every_ms: u64,
    /// Latest time at which a request is sent, for an interval above 0.
    #[serde(default)]
    pub until_ms: u64,
    /// Number of sessions.
    #[serde(default = "one")]
    pub sessions: usize,
    /// Index of the VM that the sessions use while it runs; otherwise each request goes to a random
    /// VM.
    #[serde(default)]
    pub vm: Option<usize>,
    /// Workspace with whose key the sessions log in.
    pub workspace: String,
    /// Name of the database.
    pub database: String,
    /// Name of the route; the sessions set none when it is missing.
    #[serde(default)]
    pub route: Option<String>,
    /// Kinds of the requests, used cyclically.
    pub actions: Vec<Action>,
}

fn one() -> usize {
    1
}

/// A fault or an operation that is applied during the run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// Sets the replication lag of a database's replicas.
    Lag {
        /// Name of the database.
        database: String,
        /// New lag in milliseconds.
        lag_ms: u64,
    },
    /// Cuts the primary off from the other instances, but not from the VMs.
    CutReplication {
        /// Name of the database.
        database: String,
    },
    /// Cuts the primary off from VMs and instances; its connections stay open.
    IsolatePrimary {
        /// Name of the database.
        database: String,
    },
    /// Kills the primary.
    KillPrimary {
        /// Name of the database.
        database: String,
    },
    /// Restores the links of all instances and restarts killed primaries.
    Heal {
        /// Name of the database.
        database: String,
    },
    /// Starts or ends an outage of the configuration service.
    Outage {
        /// Whether the service is down.
        down: bool,
    },
    /// Withdraws all keys of a workspace.
    WithdrawKey {
        /// Name of the workspace.
        workspace: String,
    },
    /// Puts a preset in force.
    SwitchPreset {
        /// Name of the preset.
        preset: String,
    },
    /// Takes an instance out of service.
    DrainInstance {
        /// Name of the database.
        database: String,
        /// Index of the instance in its group.
        instance: usize,
    },
    /// Stops a VM gracefully and starts it again after a pause.
    RestartVm {
        /// Index of the VM, from 0.
        vm: usize,
    },
    /// Kills a VM.
    KillVm {
        /// Index of the VM, from 0.
        vm: usize,
    },
}

/// An event and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TimedEvent {
    /// Time at which the event is applied, in milliseconds from the start.
    pub at_ms: u64,
    /// The event to apply.
    pub what: Event,
}

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// Header, on the first line.
    Header(Header),
    /// Requests of one or several sessions.
    Requests(Requests),
    /// An event with its time.
    Event(TimedEvent),
}

/// A complete trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// Header from the first line.
    pub header: Header,
    /// Requests, in the order of the file.
    pub requests: Vec<Requests>,
    /// Events, ordered by time.
    pub events: Vec<TimedEvent>,
}

/// Reads a trace from a file.
///
/// # Errors
///
/// Fails when the file can't be read or is not a valid trace.
pub fn read(file: &Path) -> Result<Trace> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    parse(file, &text)
}

/// Parses the text of a trace; `file` is used in error messages only.
///
/// # Errors
///
/// Fails when the text is not a valid trace.
pub fn parse(file: &Path, text: &str) -> Result<Trace> {
    let mut header = None;
    let mut requests = Vec::new();
    let mut events = Vec::new();
    let lines = text
        .lines()
        .enumerate()
        .filter(|(_, text)| !text.trim().is_empty());
    for (index, text) in lines {
        let line = index + 1;
        match serde_json::from_str(text).context(LineSnafu { file, line })? {
            Line::Header(first) => {
                check_header(file, line, &first)?;
                header = Some(first);
            }
            Line::Requests(some) => requests.push(some),
            Line::Event(event) => events.push(event),
        }
        if header.is_none() {
            let problem = "the first line must be a header; add one";
            return FieldSnafu {
                file,
                line,
                field: "header",
                problem,
            }
            .fail();
        }
    }
    let problem = "the trace is empty; add a header";
    let header = header.ok_or_else(|| {
        FieldSnafu {
            file,
            line: 1_usize,
            field: "header",
            problem,
        }
        .build()
    })?;
    events.sort_by_key(|event: &TimedEvent| event.at_ms);
    Ok(Trace {
        header,
        requests,
        events,
    })
}

fn check_header(file: &Path, line: usize, header: &Header) -> Result<()> {
    if header.format != FORMAT {
        let problem = format!("is {}; this program reads {FORMAT}", header.format);
        return FieldSnafu {
            file,
            line,
            field: "format",
            problem,
        }
        .fail();
    }
    if crate::deployment::named(&header.deployment).is_none() {
        let problem = "use semenanjung or bagmati";
        return FieldSnafu {
            file,
            line,
            field: "deployment",
            problem,
        }
        .fail();
    }
    if header.vms == 0 {
        return FieldSnafu {
            file,
            line,
            field: "vms",
            problem: "use at least 1",
        }
        .fail();
    }
    Ok(())
}

#[cfg(test)]
mod tests;
