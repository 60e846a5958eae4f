//! Listener of the administration API.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// Running API; dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    task: AbortHandle,
}

impl AdminServer {
    /// Starts to serve on an address.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be used.
    pub async fn start(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let serving = async move { axum::serve(listener, router).await };
        let task = tokio::spawn(serving).abort_handle();
        Ok(Self { address, task })
    }

    /// Returns the address that the API is served on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
