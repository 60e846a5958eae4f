//! Protocol state of a caller's current exchange.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::response::TransactionStatus;

use super::reader::Message;
use super::setting::SessionChange;
use super::unit::FRAME_BYTES;
use crate::traffic::{CallerFrame, Refusal};

/// Bytes of an exchange that are buffered until its response starts, so that it can be replayed to
/// another home.
const MAX_REPLAY_BYTES: usize = 128 * 1024;

/// State of the caller's connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The caller is connected.
    #[default]
    Connected,
    /// The caller has disconnected or is being disconnected, and the home has not been notified.
    Disconnecting,
    /// The caller has disconnected and the home has been notified.
    Disconnected,
}

/// Phase of the protocol, which determines the messages that may come next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// All responses are complete; the caller may start a statement.
    Ready,
    /// Extended-query messages were forwarded, and their `Sync` has not arrived.
    AwaitingSync,
    /// A statement is running and its `ReadyForQuery` is pending.
    Running {
        /// Whether it uses the simple query protocol.
        simple: bool,
    },
    /// `COPY FROM STDIN`: the database reads copy data from the caller.
    CopyIn {
        /// Whether it uses the simple query protocol.
        simple: bool,
    },
    /// An error was sent; the caller's messages are discarded up to the next `Sync`.
    Skipping,
}

impl Phase {
    /// Returns whether a `ReadyForQuery` is pending.
    pub(super) const fn is_running(self) -> bool {
        matches!(self, Self::Running { .. } | Self::CopyIn { simple: true })
    }

    /// Returns whether the caller's next message may be processed.
    pub(super) const fn accepts_messages(self) -> bool {
        !matches!(self, Self::Running { .. })
    }

    /// Returns the phase in which the database reads copy data. The database ignores a `Sync` that
    /// was sent before, so no `ReadyForQuery` is pending after an extended query.
    pub(super) const fn start_copy(self) -> Self {
        Self::CopyIn {
            simple: matches!(self, Self::Running { simple: true }),
        }
    }

    /// Returns the phase after `CopyDone`, `CopyFail` or an error of the database.
    pub(super) const fn end_copy(self) -> Self {
        match self {
            Self::CopyIn { simple: true } => Self::Running { simple: true },
            Self::CopyIn { simple: false } => Self::AwaitingSync,
            other => other,
        }
    }
}

/// Protocol state of a caller's current exchange.
#[derive(Debug)]
pub(super) struct ExchangeState {
    /// Transaction status that was last reported to the caller.
    pub(super) status: TransactionStatus,
    /// Phase of the protocol, which determines the messages that may come next.
    pub(super) phase: Phase,
    /// Copy data that is buffered for the next frame.
    copy: BytesMut,
    /// Frames that have not been sent to the home.
    pub(super) frames: VecDeque<CallerFrame>,
    /// Frames that were sent to the home, kept for a replay; `None` once they exceed the limit or
    /// the response has started.
    pub(super) replay: Option<Vec<CallerFrame>>,
    replay_bytes: usize,
    sent_messages: bool,
    /// Shared names of prepared statements that the home knows in this exchange.
    pub(super) defined: HashSet<Arc<str>>,
    /// Names of prepared statements whose `ParseComplete` is pending.
    pub(super) parses: VecDeque<Box<str>>,
    /// Session changes that are applied if the transaction commits.
    pub(super) changes: Vec<SessionChange>,
    /// Whether the last `CommandComplete` was that of `COMMIT`.
    pub(super) committed: bool,
    /// Refusal of the exchange by its home.
    pub(super) refused: Option<Refusal>,
    /// Whether any part of the response was sent to the caller.
    pub(super) response_started: bool,
}

impl Default for ExchangeState {
    fn default() -> Self {
        Self {
            status: TransactionStatus::Idle,
            phase: Phase::Ready,
            copy: BytesMut::new(),
            frames: VecDeque::new(),
            replay: Some(Vec::new()),
            replay_bytes: 0,
            sent_messages: false,
            defined: HashSet::new(),
            parses: VecDeque::new(),
            changes: Vec::new(),
            committed: false,
            refused: None,
            response_started: false,
        }
    }
}

impl ExchangeState {
    /// Returns whether the response is complete and no transaction is open.
    pub(super) fn has_ended(&self) -> bool {
        self.response_started
            && self.phase == Phase::Ready
            && self.status == TransactionStatus::Idle
    }

    /// Buffers a message of a copy, and moves the buffer into a frame when it is full.
    pub(super) fn add_copy(&mut self, message: &Message) {
        self.copy.extend_from_slice(&message.bytes);
        if self.copy.len() >= FRAME_BYTES {
            self.seal_copy();
        }
    }

    /// Moves the buffered copy data into a frame.
    pub(super) fn seal_copy(&mut self) {
        if !self.copy.is_empty() {
            let data = std::mem::take(&mut self.copy).freeze();
            self.frames.push_back(CallerFrame::Messages(data));
        }
    }

    /// Takes the next frame for the home, and keeps a copy for a replay while that is possible.
    pub(super) fn next_frame(&mut self) -> Option<CallerFrame> {
        let frame = self.frames.pop_front()?;
        self.sent_messages |= matches!(frame, CallerFrame::Messages(_));
        if let Some(replay) = &mut self.replay {
            self.replay_bytes += frame_bytes(&frame);
            if self.response_started || self.replay_bytes > MAX_REPLAY_BYTES {
                self.replay = None;
            } else {
                replay.push(frame.clone());
            }
        }
        Some(frame)
    }

    /// Returns whether the home may have received messages.
    pub(super) const fn has_sent(&self) -> bool {
        self.sent_messages
    }

    /// Queues every frame to be sent again; returns whether that is possible.
    pub(super) fn rewind(&mut self) -> bool {
        let Some(sent) = &mut self.replay else {
            return false;
        };
        if self.response_started {
            return false;
        }
        for frame in sent.drain(..).rev() {
            self.frames.push_front(frame);
        }
        self.replay_bytes = 0;
        self.sent_messages = false;
        true
    }
}

fn frame_bytes(frame: &CallerFrame) -> usize {
    match frame {
        CallerFrame::Messages(messages)
        | CallerFrame::Definition {
            parse: messages, ..
        } => messages.len(),
        CallerFrame::Cancel | CallerFrame::Disconnected => 0,
    }
}
