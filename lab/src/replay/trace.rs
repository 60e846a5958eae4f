//! Recorded traces: JSON lines of requests and events, and what a run must come to.

use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::promises::Promise;

/// Version of the format that this program reads.
pub const FORMAT: u32 = 1;

/// Result of reading a trace.
pub type Result<T, E = TraceError> = std::result::Result<T, E>;

/// Why a trace can't be replayed.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The file can't be read.
    #[snafu(display("{}: can't be read: {source}; name a file below traces/", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A line is not of the format.
    #[snafu(display("{}:{line}: {source}; docs/TRACES.md describes each field", file.display()))]
    Line {
        /// The file.
        file: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Cause, with the field.
        source: serde_json::Error,
    },
    /// A line names something that does not exist.
    #[snafu(display("{}:{line}: field {field}: {problem}", file.display()))]
    Field {
        /// The file.
        file: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// The field.
        field: &'static str,
        /// What is wrong, with the remedy.
        problem: String,
    },
}

/// First line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the format.
    pub format: u32,
    /// Name of the trace.
    pub name: String,
    /// Deployment: `semenanjung` or `bagmati`.
    pub deployment: String,
    /// Number of VMs.
    pub vms: usize,
    /// Replication lag of every replica.
    pub replication_lag_ms: u64,
    /// Time that each statement takes in a database.
    #[serde(default)]
    pub service_time_ms: u64,
    /// Time after which the run ends.
    pub end_ms: u64,
    /// What the run must come to.
    pub outcomes: Outcomes,
}

/// What a run must come to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Outcomes {
    /// Promises that must have been checked at least once, and never broken.
    pub promises: Vec<Promise>,
    /// Least share of reads that replicas serve.
    #[serde(default)]
    pub min_replica_read_share: Option<f64>,
    /// Longest time without an acknowledged save while a database is saved to.
    #[serde(default)]
    pub max_failover_gap_ms: Option<u64>,
    /// Least share of its requests that the worst-served workspace gets answered.
    #[serde(default)]
    pub min_served_share: Option<f64>,
    /// Most requests that are refused although the workspace is within its rate.
    #[serde(default)]
    pub max_wrongful_refusals: Option<u64>,
}

/// What a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Saves the session's next number.
    Save,
    /// Saves the session's next number in a transaction with a read before it.
    Transaction,
    /// Reads the session's latest number.
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

/// Requests of several sessions of one workspace, one each interval.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Requests {
    /// When the first is sent.
    pub at_ms: u64,
    /// Interval of each session; 0 for a single request.
    #[serde(default)]
    pub every_ms: u64,
    /// When the last is sent, for an interval above 0.
    #[serde(default)]
    pub until_ms: u64,
    /// Number of sessions.
    #[serde(default = "one")]
    pub sessions: usize,
    /// VM that the sessions stay on; they roam over all VMs when it is missing.
    #[serde(default)]
    pub vm: Option<usize>,
    /// Workspace whose key the sessions log in with.
    pub workspace: String,
    /// Database.
    pub database: String,
    /// Route.
    #[serde(default)]
    pub route: Option<String>,
    /// What the requests do, in turn.
    pub actions: Vec<Action>,
}

fn one() -> usize {
    1
}

/// Something that happens during the run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// Sets the replication lag of a database's replicas.
    Lag {
        /// The database.
        database: String,
        /// New lag.
        lag_ms: u64,
    },
    /// Cuts the primary from the other instances only.
    CutReplication {
        /// The database.
        database: String,
    },
    /// Cuts the primary from everything; connections stay open.
    IsolatePrimary {
        /// The database.
        database: String,
    },
    /// Ends the primary at once.
    KillPrimary {
        /// The database.
        database: String,
    },
    /// Mends links and restarts what was ended.
    Heal {
        /// The database.
        database: String,
    },
    /// Takes the configuration service away.
    Outage {
        /// Whether it is away.
        down: bool,
    },
    /// Withdraws the key of a workspace.
    WithdrawKey {
        /// The workspace.
        workspace: String,
    },
    /// Puts a preset in force.
    SwitchPreset {
        /// The preset.
        preset: String,
    },
    /// Takes an instance out of service.
    DrainInstance {
        /// The database.
        database: String,
        /// Number of the instance in its group.
        instance: usize,
    },
    /// Stops a VM as planned, and starts it again after a while.
    RestartVm {
        /// Number of the VM, from 0.
        vm: usize,
    },
    /// Ends a VM at once.
    KillVm {
        /// Number of the VM, from 0.
        vm: usize,
    },
}

/// Event with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TimedEvent {
    /// When it happens.
    pub at_ms: u64,
    /// What happens.
    pub what: Event,
}

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// The first line.
    Header(Header),
    /// Requests.
    Requests(Requests),
    /// An event.
    Event(TimedEvent),
}

/// A trace as it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// The first line.
    pub header: Header,
    /// The requests.
    pub requests: Vec<Requests>,
    /// The events in the order of their times.
    pub events: Vec<TimedEvent>,
}

/// Reads a trace.
///
/// # Errors
///
/// Fails when the file can't be read or a line is not of the format.
pub fn read(file: &Path) -> Result<Trace> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    parse(file, &text)
}

/// Parses the text of a trace; `file` is named in errors.
///
/// # Errors
///
/// Fails when a line is not of the format.
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
