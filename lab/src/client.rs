//! The lab's callers: ordinary database clients that connect over TLS.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio_postgres::config::{Config, SslMode};
use tokio_postgres::tls::MakeTlsConnect;
use tokio_postgres::{CancelToken, Client};
use tokio_postgres_rustls::MakeRustlsConnect;

use crate::deployment::key_of;

/// Result of connecting.
pub type Result<T, E = ClientError> = std::result::Result<T, E>;

/// Error from connecting a caller.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The CA certificate can't be read.
    #[snafu(display("the lab's CA certificate can't be read: {source}"))]
    Certificate {
        /// Underlying error.
        source: rustls::pki_types::pem::Error,
    },
    /// The TLS library rejected the CA certificate or the TLS configuration.
    #[snafu(display("the lab's CA certificate is not accepted: {source}"))]
    Authority {
        /// Underlying error.
        source: rustls::Error,
    },
    /// The VM refused the login or could not be reached.
    #[snafu(display("could not connect to the VM at {address}: {source}"))]
    Connect {
        /// Address of the VM.
        address: SocketAddr,
        /// Underlying error.
        source: tokio_postgres::Error,
    },
}

/// Login of a caller.
#[derive(Debug, Clone, Default)]
pub struct Login {
    /// Name of the workspace; its lab key is used unless `key` is set.
    pub workspace: String,
    /// Key that is sent instead of the workspace's lab key.
    pub key: Option<String>,
    /// Name of the database.
    pub database: String,
    /// Startup options, such as `-c currantlb.route=map-view`.
    pub options: Option<String>,
}

/// Connects callers to VMs, trusting the lab's CA.
#[derive(Clone)]
pub struct Connector {
    tls: MakeRustlsConnect,
}

impl std::fmt::Debug for Connector {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connector").finish_non_exhaustive()
    }
}

impl Connector {
    /// Builds a connector that trusts the CA certificate in a PEM file.
    ///
    /// # Errors
    ///
    /// Fails when the file contains no usable certificate.
    pub fn new(ca_file: &Path) -> Result<Self> {
        let mut roots = RootCertStore::empty();
        let certificate = CertificateDer::from_pem_file(ca_file).context(CertificateSnafu)?;
        roots.add(certificate).context(AuthoritySnafu)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .context(AuthoritySnafu)?
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(Self {
            tls: MakeRustlsConnect::new(config),
        })
    }

    /// Connects a caller to a VM.
    ///
    /// # Errors
    ///
    /// Fails when the VM refuses the login or can't be reached.
    pub async fn connect(&self, address: SocketAddr, login: &Login) -> Result<Client> {
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&login.workspace)
            .password(
                login
                    .key
                    .clone()
                    .unwrap_or_else(|| key_of(&login.workspace)),
            )
            .dbname(&login.database)
            .ssl_mode(SslMode::Require);
        if let Some(options) = &login.options {
            config.options(options);
        }
        let connecting = config.connect(self.tls.clone()).await;
        let (client, connection) = connecting.context(ConnectSnafu { address })?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Sends a request to cancel a caller's running statement, to any VM; returns whether it was
    /// sent.
    pub async fn cancel(&self, address: SocketAddr, caller: &CancelToken) -> bool {
        let mut maker = self.tls.clone();
        let host = address.ip().to_string();
        let Ok(tls) = MakeTlsConnect::<TcpStream>::make_tls_connect(&mut maker, &host);
        let Ok(stream) = TcpStream::connect(address).await else {
            return false;
        };
        caller.cancel_query_raw(stream, tls).await.is_ok()
    }
}
