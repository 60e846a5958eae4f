//! Sends messages to other VMs as datagrams and over TCP connections opened on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::{TcpStream, UdpSocket};
use tokio::runtime::Handle;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::timeout;

use super::PeerMessage;
use super::auth::Secrets;
use super::datagram::{self, Envelope, MAX_DATAGRAM_BYTES};
use super::frame::{LinkFrame, StreamId};
use super::handshake::{self, HandshakeError, PeerInfo};
use super::link::{self, ReadAction};
use super::stream::{CallerStream, LinkSender, StreamError, StreamTable};
use crate::controller::SharedSnapshot;
use crate::name::VmName;
use crate::traffic::{CallerFrame, ExchangeHead, HomeFrame};

/// Timeout for opening a TCP connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of opening a stream to a peer.
pub type Result<T, E = PeerError> = std::result::Result<T, E>;

/// Why a stream to a peer can't be opened. The exchange has not been sent.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The VM is not in the platform's list of VMs.
    #[snafu(display("VM {vm} is not known; check the platform's list of VMs"))]
    UnknownVm {
        /// The VM.
        vm: VmName,
    },
    /// The connection was not accepted in time.
    #[snafu(display("VM {vm} did not accept a connection within {CONNECT_TIMEOUT:?}"))]
    ConnectTimeout {
        /// The VM.
        vm: VmName,
    },
    /// The connection was refused.
    #[snafu(display("VM {vm} refused a connection; check that it runs: {source}"))]
    Connect {
        /// The VM.
        vm: VmName,
        /// The cause.
        source: std::io::Error,
    },
    /// The peer could not be authenticated.
    #[snafu(display("VM {vm} failed the handshake: {message}"))]
    Handshake {
        /// The VM.
        vm: VmName,
        /// The cause.
        message: String,
    },
    /// A different VM responded at the address.
    #[snafu(display("expected VM {vm} but {found} responded; check the list of VMs"))]
    OtherVm {
        /// The VM that was expected.
        vm: VmName,
        /// The VM that responded.
        found: VmName,
    },
    /// The connection ended while the stream was being opened.
    #[snafu(display("the connection to VM {vm} ended; try again"))]
    Ended {
        /// The VM.
        vm: VmName,
    },
}

#[derive(Debug, Clone)]
struct Link {
    sender: LinkSender,
    streams: Arc<StreamTable<HomeFrame>>,
    next_stream: Arc<AtomicU32>,
    send_window_bytes: u32,
}

type LinkSlot = Arc<AsyncMutex<Option<Link>>>;

#[derive(Debug)]
struct Shared {
    local: PeerInfo,
    secrets: Secrets,
    snapshot: SharedSnapshot,
    socket: Arc<UdpSocket>,
    links: Mutex<HashMap<VmName, LinkSlot>>,
    runtime: Handle,
}

/// Handle for sending messages and opening streams to other VMs.
#[derive(Debug, Clone)]
pub struct PeerClient {
    shared: Arc<Shared>,
}

impl PeerClient {
    pub(crate) fn new(
        local: PeerInfo,
        secrets: Secrets,
        snapshot: SharedSnapshot,
        socket: Arc<UdpSocket>,
    ) -> Self {
        let links = Mutex::default();
        let runtime = Handle::current();
        Self {
            shared: Arc::new(Shared {
                local,
                secrets,
                snapshot,
                socket,
                links,
                runtime,
            }),
        }
    }

    /// Sends a control message without waiting; it may be lost.
    ///
    /// A message that does not fit into a datagram is sent over the TCP connection.
    pub fn send(&self, to: &VmName, message: PeerMessage) {
        let Some(address) = self.address(to) else {
            log::debug!("event=message_dropped to={to} reason=unknown_vm");
            return;
        };
        let from = self.shared.local.vm.clone();
        let envelope = Envelope {
            from,
            incarnation: self.shared.local.incarnation,
            message,
        };
        let datagram = datagram::encode(&envelope, &self.shared.secrets);
        if datagram.len() <= MAX_DATAGRAM_BYTES {
            datagram::send(&self.shared.socket, &datagram, address);
            return;
        }
        let (client, to) = (self.clone(), to.clone());
        self.shared.runtime.spawn(async move {
            if let Ok(link) = client.link(&to).await {
                let _ = link.sender.send(LinkFrame::Control {
                    envelope: Box::new(envelope),
                });
            }
        });
    }

