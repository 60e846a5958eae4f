//! Reading and writing of one TCP connection between two VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

use super::frame::{LinkFrame, Opener, Sealer};
use super::stream::{LinkSender, QueuedFrame};

/// Bytes that all streams of a connection together may have queued for writing.
const LINK_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Bytes gathered before a write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Largest write buffer kept between writes.
const KEPT_BUFFER_BYTES: usize = 256 * 1024;

/// Room made for each read.
const READ_BYTES: usize = 32 * 1024;

/// Interval after which an idle side with open streams shows that it is alive.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a connection with open streams is taken for lost.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Makes the queue of a connection and its sending handle.
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
/// `is_busy` tells whether streams are open, so that the other side expects signs of life.
pub(crate) async fn write_frames(
    mut tcp: OwnedWriteHalf,
    mut sealer: Sealer,
    mut frames: mpsc::UnboundedReceiver<QueuedFrame>,
    is_busy: impl Fn() -> bool,
) {
    let mut buffer = Vec::new();
    loop {
        match timeout(PING_INTERVAL, frames.recv()).await {
            Ok(Some(queued)) => sealer.seal(&queued.frame, &mut buffer),
            Ok(None) => return,
            Err(_elapsed) if is_busy() => sealer.seal(&LinkFrame::Ping, &mut buffer),
            Err(_elapsed) => continue,
        }
        while buffer.len() < WRITE_BATCH_BYTES {
            let Ok(queued) = frames.try_recv() else {
                break;
            };
            sealer.seal(&queued.frame, &mut buffer);
        }
        if tcp.write_all(&buffer).await.is_err() {
            return;
        }
        buffer.clear();
        buffer.shrink_to(KEPT_BUFFER_BYTES);
    }
}

/// What the reader of a connection does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reading {
    /// Reads on.
    Continue,
    /// Ends the connection.
    Stop,
}

/// Reads frames until the connection fails, falls silent while busy, or `handle` stops it.
pub(crate) async fn read_frames(
    mut tcp: OwnedReadHalf,
    mut opener: Opener,
    is_busy: impl Fn() -> bool,
    mut handle: impl FnMut(LinkFrame) -> Reading,
) {
    let mut buffer = BytesMut::new();
    let mut was_busy = false;
    loop {
        buffer.reserve(READ_BYTES);
        match timeout(SILENCE_LIMIT, tcp.read_buf(&mut buffer)).await {
            Ok(Ok(0) | Err(_)) => return,
            Ok(Ok(_)) => {}
            // The connection may have become busy just now: silence counts from one limit to the
            // next.
            Err(_elapsed) if was_busy && is_busy() => return,
            Err(_elapsed) => {
                was_busy = is_busy();
                continue;
            }
        }
        was_busy = is_busy();
        loop {
            match opener.open(&mut buffer) {
                Ok(Some(frame)) => {
                    if handle(frame) == Reading::Stop {
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
