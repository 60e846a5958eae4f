//! Streams, each of which carries one exchange between two VMs over their shared TCP connection.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex};

use snafu::Snafu;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use super::frame::{LinkFrame, StreamId};
use crate::traffic::{CallerFrame, HomeFrame};

/// Bytes that every frame takes of the window in addition to its content.
const FRAME_OVERHEAD_BYTES: usize = 64;

/// Result of using a stream.
pub type Result<T, E = StreamError> = std::result::Result<T, E>;

/// Why a stream can't be used.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// The connection to the peer was lost, or the peer dropped the stream.
    #[snafu(display("the connection to the peer was lost; the outcome of the request is unknown"))]
    Lost,
}

/// Frame of a stream, with its size for flow control.
pub trait StreamFrame: Send + 'static {
    /// Returns the size of the frame's content in bytes; 0 for frames without content.
    fn content_bytes(&self) -> usize;
}

impl StreamFrame for CallerFrame {
    fn content_bytes(&self) -> usize {
        match self {
            Self::Messages(messages)
            | Self::Definition {
                parse: messages, ..
            } => messages.len(),
            Self::Cancel | Self::Disconnected => 0,
        }
    }
}

impl StreamFrame for HomeFrame {
    fn content_bytes(&self) -> usize {
        match self {
            Self::Messages(messages) => messages.len(),
            Self::Seen(_) | Self::Refused(_) | Self::End => 0,
        }
    }
}

/// Frame queued for writing, with the permits that it holds of the connection's window.
#[derive(Debug)]
pub(crate) struct QueuedFrame {
    pub(crate) frame: LinkFrame,
    pub(crate) _permit: Option<OwnedSemaphorePermit>,
}

/// Sending side of a connection, shared by its streams.
#[derive(Debug, Clone)]
pub(crate) struct LinkSender {
    pub(crate) queue: mpsc::UnboundedSender<QueuedFrame>,
    /// Permits for the bytes that all streams together may queue.
    pub(crate) window: Arc<Semaphore>,
    pub(crate) window_bytes: u32,
}

impl LinkSender {
    /// Queues a frame that is not subject to flow control.
    pub(crate) fn send(&self, frame: LinkFrame) -> Result<()> {
        let queued = QueuedFrame {
            frame,
            _permit: None,
        };
        self.queue.send(queued).map_err(|_closed| StreamError::Lost)
    }

    async fn send_counted(&self, frame: LinkFrame, bytes: u32) -> Result<()> {
        let window = Arc::clone(&self.window);
        let bytes = bytes.min(self.window_bytes);
        let permit = window
            .acquire_many_owned(bytes)
            .await
            .map_err(|_closed| StreamError::Lost)?;
        let queued = QueuedFrame {
            frame,
            _permit: Some(permit),
        };
        self.queue.send(queued).map_err(|_closed| StreamError::Lost)
    }
}

struct StreamEntry<R> {
    incoming: mpsc::UnboundedSender<R>,
    window: Arc<Semaphore>,
    /// Bytes received and not yet consumed; more than the window is a violation of flow control.
    buffered_bytes: u32,
}

/// Open streams of one connection, which receive frames of type `R`.
pub(crate) struct StreamTable<R> {
    entries: Mutex<Entries<R>>,
    receive_window_bytes: u32,
}

struct Entries<R> {
    open: HashMap<StreamId, StreamEntry<R>>,
    is_closed: bool,
}

impl<R> fmt::Debug for StreamTable<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamTable").finish_non_exhaustive()
    }
}

impl<R: StreamFrame> StreamTable<R> {
    /// Builds an empty table whose streams each buffer at most `receive_window_bytes`.
    pub(crate) fn new(receive_window_bytes: u32) -> Self {
        let entries = Entries {
            open: HashMap::new(),
            is_closed: false,
        };
        Self {
            entries: Mutex::new(entries),
            receive_window_bytes,
        }
    }

