//! Login of a caller with SCRAM.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, PasswordMessageFamily, SecretKey,
    Startup,
};
use pgwire::messages::{DecodeContext, Message as _};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::negotiation::MAX_LOGIN_MESSAGE_BYTES;
use super::reader::{MessageReader, ReadError};
use super::response::{CallerError, Severity, put, put_error, put_parameter, put_ready};
use super::session::{CallerSession, Identity};
use super::setting::Setting;
use super::shared::CallerShared;
use super::socket::CallerSocket;
use super::startup::StartupOptions;
use crate::control::snapshot::Standing;
use crate::name::{DatabaseName, KeyId, WorkspaceName};
use crate::traffic::scram::{Candidates, MECHANISM, ScramError, ServerExchange};
use crate::traffic::{Refusal, RefusalReason};

/// Value of `server_version`, by which drivers and tools decide which syntax to use.
const SERVER_VERSION: &str = "16.0";
/// Protocol version 3.0, the newest supported one.
const PROTOCOL_VERSION: i32 = 0x0003_0000;

/// Result of a step of the login.
pub(super) type Result<T, E = LoginError> = std::result::Result<T, E>;

/// Why a login failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum LoginError {
    /// The connection was lost.
    #[snafu(display("the connection was lost during login: {source}"))]
    Lost {
        /// The cause.
        source: std::io::Error,
    },
    /// The login is refused; the error is sent to the caller.
    #[snafu(display("{}", error.message))]
    Refused {
        /// Error that the caller gets.
        error: CallerError,
    },
    /// A message is malformed.
    #[snafu(display("{source}"))]
    Message {
        /// The cause.
        source: ReadError,
    },
    /// The SCRAM exchange failed.
    #[snafu(display("{source}"))]
    Scram {
        /// The cause.
        source: ScramError,
    },
}

impl LoginError {
    /// Returns the error for the caller; `None` when the connection was lost.
    pub(super) fn caller_error(&self) -> Option<CallerError> {
        let sqlstate = match self {
            Self::Lost { .. } => return None,
            Self::Refused { error } => return Some(error.clone()),
            Self::Message { .. } => "08P01",
            Self::Scram {
                source: ScramError::WrongKey,
            } => "28P01",
            Self::Scram { .. } => "28000",
        };
        Some(CallerError::new(sqlstate, self.to_string()))
    }
}

/// Builds the error for a malformed message.
pub(super) fn malformed() -> RefusedSnafu<CallerError> {
    RefusedSnafu {
        error: CallerError::new("08P01", "malformed message; use protocol version 3"),
    }
}

fn refused(reason: RefusalReason) -> RefusedSnafu<CallerError> {
    RefusedSnafu {
        error: CallerError::from(Refusal::without_retry(reason)),
    }
}

/// Connection during the login.
#[derive(Debug)]
pub(super) struct LoginConnection {
    socket: CallerSocket,
    reader: MessageReader,
    out: BytesMut,
}

impl LoginConnection {
    /// Builds the login state of a connection.
    pub(super) fn new(socket: CallerSocket) -> Self {
        Self {
            socket,
            reader: MessageReader::new(MAX_LOGIN_MESSAGE_BYTES),
            out: BytesMut::new(),
        }
    }

    /// Runs the login: checks the startup parameters, authenticates the caller, and checks its
    /// access to the database.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost, a message is malformed, the key is not valid, or the
    /// workspace may not use the database.
    pub(super) async fn log_in(
        &mut self,
        mut startup: BytesMut,
        shared: &CallerShared,
    ) -> Result<Login> {
        let decoded = Startup::decode(&mut startup, &DecodeContext::default());
        let startup = decoded.ok().flatten().with_context(malformed)?;
        let options = StartupOptions::read(&startup.parameters)
            .map_err(|error| LoginError::Refused { error })?;
        self.negotiate_version(&startup, &options);
        let workspace = WorkspaceName::from(options.user.as_str());
        let key = self.authenticate(&workspace, shared).await?;
        let database = DatabaseName::from(options.database.as_str());
        check_access(&workspace, &database, &options, shared)?;
        Ok(Login {
            identity: Identity {
                workspace,
                key,
                database,
                tags: options.tags,
            },
            settings: options.settings,
        })
    }

    fn negotiate_version(&mut self, startup: &Startup, options: &StartupOptions) {
        if startup.protocol_number_minor > 0 || !options.extensions.is_empty() {
            let version = NegotiateProtocolVersion::new(
                PROTOCOL_VERSION & 0xffff,
                options.extensions.clone(),
            );
            put(&mut self.out, &version);
        }
    }

