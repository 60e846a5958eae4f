//! TLS certificates, created for each run of the lab.

use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair};
use snafu::{ResultExt, Snafu};

/// Result of creating certificates.
pub type Result<T, E = CertificateError> = std::result::Result<T, E>;

/// Error from creating certificates.
#[derive(Debug, Snafu)]
pub enum CertificateError {
    /// The certificate library failed.
    #[snafu(display("the lab's certificate can't be created: {source}"))]
    Make {
        /// Underlying error.
        source: rcgen::Error,
    },
    /// A file could not be written.
    #[snafu(display("{} can't be written: {source}; free space or choose another directory", file.display()))]
    Write {
        /// Path of the file.
        file: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
}

/// Files of a CA certificate and of a server certificate that it signed.
#[derive(Debug, Clone)]
pub struct CertificateFiles {
    /// CA certificate, for clients.
    pub ca_file: PathBuf,
    /// Server certificate.
    pub certificate_file: PathBuf,
    /// Private key of the server certificate.
    pub key_file: PathBuf,
}

/// Creates a CA and a server certificate for host names and IP addresses, and writes their files.
///
/// # Errors
///
/// Fails when a certificate can't be created or a file can't be written.
pub fn create(directory: &Path, names: Vec<String>) -> Result<CertificateFiles> {
    let mut authority = CertificateParams::new(Vec::new()).context(MakeSnafu)?;
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    authority
        .distinguished_name
        .push(DnType::CommonName, "currantlb lab");
    let authority_key = KeyPair::generate().context(MakeSnafu)?;
    let issuer = CertifiedIssuer::self_signed(authority, authority_key).context(MakeSnafu)?;
    let key = KeyPair::generate().context(MakeSnafu)?;
    let params = CertificateParams::new(names).context(MakeSnafu)?;
    let certificate = params.signed_by(&key, &issuer).context(MakeSnafu)?;
    Ok(CertificateFiles {
        ca_file: write(directory, "ca.pem", &issuer.pem())?,
        certificate_file: write(directory, "server.pem", &certificate.pem())?,
        key_file: write(directory, "server.key", &key.serialize_pem())?,
    })
}

fn write(directory: &Path, name: &str, text: &str) -> Result<PathBuf> {
    let file = directory.join(name);
    std::fs::write(&file, text).with_context(|_| WriteSnafu { file: file.clone() })?;
    Ok(file)
}
