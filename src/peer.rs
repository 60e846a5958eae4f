//! Messages between VMs: datagrams over UDP for control, streams over TCP for statements.

pub mod message;

pub use message::PeerMessage;
