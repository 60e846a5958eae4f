//! Messages that the proxy itself sends to callers, and scanning of the ones that it relays.

use bytes::{Buf, BytesMut};
use pgwire::messages::Message;
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;

use super::reader::HEADER_BYTES;
use crate::traffic::Refusal;

/// Severity of an error; `Fatal` ends the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "UPPERCASE")]
pub(crate) enum Severity {
    Error,
    Fatal,
}

/// Error that the proxy itself reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallerError {
    pub(crate) sqlstate: &'static str,
    pub(crate) message: String,
    pub(crate) hint: Option<String>,
}

impl CallerError {
    /// Builds an error without a hint.
    pub(crate) fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self {
            sqlstate,
            message: message.into(),
            hint: None,
        }
    }
}

impl From<Refusal> for CallerError {
    fn from(refusal: Refusal) -> Self {
        let hint = refusal
            .retry_after
            .map(|after| format!("retry after {} ms", after.as_millis()));
        Self {
            sqlstate: refusal.reason.sqlstate(),
            message: refusal.message(),
            hint,
        }
    }
}

/// Appends a message. Messages of the proxy never exceed the protocol's limits.
pub(crate) fn put(out: &mut BytesMut, message: &impl Message) {
    message
        .encode(out)
        .expect("messages of the proxy are within the protocol's limits");
}

/// Appends an `ErrorResponse`.
pub(crate) fn put_error(out: &mut BytesMut, severity: Severity, error: &CallerError) {
    let severity = severity.to_string();
    let mut fields = vec![
        (b'S', severity.clone()),
        (b'V', severity),
        (b'C', error.sqlstate.to_owned()),
        (b'M', error.message.clone()),
    ];
    fields.extend(error.hint.clone().map(|hint| (b'H', hint)));
    put(out, &ErrorResponse::new(fields));
}

/// Appends a `ReadyForQuery`.
pub(crate) fn put_ready(out: &mut BytesMut, status: TransactionStatus) {
    put(out, &ReadyForQuery::new(status));
}

/// Appends a `ParameterStatus`.
pub(crate) fn put_parameter(out: &mut BytesMut, name: &str, value: &str) {
    put(
        out,
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

/// Response to one message of a statement that the proxy handles itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LocalReply {
    ParseComplete,
    BindComplete,
    CloseComplete,
    /// `ParameterDescription` of a statement without parameters.
    NoParameters,
    NoData,
    Empty,
    Command(&'static str),
}

/// Appends the response to one message.
pub(crate) fn put_reply(out: &mut BytesMut, reply: &LocalReply) {
    use pgwire::messages::data::{NoData, ParameterDescription};
    match reply {
        LocalReply::ParseComplete => put(out, &ParseComplete::new()),
        LocalReply::BindComplete => put(out, &BindComplete::new()),
        LocalReply::CloseComplete => put(out, &CloseComplete::new()),
        LocalReply::NoParameters => put(out, &ParameterDescription::new(Vec::new())),
        LocalReply::NoData => put(out, &NoData::new()),
        LocalReply::Empty => put(out, &EmptyQueryResponse::new()),
        LocalReply::Command(tag) => put(out, &CommandComplete::new((*tag).to_owned())),
    }
}

/// Header of a backend message within a frame.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Header {
    pub(crate) tag: u8,
    /// Offset of the message in the frame.
    pub(crate) start: usize,
    /// First byte of the body; zero if the body is empty or starts in the next frame.
    pub(crate) first: u8,
}

/// Finds the message headers in frames. A message may continue over several frames.
#[derive(Debug, Default)]
pub(crate) struct Scanner {
    rest_bytes: usize,
}

impl Scanner {
    /// Calls `visit` for every message that starts in the frame.
    pub(crate) fn scan(&mut self, frame: &[u8], mut visit: impl FnMut(Header)) {
        let mut at = self.rest_bytes.min(frame.len());
        self.rest_bytes -= at;
        while frame.len() >= at + HEADER_BYTES {
            let length = (&frame[at + 1..at + HEADER_BYTES]).get_u32() as usize;
            visit(Header {
                tag: frame[at],
                start: at,
                first: frame.get(at + HEADER_BYTES).copied().unwrap_or_default(),
            });
            let end = at + 1 + length;
            self.rest_bytes = end.saturating_sub(frame.len());
            at = end.min(frame.len());
        }
    }
}

#[cfg(test)]
mod tests;
