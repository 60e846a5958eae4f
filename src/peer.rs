//! Messages between VMs: datagrams over UDP for control, streams over TCP for statements.

mod auth;
pub mod client;
mod datagram;
mod frame;
mod handshake;
mod link;
pub mod message;
pub mod server;
pub mod stream;

pub use client::PeerClient;
pub use message::PeerMessage;
pub use server::{PeerHandlers, PeerServer, PeerSockets};
pub use stream::{CallerStream, HomeStream};
