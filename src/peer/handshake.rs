//! Handshake of a TCP connection between two VMs.
//!
//! Both prove that they know a shared secret over fresh nonces; the key of the connection is
//! derived from the nonces, so that frames of one connection are refused on any other.

use std::time::Duration;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::auth::{MacKey, Secrets, Tag};
use super::frame::{Opener, Sealer};
use crate::control::blackboard::Incarnation;
use crate::name::VmName;

/// Version of the protocol between VMs.
const PROTOCOL_VERSION: u16 = 1;

/// Time that a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest message of the handshake.
const MAX_HANDSHAKE_BYTES: u16 = 512;

/// Result of a handshake.
pub(crate) type Result<T, E = HandshakeError> = std::result::Result<T, E>;

/// Why a handshake failed.
#[derive(Debug, Snafu)]
pub(crate) enum HandshakeError {
    #[snafu(display("the peer did not finish the handshake in {HANDSHAKE_TIMEOUT:?}"))]
    Timeout,
    #[snafu(display("the connection failed during the handshake: {source}"))]
    Connection { source: std::io::Error },
    #[snafu(display("the peer sent a malformed handshake"))]
    Malformed,
    #[snafu(display("the peer speaks version {version}, not {PROTOCOL_VERSION}; upgrade it"))]
    Version { version: u16 },
    #[snafu(display("the peer does not know the secret; give all VMs the same peer secrets"))]
    Secret,
}

type Nonce = [u8; 16];

/// What one side tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Introduction {
    /// Name of the VM.
    pub(crate) vm: VmName,
    /// Start count of its process.
    pub(crate) incarnation: Incarnation,
    /// Bytes of each stream that it is ready to hold.
    pub(crate) window_bytes: u32,
}

#[derive(Serialize, Deserialize)]
struct Hello {
    version: u16,
    nonce: Nonce,
    introduction: Introduction,
}

#[derive(Serialize, Deserialize)]
struct Signed {
    body: Vec<u8>,
    tag: Tag,
}

/// Authenticated connection.
#[derive(Debug)]
pub(crate) struct Session {
    /// The other side.
    pub(crate) peer: Introduction,
    /// Encodes what this side sends.
    pub(crate) sealer: Sealer,
    /// Decodes what the other side sends.
    pub(crate) opener: Opener,
}

/// Carries out the handshake on the side that opened the connection.
pub(crate) async fn dial(
    tcp: &mut TcpStream,
    secrets: &Secrets,
    local: &Introduction,
) -> Result<Session> {
    timed(async {
        let key = secrets.signing().clone();
        let own = hello(local);
        write(tcp, &sign(&key, b"dial", &own)).await?;
        let answer: Signed = read(tcp).await?;
        let context = [b"accept".as_slice(), &own];
        ensure!(verifies(&key, &context, &answer), SecretSnafu);
        let peer = parse(&answer.body)?;
        write(tcp, &key.sign(&[b"confirm", &own, &answer.body])).await?;
        Ok(session(&key, &own, &answer.body, peer, Side::Dialer))
    })
    .await
}

/// Carries out the handshake on the side that accepted the connection.
pub(crate) async fn accept(
    tcp: &mut TcpStream,
    secrets: &Secrets,
    local: &Introduction,
) -> Result<Session> {
    timed(async {
        let request: Signed = read(tcp).await?;
        let key = secrets
            .find(&[b"dial", &request.body], &request.tag)
            .context(SecretSnafu)?;
        let peer = parse(&request.body)?;
        let own = hello(local);
        let tag = key.sign(&[b"accept", &request.body, &own]);
        write(
            tcp,
            &Signed {
                body: own.clone(),
                tag,
            },
        )
        .await?;
        let confirmation: Tag = read(tcp).await?;
        let confirmed = key.verify(&[b"confirm", &request.body, &own], &confirmation);
        ensure!(confirmed, SecretSnafu);
        Ok(session(key, &request.body, &own, peer, Side::Accepter))
    })
    .await
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Side {
    Dialer,
    Accepter,
}

fn session(
    key: &MacKey,
    dialer: &[u8],
    accepter: &[u8],
    peer: Introduction,
    side: Side,
) -> Session {
    let to_accepter = key.derive(&[b"to accepter", dialer, accepter]);
    let to_dialer = key.derive(&[b"to dialer", dialer, accepter]);
    let (sending, receiving) = match side {
        Side::Dialer => (to_accepter, to_dialer),
        Side::Accepter => (to_dialer, to_accepter),
    };
    Session {
        peer,
        sealer: Sealer::new(sending),
        opener: Opener::new(receiving),
    }
}

fn hello(local: &Introduction) -> Vec<u8> {
    let nonce = rand::random();
    let hello = Hello {
        version: PROTOCOL_VERSION,
        nonce,
        introduction: local.clone(),
    };
    postcard::to_stdvec(&hello).expect("a handshake has an encoding")
}

fn sign(key: &MacKey, context: &[u8], body: &[u8]) -> Signed {
    Signed {
        body: body.to_vec(),
        tag: key.sign(&[context, body]),
    }
}

fn verifies(key: &MacKey, context: &[&[u8]], signed: &Signed) -> bool {
    let parts: Vec<_> = context
        .iter()
        .copied()
        .chain([signed.body.as_slice()])
        .collect();
    key.verify(&parts, &signed.tag)
}

fn parse(body: &[u8]) -> Result<Introduction> {
    let hello: Hello = postcard::from_bytes(body).ok().context(MalformedSnafu)?;
    let version = hello.version;
    ensure!(version == PROTOCOL_VERSION, VersionSnafu { version });
    Ok(hello.introduction)
}

async fn timed<T>(handshake: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .unwrap_or(TimeoutSnafu.fail())
}

async fn write<T: Serialize + Sync>(tcp: &mut TcpStream, message: &T) -> Result<()> {
    let body = postcard::to_stdvec(message).expect("a handshake has an encoding");
    let length = u16::try_from(body.len()).expect("a handshake is short");
    let bytes = [&length.to_be_bytes()[..], &body].concat();
    tcp.write_all(&bytes).await.context(ConnectionSnafu)
}

async fn read<T: DeserializeOwned>(tcp: &mut TcpStream) -> Result<T> {
    let length = tcp.read_u16().await.context(ConnectionSnafu)?;
    ensure!(length <= MAX_HANDSHAKE_BYTES, MalformedSnafu);
    let mut body = vec![0; usize::from(length)];
    tcp.read_exact(&mut body).await.context(ConnectionSnafu)?;
    postcard::from_bytes(&body).ok().context(MalformedSnafu)
}

#[cfg(test)]
mod tests;
