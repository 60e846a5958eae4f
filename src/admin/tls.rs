//! TLS for the administration API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::serve::Listener;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_rustls::server::TlsStream;

use crate::traffic::caller::tls::TlsSource;

/// Time that a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections that may wait to be served.
const QUEUE: usize = 16;

type Accepted = (TlsStream<TcpStream>, SocketAddr);

/// Listener that yields connections whose handshake has ended.
#[derive(Debug)]
pub(super) struct TlsListener {
    address: SocketAddr,
    accepted: mpsc::Receiver<Accepted>,
}

impl TlsListener {
    /// Starts to accept; ends when the listener is dropped.
    pub(super) fn start(listener: TcpListener, source: TlsSource) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let (sender, accepted) = mpsc::channel(QUEUE);
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
            // The accepting task ends with this listener only.
            None => std::future::pending().await,
        }
    }

    fn local_addr(&self) -> std::io::Result<Self::Addr> {
        Ok(self.address)
    }
}

async fn accept(listener: TcpListener, source: Arc<TlsSource>, sender: mpsc::Sender<Accepted>) {
    loop {
        let connection = tokio::select! {
            connection = listener.accept() => connection,
            () = sender.closed() => return,
        };
        let Ok((tcp, from)) = connection else {
            // Running out of file descriptors fails at once; others may finish first.
            tokio::task::yield_now().await;
            continue;
        };
        if let Err(error) = source.reload() {
            log::warn!("event=certificate_kept error=\"{error}\"");
        }
        let (acceptor, sender) = (source.acceptor(), sender.clone());
        // A slow client must not keep others waiting.
        tokio::spawn(async move {
            if let Ok(Ok(stream)) = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(tcp)).await {
                // Fails only when the API has stopped.
                let _ = sender.send((stream, from)).await;
            }
        });
    }
}
