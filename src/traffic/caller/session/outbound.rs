//! Responses from the home to the caller.

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

/// Bytes of responses that are buffered before they are written.
const MAX_OUT_BYTES: usize = 32 * 1024;
/// `ParameterStatus` name under which the session token is reported.
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

    /// Sends `ParameterStatus` for the settings that a change affects.
    fn report(&mut self, change: &SessionChange) {
        let is_affected = |setting: &Setting| match change {
            SessionChange::Set(changed, _) | SessionChange::Reset(changed) => changed == setting,
            SessionChange::ResetAll | SessionChange::DiscardAll => true,
            _ => false,
        };
        for (setting, name) in Setting::all_reported() {
            if is_affected(&setting) {
                put_parameter(&mut self.out, name, self.settings.reported(setting));
            }
        }
    }

    /// Processes one frame of the home's response; its bytes may be buffered until [`Self::flush`].
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
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

    /// Writes the buffered output.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected.
    pub(crate) async fn flush(&mut self) -> Result<()> {
        if self.out.is_empty() {
            return Ok(());
        }
        let drained = self.socket.drain(&mut self.out).await;
        // Frees the buffer, so that idle connections hold no memory for it.
        self.out = BytesMut::new();
        if drained.is_err() {
            self.begin_disconnect();
            return Err(StreamError::Lost);
        }
        Ok(())
    }

    fn deliver(&mut self, messages: &Bytes) {
        self.exchange.response_started = true;
        let mut scanner = std::mem::take(&mut self.scanner);
        let mut copied = 0;
        scanner.scan(messages, |header| {
            if header.tag == b'Z' && !self.exchange.changes.is_empty() {
                self.out.extend_from_slice(&messages[copied..header.start]);
                copied = header.start;
            }
            self.track_message(header, &messages[header.start..]);
        });
        self.scanner = scanner;
        self.out.extend_from_slice(&messages[copied..]);
    }

    /// Updates the state of the exchange from a message of the response.
    fn track_message(&mut self, header: Header, message: &[u8]) {
        let exchange = &mut self.exchange;
        match header.tag {
            b'Z' => self.track_ready(header.first),
            b'G' | b'W' => exchange.phase = exchange.phase.start_copy(),
            b'E' => exchange.phase = exchange.phase.end_copy(),
            b'1' => {
                exchange.parses.pop_front();
            }
            b'C' => exchange.committed = message[HEADER_BYTES..].starts_with(b"COMMIT"),
            _ => {}
        }
    }

    fn track_ready(&mut self, status: u8) {
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

    /// Ends the exchange. A refusal is sent as an error in place of the pending response.
    pub(crate) fn end_exchange(&mut self, refusal: Option<Refusal>) {
        self.registration.signal.end_statement();
        let ended = std::mem::take(&mut self.exchange);
        self.unit = Unit::default();
        self.scanner = Scanner::default();
        for pending in ended.parses {
            self.statements.remove(&pending);
        }
        let Some(refusal) = refusal else {
            return;
        };
        let error = CallerError::from(refusal);
        if ended.phase.is_running() {
            put_error(&mut self.out, Severity::Error, &error);
            put_ready(&mut self.out, TransactionStatus::Idle);
        } else if ended.phase == Phase::Ready {
            // No response is pending, so the end of the transaction can only be reported by closing
            // the connection.
            self.close_with(&error);
        } else {
            put_error(&mut self.out, Severity::Error, &error);
            self.exchange.phase = Phase::Skipping;
        }
        if refusal.reason == RefusalReason::KeyWithdrawn {
            self.begin_disconnect();
        }
    }
}
