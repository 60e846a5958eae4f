//! Start of a connection: TLS negotiation, and the startup or cancel request.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{GssEncRequest, SecretKey, SslRequest};
use pgwire::messages::{DecodeContext, Message};
use snafu::{OptionExt, ResultExt, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::login::{LostSnafu, Result, malformed};
use super::registry::CancelKey;
use super::socket::CallerSocket;
use super::tls::TlsSource;

/// Largest message before the login is complete, in bytes.
pub(super) const MAX_LOGIN_MESSAGE_BYTES: usize = 10_000;
/// Size of the smallest message without a type byte: its length and a request code.
const MIN_STARTUP_BYTES: usize = 8;

/// First request on a connection.
#[derive(Debug)]
pub(super) enum Request {
    /// `CancelRequest` for the statement of another connection.
    Cancel(CancelKey),
    /// `StartupMessage`, undecoded.
    LogIn(BytesMut),
}

/// Connection after TLS negotiation, with its first request.
#[derive(Debug)]
pub(super) struct NegotiatedConnection {
    pub(super) socket: CallerSocket,
    pub(super) request: Request,
}

/// Negotiates TLS and reads the first request. GSS encryption is always declined.
///
/// # Errors
///
/// Fails when the connection is lost or a message is malformed.
pub(super) async fn negotiate(
    mut stream: TcpStream,
    tls: Option<&TlsSource>,
) -> Result<NegotiatedConnection> {
    loop {
        let packet = read_packet(&mut stream).await?;
        if SslRequest::is_ssl_request_packet(&packet) {
            let Some(tls) = tls else {
                stream.write_all(b"N").await.context(LostSnafu)?;
                continue;
            };
            stream.write_all(b"S").await.context(LostSnafu)?;
            return accept_over_tls(stream, tls).await;
        }
        if GssEncRequest::is_gss_enc_request_packet(&packet) {
            stream.write_all(b"N").await.context(LostSnafu)?;
            continue;
        }
        let request = request(packet)?;
        let socket = CallerSocket::Plain(stream);
        return Ok(NegotiatedConnection { socket, request });
    }
}

async fn accept_over_tls(stream: TcpStream, tls: &TlsSource) -> Result<NegotiatedConnection> {
    let mut stream = tls.acceptor().accept(stream).await.context(LostSnafu)?;
    let request = request(read_packet(&mut stream).await?)?;
    let socket = CallerSocket::Tls(Box::new(stream));
    Ok(NegotiatedConnection { socket, request })
}

fn request(mut packet: BytesMut) -> Result<Request> {
    if !CancelRequest::is_cancel_request_packet(&packet) {
        return Ok(Request::LogIn(packet));
    }
    ensure_cancel_length(&packet)?;
    let decoded = CancelRequest::decode(&mut packet, &DecodeContext::default());
    let request = decoded.ok().flatten().with_context(malformed)?;
    let secret = match &request.secret_key {
        SecretKey::I32(secret) => *secret,
        SecretKey::Bytes(bytes) => secret_number(bytes)?,
    };
    Ok(Request::Cancel(CancelKey {
        process: request.pid,
        secret,
    }))
}

fn ensure_cancel_length(packet: &[u8]) -> Result<()> {
    // Length of a `CancelRequest` message, including its length field.
    const CANCEL_BYTES: usize = 16;
    ensure!(packet.len() == CANCEL_BYTES, malformed());
    Ok(())
}

fn secret_number(bytes: &Bytes) -> Result<i32> {
    ensure!(bytes.len() == size_of::<i32>(), malformed());
    Ok((&**bytes).get_i32())
}

/// Reads one message without a type byte. Reads nothing beyond it, so that bytes sent in plain text
/// can't be injected into the TLS stream.
async fn read_packet(stream: &mut (impl tokio::io::AsyncRead + Unpin)) -> Result<BytesMut> {
    let length = stream.read_u32().await.context(LostSnafu)? as usize;
    ensure!(
        (MIN_STARTUP_BYTES..=MAX_LOGIN_MESSAGE_BYTES).contains(&length),
        malformed()
    );
    let mut packet = BytesMut::zeroed(length);
    packet[..4].copy_from_slice(&(length as u32).to_be_bytes());
    stream
        .read_exact(&mut packet[4..])
        .await
        .context(LostSnafu)?;
    Ok(packet)
}
