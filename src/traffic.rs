//! Callers, databases and the statements between them.

pub mod exchange;
pub mod refusal;

pub use exchange::{Access, ExchangeHead, ExchangeId};
pub use refusal::{Refusal, RefusalReason};
