//! Questions and orders to an instance, and the report that answers them.

use std::fmt::Display;
use std::net::SocketAddr;

use snafu::{OptionExt, ResultExt, Snafu};

use crate::control::command::InstanceRequest;
use crate::control::event::InstanceReport;
use crate::name::InstanceName;
use crate::position::ParseError;
use crate::traffic::upstream::query::Row;
use crate::traffic::upstream::session::literal;

/// Result of reading a report.
pub(crate) type Result<T, E = ReportError> = std::result::Result<T, E>;

/// Channel on which an instance pushes its reports.
pub(crate) const CHANNEL: &str = "currantlb_position";

/// Columns of a report.
const COLUMNS: usize = 3;

/// Report that can't be read.
#[derive(Debug, Snafu)]
pub(crate) enum ReportError {
    /// The report does not have its three values.
    #[snafu(display("the report has {values} values instead of 3; check the instance's version"))]
    Values {
        /// Number of values.
        values: usize,
    },
    /// A value is malformed.
    #[snafu(display("{source}; check the instance's version"))]
    Value {
        /// What is wrong with it.
        source: ParseError,
    },
}

/// Question or order to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Question {
    /// What the control code asks.
    pub(crate) request: InstanceRequest,
    /// Statement that asks it.
    pub(crate) sql: String,
}

impl Question {
    /// Builds the question that carries out a request, `None` when it names a primary whose address
    /// `address_of` does not know.
    pub(crate) fn new(
        request: &InstanceRequest,
        address_of: impl Fn(&InstanceName) -> Option<SocketAddr>,
    ) -> Option<Self> {
        let call = match request {
            InstanceRequest::Probe => "currantlb_status()".to_owned(),
            InstanceRequest::Adopt { term } => format!("currantlb_adopt({})", quoted(term)),
            InstanceRequest::Promote { term } => format!("currantlb_promote({})", quoted(term)),
            InstanceRequest::Follow { term, primary } => {
                let address = address_of(primary)?;
                let (term, primary, address) = (quoted(term), quoted(primary), quoted(address));
                format!("currantlb_follow({term}, {primary}, {address})")
            }
        };
        Some(Self {
            request: request.clone(),
            sql: format!("SELECT adopted, is_primary, last FROM {call}"),
        })
    }

    /// Builds the question for a report.
    pub(crate) fn probe() -> Self {
        let probe = Self::new(&InstanceRequest::Probe, |_| None);
        probe.expect("a probe names no instance")
    }

    /// Returns whether it asks for a report and orders nothing.
    pub(crate) fn is_probe(&self) -> bool {
        self.request == InstanceRequest::Probe
    }
}

fn quoted(value: impl Display) -> String {
    literal(&value.to_string())
}

/// Reads the row that answers a question.
///
/// # Errors
///
/// Fails when a value is missing or malformed.
pub(crate) fn report_of_row(row: &Row) -> Result<InstanceReport> {
    let values: Vec<&str> = row.iter().flatten().map(String::as_str).collect();
    report(&values)
}

/// Reads the payload of a pushed report.
///
/// # Errors
///
/// Fails when a value is missing or malformed.
pub(crate) fn report_of_payload(payload: &str) -> Result<InstanceReport> {
    let values: Vec<&str> = payload.split(' ').collect();
    report(&values)
}

fn report(values: &[&str]) -> Result<InstanceReport> {
    let [adopted, is_primary, last] = values.first_chunk::<COLUMNS>().context(ValuesSnafu {
        values: values.len(),
    })?;
    Ok(InstanceReport {
        adopted: adopted.parse().context(ValueSnafu)?,
        is_primary: *is_primary == "t",
        last: last.parse().context(ValueSnafu)?,
    })
}
