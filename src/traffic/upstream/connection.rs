//! One connection to an instance: buffers, and what is known of its state.

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

/// Bytes read from an instance at once.
const READ_BYTES: usize = 16 * 1024;

/// Bytes waiting to be written above which no more messages are taken from the caller.
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
    /// Start of a message of the caller whose rest has not come yet.
    pub(crate) partial: BytesMut,
    pub(crate) replies: Replies,
    pub(crate) statements: Statements,
    pub(crate) session: SessionState,
    pub(crate) cancel_key: CancelKey,
    /// Last position that the instance reported on this connection.
    pub(crate) position: Option<LogPosition>,
    pub(crate) status: TransactionStatus,
}

impl Connection {
    /// Wraps a socket on which the login has not begun.
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

    /// Reads what the instance sent, while writing what waits to be written.
    ///
    /// Returns as soon as something was read. Cancelling the returned future loses nothing.
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

    /// Writes as much as the socket takes without waiting.
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

    /// Reads without waiting; returns whether anything was read.
    fn read_now(&mut self) -> Result<bool> {
        self.incoming.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.incoming) {
            Ok(0) => ClosedSnafu.fail(),
            Ok(_bytes) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(source) => Err(UpstreamError::Io { source }),
        }
    }

    /// Returns whether more messages of the caller may be taken.
    pub(crate) fn has_room(&self) -> bool {
        self.outgoing.len() < WRITE_HIGH_WATER_BYTES
    }

    /// Returns whether an idle connection is still usable; reads nothing that belongs to an answer.
    pub(crate) fn is_alive(&mut self) -> bool {
        let quiet = matches!(self.read_now(), Ok(false));
        quiet && self.is_clean()
    }

    /// Returns whether the connection is between transactions and owes no answer, so that another
    /// caller may use it.
    pub(crate) fn is_clean(&self) -> bool {
        self.status == TransactionStatus::Idle
            && self.replies.is_empty()
            && self.incoming.is_empty()
            && self.outgoing.is_empty()
            && self.partial.is_empty()
    }

    /// Gives back the memory of the buffers of a clean connection.
    pub(crate) fn shrink(&mut self) {
        self.incoming = BytesMut::new();
        self.outgoing = BytesMut::new();
        self.partial = BytesMut::new();
    }
}
