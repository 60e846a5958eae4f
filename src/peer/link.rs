//! Reads and writes the frames of one TCP connection between two VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

use super::frame::{FrameDecoder, FrameEncoder, LinkFrame};
use super::stream::{LinkSender, QueuedFrame};

/// Maximum number of bytes that all streams of a connection together may queue for writing.
const LINK_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Size in bytes at which a write is full, so that no more queued frames are added to it.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Maximum capacity of the write buffer that is retained between writes.
const RETAINED_BUFFER_BYTES: usize = 256 * 1024;

/// Buffer space reserved for each read, in bytes.
const READ_BYTES: usize = 32 * 1024;

/// Idle time after which a side with open streams sends a ping.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for one wait for received bytes.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of consecutive waits without received bytes after which a connection with open streams
/// counts as lost. Several short waits, because one long wait also ends when this process was
/// suspended or starved, in which case the peer isn't to blame.
const MAX_SILENT_WAITS: u32 = 4;

/// Creates the write queue of a connection: its sending handle and its receiver.
pub(crate) fn link_queue() -> (LinkSender, mpsc::UnboundedReceiver<QueuedFrame>) {
    let (queue, frames) = mpsc::unbounded_channel();
    let window = Arc::new(Semaphore::new(LINK_WINDOW_BYTES as usize));
    (
        LinkSender {
            queue,
            window,
            window_bytes: LINK_WINDOW_BYTES,
        },
        frames,
    )
}

/// Writes queued frames until the queue closes or the connection fails.
///
/// `is_busy` returns whether streams are open, in which case the writer sends pings while it
/// is idle so that the peer does not count the connection as lost.
pub(crate) async fn write_frames(
    mut tcp: OwnedWriteHalf,
    mut encoder: FrameEncoder,
    mut frames: mpsc::UnboundedReceiver<QueuedFrame>,
    is_busy: impl Fn() -> bool,
) {
    let mut buffer = Vec::new();
    loop {
        match timeout(PING_INTERVAL, frames.recv()).await {
            Ok(Some(queued)) => encoder.encode(&queued.frame, &mut buffer),
            Ok(None) => return,
            Err(_elapsed) if is_busy() => encoder.encode(&LinkFrame::Ping, &mut buffer),
            Err(_elapsed) => continue,
        }
        while buffer.len() < WRITE_BATCH_BYTES {
            let Ok(queued) = frames.try_recv() else {
                break;
            };
            encoder.encode(&queued.frame, &mut buffer);
        }
        if tcp.write_all(&buffer).await.is_err() {
            return;
        }
        buffer.clear();
        buffer.shrink_to(RETAINED_BUFFER_BYTES);
    }
}

/// Whether the reader of a connection continues after a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadAction {
    /// Reads the next frame.
    Continue,
    /// Closes the connection.
    Stop,
}

/// Reads frames until the connection fails, times out while streams are open, or `handle` stops it.
pub(crate) async fn read_frames(
    mut tcp: OwnedReadHalf,
    mut decoder: FrameDecoder,
    is_busy: impl Fn() -> bool,
    mut handle: impl FnMut(LinkFrame) -> ReadAction,
) {
    let mut buffer = BytesMut::new();
    let mut silent_waits = 0;
    loop {
        buffer.reserve(READ_BYTES);
        match timeout(READ_TIMEOUT, tcp.read_buf(&mut buffer)).await {
            Ok(Ok(0) | Err(_)) => return,
            Ok(Ok(_)) => silent_waits = 0,
            // The peer sends pings only while it has open streams.
            Err(_elapsed) if !is_busy() => {
                silent_waits = 0;
                continue;
            }
            Err(_elapsed) => {
                silent_waits += 1;
                if silent_waits > MAX_SILENT_WAITS {
                    return;
                }
                continue;
            }
        }
        loop {
            match decoder.decode(&mut buffer) {
                Ok(Some(frame)) => {
                    if handle(frame) == ReadAction::Stop {
                        return;
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!("event=peer_connection_ended error=\"{error}\"");
                    return;
                }
            }
        }
    }
}
