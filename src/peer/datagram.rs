//! Control messages over UDP: signed, at most once sent, never answered by this layer.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::net::UdpSocket;

use super::PeerMessage;
use super::auth::{Secrets, TAG_BYTES, Tag};
use crate::control::blackboard::Incarnation;
use crate::name::VmName;

/// Largest datagram that is sent; fits the least path MTU of IPv6.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Largest datagram that is read.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Result of decoding a datagram.
pub(crate) type Result<T, E = DatagramError> = std::result::Result<T, E>;

/// Why a datagram was dropped.
#[derive(Debug, Snafu)]
pub(crate) enum DatagramError {
    #[snafu(display("a datagram of {length} bytes is shorter than its tag"))]
    Short { length: usize },
    #[snafu(display("a datagram has a wrong tag; give all VMs the same peer secrets"))]
    Forged,
    #[snafu(display("a datagram can't be decoded; run the same version on all VMs: {source}"))]
    Malformed { source: postcard::Error },
}

/// Message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// Sender.
    pub(crate) from: VmName,
    /// Start count of the sender's process.
    pub(crate) incarnation: Incarnation,
    /// The message.
    pub(crate) message: PeerMessage,
}

/// Encodes and signs an envelope.
pub(crate) fn encode(envelope: &Envelope, secrets: &Secrets) -> Vec<u8> {
    let mut datagram = postcard::to_stdvec(envelope).expect("an envelope has an encoding");
    let tag = secrets.signing().sign(&[&datagram]);
    datagram.extend_from_slice(&tag);
    datagram
}

/// Checks and decodes a datagram.
pub(crate) fn decode(datagram: &[u8], secrets: &Secrets) -> Result<Envelope> {
    ensure!(
        datagram.len() > TAG_BYTES,
        ShortSnafu {
            length: datagram.len()
        }
    );
    let (body, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
    let tag: &Tag = tag.try_into().expect("the tag was split off at its length");
    secrets.find(&[body], tag).context(ForgedSnafu)?;
    postcard::from_bytes(body).context(MalformedSnafu)
}

/// Sends a datagram without waiting; a full socket buffer loses it, as the network may.
pub(crate) fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    if let Err(error) = socket.try_send_to(datagram, to) {
        log::debug!("event=datagram_lost to={to} error={error:?}");
    }
}

/// Receives datagrams and hands each valid one on, until the socket fails.
pub(crate) async fn receive(
    socket: Arc<UdpSocket>,
    secrets: Secrets,
    deliver: impl Fn(Envelope) + Send,
) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        // An error here reports an earlier datagram that its receiver refused.
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
