//! Handshake of a TCP connection between two VMs.
//!
//! Each side proves that it knows a shared secret by signing fresh nonces. The keys of the
//! connection are derived from the nonces, so frames of one connection are rejected on any other.

use std::time::Duration;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::auth::{MacKey, Secrets, Tag};
use super::frame::{FrameDecoder, FrameEncoder};
use crate::control::blackboard::Incarnation;
use crate::name::VmName;

/// Version of the protocol between VMs.
const PROTOCOL_VERSION: u16 = 1;

/// Timeout of the whole handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a handshake message, in bytes.
const MAX_HANDSHAKE_BYTES: u16 = 512;

/// Result of a handshake.
pub(crate) type Result<T, E = HandshakeError> = std::result::Result<T, E>;

/// Why a handshake failed.
#[derive(Debug, Snafu)]
pub(crate) enum HandshakeError {
    #[snafu(display("the peer did not finish the handshake within {HANDSHAKE_TIMEOUT:?}"))]
    Timeout,
    #[snafu(display("the connection failed during the handshake: {source}"))]
    Connection { source: std::io::Error },
    #[snafu(display("the peer sent a malformed handshake"))]
    Malformed,
    #[snafu(display("the peer uses version {version}, not {PROTOCOL_VERSION}; upgrade it"))]
    Version { version: u16 },
    #[snafu(display("the peer does not know the secret; give all VMs the same peer secrets"))]
    Secret,
}

type Nonce = [u8; 16];

/// Properties of a VM that it sends to its peer during the handshake.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerInfo {
    /// Name of the VM.
    pub(crate) vm: VmName,
    /// Incarnation of its process.
    pub(crate) incarnation: Incarnation,
    /// Receive window of each stream at this VM, in bytes.
    pub(crate) window_bytes: u32,
}

#[derive(Serialize, Deserialize)]
struct Hello {
    version: u16,
    nonce: Nonce,
    info: PeerInfo,
}

#[derive(Serialize, Deserialize)]
struct Signed {
    body: Vec<u8>,
    tag: Tag,
}

/// Authenticated connection.
#[derive(Debug)]
pub(crate) struct Session {
    /// Properties of the peer.
    pub(crate) peer: PeerInfo,
    /// Encodes the frames that this side sends.
    pub(crate) encoder: FrameEncoder,
    /// Decodes the frames that the peer sends.
    pub(crate) decoder: FrameDecoder,
}

/// Performs the handshake on the side that opened the connection.
pub(crate) async fn dial(
    tcp: &mut TcpStream,
    secrets: &Secrets,
    local: &PeerInfo,
) -> Result<Session> {
    with_timeout(async {
        let key = secrets.signing_key().clone();
        let own = hello(local);
        write(tcp, &sign(&key, b"dial", &own)).await?;
        let response: Signed = read(tcp).await?;
        let context = [b"accept".as_slice(), &own];
        ensure!(verifies(&key, &context, &response), SecretSnafu);
        let peer = parse(&response.body)?;
        write(tcp, &key.sign(&[b"confirm", &own, &response.body])).await?;
        Ok(session(&key, &own, &response.body, peer, Side::Dialer))
    })
    .await
}

/// Performs the handshake on the side that accepted the connection.
pub(crate) async fn accept(
    tcp: &mut TcpStream,
    secrets: &Secrets,
    local: &PeerInfo,
) -> Result<Session> {
    with_timeout(async {
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

fn session(key: &MacKey, dialer: &[u8], accepter: &[u8], peer: PeerInfo, side: Side) -> Session {
    let to_accepter = key.derive(&[b"to accepter", dialer, accepter]);
    let to_dialer = key.derive(&[b"to dialer", dialer, accepter]);
    let (sending, receiving) = match side {
        Side::Dialer => (to_accepter, to_dialer),
        Side::Accepter => (to_dialer, to_accepter),
    };
    Session {
        peer,
        encoder: FrameEncoder::new(sending),
        decoder: FrameDecoder::new(receiving),
    }
}

fn hello(local: &PeerInfo) -> Vec<u8> {
    let nonce = rand::random();
    let hello = Hello {
        version: PROTOCOL_VERSION,
        nonce,
        info: local.clone(),
    };
    postcard::to_stdvec(&hello).expect("a handshake message can be encoded")
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

fn parse(body: &[u8]) -> Result<PeerInfo> {
    let hello: Hello = postcard::from_bytes(body).ok().context(MalformedSnafu)?;
    let version = hello.version;
    ensure!(version == PROTOCOL_VERSION, VersionSnafu { version });
    Ok(hello.info)
}

async fn with_timeout<T>(handshake: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .unwrap_or(TimeoutSnafu.fail())
}

async fn write<T: Serialize + Sync>(tcp: &mut TcpStream, message: &T) -> Result<()> {
    let body = postcard::to_stdvec(message).expect("a handshake message can be encoded");
    let length = u16::try_from(body.len()).expect("a handshake message is shorter than 64 KiB");
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
