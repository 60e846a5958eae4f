//! Statements that the VM runs on its own behalf.

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

/// Name of the parameter that carries the instance's last log position.
pub(crate) const POSITION_PARAMETER: &str = "currantlb.position";

/// Row of text values; `None` for NULL.
pub(crate) type Row = Vec<Option<String>>;

impl Connection {
    /// Receives and parses the next message; only for what the VM asked itself.
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

    /// Runs a simple query of the VM's own and returns the rows of text.
    ///
    /// # Errors
    ///
    /// Fails when the instance refuses the query, gives no answer in time, or the connection fails.
    /// The connection is usable afterwards only when the instance refused.
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
                    self.note_parameter(
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
                    let what = "answer to a query of the VM itself";
                    return ProtocolSnafu { what }.fail();
                }
            }
        }
    }

    /// Takes over a parameter that the instance reports.
    ///
    /// Returns whether it is one between the VM and the instance, which callers don't see.
    pub(crate) fn note_parameter(&mut self, name: &str, value: &str) -> bool {
        if name != POSITION_PARAMETER {
            return false;
        }
        match value.parse::<LogPosition>() {
            Ok(position) => self.position = Some(position),
            Err(error) => log::warn!("event=position_invalid error={error:?}"),
        }
        true
    }

    /// Says farewell; what the instance makes of it doesn't matter.
    pub(crate) fn close(mut self) {
        let mut farewell = BytesMut::new();
        frontend::terminate(&mut farewell);
        self.outgoing = farewell;
        if let Err(error) = self.write_now() {
            log::debug!("event=connection_close_failed error={error:?}");
        }
    }
}

/// Reads the values of a row of text.
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
