//! Backend messages from an instance to the caller.

use bytes::BytesMut;

use super::connection::TransactionStatus;
use super::replies::Reply;
use super::wire::{body, message_bytes, split_string, whole_message_bytes};
use super::{Connection, ProtocolSnafu, Result};

const PARSE_COMPLETE: u8 = b'1';
const CLOSE_COMPLETE: u8 = b'3';
const COMMAND_COMPLETE: u8 = b'C';
const ERROR_RESPONSE: u8 = b'E';
const COPY_IN_RESPONSE: u8 = b'G';
const PARAMETER_STATUS: u8 = b'S';
const NOTIFICATION_RESPONSE: u8 = b'A';
const READY_FOR_QUERY: u8 = b'Z';

/// Tags of messages that are forwarded unchanged.
const PLAIN: [u8; 13] = *b"2DTtnNIsVHWcd";

/// Effect of a completed command, judged by its command tag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandKind {
    /// Committed a transaction, or prepared it for a two-phase commit.
    Commit,
    /// Made no change that persists beyond the transaction.
    Read,
    /// Rolled back a transaction, or ended one that had failed.
    Rollback,
    /// May have written.
    Write,
}

/// Part of a response, distinguished by how it may be forwarded to the caller.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ResponsePart {
    /// Messages that may be forwarded immediately.
    Pass(BytesMut),
    /// `CommandComplete`.
    Complete {
        /// The complete message.
        message: BytesMut,
        /// Effect of the command.
        kind: CommandKind,
    },
    /// `ErrorResponse`.
    Failed(BytesMut),
    /// `ReadyForQuery`.
    Ready(BytesMut),
}

impl Connection {
    /// Removes the next part of the response from the read buffer; `None` when more must be read.
    ///
    /// # Errors
    ///
    /// Fails when the instance sends a message that the protocol does not allow in this state.
    pub(crate) fn next_part(&mut self) -> Result<Option<ResponsePart>> {
        loop {
            // Messages that are forwarded unchanged may follow one that is hidden from the caller.
            let run = self.plain_run()?;
            if run > 0 {
                return Ok(Some(ResponsePart::Pass(self.incoming.split_to(run))));
            }
            let Some(bytes) = whole_message_bytes(&self.incoming)? else {
                self.reserve_message()?;
                return Ok(None);
            };
            let message = self.incoming.split_to(bytes);
            if let Some(part) = self.part(message)? {
                return Ok(Some(part));
            }
        }
    }

    /// Returns the length of the complete messages at the front that are forwarded unchanged.
    fn plain_run(&self) -> Result<usize> {
        let mut run = 0;
        while let Some(bytes) = whole_message_bytes(&self.incoming[run..])? {
            if !PLAIN.contains(&self.incoming[run]) {
                break;
            }
            run += bytes;
        }
        Ok(run)
    }

    fn reserve_message(&mut self) -> Result<()> {
        if let Some(bytes) = message_bytes(&self.incoming)? {
            self.incoming.reserve(bytes - self.incoming.len());
        }
        Ok(())
    }

    /// Handles one message; returns `None` when it is hidden from the caller.
    fn part(&mut self, message: BytesMut) -> Result<Option<ResponsePart>> {
        let passed = |pass: bool, message: BytesMut| pass.then_some(ResponsePart::Pass(message));
        match message[0] {
            PARSE_COMPLETE => match self.replies.pop() {
                Some(Reply::Parsed { name, pass }) => {
                    self.statements.confirm(&name);
                    Ok(passed(pass, message))
                }
                _ => unexpected(&message),
            },
            CLOSE_COMPLETE => match self.replies.pop() {
                Some(Reply::Closed { pass }) => Ok(passed(pass, message)),
                _ => unexpected(&message),
            },
            COMMAND_COMPLETE => Ok(Some(self.complete(message))),
            ERROR_RESPONSE => Ok(Some(ResponsePart::Failed(message))),
            COPY_IN_RESPONSE => {
                self.replies.copy_in();
                Ok(Some(ResponsePart::Pass(message)))
            }
            PARAMETER_STATUS => Ok(passed(!self.parameter(&message), message)),
            NOTIFICATION_RESPONSE => Ok(None),
            READY_FOR_QUERY => self.ready(message).map(Some),
            _ => unexpected(&message),
        }
    }

    fn parameter(&mut self, message: &[u8]) -> bool {
        let Some((name, rest)) = split_string(body(message)) else {
            return false;
        };
        split_string(rest).is_some_and(|(value, _)| self.record_parameter(name, value))
    }

    fn complete(&mut self, message: BytesMut) -> ResponsePart {
        let tag = split_string(body(&message)).map_or("", |(tag, _)| tag);
        let kind = command_kind(tag);
        match tag {
            "SET" | "RESET" => self.session.is_changed = true,
            "DEALLOCATE ALL" | "DISCARD ALL" => {
                self.session.is_changed = true;
                self.statements.clear();
            }
            _ => {}
        }
        ResponsePart::Complete { message, kind }
    }

    fn ready(&mut self, message: BytesMut) -> Result<ResponsePart> {
        self.status = match body(&message) {
            b"I" => TransactionStatus::Idle,
            b"T" => TransactionStatus::Open,
            b"E" => TransactionStatus::Failed,
            _ => return unexpected(&message),
        };
        if !self.replies.ready() {
            return unexpected(&message);
        }
        self.statements.drop_unconfirmed();
        Ok(ResponsePart::Ready(message))
    }
}

fn command_kind(tag: &str) -> CommandKind {
    let verb = tag.split(' ').next().unwrap_or_default();
    match verb {
        "COMMIT" | "PREPARE" => CommandKind::Commit,
        "SELECT" | "SHOW" | "EXPLAIN" | "BEGIN" | "START" | "SAVEPOINT" | "RELEASE" | "FETCH"
        | "MOVE" | "DECLARE" | "CLOSE" => CommandKind::Read,
        "ROLLBACK" => CommandKind::Rollback,
        _ => CommandKind::Write,
    }
}

/// Returns a field of an `ErrorResponse`, such as `b'C'` for the SQLSTATE.
pub(crate) fn error_field(message: &[u8], field: u8) -> Option<&str> {
    let mut rest = body(message);
    while let Some((kind, tail)) = rest.split_first() {
        let (value, tail) = split_string(tail)?;
        if *kind == field {
            return Some(value);
        }
        rest = tail;
    }
    None
}

/// Returns whether the instance closes the connection after this `ErrorResponse`.
pub(crate) fn is_fatal(message: &[u8]) -> bool {
    let severity = error_field(message, b'V').or_else(|| error_field(message, b'S'));
    matches!(severity, Some("FATAL" | "PANIC"))
}

fn unexpected<T>(message: &[u8]) -> Result<T> {
    let what = format!("message {:?} from the instance", char::from(message[0]));
    ProtocolSnafu { what }.fail()
}

#[cfg(test)]
mod tests;
