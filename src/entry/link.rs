//! Connection to one instance, opened for one workspace.

use std::collections::HashSet;
use std::io;
use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::instance::Instance;
use super::position::Position;
use super::statement::{
    Failure, FailureKind, InstanceCommand, InstanceMessage, MalformedMessage, Outcome, Prepared,
    Protocol, SessionState, StatementResponse,
};
use crate::name::WorkspaceName;

/// Result of using a connection.
pub type Result<T, E = LinkError> = std::result::Result<T, E>;

/// Maximum number of prepared statements on one connection. When it is reached, the connection is
/// reset before its next use outside a transaction.
const MAX_PREPARED: usize = 64;

/// Initial size of the input buffer; fits a typical response.
const INPUT_BYTES: usize = 1_024;

/// Maximum size of the rows of one response, which are held until it is complete. A larger one
/// couldn't be sent to another VM either.
const MAX_ROWS_BYTES: usize = 2 << 20;

/// Why a connection can't be opened or used.
#[derive(Debug, Clone, Snafu)]
pub enum LinkError {
    /// The instance's host refused the connection: no process listens on the address.
    #[snafu(display("the instance refused the connection; check that it is running"))]
    Refused,
    /// The connection failed, or the instance violated the protocol.
    #[snafu(display("the connection failed: {reason}; it will be replaced"))]
    Broken {
        /// Description of the failure.
        reason: String,
    },
    /// No response was received before the deadline.
    #[snafu(display("no response before the deadline; the connection will be replaced"))]
    TimedOut,
    /// The pool had no free connection to the instance before the deadline.
    #[snafu(display("every connection to the instance is in use; retry later"))]
    Exhausted,
    /// The instance lacks what it has reported as the primary.
    #[snafu(display("the instance has lost its log"))]
    LogLost,
    /// The instance rejected the session or one of its values or prepared statements.
    #[snafu(display("the instance rejected the session: {} {}", failure.kind, failure.text))]
    Rejected {
        /// Failure that the instance reported.
        failure: Failure,
    },
}

/// Values that a session expects to be set on its connection.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionValues {
    /// Names and values in the order in which they were first set.
    pub values: Vec<(Arc<str>, Arc<str>)>,
}

impl SessionValues {
    /// Sets a value, replacing an earlier one of the same name.
    pub fn set(&mut self, name: Arc<str>, value: Arc<str>) {
        match self.values.iter_mut().find(|(known, _)| *known == name) {
            Some((_, current)) => *current = value,
            None => self.values.push((name, value)),
        }
    }

    fn get(&self, name: &str) -> Option<&Arc<str>> {
        let mut values = self.values.iter();
        values
            .find(|(known, _)| **known == *name)
            .map(|(_, value)| value)
    }
}

/// Session state that a statement needs on its connection.
#[derive(Debug, Clone, Copy)]
pub struct Setup<'a> {
    /// Values of the session.
    pub values: &'a SessionValues,
    /// Statement that must be prepared, with its name on the connection.
    pub prepared: Option<(&'a Arc<str>, &'a Prepared)>,
    /// Whether a transaction is open on the connection.
    pub in_transaction: bool,
}

/// What an instance reported when a connection was opened.
#[derive(Debug, Clone, Copy)]
pub struct Opening {
    /// Position of its log; `None` if it reported none.
    pub position: Option<Position>,
}

/// Connection to an instance that carries one command at a time.
#[derive(Debug)]
pub struct Link {
    /// Instance as it was announced when the connection was opened.
    pub instance: Rc<Instance>,
    /// Workspace that the connection was opened for.
    pub workspace: WorkspaceName,
    /// When the connection was opened or last responded to a statement.
    pub used_at: Instant,
    /// What the instance reported when the connection was opened, until its log has been verified.
    opening: Option<Opening>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    protocol: Protocol,
    applied: SessionValues,
    prepared: HashSet<Arc<str>>,
    /// Whether a response is outstanding: the wait for it may have been cancelled.
    awaits_response: bool,
}

