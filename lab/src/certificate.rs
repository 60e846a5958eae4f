//! Certificates made anew for each run of the lab.

use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair};
use snafu::{ResultExt, Snafu};

/// Result of making certificates.
pub type Result<T, E = CertificateError> = std::result::Result<T, E>;

/// Why certificates could not be made.
#[derive(Debug, Snafu)]
pub enum CertificateError {
    /// The library refused.
    #[snafu(display("the lab's certificate can't be made: {source}"))]
    Make {
        /// Cause.
        source: rcgen::Error,
    },
    /// A file could not be written.
    #[snafu(display("{} can't be written: {source}; free space or choose another directory", file.display()))]
    Write {
        /// The file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
}

/// Files of an authority and of one certificate that it signed.
#[derive(Debug, Clone)]
pub struct CertificateFiles {
    /// Certificate of the authority, for clients.
    pub ca_file: PathBuf,
    /// Certificate of the servers.
    pub certificate_file: PathBuf,
    /// Private key of the servers.
    pub key_file: PathBuf,
}

/// Writes an authority and a certificate for the given names and IP numbers.
///
/// # Errors
///
/// Fails when a file can't be written.
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
