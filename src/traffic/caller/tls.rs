//! TLS certificate of the listener, reloaded when its files change.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

use arc_swap::ArcSwap;
use rustls::ServerConfig;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio_rustls::TlsAcceptor;

/// Result of reading a certificate.
pub type Result<T, E = TlsError> = std::result::Result<T, E>;

/// Why a certificate can't be loaded.
#[derive(Debug, Snafu)]
pub enum TlsError {
    /// A file can't be read.
    #[snafu(display("{} can't be read: {source}; check the path and its permissions", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The key file has no private key.
    #[snafu(display("{} has no private key; write one in PEM", path.display()))]
    NoKey {
        /// The file.
        path: PathBuf,
    },
    /// The certificate and its key can't be used, for example because they don't match.
    #[snafu(display("{} and its key can't be used: {source}", path.display()))]
    Unusable {
        /// The certificate file.
        path: PathBuf,
        /// The cause.
        source: rustls::Error,
    },
}

/// Certificate that is reloaded when its files change. Open connections keep the previous one.
#[derive(Debug)]
pub(crate) struct TlsSource {
    certificate_file: PathBuf,
    key_file: PathBuf,
    current: ArcSwap<ServerConfig>,
    read_at: std::sync::Mutex<FileTimes>,
}

type FileTimes = [Option<SystemTime>; 2];

impl TlsSource {
    /// Loads the certificate and its key.
    ///
    /// # Errors
    ///
    /// Fails when they can't be read or used.
    pub(crate) fn read(certificate_file: &Path, key_file: &Path) -> Result<Self> {
        let times = file_times(certificate_file, key_file);
        let config = read_config(certificate_file, key_file)?;
        Ok(Self {
            certificate_file: certificate_file.to_owned(),
            key_file: key_file.to_owned(),
            current: ArcSwap::from_pointee(config),
            read_at: std::sync::Mutex::new(times),
        })
    }

    /// Returns an acceptor with the current certificate.
    pub(crate) fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.current.load_full())
    }

    /// Reloads the files if they have changed; returns whether a new certificate is in use.
    ///
    /// # Errors
    ///
    /// Fails when the new files can't be used; the previous certificate stays in use.
    pub(crate) fn reload(&self) -> Result<bool> {
        let times = file_times(&self.certificate_file, &self.key_file);
        let mut read_at = self
            .read_at
            .lock()
            .expect("no code panics while it holds the file times");
        if *read_at == times {
            return Ok(false);
        }
        *read_at = times;
        drop(read_at);
        let config = read_config(&self.certificate_file, &self.key_file)?;
        self.current.store(Arc::new(config));
        Ok(true)
    }
}

fn file_times(certificate_file: &Path, key_file: &Path) -> FileTimes {
    let modified = |path: &Path| {
        std::fs::metadata(path)
            .and_then(|found| found.modified())
            .ok()
    };
    [modified(certificate_file), modified(key_file)]
}

fn read_config(certificate_file: &Path, key_file: &Path) -> Result<ServerConfig> {
    let certificates = read_certificates(certificate_file)?;
    let key = read_key(key_file)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let unusable = UnusableSnafu {
        path: certificate_file,
    };
    ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .context(unusable)?
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .context(unusable)
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let pem = std::fs::read(path).context(ReadSnafu { path })?;
    rustls_pemfile::certs(&mut &*pem)
        .collect::<std::io::Result<Vec<_>>>()
        .context(ReadSnafu { path })
}

fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>> {
    let pem = std::fs::read(path).context(ReadSnafu { path })?;
    rustls_pemfile::private_key(&mut &*pem)
        .context(ReadSnafu { path })?
        .context(NoKeySnafu { path })
}
