//! Login to an instance as the VM's own user.

use std::net::SocketAddr;
use std::time::Duration;

use fallible_iterator::FallibleIterator;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::backend::{ErrorResponseBody, Message};
use postgres_protocol::message::frontend;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::cancel::CancelKey;
use super::{Connection, IoSnafu, ProtocolSnafu, RefusedSnafu, Result, TimeoutSnafu};

/// Address and credentials for connecting to an instance.
#[derive(Debug, Clone)]
pub(crate) struct Login {
    /// Address of the instance.
    pub(crate) address: SocketAddr,
    /// User name of the VM at the instance.
    pub(crate) user: String,
    /// Password of the user.
    pub(crate) password: String,
    /// Database to connect to.
    pub(crate) database: String,
    /// `application_name` that identifies the connection as one of this VM and epoch.
    pub(crate) application_name: String,
    /// Timeout for connecting and logging in.
    pub(crate) timeout: Duration,
}

impl Login {
    /// Connects and logs in.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached, refuses the login, or does not respond in time.
    pub(crate) async fn connect(&self) -> Result<Connection> {
        let timeout_ms = self.timeout.as_millis();
        match timeout(self.timeout, self.log_in()).await {
            Ok(result) => result,
            Err(_elapsed) => TimeoutSnafu { timeout_ms }.fail(),
        }
    }

    async fn log_in(&self) -> Result<Connection> {
        let stream = TcpStream::connect(self.address).await.context(IoSnafu)?;
        stream.set_nodelay(true).context(IoSnafu)?;
        let mut connection = Connection::new(stream, self.address);
        let parameters = [
            ("user", self.user.as_str()),
            ("database", self.database.as_str()),
            ("application_name", self.application_name.as_str()),
            ("client_encoding", "UTF8"),
        ];
        frontend::startup_message(parameters, &mut connection.outgoing).context(IoSnafu)?;
        self.authenticate(&mut connection).await?;
        finish(&mut connection).await?;
        Ok(connection)
    }

    async fn authenticate(&self, connection: &mut Connection) -> Result<()> {
        match connection.message().await? {
            Message::AuthenticationOk => Ok(()),
            Message::AuthenticationCleartextPassword => {
                frontend::password_message(self.password.as_bytes(), &mut connection.outgoing)
                    .context(IoSnafu)?;
                expect_ok(connection).await
            }
            Message::AuthenticationSasl(body) => {
                let mut mechanisms = body.mechanisms();
                while let Some(mechanism) = mechanisms.next().context(IoSnafu)? {
                    if mechanism == SCRAM_SHA_256 {
                        return self.scram(connection).await;
                    }
                }
                unexpected("list of SASL mechanisms without SCRAM-SHA-256")
            }
            Message::ErrorResponse(body) => refused(&body),
            _ => unexpected("authentication request"),
        }
    }

    async fn scram(&self, connection: &mut Connection) -> Result<()> {
        let binding = ChannelBinding::unsupported();
        let mut scram = ScramSha256::new(self.password.as_bytes(), binding);
        frontend::sasl_initial_response(SCRAM_SHA_256, scram.message(), &mut connection.outgoing)
            .context(IoSnafu)?;
        match connection.message().await? {
            Message::AuthenticationSaslContinue(body) => {
                scram.update(body.data()).context(IoSnafu)?;
            }
            Message::ErrorResponse(body) => return refused(&body),
            _ => return unexpected("response to SCRAM's first message"),
        }
        frontend::sasl_response(scram.message(), &mut connection.outgoing).context(IoSnafu)?;
        match connection.message().await? {
            Message::AuthenticationSaslFinal(body) => {
                scram.finish(body.data()).context(IoSnafu)?;
            }
            Message::ErrorResponse(body) => return refused(&body),
            _ => return unexpected("response to SCRAM's proof"),
        }
        expect_ok(connection).await
    }
}

async fn expect_ok(connection: &mut Connection) -> Result<()> {
    match connection.message().await? {
        Message::AuthenticationOk => Ok(()),
        Message::ErrorResponse(body) => refused(&body),
        _ => unexpected("response to the password"),
    }
}

async fn finish(connection: &mut Connection) -> Result<()> {
    loop {
        match connection.message().await? {
            Message::BackendKeyData(body) => {
                let address = connection.cancel_key.address();
                connection.cancel_key =
                    CancelKey::new(address, body.process_id(), body.secret_key());
            }
            Message::ParameterStatus(body) => {
                connection.record_parameter(
                    body.name().context(IoSnafu)?,
                    body.value().context(IoSnafu)?,
                );
            }
            Message::NoticeResponse(_) => {}
            Message::ReadyForQuery(_) => return Ok(()),
            Message::ErrorResponse(body) => return refused(&body),
            _ => return unexpected("message during login"),
        }
    }
}

/// Turns an `ErrorResponse` into an error.
///
/// # Errors
///
/// Always fails: with the error of the response, or because the response is malformed.
pub(crate) fn refused<T>(body: &ErrorResponseBody) -> Result<T> {
    let mut sqlstate = String::new();
    let mut message = String::new();
    let mut fields = body.fields();
    while let Some(field) = fields.next().context(IoSnafu)? {
        let value = String::from_utf8_lossy(field.value_bytes()).into_owned();
        match field.type_() {
            b'C' => sqlstate = value,
            b'M' => message = value,
            _ => {}
        }
    }
    RefusedSnafu { sqlstate, message }.fail()
}

fn unexpected<T>(what: &str) -> Result<T> {
    ProtocolSnafu { what }.fail()
}
