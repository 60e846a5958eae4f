//! Callers, databases and the statements between them.

pub mod exchange;
pub mod refusal;

pub use exchange::{Access, CallerFrame, ExchangeHead, ExchangeId, HomeFrame, SessionSetting};
pub use refusal::{Refusal, RefusalReason};
