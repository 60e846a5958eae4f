//! The home's answer, on its way to the caller.

use bytes::{Bytes, BytesMut};
use pgwire::messages::response::TransactionStatus;

use super::super::exchange_state::Phase;
use super::super::reader::HEADER_BYTES;
use super::super::response::{
    CallerError, Header, Scanner, Severity, put_error, put_parameter, put_ready,
};
use super::super::setting::{SessionChange, Setting};
use super::super::unit::Unit;
use super::CallerSession;
use crate::peer::stream::{Result, StreamError};
use crate::position::SessionToken;
use crate::traffic::{HomeFrame, Refusal, RefusalReason};

/// Bytes of answers that are gathered before they are written.
const MAX_OUT_BYTES: usize = 32 * 1024;
/// Name under which the session token is reported.
const TOKEN_PARAMETER: &str = "currantlb.token";

impl CallerSession {
    pub(super) fn apply(&mut self, changes: &[SessionChange]) {
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