    /// Opens a stream for an exchange to `vm`, the home of its database.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not known, can't be reached or can't be authenticated. In these cases
    /// the exchange has not been sent.
    pub async fn open(&self, vm: &VmName, head: ExchangeHead) -> Result<CallerStream> {
        let link = self.link(vm).await?;
        let stream = StreamId(link.next_stream.fetch_add(1, Ordering::Relaxed));
        let wrap = |stream, frame: CallerFrame| LinkFrame::Caller { stream, frame };
        let ended = |_lost: StreamError| PeerError::Ended { vm: vm.clone() };
        let sender = link.sender.clone();
        let end = link
            .streams
            .open(stream, sender, link.send_window_bytes, wrap)
            .map_err(ended)?;
        link.sender
            .send(LinkFrame::Open {
                stream,
                head: Box::new(head),
            })
            .map_err(ended)?;
        Ok(end)
    }

    fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.shared
            .snapshot
            .load()
            .peers
            .get(vm)
            .map(|peer| peer.address)
    }

    async fn link(&self, vm: &VmName) -> Result<Link> {
        let slot = {
            let mut links = self
                .shared
                .links
                .lock()
                .expect("no code panics while it holds links");
            Arc::clone(links.entry(vm.clone()).or_default())
        };
        // Concurrent callers that need the same peer wait for one connection attempt.
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref().filter(|link| !link.sender.queue.is_closed()) {
            return Ok(link.clone());
        }
        let link = self.connect(vm).await?;
        *slot = Some(link.clone());
        Ok(link)
    }

    async fn connect(&self, vm: &VmName) -> Result<Link> {
        let address = self
            .address(vm)
            .context(UnknownVmSnafu { vm: vm.clone() })?;
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connected = connecting
            .ok()
            .context(ConnectTimeoutSnafu { vm: vm.clone() })?;
        let mut tcp = connected.context(ConnectSnafu { vm: vm.clone() })?;
        tcp.set_nodelay(true)
            .context(ConnectSnafu { vm: vm.clone() })?;
        let authenticated =
            handshake::dial(&mut tcp, &self.shared.secrets, &self.shared.local).await;
        let failed = |error: HandshakeError| PeerError::Handshake {
            vm: vm.clone(),
            message: error.to_string(),
        };
        let session = authenticated.map_err(failed)?;
        if session.peer.vm != *vm {
            return OtherVmSnafu {
                vm: vm.clone(),
                found: session.peer.vm,
            }
            .fail();
        }

        let (sender, frames) = link::link_queue();
        let streams = Arc::new(StreamTable::new(self.shared.local.window_bytes));
        let link = Link {
            sender,
            streams: Arc::clone(&streams),
            next_stream: Arc::default(),
            send_window_bytes: session.peer.window_bytes,
        };
        let (read_half, write_half) = tcp.into_split();
        let busy = Arc::clone(&streams);
        let writer = link::write_frames(write_half, session.encoder, frames, move || {
            !busy.is_empty()
        });
        let (busy, receiving) = (Arc::clone(&streams), Arc::clone(&streams));
        let is_busy = move || !busy.is_empty();
        let reader = link::read_frames(read_half, session.decoder, is_busy, move |frame| {
            handle(&receiving, frame)
        });
        tokio::spawn(async move {
            // The connection ends as soon as either half does.
            tokio::select! {
                () = writer => {}
                () = reader => {}
            }
            streams.close();
        });
        Ok(link)
    }
}

fn handle(streams: &StreamTable<HomeFrame>, frame: LinkFrame) -> ReadAction {
    match frame {
        LinkFrame::Home { stream, frame } => {
            if !streams.deliver(stream, frame) {
                return ReadAction::Stop;
            }
        }
        LinkFrame::WindowUpdate { stream, bytes } => streams.extend_window(stream, bytes),
        LinkFrame::Reset { stream } => {
            streams.remove(stream);
        }
        LinkFrame::Ping => {}
        LinkFrame::Open { .. } | LinkFrame::Caller { .. } | LinkFrame::Control { .. } => {
            return ReadAction::Stop;
        }
    }
    ReadAction::Continue
}
