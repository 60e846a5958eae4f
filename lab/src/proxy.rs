//! Loopback proxy that injects faults into the connections that pass through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Fault that a proxy injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyFault {
    /// Forwards everything without delay.
    None,
    /// Delays each chunk of data.
    Delay(Duration),
    /// Forwards nothing and closes no connection.
    Silence,
    /// Forwards requests, but no responses.
    NoResponses,
    /// Closes all connections, and new ones at once.
    Reset,
}

/// Proxy in front of one address.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<ProxyFault>>,
}

impl Proxy {
    /// Starts a proxy in front of an address.
    ///
    /// # Panics
    ///
    /// Panics if no loopback address can be bound.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (fault, fault_receiver) = watch::channel(ProxyFault::None);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(proxy_connection(client, target, fault_receiver.clone()));
            }
        });
        Self {
            address,
            fault: Arc::new(fault),
        }
    }

    /// Sets the fault for open and new connections.
    pub fn set(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }
}

/// Forwards one connection in both directions until a side closes it.
async fn proxy_connection(
    client: TcpStream,
    target: SocketAddr,
    mut fault: watch::Receiver<ProxyFault>,
) {
    if *fault.borrow() == ProxyFault::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_server = forward_data(client_read, server_write, fault.clone(), false);
    let to_client = forward_data(server_read, client_write, fault.clone(), true);
    tokio::select! {
        // One side has closed its connection; returning closes the other one.
        () = to_server => {}
        () = to_client => {}
        _ = fault.wait_for(|fault| *fault == ProxyFault::Reset) => {}
    }
}

/// Forwards data in one direction, with the current fault.
async fn forward_data(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<ProxyFault>,
    is_response: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let held = |fault: &ProxyFault| {
            *fault == ProxyFault::Silence || (is_response && *fault == ProxyFault::NoResponses)
        };
        if fault.wait_for(|fault| !held(fault)).await.is_err() {
            return;
        }
        let fault = *fault.borrow();
        if let ProxyFault::Delay(delay) = fault {
            sleep(delay).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
