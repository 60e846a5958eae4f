//! Interface to a deployment: the store, the protocol, the decoders and the promotion call.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;
use snafu::Snafu;

use super::catalog::Catalog;
use super::instance::Instance;
use super::statement::Protocol;
use crate::name::{DatabaseName, InstanceName, VmName};
use crate::store::Platform;
use crate::time::Timestamp;

/// Result of decoding a value of the store.
pub type Result<T, E = UnreadableValue> = std::result::Result<T, E>;

/// Value of the store that can't be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("{reason}; correct the value or remove its key"))]
pub struct UnreadableValue {
    /// Why the value can't be decoded.
    pub reason: String,
}

/// Request that an instance become the primary of its database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionCall {
    /// Database whose primary is replaced.
    pub database: DatabaseName,
    /// Instance to promote.
    pub instance: InstanceName,
    /// VM that holds the failover lease.
    pub holder: VmName,
    /// Generation of the failover lease; increases each time the lease is acquired.
    pub generation: u64,
    /// End of the failover lease on the clock of [`super::clock`]. Nothing may be sent later, and
    /// the call must be given up by then.
    pub valid_until: Timestamp,
}

/// Outcome of a [`PromotionCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PromotionOutcome {
    /// The call was accepted; the instance becomes the primary shortly.
    Accepted,
    /// The instance isn't running.
    NotRunning,
    /// The call had no effect and may be repeated.
    NotDone,
    /// No response arrived; the call may have taken effect.
    NoAnswer,
}

type Promote = dyn Fn(PromotionCall) -> BoxFuture<'static, PromotionOutcome> + Send + Sync;

/// Functions that a deployment provides to an entry.
#[derive(Clone)]
pub struct Adapter {
    /// Client of the store. Its watches deliver the heartbeats that they are asked for.
    pub store: Platform,
    /// Protocol spoken with callers and instances.
    pub protocol: Protocol,
    /// Decodes the operators' configuration.
    pub decode_catalog: fn(&[u8]) -> Result<Catalog>,
    /// Decodes the announcement of the instance with the given name.
    pub decode_instance: fn(&str, &[u8]) -> Result<Instance>,
    /// Calls the deployment to promote an instance to primary.
    pub promote: Arc<Promote>,
}

impl fmt::Debug for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Adapter").finish_non_exhaustive()
    }
}
