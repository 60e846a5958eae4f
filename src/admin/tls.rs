//! TLS listener of the administration API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::serve::Listener;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_rustls::server::TlsStream;

use crate::traffic::caller::tls::TlsSource;

/// Time limit of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of connections that wait to be served after their handshake.
const QUEUE_CAPACITY: usize = 16;

type TlsConnection = (TlsStream<TcpStream>, SocketAddr);

/// Listener that yields connections after their TLS handshake.
#[derive(Debug)]
pub(super) struct TlsListener {
    address: SocketAddr,
    accepted: mpsc::Receiver<TlsConnection>,
}

impl TlsListener {
    /// Starts a task that accepts connections until the returned listener is dropped.
    pub(super) fn start(listener: TcpListener, source: TlsSource) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let (sender, accepted) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(accept(listener, Arc::new(source), sender));
        Ok(Self { address, accepted })
    }
}

impl Listener for TlsListener {
    type Io = TlsStream<TcpStream>;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        match self.accepted.recv().await {
            Some(accepted) => accepted,
            // Not reached: the accept task ends only when this listener is dropped.
            None => std::future::pending().await,
        }
    }

    fn local_addr(&self) -> std::io::Result<Self::Addr> {
        Ok(self.address)
    }
}

async fn accept(
    listener: TcpListener,
    source: Arc<TlsSource>,
    sender: mpsc::Sender<TlsConnection>,
) {
    loop {
        let connection = tokio::select! {
            connection = listener.accept() => connection,
            () = sender.closed() => return,
        };
        let Ok((tcp, from)) = connection else {
            // `accept` fails immediately when file descriptors are exhausted: let other tasks run,
            // which may release some.
            tokio::task::yield_now().await;
            continue;
        };
        if let Err(error) = source.reload() {
            log::warn!("event=certificate_kept error=\"{error}\"");
        }
        let (acceptor, sender) = (source.acceptor(), sender.clone());
        // Each handshake has a task of its own so that a slow client doesn't delay others.
        tokio::spawn(async move {
            if let Ok(Ok(stream)) = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(tcp)).await {
                // Fails only when the listener was dropped.
                let _ = sender.send((stream, from)).await;
            }
        });
    }
}
