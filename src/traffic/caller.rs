//! PostgreSQL server side: accepts callers, authenticates them, and translates between the wire
//! protocol and exchanges with a home.

mod classify;
mod exchange_state;
mod functions;
pub mod listener;
mod login;
mod negotiation;
mod plan_cache;
mod prepared;
mod reader;
pub mod registry;
mod response;
mod session;
mod session_statement;
mod setting;
mod shared;
mod socket;
mod startup;
mod tag;
pub mod tls;
mod unit;

pub use listener::{CallerContext, CallerListener, serve};
pub use registry::{CallerRegistry, CancelKey};
pub use session::CallerSession;
pub(crate) use shared::HOME_RETRY_AFTER;

#[cfg(test)]
mod tests;
