//! Connection between two VMs that carries one request at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::encoded::EncodedConfiguration;
use super::record::GatewayList;
use super::task::{Reply, Task};
use crate::name::ZoneName;

/// Result of using a channel.
pub type Result<T, E = ChannelError> = std::result::Result<T, E>;

/// Initial size of the input buffer; fits a typical message.
const INPUT_BYTES: usize = 512;

/// Maximum message size: the largest configuration or reply plus its envelope.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Time limit for writing a part of a message, reached when the other VM doesn't read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a channel can no longer be used.
#[derive(Debug, Snafu)]
pub enum ChannelError {
    /// Connecting, reading or writing failed.
    #[snafu(display("the connection to the other VM failed: {source}; it will be reopened"))]
    Broken {
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The other VM closed the connection.
    #[snafu(display("the other VM closed the connection; it will be reopened"))]
    Closed,
    /// Connecting, writing or the wait for a response timed out.
    #[snafu(display("the other VM did not respond in time; the connection is closed"))]
    TimedOut,
    /// A message can't be encoded or decoded.
    #[snafu(display("a message can't be decoded; run the same version on all VMs: {source}"))]
    Malformed {
        /// Underlying encoding error.
        source: postcard::Error,
    },
}

/// Request of one VM to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests the configuration in force.
    Configuration,
    /// Requests the list of gateways.
    Gateways,
    /// Checks whether the VM is alive.
    Ping,
    /// Requests that a task be run.
    Run {
        /// Task to run.
        task: Box<Task>,
        /// Whether the VM must run the task even if it would otherwise decline it.
        force: bool,
    },
}

/// Response to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The configuration; `None` when the VM has none yet.
    Configuration(Option<EncodedConfiguration>),
    /// The gateways that the VM knows.
    Gateways(GatewayList),
    /// The VM is alive.
    Pong,
    /// The task was run.
    Done {
        /// Reply for the caller.
        reply: Box<Reply>,
        /// Availability zone of the primary that the task needed; `None` if it needed none or the
        /// primary is in the zone of the VM that ran it.
        primary_zone: Option<ZoneName>,
    },
    /// The task was not run, because another VM can serve it better.
    Declined,
}

/// Connection that carries one request at a time.
#[derive(Debug)]
pub struct Channel {
    stream: TcpStream,
    input: BytesMut,
    codec: LengthDelimitedCodec,
    used_at: Instant,
}

impl Channel {
    /// Wraps a connection that was accepted.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken already.
    pub fn new(stream: TcpStream) -> Result<Self> {
        stream.set_nodelay(true).context(BrokenSnafu)?;
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_MESSAGE_BYTES)
            .new_codec();
        Ok(Self {
            stream,
            input: BytesMut::with_capacity(INPUT_BYTES),
            codec,
            used_at: Instant::now(),
        })
    }

    /// Connects to another VM.
    ///
    /// # Errors
    ///
    /// Fails when the VM can't be reached in time.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> Result<Self> {
        let connecting = timeout(connect_timeout, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_elapsed| ChannelError::TimedOut)?;
        Self::new(stream.context(BrokenSnafu)?)
    }

    /// Returns whether the connection is open, has no unread input, and was used within
    /// `idle_timeout`.
    pub fn is_usable(&self, idle_timeout: Duration) -> bool {
        !self.is_abandoned() && self.input.is_empty() && self.used_at.elapsed() < idle_timeout
    }

    /// Returns whether the other VM has closed the connection, or has sent data that it may not
    /// send before it has the response to its request. In both cases it no longer waits for that
    /// response.
    pub fn is_abandoned(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        !matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request to the other VM and waits for its response.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the deadline passes; the request may have been carried
    /// out nevertheless.
    pub async fn call(&mut self, request: &PeerRequest, deadline: Instant) -> Result<PeerResponse> {
        self.send(request).await?;
        let receiving = timeout_at(deadline, self.receive()).await;
        let received = receiving.map_err(|_elapsed| ChannelError::TimedOut)??;
        self.used_at = Instant::now();
        received.ok_or(ChannelError::Closed)
    }

    /// Sends a request whose response may be large, and waits for it while parts of it arrive at
    /// least once every `stall_timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the response stops arriving.
    pub async fn fetch(
        &mut self,
        request: &PeerRequest,
        stall_timeout: Duration,
    ) -> Result<PeerResponse> {
        self.send(request).await?;
        loop {
            if let Some(response) = self.take_message()? {
                self.used_at = Instant::now();
                return Ok(response);
            }
            let reading = timeout(stall_timeout, self.read_part()).await;
            if !reading.map_err(|_elapsed| ChannelError::TimedOut)?? {
                return ClosedSnafu.fail();
            }
        }
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the other VM doesn't read in time.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<()> {
        let message = postcard::to_stdvec(message).context(MalformedSnafu)?;
        let mut output = BytesMut::with_capacity(message.len() + size_of::<u32>());
        let encoded = self.codec.encode(Bytes::from(message), &mut output);
        encoded.context(BrokenSnafu)?;
        while !output.is_empty() {
            let writing = timeout(WRITE_TIMEOUT, self.stream.write_buf(&mut output)).await;
            let written = writing.map_err(|_elapsed| ChannelError::TimedOut)?;
            written.context(BrokenSnafu)?;
        }
        Ok(())
    }

    /// Receives a message; `None` when the other VM has closed the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the message can't be decoded.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(Some(message));
            }
            if !self.read_part().await? {
                return Ok(None);
            }
        }
    }

    /// Receives a message, which must be complete within `limit` after its first part has arrived.
    /// `observe` is told how many bytes of an incomplete message are held.
    ///
    /// # Errors
    ///
    /// Fails as [`Channel::receive`] does, and when the message isn't complete in time.
    pub async fn receive_within<T: DeserializeOwned>(
        &mut self,
        limit: Duration,
        observe: impl Fn(usize),
    ) -> Result<Option<T>> {
        let mut held_bytes = self.input.len();
        let mut must_end_at = None;
        loop {
            if let Some(message) = self.take_message()? {
                if must_end_at.is_some() {
                    observe(0);
                }
                return Ok(Some(message));
            }
            if held_bytes > 0 {
                must_end_at.get_or_insert_with(|| Instant::now() + limit);
                observe(held_bytes);
            }
            let before = self.input.len();
            let reading = self.read_part();
            let is_open = match must_end_at {
                Some(at) => timeout_at(at, reading)
                    .await
                    .map_err(|_elapsed| ChannelError::TimedOut)?,
                None => reading.await,
            };
            if !is_open? {
                return Ok(None);
            }
            held_bytes += self.input.len() - before;
        }
    }

    /// Removes a complete message from the input; `None` while it is incomplete.
    fn take_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let frame = self.codec.decode(&mut self.input).context(BrokenSnafu)?;
        let message = frame.map(|frame| postcard::from_bytes(&frame)).transpose();
        message.context(MalformedSnafu)
    }

    /// Reads what has arrived; returns whether the connection is still open.
    async fn read_part(&mut self) -> Result<bool> {
        let reading = self.stream.read_buf(&mut self.input).await;
        Ok(reading.context(BrokenSnafu)? > 0)
    }
}
