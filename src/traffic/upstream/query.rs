//! Queries that the VM itself sends to an instance, outside of callers' transactions.

use std::time::Duration;

use bytes::BytesMut;
use fallible_iterator::FallibleIterator;
use postgres_protocol::message::backend::{DataRowBody, Message};
use postgres_protocol::message::frontend;
use snafu::ResultExt;
use tokio::time::timeout;

use super::login::refused;
use super::{Connection, IoSnafu, ProtocolSnafu, Result, TimeoutSnafu, UpstreamError};
use crate::position::LogPosition;

/// Name of the `ParameterStatus` parameter that carries the instance's last log position.
pub(crate) const POSITION_PARAMETER: &str = "currantlb.position";

/// Row of values in text format; `None` for NULL.
pub(crate) type Row = Vec<Option<String>>;

impl Connection {
    /// Receives and parses the next message. Used only for responses to the VM's own requests.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the message is malformed.
    pub(crate) async fn message(&mut self) -> Result<Message> {
        self.write_now()?;
        loop {
            if let Some(message) = Message::parse(&mut self.incoming).context(IoSnafu)? {
                return Ok(message);
            }
            self.progress().await?;
        }
    }

    /// Runs a query of the VM itself with the simple query protocol and returns its rows.
    ///
    /// # Errors
    ///
    /// Fails when the instance returns an error, does not respond in time, or the connection fails.
    /// The connection is usable afterwards only if the instance returned an error.
    pub(crate) async fn simple_query(&mut self, sql: &str, limit: Duration) -> Result<Vec<Row>> {
        frontend::query(sql, &mut self.outgoing).context(IoSnafu)?;
        let timeout_ms = limit.as_millis();
        match timeout(limit, self.rows()).await {
            Ok(result) => result,
            Err(_elapsed) => TimeoutSnafu { timeout_ms }.fail(),
        }
    }

    async fn rows(&mut self) -> Result<Vec<Row>> {
        let mut rows = Vec::new();
        let mut refusal: Option<UpstreamError> = None;
        loop {
            match self.message().await? {
                Message::DataRow(body) => rows.push(text_row(&body)?),
                Message::ErrorResponse(body) => refusal = refused::<()>(&body).err(),
                Message::ParameterStatus(body) => {
                    self.record_parameter(
                        body.name().context(IoSnafu)?,
                        body.value().context(IoSnafu)?,
                    );
                }
                Message::ReadyForQuery(_) => return refusal.map_or(Ok(rows), Err),
                Message::RowDescription(_)
                | Message::CommandComplete(_)
                | Message::EmptyQueryResponse
                | Message::NotificationResponse(_)
                | Message::NoticeResponse(_) => {}
                _ => {
                    let what = "response to a query of the VM itself";
                    return ProtocolSnafu { what }.fail();
                }
            }
        }
    }

    /// Records the value of a parameter from a `ParameterStatus` message.
    ///
    /// Returns whether the parameter is internal to the VM and the instance, and so is hidden from
    /// callers.
    pub(crate) fn record_parameter(&mut self, name: &str, value: &str) -> bool {
        if name != POSITION_PARAMETER {
            return false;
        }
        match value.parse::<LogPosition>() {
            Ok(position) => self.position = Some(position),
            Err(error) => log::warn!("event=position_invalid error={error:?}"),
        }
        true
    }

    /// Sends `Terminate` and closes the connection, without waiting for the instance.
    pub(crate) fn close(mut self) {
        let mut message = BytesMut::new();
        frontend::terminate(&mut message);
        self.outgoing = message;
        if let Err(error) = self.write_now() {
            log::debug!("event=connection_close_failed error={error:?}");
        }
    }
}

/// Reads the values of a row in text format.
///
/// # Errors
///
/// Fails when the row is malformed.
pub(crate) fn text_row(body: &DataRowBody) -> Result<Row> {
    let mut row = Row::new();
    let mut ranges = body.ranges();
    while let Some(range) = ranges.next().context(IoSnafu)? {
        let text = range.map(|range| String::from_utf8_lossy(&body.buffer()[range]).into_owned());
        row.push(text);
    }
    Ok(row)
}