    /// Returns whether no stream is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().open.is_empty()
    }

    /// Opens this end of a stream; its frames are wrapped by `wrap` and sent through `link`.
    pub(crate) fn open<S: StreamFrame>(
        self: &Arc<Self>,
        id: StreamId,
        link: LinkSender,
        send_window_bytes: u32,
        wrap: fn(StreamId, S) -> LinkFrame,
    ) -> Result<PeerStream<S, R>> {
        let (frames, incoming) = mpsc::unbounded_channel();
        let window = Arc::new(Semaphore::new(send_window_bytes as usize));
        let entry = StreamEntry {
            incoming: frames,
            window: Arc::clone(&window),
            buffered_bytes: 0,
        };
        let mut entries = self.lock();
        if entries.is_closed {
            return Err(StreamError::Lost);
        }
        entries.open.insert(id, entry);
        drop(entries);
        let table = Arc::clone(self);
        let sender = StreamSender {
            id,
            link,
            wrap,
            window,
            window_bytes: send_window_bytes,
        };
        Ok(PeerStream {
            sender,
            incoming,
            pending_update_bytes: 0,
            table,
        })
    }

    /// Delivers a frame to its stream. Frames of streams that have ended are dropped.
    ///
    /// Returns false when the sender exceeded the stream's window.
    pub(crate) fn deliver(&self, id: StreamId, frame: R) -> bool {
        let bytes = cost(&frame, self.receive_window_bytes);
        let mut entries = self.lock();
        let Some(entry) = entries.open.get_mut(&id) else {
            return true;
        };
        entry.buffered_bytes += bytes;
        if entry.buffered_bytes > self.receive_window_bytes {
            return false;
        }
        let _ = entry.incoming.send(frame);
        true
    }

    /// Extends the send window of a stream by the bytes that its receiver has consumed.
    pub(crate) fn extend_window(&self, id: StreamId, bytes: u32) {
        if let Some(entry) = self.lock().open.get(&id) {
            entry.window.add_permits(bytes as usize);
        }
    }

    /// Ends a stream; its owner receives the frames that have arrived, then [`StreamError::Lost`].
    ///
    /// Returns whether the stream was open.
    pub(crate) fn remove(&self, id: StreamId) -> bool {
        let removed = self.lock().open.remove(&id);
        if let Some(entry) = &removed {
            entry.window.close();
        }
        removed.is_some()
    }

    /// Ends every stream; no other can be opened.
    pub(crate) fn close(&self) {
        let mut entries = self.lock();
        entries.is_closed = true;
        for (_, entry) in entries.open.drain() {
            entry.window.close();
        }
    }

    fn release(&self, id: StreamId, bytes: u32) {
        if let Some(entry) = self.lock().open.get_mut(&id) {
            entry.buffered_bytes = entry.buffered_bytes.saturating_sub(bytes);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Entries<R>> {
        self.entries
            .lock()
            .expect("no code panics while it holds the table")
    }
}

fn cost(frame: &impl StreamFrame, window_bytes: u32) -> u32 {
    let bytes = u32::try_from(frame.content_bytes() + FRAME_OVERHEAD_BYTES).unwrap_or(u32::MAX);
    // A frame larger than the window takes the whole window.
    bytes.min(window_bytes)
}

/// Sending half of one end of a stream, for sending while the same task receives.
pub struct StreamSender<S> {
    id: StreamId,
    link: LinkSender,
    wrap: fn(StreamId, S) -> LinkFrame,
    window: Arc<Semaphore>,
    window_bytes: u32,
}

impl<S> fmt::Debug for StreamSender<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamSender")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl<S> Clone for StreamSender<S> {
    fn clone(&self) -> Self {
        Self {
            id: self.id,
            link: self.link.clone(),
            wrap: self.wrap,
            window: Arc::clone(&self.window),
            window_bytes: self.window_bytes,
        }
    }
}

impl<S: StreamFrame> StreamSender<S> {
    /// Sends one frame, waiting for room in the window. Dropping the returned future before it
    /// completes sends nothing.
    ///
    /// # Errors
    ///
    /// Fails when the connection to the peer was lost, or the peer ended the stream.
    pub async fn send(&self, frame: S) -> Result<()> {
        let bytes = cost(&frame, self.window_bytes);
        let permit = self
            .window
            .acquire_many(bytes)
            .await
            .map_err(|_closed| StreamError::Lost)?;
        self.link
            .send_counted((self.wrap)(self.id, frame), bytes)
            .await?;
        permit.forget();
        Ok(())
    }
}

/// One end of a stream: sends `S`, receives `R`.
///
/// Sending waits while the window is full of frames that the other end has not consumed, so a slow
/// receiver buffers at most one window. Dropping an end ends the stream.
pub struct PeerStream<S, R: StreamFrame> {
    sender: StreamSender<S>,
    incoming: mpsc::UnboundedReceiver<R>,
    /// Bytes consumed for which no window update has been sent yet.
    pending_update_bytes: u32,
    table: Arc<StreamTable<R>>,
}

impl<S, R: StreamFrame> fmt::Debug for PeerStream<S, R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerStream")
            .field("id", &self.sender.id)
            .finish_non_exhaustive()
    }
}

/// End of a stream at the VM that the caller is connected to.
pub type CallerStream = PeerStream<CallerFrame, HomeFrame>;

/// End of a stream at the home.
pub type HomeStream = PeerStream<HomeFrame, CallerFrame>;

impl<S: StreamFrame, R: StreamFrame> PeerStream<S, R> {
    /// Returns the sending half.
    pub fn sender(&self) -> StreamSender<S> {
        self.sender.clone()
    }

    /// Sends one frame, waiting for room in the window.
    ///
    /// # Errors
    ///
    /// Fails when the connection to the peer was lost, or the peer ended the stream.
    pub async fn send(&mut self, frame: S) -> Result<()> {
        self.sender.send(frame).await
    }

    /// Receives the next frame. Dropping the returned future before it completes loses no frame.
    ///
    /// # Errors
    ///
    /// Fails when the connection to the peer was lost, or the peer ended the stream.
    pub async fn recv(&mut self) -> Result<R> {
        let frame = self.incoming.recv().await.ok_or(StreamError::Lost)?;
        let window_bytes = self.table.receive_window_bytes;
        let bytes = cost(&frame, window_bytes);
        self.table.release(self.sender.id, bytes);
        self.pending_update_bytes += bytes;
        if self.pending_update_bytes >= window_bytes / 4 {
            let bytes = std::mem::take(&mut self.pending_update_bytes);
            // If the connection was lost, the next receive fails.
            let _ = self.sender.link.send(LinkFrame::WindowUpdate {
                stream: self.sender.id,
                bytes,
            });
        }
        Ok(frame)
    }
}

impl<S, R: StreamFrame> Drop for PeerStream<S, R> {
    fn drop(&mut self) {
        if self.table.remove(self.sender.id) {
            let _ = self.sender.link.send(LinkFrame::Reset {
                stream: self.sender.id,
            });
        }
    }
}
