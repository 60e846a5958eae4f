//! Frontend messages from the caller to an instance.

use bytes::{Bytes, BytesMut};
use postgres_protocol::message::frontend;
use snafu::ResultExt;

use super::replies::Reply;
use super::wire::{body, split_string, whole_message_bytes};
use super::{Connection, IoSnafu, ProtocolSnafu, Result};

const PARSE: u8 = b'P';
const CLOSE: u8 = b'C';
const QUERY: u8 = b'Q';
const FUNCTION_CALL: u8 = b'F';
const SYNC: u8 = b'S';
const TERMINATE: u8 = b'X';

/// Tags of messages that are forwarded unchanged: `Bind`, `Describe`, `Execute`, `Flush`,
/// `CopyData`, `CopyDone` and `CopyFail`.
const PLAIN: [u8; 7] = *b"BDEHdcf";

impl Connection {
    /// Adds messages of the caller to the output buffer; the next write sends them.
    ///
    /// # Errors
    ///
    /// Fails when a message is malformed or not allowed.
    pub(crate) fn take_messages(&mut self, messages: Bytes) -> Result<()> {
        let mut rest = messages;
        if !self.partial.is_empty() {
            self.partial.extend_from_slice(&rest);
            rest = std::mem::take(&mut self.partial).freeze();
        }
        while let Some(bytes) = whole_message_bytes(&rest)? {
            let message = rest.split_to(bytes);
            self.take_message(&message)?;
        }
        if !rest.is_empty() {
            self.partial = BytesMut::from(rest);
        }
        Ok(())
    }

    fn take_message(&mut self, message: &[u8]) -> Result<()> {
        match message[0] {
            PARSE => return self.take_parse(message),
            CLOSE => self.replies.push(Reply::Closed { pass: true }),
            QUERY | FUNCTION_CALL => self.replies.push(Reply::QueryReady),
            SYNC => self.replies.push(Reply::SyncReady),
            TERMINATE => return Ok(()),
            tag if PLAIN.contains(&tag) => {}
            tag => {
                let what = format!("message {:?} from the caller", char::from(tag));
                return ProtocolSnafu { what }.fail();
            }
        }
        self.outgoing.extend_from_slice(message);
        Ok(())
    }

    /// Queues a `Parse` that the caller sent itself, replacing any statement of that name.
    fn take_parse(&mut self, message: &[u8]) -> Result<()> {
        let name = statement_name(message)?.to_owned();
        if !name.is_empty() {
            self.replace_statement(&name)?;
        }
        self.replies.push(Reply::Parsed { name, pass: true });
        self.outgoing.extend_from_slice(message);
        Ok(())
    }

    /// Queues the `Parse` of a prepared statement if the connection does not have the statement.
    ///
    /// # Errors
    ///
    /// Fails when the message is not a `Parse` of that name.
    pub(crate) fn define(&mut self, name: &str, parse: &[u8]) -> Result<()> {
        if self.statements.touch(name) {
            return Ok(());
        }
        let is_parse = parse.first() == Some(&PARSE);
        if !is_parse || statement_name(parse)? != name {
            let what = format!("definition of statement {name}");
            return ProtocolSnafu { what }.fail();
        }
        self.replace_statement(name)?;
        self.replies.push(Reply::Parsed {
            name: name.to_owned(),
            pass: false,
        });
        self.outgoing.extend_from_slice(parse);
        Ok(())
    }

    /// Closes the statement before it is prepared again, whether it is known or not: the instance
    /// may still have it when an earlier error made it skip a `Close` and `Parse`.
    fn replace_statement(&mut self, name: &str) -> Result<()> {
        let evicted = self.statements.prepare(name);
        for name in evicted.as_deref().into_iter().chain([name]) {
            frontend::close(b'S', name, &mut self.outgoing).context(IoSnafu)?;
            self.replies.push(Reply::Closed { pass: false });
        }
        Ok(())
    }
}

fn statement_name(parse: &[u8]) -> Result<&str> {
    match split_string(body(parse)) {
        Some((name, _rest)) => Ok(name),
        None => ProtocolSnafu {
            what: "Parse message without a name",
        }
        .fail(),
    }
}

#[cfg(test)]
mod tests;
