//! What a deployment's surroundings provide: the store, the protocol, the call that promotes.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;
use snafu::Snafu;

use super::catalog::Catalog;
use super::instance::Instance;
use super::statement::Protocol;
use crate::name::{DatabaseName, InstanceName, VmName};
use crate::store::Platform;

/// Result of decoding a value of the store.
pub type Result<T, E = UnreadableValue> = std::result::Result<T, E>;

/// Value of the store that can't be read.
#[derive(Debug, Snafu)]
#[snafu(display("{reason}; correct the value or remove its key"))]
pub struct UnreadableValue {
    /// What is wrong with it.
    pub reason: String,
}

/// Call that makes an instance the primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionCall {
    /// Database whose primary is replaced.
    pub database: DatabaseName,
    /// Instance that takes over.
    pub instance: InstanceName,
    /// VM that holds the duty.
    pub holder: VmName,
    /// Generation of the duty; grows with every change of its holder.
    pub generation: u64,
}

/// What became of a [`PromotionCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The instance takes over shortly.
    Accepted,
    /// The instance isn't running.
    NotRunning,
    /// Nothing was done; the call may be repeated.
    NotDone,
    /// No answer came; the call may have taken effect.
    NoAnswer,
}

type Promote = dyn Fn(PromotionCall) -> BoxFuture<'static, PromotionOutcome> + Send + Sync;

/// Surroundings of an entry, as functions that a deployment's adapter provides.
#[derive(Clone)]
pub struct Adapter {
    /// The store.
    pub store: Platform,
    /// Protocol of callers and instances.
    pub protocol: Protocol,
    /// Decodes the operators' configuration.
    pub decode_catalog: fn(&[u8]) -> Result<Catalog>,
    /// Decodes the announcement of the instance with the given name.
    pub decode_instance: fn(&str, &[u8]) -> Result<Instance>,
    /// Makes an instance the primary.
    pub promote: Arc<Promote>,
}

impl fmt::Debug for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Adapter").finish_non_exhaustive()
    }
}
