//! Control messages over UDP. Each is signed and sent once, without acknowledgement or retry.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::net::UdpSocket;

use super::PeerMessage;
use super::auth::{Secrets, TAG_BYTES, Tag};
use crate::control::blackboard::Incarnation;
use crate::name::VmName;

/// Maximum size of a sent datagram in bytes; fits the minimum path MTU of IPv6.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Size of the receive buffer in bytes; a longer datagram is truncated and fails to verify.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Result of decoding a datagram.
pub(crate) type Result<T, E = DatagramError> = std::result::Result<T, E>;

/// Why a datagram was dropped.
#[derive(Debug, Snafu)]
pub(crate) enum DatagramError {
    #[snafu(display("a datagram of {length} bytes is shorter than its tag"))]
    TooShort { length: usize },
    #[snafu(display("a datagram has an invalid tag; give all VMs the same peer secrets"))]
    InvalidTag,
    #[snafu(display("a datagram can't be decoded; run the same version on all VMs: {source}"))]
    Malformed { source: postcard::Error },
}

/// Message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// Sender.
    pub(crate) from: VmName,
    /// Incarnation of the sender's process.
    pub(crate) incarnation: Incarnation,
    /// The message.
    pub(crate) message: PeerMessage,
}

/// Encodes and signs an envelope.
pub(crate) fn encode(envelope: &Envelope, secrets: &Secrets) -> Vec<u8> {
    let mut datagram = postcard::to_stdvec(envelope).expect("an envelope can be encoded");
    let tag = secrets.signing_key().sign(&[&datagram]);
    datagram.extend_from_slice(&tag);
    datagram
}

/// Verifies and decodes a datagram.
pub(crate) fn decode(datagram: &[u8], secrets: &Secrets) -> Result<Envelope> {
    ensure!(
        datagram.len() > TAG_BYTES,
        TooShortSnafu {
            length: datagram.len()
        }
    );
    let (body, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
    let tag: &Tag = tag.try_into().expect("the tag was split off at its length");
    secrets.find(&[body], tag).context(InvalidTagSnafu)?;
    postcard::from_bytes(body).context(MalformedSnafu)
}

/// Sends a datagram without waiting. It is dropped if the socket buffer is full, as the network
/// may drop it too.
pub(crate) fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    if let Err(error) = socket.try_send_to(datagram, to) {
        log::debug!("event=datagram_lost to={to} error={error:?}");
    }
}

/// Receives datagrams and passes each valid one to `deliver`; never returns.
pub(crate) async fn receive(
    socket: Arc<UdpSocket>,
    secrets: Secrets,
    deliver: impl Fn(Envelope) + Send,
) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        // An error here concerns an earlier datagram that its destination rejected.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match decode(&buffer[..length], &secrets) {
            Ok(envelope) => deliver(envelope),
            Err(error) => log::debug!("event=datagram_dropped from={from} error=\"{error}\""),
        }
    }
}

#[cfg(test)]
mod tests;
