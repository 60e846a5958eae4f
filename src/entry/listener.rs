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
use super::connections::Tracked;
use super::counted::Counted;
use super::input_budget::{Cause, Peer};
use super::node::Node;
use super::session::Session;
use super::state::StopPhase;
use super::statement::{CallerMessage, SessionState, StatementResponse};
use crate::time::Timestamp;

/// Result of serving a caller.
pub type Result<T, E = CallerError> = std::result::Result<T, E>;

/// Initial size of the input buffer; fits a typical message of a caller.
const INPUT_BYTES: usize = 512;

/// Capacity above which an empty input buffer is replaced: a large message leaves one that most
/// sessions never need again.
const MAX_IDLE_INPUT_BYTES: usize = 16 << 10;

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
    /// The connection holds more than this VM can afford.
    #[snafu(display("the connection exceeds a bound: {cause}; it is closed"))]
    TooCostly {
        /// Bound that was exceeded.
        cause: Cause,
    },
    /// The caller didn't open a session within the time limit.
    #[snafu(display("no session was opened in time; the connection is closed"))]
    StartTimedOut,
}

/// Accepts callers until the process ends.
pub async fn run(node: Rc<Node>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let tracked = node.connections.track(Peer::Caller, address);
                tokio::task::spawn_local(serve(Rc::clone(&node), stream, tracked));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream, tracked: Tracked) {
    let _counted = Counted::new(Rc::clone(&node), |node| &node.sessions);
    let mut connection = Connection {
        node,
        stream,
        tracked,
        message_began_at: None,
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
    tracked: Tracked,
    /// When the first part of an incomplete message arrived.
    message_began_at: Option<Instant>,
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
        self.tracked.open();
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
                    let response = if stop >= StopPhase::Closing {
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
            tokio::select! {
                biased;
                message = self.read_message() => {
                    return Ok(message?.map_or(Received::Closed, Received::Message));
                }
                () = must_move => {}
                () = wait_until(idle_until) => return Ok(Received::TransactionIdle),
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
                if self.message_began_at.take().is_some() {
                    self.tracked.set_pending(0);
                }
                return Ok(Some(message));
            }
            if self.read_part().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads what has arrived, within the time limit of a message that has begun; returns its size.
    async fn read_part(&mut self) -> Result<usize> {
        if !self.input.is_empty() {
            self.message_began_at.get_or_insert_with(Instant::now);
            self.tracked.set_pending(self.input.len());
        } else if self.input.capacity() > MAX_IDLE_INPUT_BYTES {
            self.input = BytesMut::with_capacity(INPUT_BYTES);
        }
        let limit = self.node.settings.message_timeout;
        let must_end_at = self.message_began_at.map(|began_at| began_at + limit);
        tokio::select! {
            biased;
            cause = self.tracked.must_close() => TooCostlySnafu { cause }.fail(),
            () = wait_until(must_end_at) => {
                self.tracked.record_slow_message();
                TooCostlySnafu { cause: Cause::SlowMessage }.fail()
            }
            read = self.stream.read_buf(&mut self.input) => read.context(ConnectionSnafu),
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

/// Waits until a time; without end if there is none.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}
