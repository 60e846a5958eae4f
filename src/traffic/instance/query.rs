//! Probes and term commands to an instance, and the report that it returns.

use std::fmt::Display;
use std::net::SocketAddr;

use snafu::{OptionExt, ResultExt, Snafu};

use crate::control::command::InstanceRequest;
use crate::control::event::InstanceReport;
use crate::name::InstanceName;
use crate::position::ParseError;
use crate::traffic::upstream::query::Row;
use crate::traffic::upstream::session::literal;

/// Result of parsing a report.
pub(crate) type Result<T, E = ReportError> = std::result::Result<T, E>;

/// Notification channel on which an instance pushes its reports.
pub(crate) const CHANNEL: &str = "currantlb_position";

/// Number of columns of a report.
const COLUMNS: usize = 3;

/// Why a report is invalid.
#[derive(Debug, Snafu)]
pub(crate) enum ReportError {
    /// The report does not have the three expected values.
    #[snafu(display("the report has {values} values instead of 3; check the instance's version"))]
    Values {
        /// Number of values that the report has.
        values: usize,
    },
    /// A value is malformed.
    #[snafu(display("{source}; check the instance's version"))]
    Value {
        /// Why the value could not be parsed.
        source: ParseError,
    },
}

/// Probe or term command to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct InstanceQuery {
    /// Request of the control code.
    pub(crate) request: InstanceRequest,
    /// SQL statement that carries the request.
    pub(crate) sql: String,
}

impl InstanceQuery {
    /// Builds the query for a request; `None` when it names a primary for which `address_of`
    /// returns no address.
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

    /// Builds a query that only requests a report.
    pub(crate) fn probe() -> Self {
        let probe = Self::new(&InstanceRequest::Probe, |_| None);
        probe.expect("a probe names no instance")
    }

    /// Returns whether the query only requests a report and changes nothing.
    pub(crate) fn is_probe(&self) -> bool {
        self.request == InstanceRequest::Probe
    }
}

fn quoted(value: impl Display) -> String {
    literal(&value.to_string())
}

/// Parses the row that an instance returns for a query.
///
/// # Errors
///
/// Fails when a value is missing or malformed.
pub(crate) fn report_of_row(row: &Row) -> Result<InstanceReport> {
    let values: Vec<&str> = row.iter().flatten().map(String::as_str).collect();
    report(&values)
}

/// Parses the notification payload of a pushed report.
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
