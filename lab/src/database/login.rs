//! Startup of an accepted connection: either a login that starts a session, or a cancel request.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, SecretKey, SslRequest, Startup,
};
use pgwire::messages::{DecodeContext, Message, PgWireFrontendMessage, ProtocolVersion};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::checks::ViolationKind;
use super::instance::{Instance, SessionHandle};
use super::session::{Session, encode};

/// Serves an accepted connection until it ends.
pub(crate) async fn serve(instance: Arc<Instance>, mut socket: TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let mut inbox = BytesMut::new();
    let Some(startup) = read_startup(&instance, &mut socket, &mut inbox).await? else {
        return Ok(());
    };
    let application_name = startup
        .parameters
        .get("application_name")
        .cloned()
        .unwrap_or_default();
    let vm = application_name
        .split('/')
        .nth(1)
        .unwrap_or_default()
        .to_owned();
    instance.network.wait_for_delivery(&vm).await;
    for (name, value) in &startup.parameters {
        instance
            .checks
            .check_for_caller_keys(&instance.name, name, value);
    }
    let context = logged_in_context();
    if !check_password(&instance, &mut socket, &mut inbox, &context).await? {
        return refuse(&mut socket, "28P01", "password authentication failed").await;
    }
    tokio::time::sleep(Duration::from_millis(instance.limits.connect_time_ms)).await;
    if is_full(&instance) {
        return refuse(&mut socket, "53300", "sorry, too many clients already").await;
    }
    let pid = instance.next_pid();
    let secret = rand::random();
    let cancel = Arc::new(Notify::new());
    let end = CancellationToken::new();
    let handle = SessionHandle {
        application_name,
        secret,
        cancel: Arc::clone(&cancel),
        end: end.clone(),
    };
    instance.sessions().insert(pid, handle);
    let _registration = SessionRegistration {
        instance: Arc::clone(&instance),
        pid,
    };
    send_login_complete(&mut socket, pid, secret).await?;
    let mut session = Session::new(
        Arc::clone(&instance),
        pid,
        vm,
        cancel,
        socket,
        inbox,
        context,
    );
    tokio::select! {
        result = session.run() => result,
        () = end.cancelled() => Ok(()),
    }
}

/// Returns whether the connection limit is reached, and records a violation if it is.
fn is_full(instance: &Instance) -> bool {
    let open = instance.sessions().len();
    let is_full = open >= instance.limits.connections as usize;
    if is_full {
        let detail = format!("{open} connections are open");
        instance
            .checks
            .record(ViolationKind::TooManyConnections, &instance.name, detail);
    }
    is_full
}

fn logged_in_context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// Removes a session from the instance's list when dropped.
struct SessionRegistration {
    instance: Arc<Instance>,
    pid: i32,
}

impl Drop for SessionRegistration {
    fn drop(&mut self) {
        self.instance.sessions().remove(&self.pid);
    }
}

/// Reads the startup message. `None` when the connection ended or sent a cancel request.
async fn read_startup(
    instance: &Instance,
    socket: &mut TcpStream,
    inbox: &mut BytesMut,
) -> std::io::Result<Option<Startup>> {
    let context = DecodeContext::default();
    loop {
        while inbox.len() < 8 {
            if socket.read_buf(inbox).await? == 0 {
                return Ok(None);
            }
        }
        if SslRequest::is_ssl_request_packet(inbox) {
            inbox.clear();
            instance.network.wait_for_delivery("").await;
            socket.write_all(b"N").await?;
            continue;
        }
        if CancelRequest::is_cancel_request_packet(inbox) {
            if let Some(request) =
                CancelRequest::decode(inbox, &context).map_err(std::io::Error::other)?
            {
                instance.network.wait_for_delivery("").await;
                cancel(instance, &request);
                return Ok(None);
            }
        } else if let Some(startup) =
            Startup::decode(inbox, &context).map_err(std::io::Error::other)?
        {
            return Ok(Some(startup));
        }
        if socket.read_buf(inbox).await? == 0 {
            return Ok(None);
        }
    }
}

fn cancel(instance: &Instance, request: &CancelRequest) {
    let sessions = instance.sessions();
    let Some(session) = sessions.get(&request.pid) else {
        return;
    };
    if SecretKey::I32(session.secret).eq_value(&request.secret_key) {
        session.cancel.notify_waiters();
    }
}

async fn check_password(
    instance: &Instance,
    socket: &mut TcpStream,
    inbox: &mut BytesMut,
    context: &DecodeContext,
) -> std::io::Result<bool> {
    let Some(expected) = &instance.password else {
        return Ok(true);
    };
    let mut out = BytesMut::new();
    encode(&mut out, &Authentication::CleartextPassword)?;
    socket.write_all(&out).await?;
    loop {
        let message =
            PgWireFrontendMessage::decode(inbox, context).map_err(std::io::Error::other)?;
        if let Some(PgWireFrontendMessage::PasswordMessageFamily(message)) = message {
            let password = message
                .into_password()
                .map_err(std::io::Error::other)?
                .password;
            instance
                .checks
                .check_for_caller_keys(&instance.name, "password", &password);
            return Ok(password == *expected);
        }
        if socket.read_buf(inbox).await? == 0 {
            return Ok(false);
        }
    }
}

async fn refuse(socket: &mut TcpStream, sqlstate: &str, message: &str) -> std::io::Result<()> {
    let fields = [
        (b'S', "FATAL"),
        (b'V', "FATAL"),
        (b'C', sqlstate),
        (b'M', message),
    ];
    let fields = fields.map(|(code, text)| (code, text.to_owned())).to_vec();
    let mut out = BytesMut::new();
    encode(&mut out, &ErrorResponse::new(fields))?;
    socket.write_all(&out).await
}

async fn send_login_complete(socket: &mut TcpStream, pid: i32, secret: i32) -> std::io::Result<()> {
    let mut out = BytesMut::new();
    encode(&mut out, &Authentication::Ok)?;
    let parameters = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        encode(
            &mut out,
            &ParameterStatus::new(name.to_owned(), value.to_owned()),
        )?;
    }
    encode(&mut out, &BackendKeyData::new(pid, SecretKey::I32(secret)))?;
    encode(&mut out, &ReadyForQuery::new(TransactionStatus::Idle))?;
    socket.write_all(&out).await
}