impl Link {
    /// Connects to an instance and opens a session for a workspace.
    ///
    /// # Errors
    ///
    /// Fails when the instance can't be reached in time or rejects the session.
    pub async fn open(
        instance: Rc<Instance>,
        workspace: WorkspaceName,
        protocol: Protocol,
        deadline: Instant,
    ) -> Result<Self> {
        let connecting = TcpStream::connect(instance.address);
        let stream = match timeout_at(deadline, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(LinkError::Refused);
            }
            Ok(Err(error)) => return Err(broken(&error)),
            Err(_) => return Err(LinkError::TimedOut),
        };
        stream.set_nodelay(true).map_err(|error| broken(&error))?;
        let mut link = Self {
            instance,
            workspace,
            used_at: Instant::now(),
            opening: None,
            stream,
            input: BytesMut::with_capacity(INPUT_BYTES),
            output: BytesMut::new(),
            protocol,
            applied: SessionValues::default(),
            prepared: HashSet::new(),
            awaits_response: false,
        };
        link.start(deadline).await?;
        Ok(link)
    }

    async fn start(&mut self, deadline: Instant) -> Result<()> {
        let encoded = (self.protocol.encode_start)(
            &mut self.output,
            &self.instance.database,
            &self.workspace,
            &self.instance.name,
        );
        encoded.map_err(|error| LinkError::Rejected {
            failure: not_sendable(&error),
        })?;
        self.flush(deadline).await?;
        match self.read_message(deadline).await? {
            InstanceMessage::Ready { position, .. } => {
                self.opening = Some(Opening { position });
                Ok(())
            }
            InstanceMessage::Failed(failure) => Err(LinkError::Rejected { failure }),
            InstanceMessage::Row(_) | InstanceMessage::Done(_) => Err(unexpected_message()),
        }
    }

    /// Returns what the instance reported when the connection was opened; `None` once its log has been
    /// verified.
    pub const fn opening(&self) -> Option<Opening> {
        self.opening
    }

    /// Records that the instance has its log. It keeps it as long as the connection is open.
    pub const fn record_verified(&mut self) {
        self.opening = None;
    }

    /// Returns whether the connection is open and has no unread input, as it must be between uses.
    pub fn is_usable(&self) -> bool {
        let mut byte = [0];
        let is_silent = matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        is_silent && self.input.is_empty() && !self.awaits_response
    }

    /// Returns the commands that must be sent before a statement, so that the session's values are
    /// set and the statement is prepared on the connection.
    fn setup_commands(&self, setup: &Setup<'_>) -> Vec<InstanceCommand> {
        let mut commands = Vec::new();
        let mut applied = self.applied.values.iter();
        let has_extra_values = applied.any(|(name, _)| setup.values.get(name).is_none());
        let full = self.prepared.len() >= MAX_PREPARED;
        let reset = !setup.in_transaction && (has_extra_values || full);
        if reset {
            commands.push(InstanceCommand::Reset);
        }
        for (name, value) in &setup.values.values {
            if reset || self.applied.get(name) != Some(value) {
                commands.push(InstanceCommand::Set {
                    name: Arc::clone(name),
                    value: Arc::clone(value),
                });
            }
        }
        let statement = setup.prepared;
        if let Some((name, prepared)) =
            statement.filter(|(name, _)| reset || !self.prepared.contains(*name))
        {
            commands.push(InstanceCommand::Prepare {
                name: Arc::clone(name),
                prepared: prepared.clone(),
            });
        }
        commands
    }

    /// Receives the responses to the setup commands and records the resulting state of the
    /// connection.
    async fn receive_setup_responses(
        &mut self,
        commands: Vec<InstanceCommand>,
        deadline: Instant,
    ) -> Result<()> {
        for command in commands {
            let response = self.read_response(deadline).await?;
            if let Outcome::Failed(failure) = response.outcome {
                return Err(LinkError::Rejected { failure });
            }
            match command {
                InstanceCommand::Reset => {
                    self.applied.values.clear();
                    self.prepared.clear();
                }
                InstanceCommand::Set { name, value } => self.applied.set(name, value),
                InstanceCommand::Prepare { name, .. } => {
                    self.prepared.insert(name);
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Forgets which statements are prepared, after the instance reported an unknown one.
    pub fn forget_prepared(&mut self) {
        self.prepared.clear();
    }

    /// Sends a command and waits for its complete response. Setup commands for the session's values
    /// and prepared statement are sent ahead of it, without a round trip of their own. If one of them
    /// can't be encoded, nothing is sent, and the response says so.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the deadline passes; the command may have run then.
    pub async fn run(
        &mut self,
        setup: &Setup<'_>,
        command: &InstanceCommand,
        min_position: Option<Position>,
        deadline: Instant,
    ) -> Result<StatementResponse> {
        let setup_commands = self.setup_commands(setup);
        if let Err(error) = self.encode(&setup_commands, command, min_position) {
            self.output.clear();
            let state = if setup.in_transaction {
                SessionState::Open
            } else {
                SessionState::Idle
            };
            let outcome = Outcome::Failed(not_sendable(&error));
            return Ok(StatementResponse::local(outcome, state));
        }
        self.awaits_response = true;
        self.flush(deadline).await?;
        self.receive_setup_responses(setup_commands, deadline)
            .await?;
        let response = self.read_response(deadline).await?;
        self.awaits_response = false;
        self.used_at = Instant::now();
        Ok(response)
    }

    fn encode(
        &mut self,
        setup: &[InstanceCommand],
        command: &InstanceCommand,
        min_position: Option<Position>,
    ) -> Result<(), MalformedMessage> {
        for command in setup {
            (self.protocol.encode_command)(&mut self.output, command, None)?;
        }
        (self.protocol.encode_command)(&mut self.output, command, min_position)
    }

    /// Sends a command that needs no session state, and waits for its complete response.
    ///
    /// # Errors
    ///
    /// Fails as [`Link::run`] does.
    pub async fn run_control_command(
        &mut self,
        command: &InstanceCommand,
        deadline: Instant,
    ) -> Result<StatementResponse> {
        let encoded = (self.protocol.encode_command)(&mut self.output, command, None);
        encoded.map_err(|error| broken(&error))?;
        self.awaits_response = true;
        self.flush(deadline).await?;
        let response = self.read_response(deadline).await?;
        self.awaits_response = false;
        Ok(response)
    }

    /// Lets the close of the connection reset it if a response is outstanding, which discards what
    /// the instance hasn't received yet.
    pub fn discard_unanswered(&self) {
        if !self.awaits_response {
            return;
        }
        if let Err(error) = self.stream.set_zero_linger() {
            log::debug!("event=reset_not_enabled error=\"{error}\"");
        }
    }

    async fn read_response(&mut self, deadline: Instant) -> Result<StatementResponse> {
        let mut rows = BytesMut::new();
        let mut outcome = None;
        loop {
            match self.read_message(deadline).await? {
                InstanceMessage::Row(row) if rows.len() + row.len() > MAX_ROWS_BYTES => {
                    return Err(broken(&"the rows of a response are too large"));
                }
                InstanceMessage::Row(row) => rows.extend_from_slice(&row),
                InstanceMessage::Done(signature) => {
                    outcome = Some(Outcome::Done(Some(signature)));
                }
                InstanceMessage::Failed(failure) => outcome = Some(Outcome::Failed(failure)),
                InstanceMessage::Ready { state, position } => {
                    return Ok(StatementResponse {
                        rows: rows.freeze(),
                        outcome: outcome.ok_or_else(unexpected_message)?,
                        state,
                        position,
                    });
                }
            }
        }
    }

    async fn read_message(&mut self, deadline: Instant) -> Result<InstanceMessage> {
        loop {
            let decoded = (self.protocol.decode_instance)(&mut self.input);
            match decoded {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(error) => return Err(broken(&error)),
            }
            let reading = self.stream.read_buf(&mut self.input);
            match timeout_at(deadline, reading).await {
                Ok(Ok(0)) => return Err(broken(&"closed by the instance")),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(broken(&error)),
                Err(_) => return Err(LinkError::TimedOut),
            }
        }
    }

    async fn flush(&mut self, deadline: Instant) -> Result<()> {
        let output = self.output.split();
        let writing = self.stream.write_all(&output);
        match timeout_at(deadline, writing).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(broken(&error)),
            Err(_) => Err(LinkError::TimedOut),
        }
    }
}

/// Returns the failure kind with which the instance rejected a session; `None` for other errors.
pub const fn rejection(error: &LinkError) -> Option<FailureKind> {
    match error {
        LinkError::Rejected { failure } => Some(failure.kind),
        _ => None,
    }
}

/// Returns whether another instance listens on the address, so that the one that was sought is gone.
pub fn is_misrouted(error: &LinkError) -> bool {
    rejection(error) == Some(FailureKind::Misrouted)
}

fn broken(error: &impl ToString) -> LinkError {
    LinkError::Broken {
        reason: error.to_string(),
    }
}

fn not_sendable(error: &MalformedMessage) -> Failure {
    let text = format!("not run: {}; change the value", error.reason);
    Failure::local(FailureKind::Invalid, text)
}

fn unexpected_message() -> LinkError {
    broken(&"unexpected message from the instance")
}

/// Returns the name under which a statement is prepared on connections. It depends on the statement
/// only, so that sessions using different names share the prepared statement.
pub fn shared_name(prepared: &Prepared) -> Arc<str> {
    let text = format!("{}/{}", prepared.access, prepared.shape);
    let hash = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
    Arc::from(format!("s{hash:016x}"))
}

/// Returns the bytes of the first row, without its line terminator.
pub fn first_row(rows: &Bytes) -> &[u8] {
    rows.split(|byte| *byte == b'\n').next().unwrap_or_default()
}
