//! One exchange carried between two VMs over their shared TCP connection.

use std::sync::Arc;

use bytes::Bytes;
use snafu::Snafu;
use tokio::sync::{Semaphore, mpsc};

use crate::traffic::{CallerFrame, HomeFrame};

/// Result of using a stream.
pub type Result<T, E = StreamError> = std::result::Result<T, E>;

/// Why a stream can't be used.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// The connection to the peer was lost, or the peer dropped the stream.
    #[snafu(display("the connection to the peer was lost; the outcome of the request is unknown"))]
    Lost,
}

/// Message on a stream, with the bytes that it takes of the stream's window.
pub trait StreamFrame: Send + 'static {
    /// Returns the bytes that the frame counts for in flow control.
    fn window_bytes(&self) -> usize;
}

fn messages_bytes(messages: &Bytes) -> usize {
    messages.len()
}

impl StreamFrame for CallerFrame {
    fn window_bytes(&self) -> usize {
        match self {
            Self::Messages(messages)
            | Self::Definition {
                parse: messages, ..
            } => messages_bytes(messages),
            Self::Cancel | Self::Gone => 0,
        }
    }
}

impl StreamFrame for HomeFrame {
    fn window_bytes(&self) -> usize {
        match self {
            Self::Messages(messages) => messages_bytes(messages),
            Self::Seen(_) | Self::Refused(_) | Self::End => 0,
        }
    }
}

/// One end of a stream: sends `S`, receives `R`.
///
/// Sending waits while the other end has not taken what was sent before, so that a slow receiver
/// holds at most one window of memory.
#[derive(Debug)]
pub struct PeerStream<S, R> {
    pub(crate) outgoing: mpsc::Sender<S>,
    pub(crate) incoming: mpsc::Receiver<R>,
    pub(crate) window: Arc<Semaphore>,
    pub(crate) taken: mpsc::UnboundedSender<u32>,
}

/// End of a stream at the VM that the caller is connected to.
pub type CallerEnd = PeerStream<CallerFrame, HomeFrame>;

/// End of a stream at the home.
pub type HomeEnd = PeerStream<HomeFrame, CallerFrame>;

impl<S: StreamFrame, R: StreamFrame> PeerStream<S, R> {
    /// Sends one frame, waiting for room in the window.
    ///
    /// # Errors
    ///
    /// Fails when the connection to the peer was lost.
    pub async fn send(&mut self, frame: S) -> Result<()> {
        let bytes = u32::try_from(frame.window_bytes()).unwrap_or(u32::MAX);
        if bytes > 0 {
            let permit = self
                .window
                .acquire_many(bytes)
                .await
                .map_err(|_closed| StreamError::Lost)?;
            permit.forget();
        }
        self.outgoing
            .send(frame)
            .await
            .map_err(|_closed| StreamError::Lost)
    }

    /// Receives the next frame. Cancelling the returned future loses no frame.
    ///
    /// # Errors
    ///
    /// Fails when the connection to the peer was lost.
    pub async fn recv(&mut self) -> Result<R> {
        let frame = self.incoming.recv().await.ok_or(StreamError::Lost)?;
        let bytes = u32::try_from(frame.window_bytes()).unwrap_or(u32::MAX);
        if bytes > 0 {
            // The other side has gone when this fails, which the next receive reports.
            let _ = self.taken.send(bytes);
        }
        Ok(frame)
    }
}
