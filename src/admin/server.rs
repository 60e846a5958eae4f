//! HTTP server of the administration API.

use std::net::SocketAddr;

use axum::Router;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use super::tls::TlsListener;
use crate::settings::AdministrationSettings;
use crate::traffic::caller::tls::{TlsError, TlsSource};

/// Result of starting the server.
pub type Result<T, E = ServeError> = std::result::Result<T, E>;

/// Error when the server is started.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The listen address can't be bound.
    #[snafu(display("can't listen on {address} for operators; choose a free address: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The certificate or its key can't be used.
    #[snafu(display("{source}"))]
    Tls {
        /// The cause.
        source: TlsError,
    },
}

/// Running server. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    task: AbortHandle,
}

impl AdminServer {
    /// Starts the server, with TLS if the settings name a certificate and a key.
    ///
    /// # Errors
    ///
    /// Fails when the listen address can't be bound or the certificate can't be used.
    pub async fn start(settings: &AdministrationSettings, router: Router) -> Result<Self> {
        let listen = ListenSnafu {
            address: settings.listen_address,
        };
        let listener = TcpListener::bind(settings.listen_address)
            .await
            .context(listen)?;
        let address = listener.local_addr().context(listen)?;
        let files = settings
            .tls_certificate_file
            .as_ref()
            .zip(settings.tls_key_file.as_ref());
        let task = match files {
            Some((certificate, key)) => {
                let source = TlsSource::read(certificate, key).context(TlsSnafu)?;
                let listener = TlsListener::start(listener, source).context(listen)?;
                tokio::spawn(async move { axum::serve(listener, router).await })
            }
            None => tokio::spawn(async move { axum::serve(listener, router).await }),
        };
        Ok(Self {
            address,
            task: task.abort_handle(),
        })
    }

    /// Returns the listen address, with the port that was actually bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
