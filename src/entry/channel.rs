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

use super::task::{Reply, Task};

/// Result of using a channel.
pub type Result<T, E = ChannelError> = std::result::Result<T, E>;

/// Room for one ordinary message.
const INPUT_BYTES: usize = 512;

/// Largest message: the largest configuration or answer, with room for its envelope.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Longest time for which the other VM may leave a message unread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a channel can't be used any longer.
#[derive(Debug, Snafu)]
pub enum ChannelError {
    /// Connecting, reading or writing failed.
    #[snafu(display("the connection to the other VM broke: {source}; it is opened again"))]
    Broken {
        /// What happened.
        source: io::Error,
    },
    /// The other VM closed the connection.
    #[snafu(display("the other VM closed the connection; it is opened again"))]
    Closed,
    /// Nothing came in time.
    #[snafu(display("the other VM did not answer in time; the connection is given up"))]
    TimedOut,
    /// A message can't be decoded.
    #[snafu(display("a message can't be decoded; run the same version on all VMs: {source}"))]
    Malformed {
        /// What is wrong.
        source: postcard::Error,
    },
}

/// What one VM asks of another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the configuration in force.
    Configuration,
    /// Asks whether the VM lives.
    Ping,
    /// Asks for a task to be run.
    Run {
        /// The task.
        task: Box<Task>,
        /// Whether it must be run although the VM would rather leave it to another.
        insist: bool,
    },
}

/// Answer to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The configuration with its revision in the store; `None` when there is none yet.
    Configuration(Option<(u64, Vec<u8>)>),
    /// The VM lives.
    Pong,
    /// The task was run.
    Done(Box<Reply>),
    /// The task was not run: another VM serves it better.
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
    pub async fn open(address: SocketAddr, within: Duration) -> Result<Self> {
        let connecting = timeout(within, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_elapsed| ChannelError::TimedOut)?;
        Self::new(stream.context(BrokenSnafu)?)
    }

    /// Returns whether the connection is open, silent, and was used within a time.
    pub fn is_usable(&self, within: Duration) -> bool {
        !self.is_abandoned() && self.input.is_empty() && self.used_at.elapsed() < within
    }

    /// Returns whether the other VM has closed the connection, or sent what it may not send before
    /// its request is answered: nobody waits for the answer then.
    pub fn is_abandoned(&self) -> bool {
        let nothing = self.stream.try_read(&mut [0]);
        !matches!(nothing, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Asks the other VM and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the deadline passes; the request may have been
    /// carried out then.
    pub async fn ask(&mut self, request: &PeerRequest, deadline: Instant) -> Result<PeerResponse> {
        self.send(request).await?;
        let receiving = timeout_at(deadline, self.receive()).await;
        let received = receiving.map_err(|_elapsed| ChannelError::TimedOut)??;
        self.used_at = Instant::now();
        received.ok_or(ChannelError::Closed)
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the other VM doesn't read.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<()> {
        let message = postcard::to_stdvec(message).context(MalformedSnafu)?;
        let mut output = BytesMut::with_capacity(message.len() + size_of::<u32>());
        let encoded = self.codec.encode(Bytes::from(message), &mut output);
        encoded.context(BrokenSnafu)?;
        let writing = timeout(WRITE_TIMEOUT, self.stream.write_all(&output)).await;
        let written = writing.map_err(|_elapsed| ChannelError::TimedOut)?;
        written.context(BrokenSnafu)
    }

    /// Receives a message; `None` when the other VM has closed the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the message can't be decoded.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        loop {
            let frame = self.codec.decode(&mut self.input).context(BrokenSnafu)?;
            if let Some(frame) = frame {
                return postcard::from_bytes(&frame)
                    .map(Some)
                    .context(MalformedSnafu);
            }
            let reading = self.stream.read_buf(&mut self.input).await;
            if reading.context(BrokenSnafu)? == 0 {
                return Ok(None);
            }
        }
    }
}