    async fn authenticate(
        &mut self,
        workspace: &WorkspaceName,
        shared: &CallerShared,
    ) -> Result<KeyId> {
        let known = shared
            .snapshot
            .load()
            .configuration
            .workspaces
            .get(workspace)
            .cloned();
        let candidates = match known {
            Some(workspace) => Candidates::of(&workspace),
            None => Candidates::mock(&shared.mock_secret, workspace),
        };
        put(
            &mut self.out,
            &Authentication::SASL(vec![MECHANISM.to_owned()]),
        );
        let first = self.password_message().await?;
        let first = first
            .into_sasl_initial_response()
            .ok()
            .with_context(malformed)?;
        ensure!(first.auth_method == MECHANISM, malformed());
        let client_first = first.data.unwrap_or_default();
        let exchange = ServerExchange::start(&client_first, candidates).context(ScramSnafu)?;
        let server_first = Bytes::copy_from_slice(exchange.server_first().as_bytes());
        put(&mut self.out, &Authentication::SASLContinue(server_first));
        let last = self.password_message().await?;
        let last = last.into_sasl_response().ok().with_context(malformed)?;
        let accepted = exchange.finish(&last.data).context(ScramSnafu)?;
        let server_final = Bytes::from(accepted.server_final);
        put(&mut self.out, &Authentication::SASLFinal(server_final));
        Ok(accepted.key)
    }

    async fn password_message(&mut self) -> Result<PasswordMessageFamily> {
        self.socket.drain(&mut self.out).await.context(LostSnafu)?;
        loop {
            if let Some(message) = self.reader.next().context(MessageSnafu)? {
                ensure!(message.tag == b'p', malformed());
                return Ok(PasswordMessageFamily::Raw(BytesMut::from(message.body())));
            }
            let read = self.socket.fill(&mut self.reader.buffer).await;
            let closed = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
            ensure_open(read.context(LostSnafu)?, closed)?;
        }
    }

    /// Completes the login with `AuthenticationOk`, `ParameterStatus`, `BackendKeyData` and
    /// `ReadyForQuery`, and builds the session.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost.
    pub(super) async fn into_session(
        mut self,
        shared: &Arc<CallerShared>,
        login: Login,
    ) -> Result<CallerSession> {
        let Login { identity, settings } = login;
        let registration = shared.registry.register(&identity.workspace, &identity.key);
        let out = &mut self.out;
        put(out, &Authentication::Ok);
        put_parameter(out, "server_version", SERVER_VERSION);
        put_parameter(out, "server_encoding", "UTF8");
        put_parameter(out, "integer_datetimes", "on");
        put_parameter(out, "is_superuser", "off");
        put_parameter(out, "session_authorization", &identity.workspace);
        for (setting, name) in Setting::all_reported() {
            put_parameter(out, name, settings.reported(setting));
        }
        let key = registration.cancel_key;
        let secret = SecretKey::I32(key.secret);
        put(out, &BackendKeyData::new(key.process, secret));
        put_ready(out, TransactionStatus::Idle);
        self.socket.drain(&mut self.out).await.context(LostSnafu)?;
        let session = CallerSession::new(
            self.socket,
            Arc::clone(shared),
            registration,
            identity,
            settings,
        );
        Ok(session.with_read_ahead(self.reader.buffer))
    }

    /// Sends the error of a failed login.
    pub(super) async fn reject(mut self, error: &CallerError) {
        put_error(&mut self.out, Severity::Fatal, error);
        // The caller may have disconnected, in which case the error is not needed.
        let _ = self.socket.drain(&mut self.out).await;
    }
}

/// Result of a successful login.
#[derive(Debug)]
pub(super) struct Login {
    identity: Identity,
    settings: super::setting::SessionSettings,
}

fn ensure_open(read_bytes: usize, closed: impl FnOnce() -> std::io::Error) -> Result<()> {
    if read_bytes > 0 {
        return Ok(());
    }
    Err(closed()).context(LostSnafu)
}

fn check_access(
    workspace: &WorkspaceName,
    database: &DatabaseName,
    options: &StartupOptions,
    shared: &CallerShared,
) -> Result<()> {
    let snapshot = shared.snapshot.load();
    let configuration = &snapshot.configuration;
    match snapshot.standing {
        Standing::Draining => return refused(RefusalReason::Draining).fail(),
        Standing::Isolated => return refused(RefusalReason::Isolated).fail(),
        Standing::Starting | Standing::Serving => {}
    }
    ensure!(
        configuration.databases.contains_key(database),
        refused(RefusalReason::DatabaseUnknown)
    );
    let own = configuration.workspaces.get(workspace);
    let allowed = own.is_some_and(|own| own.databases.contains(database))
        || configuration
            .route_policy(options.tags.route.as_ref())
            .open_to_all
        || configuration
            .routes
            .values()
            .any(|route| route.policy.open_to_all);
    ensure!(allowed, refused(RefusalReason::DatabaseNotAllowed));
    Ok(())
}
