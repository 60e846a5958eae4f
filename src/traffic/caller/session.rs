//! Session of one caller: from its messages to frames for a home, and back.

mod inbound;
mod outbound;

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::response::TransactionStatus;
use tokio::time::timeout;

use super::exchange_state::{ExchangeState, Phase, Presence};
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

/// Time that a caller has to read why its connection ends.
const LINGER_LIMIT: Duration = Duration::from_secs(1);

/// Bytes that are read ahead while a statement runs, so that a closed connection is noticed.
const READ_AHEAD_BYTES: usize = 8 * 1024;
/// Bytes of a statement's messages after which they are passed on before their end has come.
const MAX_UNIT_BYTES: usize = 64 * 1024;

/// Who a caller is, as its login showed.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) workspace: WorkspaceName,
    pub(crate) key: KeyId,
    pub(crate) database: DatabaseName,
    /// What the connection's options say of its requests.
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
    presence: Presence,
}

/// What became of the messages that a caller sent.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    /// There are frames for the home.
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
            presence: Presence::default(),
        }
    }

    /// Takes over what the caller sent before its login had ended.
    pub(crate) fn with_read_ahead(mut self, bytes: BytesMut) -> Self {
        self.reader.buffer = bytes;
        self
    }

    /// Waits for the next transaction; `None` when the caller has gone.
    pub(crate) async fn next_exchange(&mut self) -> Option<ExchangeHead> {
        loop {
            match self.step() {
                Ok(Step::Forward) => return Some(self.head()),
                Ok(Step::Wait) => {}
                Err(error) => self.protocol_error(&error),
            }
            if self.registration.signal.is_withdrawn() {
                self.close_with(&Refusal::last(RefusalReason::KeyWithdrawn).into());
            } else if self.registration.signal.must_close() && self.is_between_messages() {
                self.close_with(&Refusal::last(RefusalReason::Draining).into());
            }
            if self.presence != Presence::Connected {
                // The caller may have gone already; there is no one else to tell.
                let _ = self.flush().await;
                let _ = timeout(LINGER_LIMIT, self.linger()).await;
                return None;
            }
            self.wait().await;
        }
    }

    /// Lets the caller read its last message: closing while something that it sent is unread would
    /// reset the connection, and the message could be lost on its way.
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
    /// Fails when the caller has gone and the home was told.
    pub(crate) async fn recv(&mut self) -> Result<CallerFrame> {
        loop {
            if self.exchange.has_ended() {
                // The home ends the exchange next; what the caller sends now belongs to another.
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
            self.close_with(&Refusal::last(RefusalReason::KeyWithdrawn).into());
        }
        if self.presence == Presence::Connected {
            self.unit_for_next_message();
            if let Err(error) = self.step() {
                self.protocol_error(&error);
            }
        }
        match self.presence {
            Presence::Connected => Ok(self.exchange.next_frame()),
            Presence::Leaving => {
                self.presence = Presence::Gone;
                Ok(Some(CallerFrame::Gone))
            }
            Presence::Gone => Err(StreamError::Lost),
        }
    }

    /// Starts a new unit when the one before was passed on.
    fn unit_for_next_message(&mut self) {
        if self.unit.end != UnitEnd::Open || self.unit.bytes >= MAX_UNIT_BYTES {
            self.unit = Unit::default();
        }
    }

    /// Writes what is due and waits until the caller sends, or something concerns it.
    async fn wait(&mut self) {
        if self.flush().await.is_err() {
            return;
        }
        let reads =
            self.exchange.phase.takes_messages() || self.reader.buffer.len() < READ_AHEAD_BYTES;
        tokio::select! {
            read = self.socket.fill(&mut self.reader.buffer), if reads => {
                if !matches!(read, Ok(1..)) {
                    self.leave();
                }
            }
            () = self.registration.signal.changed() => {}
        }
    }

    fn leave(&mut self) {
        if self.presence == Presence::Connected {
            self.presence = Presence::Leaving;
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
        if self.presence == Presence::Connected {
            put_error(&mut self.out, Severity::Fatal, error);
        }
        self.leave();
    }

    /// Returns why the exchange was refused, when it was.
    pub(crate) fn refused(&self) -> Option<Refusal> {
        self.exchange.refused
    }

    /// Returns whether the home may have got messages of the exchange.
    pub(crate) fn has_sent(&self) -> bool {
        self.exchange.has_sent()
    }

    /// Returns the homes on this VM.
    pub(crate) fn homes(&self) -> Homes {
        self.shared.homes.clone()
    }

    /// Returns the way to the other VMs.
    pub(crate) fn peers(&self) -> PeerClient {
        self.shared.peers.clone()
    }

    /// Returns what the control code has published.
    pub(crate) fn snapshot(&self) -> arc_swap::Guard<Arc<Snapshot>> {
        self.shared.snapshot.load()
    }

    /// Waits until the caller goes or cancels an exchange that no home runs.
    pub(crate) async fn cancelled(&mut self) {
        loop {
            if self.registration.signal.take_cancel() && self.exchange.phase.is_running() {
                let error = CallerError::new("57014", "canceling statement due to user request");
                put_error(&mut self.out, Severity::Error, &error);
                put_ready(&mut self.out, TransactionStatus::Idle);
                return;
            }
            if self.registration.signal.is_withdrawn() {
                self.close_with(&Refusal::last(RefusalReason::KeyWithdrawn).into());
            }
            if self.presence != Presence::Connected {
                return;
            }
            self.wait().await;
        }
    }

    /// Makes the exchange start anew at another home; returns whether that is possible.
    pub(crate) fn rewind(&mut self) -> bool {
        self.exchange.refused = None;
        self.exchange.rewind()
    }

    /// Returns whether the caller still waits for an answer, or for its transaction to go on.
    pub(crate) fn is_open(&self) -> bool {
        let idle = self.exchange.status == TransactionStatus::Idle;
        self.exchange.phase != Phase::Ready || !idle
    }
}
