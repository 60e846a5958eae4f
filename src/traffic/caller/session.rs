//! Session of one caller: translates its messages into frames for a home, and relays the responses.

mod inbound;
mod outbound;

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::response::TransactionStatus;
use tokio::time::timeout;

use super::exchange_state::{ConnectionState, ExchangeState, Phase};
use super::prepared::PreparedStatements;
use super::reader::{MessageReader, ReadError};
use super::registry::Registration;
use super::response::{CallerError, Scanner, Severity, put_error, put_ready};
use super::setting::SessionSettings;
use super::shared::CallerShared;
use super::socket::CallerSocket;
use super::tag::Tags;
use super::unit::{Unit, UnitEnd};
use crate::control::Snapshot;
use crate::name::{DatabaseName, KeyId, WorkspaceName};
use crate::peer::PeerClient;
use crate::peer::stream::{Result, StreamError};
use crate::position::SessionToken;
use crate::traffic::{CallerFrame, ExchangeHead, ExchangeId, Homes, Refusal, RefusalReason};

/// Time limit for a caller to read the final error and close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that are read ahead while a statement runs. Reading goes on so that a closed connection is
/// detected.
const READ_AHEAD_BYTES: usize = 8 * 1024;
/// Bytes of a unit's messages after which they are forwarded before the unit is complete.
const MAX_UNIT_BYTES: usize = 64 * 1024;

/// Identity of a caller, established at login.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) workspace: WorkspaceName,
    pub(crate) key: KeyId,
    pub(crate) database: DatabaseName,
    /// Tags set by the startup options, used where a statement has none.
    pub(crate) tags: Tags,
}

/// Session of one caller.
#[derive(Debug)]
pub struct CallerSession {
    socket: CallerSocket,
    reader: MessageReader,
    out: BytesMut,
    scanner: Scanner,
    pub(super) shared: Arc<CallerShared>,
    registration: Registration,
    identity: Identity,
    settings: SessionSettings,
    statements: PreparedStatements,
    token: Option<SessionToken>,
    unit: Unit,
    exchange: ExchangeState,
    connection_state: ConnectionState,
}

/// Result of processing a caller's messages.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    /// Frames are ready for the home.
    Forward,
    /// More messages are needed.
    Wait,
}

impl CallerSession {
    /// Builds the session of a caller that has logged in.
    pub(crate) fn new(
        socket: CallerSocket,
        shared: Arc<CallerShared>,
        registration: Registration,
        identity: Identity,
        settings: SessionSettings,
    ) -> Self {
        Self {
            socket,
            reader: MessageReader::new(shared.settings.max_message_bytes),
            out: BytesMut::new(),
            scanner: Scanner::default(),
            shared,
            registration,
            token: identity.tags.token.clone(),
            identity,
            settings,
            statements: PreparedStatements::default(),
            unit: Unit::default(),
            exchange: ExchangeState::default(),
            connection_state: ConnectionState::default(),
        }
    }

    /// Adds bytes that were received during the login but not consumed by it.
    pub(crate) fn with_read_ahead(mut self, bytes: BytesMut) -> Self {
        self.reader.buffer = bytes;
        self
    }

    /// Waits for the next request that needs a home; `None` when the caller has disconnected.
    pub(crate) async fn next_exchange(&mut self) -> Option<ExchangeHead> {
        loop {
            match self.step() {
                Ok(Step::Forward) => return Some(self.head()),
                Ok(Step::Wait) => {}
                Err(error) => self.protocol_error(&error),
            }
            if self.registration.signal.is_withdrawn() {
                self.close_with(&Refusal::without_retry(RefusalReason::KeyWithdrawn).into());
            } else if self.registration.signal.must_close() && self.is_between_messages() {
                self.close_with(&Refusal::without_retry(RefusalReason::Draining).into());
            }
            if self.connection_state != ConnectionState::Connected {
                // The caller may already have disconnected, in which case the error is not needed.
                let _ = self.flush().await;
                let _ = timeout(LINGER_TIMEOUT, self.linger()).await;
                return None;
            }
            self.wait().await;
        }
    }

    /// Closes the connection after the caller has read its last message (lingering close). Closing
    /// a socket with unread input would reset the connection, and the message could be lost.
    async fn linger(&mut self) -> std::io::Result<()> {
        self.socket.shut_down().await?;
        let mut unread = BytesMut::new();
        while self.socket.fill(&mut unread).await? > 0 {
            unread.clear();
        }
        Ok(())
    }

    fn is_between_messages(&self) -> bool {
        self.reader.buffer.is_empty() && self.unit.is_empty()
    }

    fn head(&self) -> ExchangeHead {
        let snapshot = self.shared.snapshot.load();
        let tags = self.unit_tags();
        let default_budget_ms = self.shared.settings.request_timeout_ms;
        ExchangeHead {
            id: ExchangeId {
                vm: snapshot.local.name.clone(),
                incarnation: snapshot.local.incarnation,
                number: self.shared.next_exchange(),
            },
            workspace: self.identity.workspace.clone(),
            key: self.identity.key.clone(),
            database: self.identity.database.clone(),
            session: tags.session,
            route: tags.route,
            request: tags.request,
            token: self.latest_token(tags.token),
            access: self.unit.access(),
            settings: self.settings.for_exchange(),
            budget_ms: tags.timeout_ms.unwrap_or(default_budget_ms),
            traceparent: tags.traceparent,
            revision: snapshot.configuration.revision,
            preset_version: snapshot.configuration.preset_version(),
        }
    }

