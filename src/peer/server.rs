//! Receives messages from other VMs over UDP and TCP.

use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{AbortHandle, JoinSet};

use super::PeerMessage;
use super::auth::Secrets;
use super::client::PeerClient;
use super::datagram::{self, Envelope};
use super::frame::LinkFrame;
use super::handshake::{self, PeerInfo, Session};
use super::link::{self, ReadAction};
use super::stream::{HomeStream, LinkSender, StreamTable};
use crate::control::blackboard::{Incarnation, LocalVm};
use crate::controller::SharedSnapshot;
use crate::name::VmName;
use crate::settings::PeerSettings;
use crate::traffic::{CallerFrame, ExchangeHead, HomeFrame};

/// Number of ports that are tried when the settings give port 0, which selects any free port.
const PORT_ATTEMPTS: u32 = 16;

/// Result of starting the server for messages from other VMs.
pub type Result<T, E = ServerError> = std::result::Result<T, E>;

/// Why the server for messages from other VMs can't be started.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The address can't be used.
    #[snafu(display("can't listen on {address} for peers; choose a free address: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// Handlers for the messages and exchanges that peers send. They must not block.
pub struct PeerHandlers {
    /// Handles a control message, given the name and incarnation of its sender.
    pub message: Box<dyn Fn(VmName, Incarnation, PeerMessage) + Send + Sync>,
    /// Handles an exchange that a peer asks this VM to run as the home of the database.
    pub exchange: Box<dyn Fn(ExchangeHead, HomeStream) + Send + Sync>,
}

impl fmt::Debug for PeerHandlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerHandlers").finish_non_exhaustive()
    }
}

/// Bound sockets for peers, not yet accepting messages.
#[derive(Debug)]
pub struct PeerSockets {
    listener: TcpListener,
    socket: Arc<UdpSocket>,
    local: PeerInfo,
    secrets: Secrets,
    address: SocketAddr,
}

impl PeerSockets {
    /// Binds the TCP and the UDP socket to one address; port 0 selects a free port for both.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be used.
    pub async fn bind(settings: &PeerSettings, local: &LocalVm) -> Result<Self> {
        let listen = ListenSnafu {
            address: settings.listen_address,
        };
        let bound = bind_both(settings.listen_address).await;
        let (listener, socket) = bound.context(listen)?;
        let address = listener.local_addr().context(listen)?;
        let socket = Arc::new(socket);
        // `try_send_to` never waits and fails until the socket has been polled as writable once.
        socket.writable().await.context(listen)?;
        let local = PeerInfo {
            vm: local.name.clone(),
            incarnation: local.incarnation,
            window_bytes: settings.stream_window_bytes,
        };
        let secrets = Secrets::new(&settings.secrets);
        Ok(Self {
            listener,
            socket,
            local,
            secrets,
            address,
        })
    }

    /// Returns the address that the sockets are bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle for sending to other VMs.
    pub fn client(&self, snapshot: SharedSnapshot) -> PeerClient {
        let socket = Arc::clone(&self.socket);
        PeerClient::new(self.local.clone(), self.secrets.clone(), snapshot, socket)
    }

    /// Accepts messages and connections until the returned server is dropped.
    pub fn serve(self, handlers: PeerHandlers) -> PeerServer {
        let handlers = Arc::new(handlers);
        let deliver = Arc::clone(&handlers);
        let secrets = self.secrets.clone();
        let datagrams = datagram::receive(self.socket, secrets, move |envelope| {
            deliver_message(&deliver, envelope);
        });
        let acceptor = Acceptor {
            local: self.local,
            secrets: self.secrets,
            handlers,
        };
        PeerServer {
            tasks: [
                tokio::spawn(datagrams).abort_handle(),
                tokio::spawn(acceptor.run(self.listener)).abort_handle(),
            ],
        }
    }
}

