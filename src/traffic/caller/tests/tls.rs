use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use rustls::{ClientConfig, RootCertStore};
use tokio_postgres::Client;
use tokio_postgres::config::SslMode;
use tokio_postgres_rustls::MakeRustlsConnect;

use super::fixture::{Fixture, connect, sqlstate};
use super::within_timeout;
use crate::settings::CallerSettings;

/// Writes a new self-signed certificate for `localhost` and its key; returns a store that trusts
/// it.
fn write_certificate(directory: &Path, modified: SystemTime) -> RootCertStore {
    let issued = rcgen::generate_simple_self_signed(["localhost".to_owned()]).unwrap();
    let files = [
        ("certificate.pem", issued.cert.pem()),
        ("key.pem", issued.signing_key.serialize_pem()),
    ];
    for (name, pem) in files {
        let path = directory.join(name);
        std::fs::write(&path, pem).unwrap();
        let file = std::fs::File::options().write(true).open(&path).unwrap();
        file.set_modified(modified).unwrap();
    }
    let mut roots = RootCertStore::empty();
    roots.add(issued.cert.der().clone()).unwrap();
    roots
}

async fn connect_trusting(
    fixture: &Fixture,
    roots: RootCertStore,
) -> Result<Client, tokio_postgres::Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let defaults = fixture.config();
    let port = fixture.listener.address.port();
    let mut config = tokio_postgres::Config::new();
    config
        .host("localhost")
        .hostaddr(fixture.listener.address.ip())
        .port(port)
        .user(defaults.get_user().unwrap())
        .password(defaults.get_password().unwrap())
        .dbname(defaults.get_dbname().unwrap())
        .ssl_mode(SslMode::Require);
    let (client, connection) = config.connect(MakeRustlsConnect::new(client)).await?;
    tokio::spawn(connection);
    Ok(client)
}

#[tokio::test]
async fn a_renewed_certificate_is_used_without_closing_connections() {
    let directory = tempfile::tempdir().unwrap();
    let start = SystemTime::now();
    let first = write_certificate(directory.path(), start);
    let settings = CallerSettings {
        tls_certificate_file: Some(directory.path().join("certificate.pem")),
        tls_key_file: Some(directory.path().join("key.pem")),
        ..CallerSettings::default()
    };
    let fixture = Fixture::start_with(settings).await;
    let error = connect(&fixture.config()).await.unwrap_err();
    assert_eq!(sqlstate(&error), "28000", "plain text is refused");
    let old = connect_trusting(&fixture, first.clone()).await.unwrap();
    old.batch_execute("SELECT 1").await.unwrap();

    let second = write_certificate(directory.path(), start + Duration::from_secs(5));
    let new = within_timeout(async {
        loop {
            if let Ok(client) = connect_trusting(&fixture, second.clone()).await {
                break client;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    new.batch_execute("SELECT 1").await.unwrap();
    old.batch_execute("SELECT 1").await.unwrap();
    assert!(connect_trusting(&fixture, first).await.is_err());
}
