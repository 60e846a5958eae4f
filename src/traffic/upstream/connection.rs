//! Connection to an instance: socket, buffers and protocol state.

use std::io;
use std::net::SocketAddr;

use bytes::BytesMut;
use snafu::ResultExt;
use tokio::io::Interest;
use tokio::net::TcpStream;

use super::cancel::CancelKey;
use super::replies::Replies;
use super::session::SessionState;
use super::statements::Statements;
use super::{ClosedSnafu, IoSnafu, Result, UpstreamError};
use crate::position::LogPosition;

/// Number of bytes reserved in the buffer for each read.
const READ_BYTES: usize = 16 * 1024;

/// Number of unwritten bytes above which no more messages are accepted from the caller.
const WRITE_HIGH_WATER_BYTES: usize = 64 * 1024;

/// Transaction status of a `ReadyForQuery`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransactionStatus {
    /// Between transactions.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that can only be rolled back.
    Failed,
}

/// One connection to an instance.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    pub(crate) incoming: BytesMut,
    pub(crate) outgoing: BytesMut,
    /// Start of a caller's message whose rest has not been received yet.
    pub(crate) partial: BytesMut,
    pub(crate) replies: Replies,
    pub(crate) statements: Statements,
    pub(crate) session: SessionState,
    pub(crate) cancel_key: CancelKey,
    /// Last log position that the instance reported on this connection.
    pub(crate) position: Option<LogPosition>,
    pub(crate) status: TransactionStatus,
}

impl Connection {
    /// Wraps a connected socket on which the login has not started.
    pub(crate) fn new(stream: TcpStream, address: SocketAddr) -> Self {
        Self {
            stream,
            incoming: BytesMut::new(),
            outgoing: BytesMut::new(),
            partial: BytesMut::new(),
            replies: Replies::default(),
            statements: Statements::default(),
            session: SessionState::default(),
            cancel_key: CancelKey::unset(address),
            position: None,
            status: TransactionStatus::Idle,
        }
    }

    /// Reads from the instance while writing the pending output.
    ///
    /// Returns as soon as something was read. The returned future is cancel safe.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or is closed.
    pub(crate) async fn progress(&mut self) -> Result<()> {
        loop {
            let interest = if self.outgoing.is_empty() {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let ready = self.stream.ready(interest).await.context(IoSnafu)?;
            if ready.is_writable() {
                self.write_now()?;
            }
            if ready.is_readable() && self.read_now()? {
                return Ok(());
            }
        }
    }

    /// Writes as much pending output as the socket accepts without blocking.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub(crate) fn write_now(&mut self) -> Result<()> {
        while !self.outgoing.is_empty() {
            match self.stream.try_write(&self.outgoing) {
                Ok(written) => drop(self.outgoing.split_to(written)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(source) => return Err(UpstreamError::Io { source }),
            }
        }
        Ok(())
    }

    /// Reads without blocking; returns whether anything was read.
    fn read_now(&mut self) -> Result<bool> {
        self.incoming.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.incoming) {
            Ok(0) => ClosedSnafu.fail(),
            Ok(_bytes) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(source) => Err(UpstreamError::Io { source }),
        }
    }

    /// Returns whether more messages of the caller may be accepted.
    pub(crate) fn has_room(&self) -> bool {
        self.outgoing.len() < WRITE_HIGH_WATER_BYTES
    }

    /// Returns whether an idle connection is still open and clean. No response is pending on an
    /// idle connection, so any data that has arrived makes it unusable.
    pub(crate) fn is_alive(&mut self) -> bool {
        let has_no_data = matches!(self.read_now(), Ok(false));
        has_no_data && self.is_clean()
    }

    /// Returns whether the connection is between transactions and no response is pending, so that
    /// another caller may use it.
    pub(crate) fn is_clean(&self) -> bool {
        self.status == TransactionStatus::Idle
            && self.replies.is_empty()
            && self.incoming.is_empty()
            && self.outgoing.is_empty()
            && self.partial.is_empty()
    }

    /// Frees the memory of the buffers of a clean connection.
    pub(crate) fn shrink(&mut self) {
        self.incoming = BytesMut::new();
        self.outgoing = BytesMut::new();
        self.partial = BytesMut::new();
    }
}
