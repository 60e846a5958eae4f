//! Accepts callers and passes messages between them and their sessions.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

use super::clock;
use super::node::{Counted, Node};
use super::session::Session;
use super::state::StopPhase;
use super::statement::{CallerMessage, SessionState, StatementResponse};
use crate::time::Timestamp;

/// Result of serving a caller.
pub type Result<T, E = CallerError> = std::result::Result<T, E>;

/// Initial size of the input buffer; fits a typical message of a caller.
const INPUT_BYTES: usize = 512;

/// Time limit for writing a response, reached when the caller doesn't read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a byte of the caller after which a session is closed because this VM stops or can't
/// serve it. Several times the way to the callers (3 ms), so that a request that is already on its
/// way, or follows a response at once, is answered.
const PAUSE_BEFORE_CLOSE: Duration = Duration::from_millis(20);

/// Delay after a connection could not be accepted, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a caller's connection ended early.
#[derive(Debug, Snafu)]
pub enum CallerError {
    /// Reading or writing failed.
    #[snafu(display("the connection to the caller failed: {source}"))]
    Connection {
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The caller didn't read a response within the time limit.
    #[snafu(display("the caller doesn't read its responses; the connection is closed"))]
    WriteTimedOut,
    /// The caller sent bytes that aren't a message of the protocol.
    #[snafu(display("{source}"), context(false))]
    Malformed {
        /// Decoding error.
        source: super::statement::MalformedMessage,
    },
    /// The caller didn't open a session within the time limit.
    #[snafu(display("no session was opened in time; the connection is closed"))]
    StartTimedOut,
}

/// Accepts callers until the process ends.
pub async fn run(node: Rc<Node>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                tokio::task::spawn_local(serve(node, stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream) {
    let _counted = Counted::new(Rc::clone(&node), |node| &node.sessions);
    let mut connection = Connection {
        node,
        stream,
        opened_at: clock::now(),
        input: BytesMut::with_capacity(INPUT_BYTES),
        output: BytesMut::new(),
    };
    if let Err(error) = connection.serve().await {
        log::debug!("event=caller_lost error=\"{error}\"");
    }
}

/// What ended the wait for a caller's message.
enum Received {
    Message(CallerMessage),
    Closed,
    TransactionIdle,
    MustMove,
}

struct Connection {
    node: Rc<Node>,
    stream: TcpStream,
    opened_at: Timestamp,
    input: BytesMut,
    output: BytesMut,
}

impl Connection {
    async fn serve(&mut self) -> Result<()> {
        self.stream.set_nodelay(true).context(ConnectionSnafu)?;
        let Some(mut session) = self.open_session().await? else {
            return Ok(());
        };
        let served = self.serve_session(&mut session).await;
        session.roll_back_open_transaction().await;
        served
    }

    async fn open_session(&mut self) -> Result<Option<Session>> {
        let start_timeout = self.node.settings.start_timeout;
        let first = timeout(start_timeout, self.read_message()).await;
        let Some(message) = first.map_err(|_elapsed| CallerError::StartTimedOut)?? else {
            return Ok(None);
        };
        let CallerMessage::Start { route, key } = message else {
            return Ok(None);
        };
        self.node
            .await_initial_data(self.node.settings.start_wait_limit)
            .await;
        let protocol = self.node.adapter.protocol;
        match Session::open(Rc::clone(&self.node), route, key) {
            Ok(session) => {
                (protocol.encode_accepted)(&mut self.output);
                self.flush().await?;
                Ok(Some(session))
            }
            Err(failure) => {
                log::info!(
                    "event=session_refused reason={} version={}",
                    failure.kind,
                    self.node.catalog().map_or(0, |catalog| catalog.version)
                );
                (protocol.encode_rejected)(&mut self.output, &failure);
                self.flush().await?;
                Ok(None)
            }
        }
    }

    async fn serve_session(&mut self, session: &mut Session) -> Result<()> {
        while !session.has_ended() {
            match self.receive(session).await? {
                Received::Message(CallerMessage::Request(request)) => {
                    let stop = self.node.state.borrow().stop;
                    let response = if stop == StopPhase::Closing {
                        session.end_for_stop().await
                    } else {
                        session.respond(request).await
                    };
                    self.send(&response).await?;
                }
                Received::Message(_) | Received::Closed | Received::MustMove => return Ok(()),
                Received::TransactionIdle => session.end_idle_transaction().await,
            }
        }
        Ok(())
    }

    /// Waits for the caller's next message, the idle limit of its transaction, or a request to
    /// close. Sessions are closed between transactions only.
    async fn receive(&mut self, session: &Session) -> Result<Received> {
        let node = Rc::clone(&self.node);
        let idle_limit = match session.state() {
            SessionState::Open => node.catalog().and_then(|catalog| catalog.transaction_idle),
            SessionState::Idle | SessionState::Failed => None,
        };
        let idle_until = idle_limit.map(|limit| Instant::now() + limit);
        loop {
            let must_move = node.sessions_must_move.notified();
            if self.should_close() && session.state() == SessionState::Idle && self.input.is_empty()
            {
                return self.receive_before_close().await;
            }
            let expired = async {
                match idle_until {
                    Some(until) => tokio::time::sleep_until(until).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                message = self.read_message() => {
                    return Ok(message?.map_or(Received::Closed, Received::Message));
                }
                () = must_move => {}
                () = expired => return Ok(Received::TransactionIdle),
            }
        }
    }

    /// Waits for a request that is on its way while the session is to be closed.
    async fn receive_before_close(&mut self) -> Result<Received> {
        let receiving = timeout(PAUSE_BEFORE_CLOSE, self.read_message()).await;
        match receiving {
            Ok(message) => Ok(message?.map_or(Received::Closed, Received::Message)),
            Err(_) if self.input.is_empty() => Ok(Received::MustMove),
            // A part of a request has arrived.
            Err(_) => {
                let message = self.read_message().await?;
                Ok(message.map_or(Received::Closed, Received::Message))
            }
        }
    }

    /// Returns whether the session should be closed so that the caller reconnects to another VM:
    /// this VM is stopping, or it signalled sessions to move after this one was opened.
    fn should_close(&self) -> bool {
        let state = self.node.state.borrow();
        let shed = state.shed_at.is_some_and(|at| self.opened_at < at);
        state.stop >= StopPhase::Draining || shed
    }

    /// Reads one message; `None` if the caller has closed the connection.
    async fn read_message(&mut self) -> Result<Option<CallerMessage>> {
        loop {
            if let Some(message) = (self.node.adapter.protocol.decode_caller)(&mut self.input)? {
                return Ok(Some(message));
            }
            let read = self.stream.read_buf(&mut self.input).await;
            if read.context(ConnectionSnafu)? == 0 {
                return Ok(None);
            }
        }
    }

    async fn send(&mut self, response: &StatementResponse) -> Result<()> {
        (self.node.adapter.protocol.encode_response)(&mut self.output, response);
        self.flush().await
    }

    async fn flush(&mut self) -> Result<()> {
        let output = self.output.split();
        let written = timeout(WRITE_TIMEOUT, self.stream.write_all(&output)).await;
        let written = written.map_err(|_elapsed| CallerError::WriteTimedOut)?;
        written.context(ConnectionSnafu)
    }
}
