//! Callers, databases and the statements between them.

pub mod caller;
pub(crate) mod dispatch;
pub mod exchange;
pub mod home;
pub mod io;
pub mod refusal;
pub mod scram;

pub use exchange::{Access, CallerFrame, ExchangeHead, ExchangeId, HomeFrame, SessionSetting};
pub use home::{ExchangeEnd, Homes};
pub use io::HomeIo;
pub use refusal::{Refusal, RefusalReason};
