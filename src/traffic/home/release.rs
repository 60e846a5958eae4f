//! Buffering of responses: decides what is sent immediately and what is held until the answer gate
//! releases it.

use bytes::BytesMut;
use tokio::time::{Instant, sleep_until};

use super::database::Home;
use crate::control::gate::Save;
use crate::traffic::exchange::MAX_FRAME_BYTES;
use crate::traffic::upstream::connection::TransactionStatus;
use crate::traffic::upstream::response::{CommandKind, ResponsePart};
use crate::traffic::upstream::wire::message_bytes;
use crate::traffic::{Access, RefusalReason};

/// Largest response that is held back after a `COMMIT` in the middle of a batch.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// Outcome of the last command of a batch.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum LastCommand {
    /// No command has run.
    #[default]
    None,
    Completed,
    RolledBack,
    Failed,
}

/// Response to one statement or batch on its way to the caller.
///
/// The `CommandComplete` of the last command is held until `ReadyForQuery`, and so is everything
/// after a `COMMIT`: whether they may be sent depends on the log position, which the instance
/// reports between `CommandComplete` and `ReadyForQuery`.
#[derive(Debug, Default)]
pub(super) struct Output {
    ready: BytesMut,
    held: BytesMut,
    /// Whether `held` contains the `CommandComplete` of a `COMMIT`.
    holds_commit: bool,
    has_written: bool,
    last: LastCommand,
    /// Whether any part of the response was released to the caller in this exchange.
    pub(super) is_released: bool,
}

impl Output {
    /// Adds one part of the response.
    ///
    /// # Errors
    ///
    /// Fails when the held messages exceed `MAX_HELD_BYTES`.
    pub(super) fn push(&mut self, part: ResponsePart) -> Result<(), RefusalReason> {
        if !self.holds_commit {
            self.ready.unsplit(std::mem::take(&mut self.held));
        }
        match part {
            ResponsePart::Pass(messages) | ResponsePart::Ready(messages) => self.append(messages),
            ResponsePart::Failed(message) => {
                self.last = LastCommand::Failed;
                self.append(message);
            }
            ResponsePart::Complete { message, kind } => {
                self.holds_commit |= kind == CommandKind::Commit;
                self.has_written |= kind == CommandKind::Write;
                self.last = match kind {
                    CommandKind::Rollback => LastCommand::RolledBack,
                    _ => LastCommand::Completed,
                };
                self.held.unsplit(message);
            }
        }
        if self.held.len() > MAX_HELD_BYTES {
            return Err(RefusalReason::AnswerLost);
        }
        Ok(())
    }

    fn append(&mut self, messages: BytesMut) {
        if self.holds_commit {
            self.held.unsplit(messages);
        } else {
            self.ready.unsplit(messages);
        }
    }

    /// Returns whether the response acknowledges a possible write, and so must wait for the answer
    /// gate.
    pub(super) const fn needs_gate(&self, access: Access, status: TransactionStatus) -> bool {
        let may_write = matches!(access, Access::Write) || self.has_written;
        let ends = matches!(status, TransactionStatus::Idle);
        let commits = ends && matches!(self.last, LastCommand::Completed);
        may_write && (self.holds_commit || commits)
    }

    /// Releases everything that is held, followed by the `ReadyForQuery` that ends the response.
    pub(super) fn finish(&mut self, ready_for_query: BytesMut) {
        self.ready.unsplit(std::mem::take(&mut self.held));
        self.ready.unsplit(ready_for_query);
        self.holds_commit = false;
        self.last = LastCommand::None;
    }

    /// Returns whether messages are ready to be sent.
    pub(super) fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Removes the next frame of messages that may be sent; `None` when there is none.
    pub(super) fn next_frame(&mut self) -> Option<BytesMut> {
        if self.ready.is_empty() {
            return None;
        }
        self.is_released = true;
        let bytes = frame_bytes(&self.ready);
        Some(self.ready.split_to(bytes))
    }
}

/// Returns the total length of the complete messages at the front that fit into one frame. If the
/// first message alone is larger than a frame, returns the size of a frame.
fn frame_bytes(messages: &[u8]) -> usize {
    if messages.len() <= MAX_FRAME_BYTES {
        return messages.len();
    }
    let mut end = 0;
    // When the first part of a large message was sent before, there is no header at the front, and
    // the rest is split by length alone.
    while let Ok(Some(bytes)) = message_bytes(&messages[end..]) {
        if end + bytes > MAX_FRAME_BYTES {
            break;
        }
        end += bytes;
    }
    if end == 0 { MAX_FRAME_BYTES } else { end }
}

/// Waits until a save may be acknowledged.
///
/// # Errors
///
/// Fails when the save can't be acknowledged: the term has changed, or too few instances have
/// received the save before the deadline.
pub(super) async fn gate(home: &Home, save: &Save, deadline: Instant) -> Result<(), RefusalReason> {
    let now = home.clock.now();
    let expires_at = now + deadline.saturating_duration_since(Instant::now());
    let waiting = home.with_state(|state| state.hold(save, expires_at, now))?;
    let Some(mut verdict) = waiting else {
        return Ok(());
    };
    loop {
        tokio::select! {
            verdict = &mut verdict => return verdict.unwrap_or(Err(RefusalReason::AnswerLost)),
            () = sleep_until(deadline) => expire(home),
        }
    }
}

fn expire(home: &Home) {
    let now = home.clock.now();
    for (verdict, sender) in home.with_state(|state| state.expire_gate(now)) {
        // The receiver is dropped when the caller has disconnected.
        let _ = sender.send(verdict);
    }
}

#[cfg(test)]
mod tests;