    fn unit_tags(&self) -> Tags {
        self.unit.tags.clone().or(&self.identity.tags)
    }

    fn latest_token(&self, tagged: Option<SessionToken>) -> Option<SessionToken> {
        let tokens = [self.token.clone(), tagged];
        let own = |token: &SessionToken| token.database == self.identity.database;
        let latest = tokens.into_iter().flatten().filter(own);
        latest.max_by(|left, right| left.seen.cmp(&right.seen))
    }

    /// Receives the next frame for the home. Cancelling the returned future loses no frame.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected and the home has been notified.
    pub(crate) async fn recv(&mut self) -> Result<CallerFrame> {
        loop {
            if self.exchange.has_ended() {
                // The home ends the exchange next. What the caller sends now belongs to the next
                // exchange.
                let _ = self.flush().await;
                std::future::pending::<()>().await;
            }
            if let Some(frame) = self.ready_frame()? {
                return Ok(frame);
            }
            self.wait().await;
        }
    }

    fn ready_frame(&mut self) -> Result<Option<CallerFrame>> {
        if let Some(frame) = self.exchange.next_frame() {
            return Ok(Some(frame));
        }
        if self.registration.signal.take_cancel() && self.exchange.phase.is_running() {
            return Ok(Some(CallerFrame::Cancel));
        }
        if self.registration.signal.is_withdrawn() && !self.exchange.phase.is_running() {
            self.close_with(&Refusal::without_retry(RefusalReason::KeyWithdrawn).into());
        }
        if self.connection_state == ConnectionState::Connected {
            self.reset_forwarded_unit();
            if let Err(error) = self.step() {
                self.protocol_error(&error);
            }
        }
        match self.connection_state {
            ConnectionState::Connected => Ok(self.exchange.next_frame()),
            ConnectionState::Disconnecting => {
                self.connection_state = ConnectionState::Disconnected;
                Ok(Some(CallerFrame::Disconnected))
            }
            ConnectionState::Disconnected => Err(StreamError::Lost),
        }
    }

    /// Starts a new unit if the previous one was forwarded.
    fn reset_forwarded_unit(&mut self) {
        if self.unit.end != UnitEnd::Open || self.unit.bytes >= MAX_UNIT_BYTES {
            self.unit = Unit::default();
        }
    }

    /// Writes the buffered output, then waits until the caller sends data or a signal is raised.
    async fn wait(&mut self) {
        if self.flush().await.is_err() {
            return;
        }
        let reads =
            self.exchange.phase.accepts_messages() || self.reader.buffer.len() < READ_AHEAD_BYTES;
        tokio::select! {
            read = self.socket.fill(&mut self.reader.buffer), if reads => {
                if !matches!(read, Ok(1..)) {
                    self.begin_disconnect();
                }
            }
            () = self.registration.signal.changed() => {}
        }
    }

    fn begin_disconnect(&mut self) {
        if self.connection_state == ConnectionState::Connected {
            self.connection_state = ConnectionState::Disconnecting;
        }
    }

    fn protocol_error(&mut self, error: &ReadError) {
        let sqlstate = match error {
            ReadError::TooLong { .. } => "54000",
            _ => "08P01",
        };
        self.close_with(&CallerError::new(sqlstate, error.to_string()));
    }

    fn close_with(&mut self, error: &CallerError) {
        if self.connection_state == ConnectionState::Connected {
            put_error(&mut self.out, Severity::Fatal, error);
        }
        self.begin_disconnect();
    }

    /// Returns the refusal of the exchange; `None` if it was not refused.
    pub(crate) fn refused(&self) -> Option<Refusal> {
        self.exchange.refused
    }

    /// Returns whether the home may have received messages of the exchange.
    pub(crate) fn has_sent(&self) -> bool {
        self.exchange.has_sent()
    }

    /// Returns the homes that run on this VM.
    pub(crate) fn homes(&self) -> Homes {
        self.shared.homes.clone()
    }

    /// Returns the client for the other VMs.
    pub(crate) fn peers(&self) -> PeerClient {
        self.shared.peers.clone()
    }

    /// Returns the snapshot that the controller published last.
    pub(crate) fn snapshot(&self) -> arc_swap::Guard<Arc<Snapshot>> {
        self.shared.snapshot.load()
    }

    /// Waits until the caller disconnects or cancels, while no home runs the exchange.
    pub(crate) async fn cancelled(&mut self) {
        loop {
            if self.registration.signal.take_cancel() && self.exchange.phase.is_running() {
                let error = CallerError::new("57014", "canceling statement due to user request");
                put_error(&mut self.out, Severity::Error, &error);
                put_ready(&mut self.out, TransactionStatus::Idle);
                return;
            }
            if self.registration.signal.is_withdrawn() {
                self.close_with(&Refusal::without_retry(RefusalReason::KeyWithdrawn).into());
            }
            if self.connection_state != ConnectionState::Connected {
                return;
            }
            self.wait().await;
        }
    }

    /// Resets the exchange so that it can be sent to another home; returns whether that is
    /// possible.
    pub(crate) fn rewind(&mut self) -> bool {
        self.exchange.refused = None;
        self.exchange.rewind()
    }

    /// Returns whether the caller is waiting for a response or has an open transaction.
    pub(crate) fn is_open(&self) -> bool {
        let idle = self.exchange.status == TransactionStatus::Idle;
        self.exchange.phase != Phase::Ready || !idle
    }
}
