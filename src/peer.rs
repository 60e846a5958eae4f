//! Messages between VMs: datagrams over UDP for control, streams over TCP for statements.

pub mod message;
pub mod stream;

pub use message::PeerMessage;
pub use stream::{CallerEnd, HomeEnd};