/// Binds one port for TCP and UDP; port 0 selects one that is free for both.
async fn bind_both(address: SocketAddr) -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = if address.port() == 0 {
        PORT_ATTEMPTS
    } else {
        1
    };
    loop {
        let listener = TcpListener::bind(address).await?;
        attempts -= 1;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            // The port that was selected for TCP may be in use for UDP.
            Err(error) if error.kind() == ErrorKind::AddrInUse && attempts > 0 => {}
            Err(error) => return Err(error),
        }
    }
}

/// Running server; dropping it closes the sockets and every connection.
#[derive(Debug)]
pub struct PeerServer {
    tasks: [AbortHandle; 2],
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

#[derive(Debug)]
struct Acceptor {
    local: PeerInfo,
    secrets: Secrets,
    handlers: Arc<PeerHandlers>,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((tcp, from)) = accepted else {
                        // `accept` fails immediately while no file descriptor is free; yield so
                        // that other tasks can close theirs.
                        tokio::task::yield_now().await;
                        continue;
                    };
                    let (local, secrets) = (self.local.clone(), self.secrets.clone());
                    let handlers = Arc::clone(&self.handlers);
                    connections.spawn(serve_connection(tcp, from, local, secrets, handlers));
                }
                Some(_ended) = connections.join_next() => {}
            }
        }
    }
}

async fn serve_connection(
    mut tcp: TcpStream,
    from: SocketAddr,
    local: PeerInfo,
    secrets: Secrets,
    handlers: Arc<PeerHandlers>,
) {
    let _ = tcp.set_nodelay(true);
    let session = match handshake::accept(&mut tcp, &secrets, &local).await {
        Ok(session) => session,
        Err(error) => {
            log::warn!("event=peer_refused from={from} error=\"{error}\"");
            return;
        }
    };
    let Session {
        peer,
        encoder,
        decoder,
    } = session;
    let (sender, frames) = link::link_queue();
    let streams = Arc::new(StreamTable::new(local.window_bytes));
    let (read_half, write_half) = tcp.into_split();
    let busy = Arc::clone(&streams);
    let writer = link::write_frames(write_half, encoder, frames, move || !busy.is_empty());
    let busy = Arc::clone(&streams);
    let is_busy = move || !busy.is_empty();
    let connection = Connection {
        peer,
        sender,
        streams: Arc::clone(&streams),
        handlers,
    };
    let reader = link::read_frames(read_half, decoder, is_busy, |frame| {
        connection.handle(frame)
    });
    tokio::select! {
        () = writer => {}
        () = reader => {}
    }
    streams.close();
}

struct Connection {
    peer: PeerInfo,
    sender: LinkSender,
    streams: Arc<StreamTable<CallerFrame>>,
    handlers: Arc<PeerHandlers>,
}

impl Connection {
    fn handle(&self, frame: LinkFrame) -> ReadAction {
        match frame {
            LinkFrame::Open { stream, head } => {
                let (sender, window) = (self.sender.clone(), self.peer.window_bytes);
                let wrap = |stream, frame: HomeFrame| LinkFrame::Home { stream, frame };
                let Ok(end) = self.streams.open(stream, sender, window, wrap) else {
                    return ReadAction::Stop;
                };
                (self.handlers.exchange)(*head, end);
            }
            LinkFrame::Caller { stream, frame } => {
                if !self.streams.deliver(stream, frame) {
                    return ReadAction::Stop;
                }
            }
            LinkFrame::WindowUpdate { stream, bytes } => self.streams.extend_window(stream, bytes),
            LinkFrame::Reset { stream } => {
                self.streams.remove(stream);
            }
            LinkFrame::Control { envelope } => deliver_message(&self.handlers, *envelope),
            LinkFrame::Ping => {}
            LinkFrame::Home { .. } => return ReadAction::Stop,
        }
        ReadAction::Continue
    }
}

fn deliver_message(handlers: &PeerHandlers, envelope: Envelope) {
    (handlers.message)(envelope.from, envelope.incarnation, envelope.message);
}

#[cfg(test)]
mod tests;
