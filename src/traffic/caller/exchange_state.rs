//! Where a caller stands in its current exchange.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::response::TransactionStatus;

use super::reader::Message;
use super::setting::SessionChange;
use super::unit::FRAME_BYTES;
use crate::traffic::{CallerFrame, Refusal};

/// Bytes of an exchange that are kept until it is answered, so that another home may run it.
const MAX_REPLAY_BYTES: usize = 128 * 1024;

/// Whether the caller's connection can still be used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Presence {
    /// The caller is connected.
    #[default]
    Connected,
    /// The caller has gone, or is to go, and the home must be told.
    Leaving,
    /// The home was told.
    Gone,
}

/// What may come next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Everything is answered; the caller may start a statement.
    Ready,
    /// Messages were passed on, and the `Sync` that ends them has not come.
    Unsynced,
    /// A `ReadyForQuery` is due.
    Running {
        /// Whether the statement came as a `Query`.
        simple: bool,
    },
    /// The database reads copy data from the caller.
    CopyIn {
        /// Whether the statement came as a `Query`.
        simple: bool,
    },
    /// The caller's messages are dropped up to the next `Sync`.
    Skipping,
}

impl Phase {
    /// Returns whether a `ReadyForQuery` is due.
    pub(super) const fn is_running(self) -> bool {
        matches!(self, Self::Running { .. } | Self::CopyIn { simple: true })
    }

    /// Returns whether the next message of the caller may be handled.
    pub(super) const fn takes_messages(self) -> bool {
        !matches!(self, Self::Running { .. })
    }

    /// Returns the phase in which the database reads copy data. A `Sync` that was sent before is
    /// ignored by it.
    pub(super) const fn start_copy(self) -> Self {
        Self::CopyIn {
            simple: matches!(self, Self::Running { simple: true }),
        }
    }

    /// Returns the phase after the last message of a copy, or after its failure.
    pub(super) const fn end_copy(self) -> Self {
        match self {
            Self::CopyIn { simple: true } => Self::Running { simple: true },
            Self::CopyIn { simple: false } => Self::Unsynced,
            other => other,
        }
    }
}

/// Where a caller stands in its current exchange.
#[derive(Debug)]
pub(super) struct ExchangeState {
    /// Transaction status as the caller knows it.
    pub(super) status: TransactionStatus,
    /// What may come next.
    pub(super) phase: Phase,
    /// Copy data that is gathered into a frame.
    copy: BytesMut,
    /// Frames that the home has not received.
    pub(super) frames: VecDeque<CallerFrame>,
    /// Frames that the home received and has not answered; `None` when they were too many.
    pub(super) replay: Option<Vec<CallerFrame>>,
    replay_bytes: usize,
    sent_messages: bool,
    /// Shared names that the home was told of.
    pub(super) defined: HashSet<Arc<str>>,
    /// Statements whose `ParseComplete` is due.
    pub(super) parses: VecDeque<Box<str>>,
    /// Changes that last if the transaction commits.
    pub(super) changes: Vec<SessionChange>,
    /// Whether the last command was a commit.
    pub(super) committed: bool,
    /// Why the exchange was refused.
    pub(super) refused: Option<Refusal>,
    /// Whether the caller got a part of the answer.
    pub(super) answered: bool,
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
            answered: false,
        }
    }
}

impl ExchangeState {
    /// Returns whether the answer has come to its end between transactions.
    pub(super) fn has_ended(&self) -> bool {
        self.answered && self.phase == Phase::Ready && self.status == TransactionStatus::Idle
    }

    /// Gathers a message of a copy into the frames.
    pub(super) fn add_copy(&mut self, message: &Message) {
        self.copy.extend_from_slice(&message.bytes);
        if self.copy.len() >= FRAME_BYTES {
            self.seal_copy();
        }
    }

    /// Makes the copy data that was gathered available to the home.
    pub(super) fn seal_copy(&mut self) {
        if !self.copy.is_empty() {
            let data = std::mem::take(&mut self.copy).freeze();
            self.frames.push_back(CallerFrame::Messages(data));
        }
    }

    /// Takes the next frame for the home, and keeps it until the home answers.
    pub(super) fn next_frame(&mut self) -> Option<CallerFrame> {
        let frame = self.frames.pop_front()?;
        self.sent_messages |= matches!(frame, CallerFrame::Messages(_));
        if let Some(replay) = &mut self.replay {
            self.replay_bytes += frame_bytes(&frame);
            if self.answered || self.replay_bytes > MAX_REPLAY_BYTES {
                self.replay = None;
            } else {
                replay.push(frame.clone());
            }
        }
        Some(frame)
    }

    /// Returns whether the home may have got messages.
    pub(super) const fn has_sent(&self) -> bool {
        self.sent_messages
    }

    /// Makes every frame available again; returns whether that is possible.
    pub(super) fn rewind(&mut self) -> bool {
        let Some(sent) = &mut self.replay else {
            return false;
        };
        if self.answered {
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
        CallerFrame::Cancel | CallerFrame::Gone => 0,
    }
}
