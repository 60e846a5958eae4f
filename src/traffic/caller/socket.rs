//! Connection of a caller, in plain text or over TLS.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio_rustls::server::TlsStream;

/// Bytes read at once. The read buffer is on the stack, so that an idle connection holds no buffer.
const READ_BYTES: usize = 16 * 1024;

/// Connection of a caller, in plain text or over TLS.
#[derive(Debug)]
pub(crate) enum CallerSocket {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

impl CallerSocket {
    /// Appends the available bytes to `buffer`; `Ok(0)` when the caller has closed the connection.
    pub(crate) fn poll_fill(
        &mut self,
        buffer: &mut BytesMut,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        let mut bytes = [MaybeUninit::<u8>::uninit(); READ_BYTES];
        let mut chunk = ReadBuf::uninit(&mut bytes);
        match self {
            Self::Plain(stream) => ready!(Pin::new(stream).poll_read(cx, &mut chunk))?,
            Self::Tls(stream) => ready!(Pin::new(stream).poll_read(cx, &mut chunk))?,
        }
        buffer.extend_from_slice(chunk.filled());
        Poll::Ready(Ok(chunk.filled().len()))
    }

    /// Writes all of `buffer` and flushes; removes the bytes that were written from it.
    pub(crate) fn poll_drain(
        &mut self,
        buffer: &mut BytesMut,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        while !buffer.is_empty() {
            let written = match self {
                Self::Plain(stream) => ready!(Pin::new(stream).poll_write(cx, buffer))?,
                Self::Tls(stream) => ready!(Pin::new(stream).poll_write(cx, buffer))?,
            };
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            buffer.advance(written);
        }
        match self {
            Self::Plain(_) => Poll::Ready(Ok(())),
            Self::Tls(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    /// Shuts down the write side of the connection.
    pub(crate) async fn shut_down(&mut self) -> io::Result<()> {
        match self {
            Self::Plain(stream) => stream.shutdown().await,
            Self::Tls(stream) => stream.shutdown().await,
        }
    }

    /// Appends the available bytes to `buffer`. Cancelling the future loses no data.
    pub(crate) async fn fill(&mut self, buffer: &mut BytesMut) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_fill(buffer, cx)).await
    }

    /// Writes all of `buffer`. When the future is cancelled, unwritten bytes stay in `buffer`.
    pub(crate) async fn drain(&mut self, buffer: &mut BytesMut) -> io::Result<()> {
        std::future::poll_fn(|cx| self.poll_drain(buffer, cx)).await
    }
}
