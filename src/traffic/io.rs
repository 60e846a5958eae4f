//! What the home of a database reads a caller's messages from and writes the answers to.

use crate::peer::HomeEnd;
use crate::peer::stream::Result;
use crate::traffic::caller::CallerSession;
use crate::traffic::{CallerFrame, HomeFrame};

/// Caller of an exchange, as the home sees it.
///
/// The caller sends nothing after a message that ends a statement (`Query`, `Sync`,
/// `FunctionCall`) until its `ReadyForQuery` has come with a status other than idle: with the idle
/// status the exchange ends, and what was sent after that did not run.
#[derive(Debug)]
pub enum HomeIo<'a> {
    /// Caller that is connected to another VM.
    Remote(&'a mut HomeEnd),
    /// Caller that is connected to this VM; the home runs in its task.
    Local(&'a mut CallerSession),
}

impl HomeIo<'_> {
    /// Receives the next frame. Cancelling the returned future loses no frame.
    ///
    /// # Errors
    ///
    /// Fails when the caller, or the connection to its VM, was lost.
    pub async fn recv(&mut self) -> Result<CallerFrame> {
        match self {
            Self::Remote(end) => end.recv().await,
            Self::Local(session) => session.recv().await,
        }
    }

    /// Sends one frame, waiting while the caller has not taken what was sent before; the frame may
    /// stay in a buffer until [`HomeIo::flush`].
    ///
    /// # Errors
    ///
    /// Fails when the caller, or the connection to its VM, was lost.
    pub async fn send(&mut self, frame: HomeFrame) -> Result<()> {
        match self {
            Self::Remote(end) => end.send(frame).await,
            Self::Local(session) => session.send(frame).await,
        }
    }

    /// Sends what is still in a buffer; called before the home waits for anything.
    ///
    /// # Errors
    ///
    /// Fails when the caller, or the connection to its VM, was lost.
    pub async fn flush(&mut self) -> Result<()> {
        match self {
            // A stream sends each frame at once.
            Self::Remote(_) => Ok(()),
            Self::Local(session) => session.flush().await,
        }
    }
}
