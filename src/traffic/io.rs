//! Channel through which a home receives a caller's messages and sends the responses.

use crate::peer::HomeStream;
use crate::peer::stream::Result;
use crate::traffic::caller::CallerSession;
use crate::traffic::{CallerFrame, HomeFrame};

/// Channel between a home and the caller of an exchange.
///
/// After a message that ends a statement (`Query`, `Sync`, `FunctionCall`), the caller sends
/// nothing until it has received the `ReadyForQuery` with a status other than idle. With the idle
/// status the exchange ends, and messages sent after that would not run.
#[derive(Debug)]
pub enum HomeIo<'a> {
    /// Caller that is connected to another VM.
    Remote(&'a mut HomeStream),
    /// Caller that is connected to this VM; the home's code runs in the caller's task.
    Local(&'a mut CallerSession),
}

impl HomeIo<'_> {
    /// Receives the next frame. The returned future is cancel safe: no frame is lost.
    ///
    /// # Errors
    ///
    /// Fails when the caller, or the connection to its VM, was lost.
    pub async fn recv(&mut self) -> Result<CallerFrame> {
        match self {
            Self::Remote(stream) => stream.recv().await,
            Self::Local(session) => session.recv().await,
        }
    }

    /// Sends one frame, waiting while the caller has not received the previous ones. The frame may
    /// stay in a buffer until [`HomeIo::flush`] is called.
    ///
    /// # Errors
    ///
    /// Fails when the caller, or the connection to its VM, was lost.
    pub async fn send(&mut self, frame: HomeFrame) -> Result<()> {
        match self {
            Self::Remote(stream) => stream.send(frame).await,
            Self::Local(session) => session.send(frame).await,
        }
    }

    /// Sends the buffered frames; called before the home waits for anything.
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
