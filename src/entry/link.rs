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
    Answer, Failure, FailureKind, InstanceCommand, InstanceMessage, Outcome, Prepared, Protocol,
};
use crate::name::WorkspaceName;

/// Result of using a connection.
pub type Result<T, E = LinkError> = std::result::Result<T, E>;

/// Prepared statements kept on one connection; beyond it they are dropped before the next use.
const MAX_PREPARED: usize = 64;

/// Room for one ordinary answer.
const INPUT_BYTES: usize = 1_024;

/// Why a connection can't be used.
#[derive(Debug, Clone, Snafu)]
pub enum LinkError {
    /// The instance refused the connection at once: no process listens.
    #[snafu(display("the instance refuses connections; check that it runs"))]
    Refused,
    /// The connection broke.
    #[snafu(display("the connection broke: {reason}; it is replaced"))]
    Broken {
        /// What happened.
        reason: String,
    },
    /// No answer came in time.
    #[snafu(display("no answer came in time; the connection is replaced"))]
    TimedOut,
    /// No connection to the instance became free in time.
    #[snafu(display("every connection to the instance is in use; retry later"))]
    NoRoom,
    /// The instance didn't accept the session.
    #[snafu(display("the instance rejected the session: {} {}", failure.kind, failure.text))]
    Rejected {
        /// The instance's answer.
        failure: Failure,
    },
}

/// Values and prepared statements that a session expects on its connection.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionValues {
    /// Values in the order in which they were first set.
    pub values: Vec<(Arc<str>, Arc<str>)>,
}

impl SessionValues {
    /// Sets a value.
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

/// What a statement needs on its connection.
#[derive(Debug, Clone, Copy)]
pub struct Setup<'a> {
    /// Values of the session.
    pub values: &'a SessionValues,
    /// Statement that must be prepared, with its name on the connection.
    pub prepared: Option<(&'a Arc<str>, &'a Prepared)>,
    /// Whether a transaction is open on the connection.
    pub in_transaction: bool,
}

/// Connection to an instance.
#[derive(Debug)]
pub struct Link {
    /// The instance.
    pub instance: Rc<Instance>,
    /// Workspace that the connection was opened for.
    pub workspace: WorkspaceName,
    /// When it was last used.
    pub used_at: Instant,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    protocol: Protocol,
    applied: SessionValues,
    prepared: HashSet<Arc<str>>,
    /// Whether an answer is outstanding: the wait for it may have been cancelled.
    awaits_answer: bool,
}

impl Link {
    /// Opens a connection.
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
            stream,
            input: BytesMut::with_capacity(INPUT_BYTES),
            output: BytesMut::new(),
            protocol,
            applied: SessionValues::default(),
            prepared: HashSet::new(),
            awaits_answer: false,
        };
        link.start(deadline).await?;
        Ok(link)
    }

    async fn start(&mut self, deadline: Instant) -> Result<()> {
        (self.protocol.encode_start)(
            &mut self.output,
            &self.instance.database,
            &self.workspace,
            &self.instance.name,
        );
        self.flush(deadline).await?;
        match self.message(deadline).await? {
            InstanceMessage::Ready { .. } => Ok(()),
            InstanceMessage::Failed(failure) => Err(LinkError::Rejected { failure }),
            InstanceMessage::Row(_) | InstanceMessage::Done(_) => Err(unexpected()),
        }
    }

    /// Returns whether the connection is still open and silent, as it must be between uses.
    pub fn is_usable(&self) -> bool {
        let mut byte = [0];
        let silent = matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        silent && self.input.is_empty() && !self.awaits_answer
    }

    /// Returns what must be sent before a statement, so that the connection has the session's values
    /// and the statement prepared.
    fn missing(&self, setup: &Setup<'_>) -> Vec<InstanceCommand> {
        let mut commands = Vec::new();
        let mut applied = self.applied.values.iter();
        let surplus = applied.any(|(name, _)| setup.values.get(name).is_none());
        let full = self.prepared.len() >= MAX_PREPARED;
        let reset = !setup.in_transaction && (surplus || full);
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

    /// Takes the answers to what was sent before a statement.
    async fn set_up(&mut self, commands: Vec<InstanceCommand>, deadline: Instant) -> Result<()> {
        for command in commands {
            let answer = self.answer(deadline).await?;
            if let Outcome::Failed(failure) = answer.outcome {
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

    /// Forgets which statements are prepared on the connection.
    pub fn forget_prepared(&mut self) {
        self.prepared.clear();
    }

    /// Sends a command and waits for its whole answer. What the session needs on the connection
    /// is sent along, ahead of the command.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the deadline passes; the command may have run then.
    pub async fn run(
        &mut self,
        setup: &Setup<'_>,
        command: &InstanceCommand,
        after: Option<Position>,
        deadline: Instant,
    ) -> Result<Answer> {
        let missing = self.missing(setup);
        for command in &missing {
            (self.protocol.encode_command)(&mut self.output, command, None);
        }
        (self.protocol.encode_command)(&mut self.output, command, after);
        self.awaits_answer = true;
        self.flush(deadline).await?;
        self.set_up(missing, deadline).await?;
        let answer = self.answer(deadline).await?;
        self.awaits_answer = false;
        self.used_at = Instant::now();
        Ok(answer)
    }

    /// Sends a command that needs nothing of a session.
    ///
    /// # Errors
    ///
    /// Fails as [`Link::run`] does.
    pub async fn order(&mut self, command: &InstanceCommand, deadline: Instant) -> Result<Answer> {
        (self.protocol.encode_command)(&mut self.output, command, None);
        self.awaits_answer = true;
        self.flush(deadline).await?;
        let answer = self.answer(deadline).await?;
        self.awaits_answer = false;
        Ok(answer)
    }

    async fn answer(&mut self, deadline: Instant) -> Result<Answer> {
        let mut rows = BytesMut::new();
        let mut outcome = None;
        loop {
            match self.message(deadline).await? {
                InstanceMessage::Row(row) => rows.extend_from_slice(&row),
                InstanceMessage::Done(signature) => {
                    outcome = Some(Outcome::Done(Some(signature)));
                }
                InstanceMessage::Failed(failure) => outcome = Some(Outcome::Failed(failure)),
                InstanceMessage::Ready { state, position } => {
                    return Ok(Answer {
                        rows: rows.freeze(),
                        outcome: outcome.ok_or_else(unexpected)?,
                        state,
                        position,
                    });
                }
            }
        }
    }

    async fn message(&mut self, deadline: Instant) -> Result<InstanceMessage> {
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

/// Returns the failure kind with which the instance rejected a session.
pub const fn rejection(error: &LinkError) -> Option<FailureKind> {
    match error {
        LinkError::Rejected { failure } => Some(failure.kind),
        _ => None,
    }
}

fn broken(error: &impl ToString) -> LinkError {
    LinkError::Broken {
        reason: error.to_string(),
    }
}

fn unexpected() -> LinkError {
    broken(&"unexpected message of the instance")
}

/// Returns the name under which a statement is prepared on connections: the same for the same
/// statement, whatever its callers call it.
pub fn shared_name(prepared: &Prepared) -> Arc<str> {
    let text = format!("{}/{}", prepared.access, prepared.shape);
    let hash = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
    Arc::from(format!("s{hash:016x}"))
}

/// Returns the bytes of the first row, without its line end.
pub fn first_row(rows: &Bytes) -> &[u8] {
    rows.split(|byte| *byte == b'\n').next().unwrap_or_default()
}
