//! Session of one caller: from its messages to frames for a home, and back.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use pgwire::messages::response::TransactionStatus;

use super::exchange_state::{ExchangeState, Phase, Presence};
use super::prepared::PreparedStatements;
use super::reader::{HEADER_BYTES, Message, MessageReader, ReadError};
use super::registry::{Registration, is_active};
use super::response::{
    CallerError, Header, Scanner, Severity, put_error, put_parameter, put_ready, put_reply,
};
use super::setting::{SessionChange, SessionSettings, Setting};
use super::shared::{CallerShared, HOME_RETRY_AFTER};
use super::socket::CallerSocket;
use super::tag::Tags;
use super::unit::{Translation, Unit, UnitEnd};
use crate::control::snapshot::{Snapshot, Standing};
use crate::name::{DatabaseName, KeyId, WorkspaceName};
use crate::peer::PeerClient;
use crate::peer::stream::{Result, StreamError};
use crate::position::SessionToken;
use crate::traffic::{
    CallerFrame, ExchangeHead, ExchangeId, HomeFrame, Homes, Refusal, RefusalReason,
};

/// Bytes of answers that are gathered before they are written.
const MAX_OUT_BYTES: usize = 32 * 1024;
/// Bytes that are read ahead while a statement runs, so that a closed connection is noticed.
const READ_AHEAD_BYTES: usize = 8 * 1024;
/// Bytes of a statement's messages after which they are passed on before their end has come.
const MAX_UNIT_BYTES: usize = 64 * 1024;
/// Name under which the session token is reported.
const TOKEN_PARAMETER: &str = "currantlb.token";

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
                return None;
            }
            self.wait().await;
        }
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

    /// Handles the messages that have arrived, up to the end of a unit.
    fn step(&mut self) -> Result<Step, ReadError> {
        while self.exchange.phase.takes_messages() && self.presence == Presence::Connected {
            let Some(message) = self.reader.next()? else {
                break;
            };
            if message.tag == b'X' {
                self.presence = Presence::Leaving;
                continue;
            }
            match self.exchange.phase {
                Phase::CopyIn { .. } => self.copy_message(&message)?,
                Phase::Skipping => self.skip(&message),
                _ => {
                    if self.add(&message)? {
                        return Ok(Step::Forward);
                    }
                }
            }
        }
        self.exchange.seal_copy();
        Ok(if self.exchange.frames.is_empty() {
            Step::Wait
        } else {
            Step::Forward
        })
    }

    fn skip(&mut self, message: &Message) {
        if message.tag == b'S' {
            self.exchange.phase = Phase::Ready;
            put_ready(&mut self.out, self.exchange.status);
        }
    }

    fn copy_message(&mut self, message: &Message) -> Result<(), ReadError> {
        match message.tag {
            b'd' => self.exchange.add_copy(message),
            b'c' | b'f' => {
                self.exchange.add_copy(message);
                self.exchange.phase = self.exchange.phase.end_copy();
            }
            // A server ignores these during a copy.
            b'H' | b'S' => {}
            _ => {
                return Err(ReadError::Malformed {
                    message: "CopyData",
                });
            }
        }
        Ok(())
    }

    /// Adds a message to the unit; returns whether there are frames for the home.
    fn add(&mut self, message: &Message) -> Result<bool, ReadError> {
        let mut with = Translation {
            plans: &self.shared.plans,
            statements: &mut self.statements,
            defined: &self.exchange.defined,
            max_parameters: self.shared.settings.max_parameters,
        };
        self.unit.add(message, &mut with)?;
        let ended = self.unit.end != UnitEnd::Open || self.unit.bytes >= MAX_UNIT_BYTES;
        Ok(ended && self.settle())
    }

    /// Decides what becomes of a unit; returns whether it is passed on.
    fn settle(&mut self) -> bool {
        let has_end = matches!(self.unit.end, UnitEnd::Simple | UnitEnd::Synced);
        let unsynced = self.exchange.phase == Phase::Unsynced;
        if self.unit.has_only_flush() && !unsynced {
            self.unit = Unit::default();
            return false;
        }
        let failure = self.unit.failure.take();
        if let Some(error) = failure.or_else(|| self.refusal()) {
            self.fail_unit(&error, has_end);
            return false;
        }
        let in_transaction = self.exchange.status != TransactionStatus::Idle;
        let stays_local = |change: &SessionChange| change.local_statement().is_none();
        let is_local = has_end
            && !self.unit.runs
            && !unsynced
            && (!in_transaction || self.unit.changes.iter().all(stays_local));
        if is_local {
            self.answer_locally();
            return false;
        }
        let changes = &self.unit.changes;
        let can_change = has_end && in_transaction && !changes.iter().any(stays_local);
        if !changes.is_empty() && !can_change {
            let refusal = Refusal::last(RefusalReason::SessionStateUnsupported);
            self.fail_unit(&refusal.into(), has_end);
            return false;
        }
        self.forward();
        true
    }

    /// Returns why the configuration does not let the unit run.
    fn refusal(&mut self) -> Option<CallerError> {
        let snapshot = self.shared.snapshot.load();
        let configuration = &snapshot.configuration;
        let retry_after = HOME_RETRY_AFTER;
        let Identity {
            workspace,
            key,
            database,
            ..
        } = &self.identity;
        let reason = match snapshot.standing {
            Standing::Isolated => Some(RefusalReason::Isolated),
            Standing::Starting => {
                return Some(Refusal::retry(RefusalReason::HomeUnknown, retry_after).into());
            }
            Standing::Serving | Standing::Draining => None,
        };
        if let Some(reason) = reason {
            return Some(Refusal::last(reason).into());
        }
        if !is_active(configuration, workspace, key) {
            self.presence = Presence::Leaving;
            return Some(Refusal::last(RefusalReason::KeyWithdrawn).into());
        }
        if !configuration.databases.contains_key(database) {
            return Some(Refusal::last(RefusalReason::DatabaseUnknown).into());
        }
        let route = self.unit_tags().route;
        let allowed = configuration.workspaces[workspace]
            .databases
            .contains(database)
            || configuration.route_policy(route.as_ref()).open_to_all;
        (!allowed).then(|| Refusal::last(RefusalReason::DatabaseNotAllowed).into())
    }

    fn fail_unit(&mut self, error: &CallerError, has_end: bool) {
        self.unit = Unit::default();
        if self.exchange.phase == Phase::Unsynced {
            // What was passed on before would be committed by the Sync that follows.
            self.close_with(error);
            return;
        }
        put_error(&mut self.out, Severity::Error, error);
        if has_end {
            put_ready(&mut self.out, self.exchange.status);
        } else {
            self.exchange.phase = Phase::Skipping;
        }
    }

    fn answer_locally(&mut self) {
        let unit = std::mem::take(&mut self.unit);
        let status = self.exchange.status;
        if status == TransactionStatus::Error && !unit.changes.is_empty() {
            let message = "current transaction is aborted; end it with ROLLBACK";
            let error = CallerError::new("25P02", message);
            put_error(&mut self.out, Severity::Error, &error);
        } else {
            for reply in &unit.replies {
                put_reply(&mut self.out, reply);
            }
            self.apply(&unit.changes);
        }
        put_ready(&mut self.out, status);
    }

    fn apply(&mut self, changes: &[SessionChange]) {
        for change in changes {
            match change {
                SessionChange::DiscardAll | SessionChange::DeallocateAll => self.statements.clear(),
                SessionChange::Deallocate(name) => self.statements.remove(name),
                _ => {}
            }
            self.settings.apply(change);
            self.report(change);
        }
    }

    /// Reports the settings that a change concerns.
    fn report(&mut self, change: &SessionChange) {
        let concerned = |setting: &Setting| match change {
            SessionChange::Set(changed, _) | SessionChange::Reset(changed) => changed == setting,
            SessionChange::ResetAll | SessionChange::DiscardAll => true,
            _ => false,
        };
        for (setting, name) in Setting::all_reported() {
            if concerned(&setting) {
                put_parameter(&mut self.out, name, self.settings.reported(setting));
            }
        }
    }

    fn forward(&mut self) {
        self.unit.seal();
        let exchange = &mut self.exchange;
        exchange.frames.append(&mut self.unit.frames);
        exchange.defined.extend(self.unit.defined.drain(..));
        exchange.parses.append(&mut self.unit.parses);
        exchange.changes.append(&mut self.unit.changes);
        exchange.phase = match self.unit.end {
            UnitEnd::Simple => Phase::Running { simple: true },
            UnitEnd::Synced => Phase::Running { simple: false },
            UnitEnd::Open | UnitEnd::Flushed => Phase::Unsynced,
        };
        self.registration.signal.start_statement();
    }

    /// Receives the next frame for the home. Cancelling the returned future loses no frame.
    ///
    /// # Errors
    ///
    /// Fails when the caller has gone and the home was told.
    pub(crate) async fn recv(&mut self) -> Result<CallerFrame> {
        loop {
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

    /// Takes one frame of the home's answer; it may stay in a buffer until [`Self::flush`].
    ///
    /// # Errors
    ///
    /// Fails when the caller has gone.
    pub(crate) async fn send(&mut self, frame: HomeFrame) -> Result<()> {
        match frame {
            HomeFrame::Messages(messages) => self.deliver(&messages),
            HomeFrame::Seen(seen) => {
                let token = SessionToken {
                    database: self.identity.database.clone(),
                    seen,
                };
                put_parameter(&mut self.out, TOKEN_PARAMETER, &token.to_string());
                self.token = Some(token);
            }
            HomeFrame::Refused(refusal) => self.exchange.refused = Some(refusal),
            HomeFrame::End => {}
        }
        if self.out.len() >= MAX_OUT_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Writes what is due.
    ///
    /// # Errors
    ///
    /// Fails when the caller has gone.
    pub(crate) async fn flush(&mut self) -> Result<()> {
        if self.out.is_empty() {
            return Ok(());
        }
        let drained = self.socket.drain(&mut self.out).await;
        // An idle connection holds no buffer.
        self.out = BytesMut::new();
        if drained.is_err() {
            self.leave();
            return Err(StreamError::Lost);
        }
        Ok(())
    }

    fn deliver(&mut self, messages: &Bytes) {
        self.exchange.answered = true;
        let mut scanner = std::mem::take(&mut self.scanner);
        let mut copied = 0;
        scanner.scan(messages, |header| {
            if header.tag == b'Z' && !self.exchange.changes.is_empty() {
                self.out.extend_from_slice(&messages[copied..header.start]);
                copied = header.start;
            }
            self.note(header, &messages[header.start..]);
        });
        self.scanner = scanner;
        self.out.extend_from_slice(&messages[copied..]);
    }

    /// Follows the state of the exchange by a message of the answer.
    fn note(&mut self, header: Header, message: &[u8]) {
        let exchange = &mut self.exchange;
        match header.tag {
            b'Z' => self.note_ready(header.first),
            b'G' | b'W' => exchange.phase = exchange.phase.start_copy(),
            b'E' => exchange.phase = exchange.phase.end_copy(),
            b'1' => {
                exchange.parses.pop_front();
            }
            b'C' => exchange.committed = message[HEADER_BYTES..].starts_with(b"COMMIT"),
            _ => {}
        }
    }

    fn note_ready(&mut self, status: u8) {
        let exchange = &mut self.exchange;
        exchange.status = TransactionStatus::try_from(status).unwrap_or(TransactionStatus::Idle);
        exchange.phase = Phase::Ready;
        self.registration.signal.end_statement();
        for failed in exchange.parses.drain(..) {
            self.statements.remove(&failed);
        }
        if exchange.status == TransactionStatus::Idle && !exchange.changes.is_empty() {
            let changes = std::mem::take(&mut exchange.changes);
            if exchange.committed {
                self.apply(&changes);
            }
        }
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

    /// Ends the exchange; a refusal is answered in place of what is due.
    pub(crate) fn end_exchange(&mut self, refusal: Option<Refusal>) {
        self.registration.signal.end_statement();
        let ended = std::mem::take(&mut self.exchange);
        self.unit = Unit::default();
        self.scanner = Scanner::default();
        for unanswered in ended.parses {
            self.statements.remove(&unanswered);
        }
        let Some(refusal) = refusal else {
            return;
        };
        let error = CallerError::from(refusal);
        if ended.phase.is_running() {
            put_error(&mut self.out, Severity::Error, &error);
            put_ready(&mut self.out, TransactionStatus::Idle);
        } else if ended.phase == Phase::Ready {
            // Nothing is due, so that the end of the transaction can only be told by closing.
            self.close_with(&error);
        } else {
            put_error(&mut self.out, Severity::Error, &error);
            self.exchange.phase = Phase::Skipping;
        }
        if refusal.reason == RefusalReason::KeyWithdrawn {
            self.leave();
        }
    }
}
