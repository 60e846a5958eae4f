//! Cancel requests, each sent on a separate connection that identifies the one to interrupt.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use postgres_protocol::message::frontend;
use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{IoSnafu, Result, TimeoutSnafu};

/// Address and key that a cancel request needs to identify one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CancelKey {
    address: SocketAddr,
    process_id: i32,
    secret_key: i32,
}

impl CancelKey {
    /// Returns the placeholder key of a connection whose login is not complete.
    pub(crate) const fn unset(address: SocketAddr) -> Self {
        Self::new(address, 0, 0)
    }

    /// Builds the key from the instance's `BackendKeyData`.
    pub(crate) const fn new(address: SocketAddr, process_id: i32, secret_key: i32) -> Self {
        Self {
            address,
            process_id,
            secret_key,
        }
    }

    /// Returns the address of the instance that the key belongs to.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests cancellation of the statement that runs on the connection, and waits until the
    /// instance has accepted the request, so that it can't interrupt a later statement.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached or does not accept the request in time.
    pub(crate) async fn send(self, limit: Duration) -> Result<()> {
        let exchange = async {
            let mut stream = TcpStream::connect(self.address).await?;
            let mut request = BytesMut::new();
            frontend::cancel_request(self.process_id, self.secret_key, &mut request);
            stream.write_all(&request).await?;
            // The instance closes the connection once it has accepted the request.
            stream.read_to_end(&mut Vec::new()).await?;
            Ok(())
        };
        let timeout_ms = limit.as_millis();
        match timeout(limit, exchange).await {
            Ok(result) => result.context(IoSnafu),
            Err(_elapsed) => TimeoutSnafu { timeout_ms }.fail(),
        }
    }
}
