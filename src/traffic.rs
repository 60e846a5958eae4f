//! Path of a statement: caller connections, homes of databases, and connections to instances.

pub mod caller;
pub(crate) mod dispatch;
pub mod exchange;
pub mod home;
pub(crate) mod instance;
pub mod io;
pub(crate) mod pool;
pub mod refusal;
pub mod scram;
pub(crate) mod upstream;

pub use exchange::{Access, CallerFrame, ExchangeHead, ExchangeId, HomeFrame, SessionSetting};
pub use home::{ExchangeEnd, Homes};
pub use io::HomeIo;
pub use refusal::{Refusal, RefusalReason};
