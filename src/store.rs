//! Client of the platform's configuration service.

pub mod etcd;
mod gateway;
pub mod runner;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::{mpsc, watch};

use crate::configuration::{Revision, Timeline};
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformFailure, PlatformResponse};

/// Result of a call to the platform's service.
pub type Result<T, E = PlatformFailure> = std::result::Result<T, E>;

/// Changes delivered by a watch, ordered by revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// Changed keys.
    pub keys: Vec<KeyValue>,
    /// Revision up to which the watch has delivered every change.
    pub revision: Revision,
}

/// Watch of the keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchSettings {
    /// Prefix of the keys.
    pub prefix: String,
    /// Revision from which on changes are delivered.
    pub from: Revision,
    /// Interval at which a batch is delivered at least, an empty one if nothing has changed; `None` if only
    /// changes matter.
    pub heartbeat: Option<Duration>,
}

type Call = dyn Fn(PlatformRequest) -> BoxFuture<'static, Result<PlatformResponse>> + Send + Sync;
type Watch =
    dyn Fn(WatchSettings, mpsc::Sender<WatchBatch>) -> BoxFuture<'static, ()> + Send + Sync;

/// Interface to the platform's service, implemented by an adapter.
#[derive(Clone)]
pub struct Platform {
    /// Performs one call. Watches are started through `watch` instead.
    pub call: Arc<Call>,
    /// Watches the keys under a prefix. Completes when the watch fails or its receiver is dropped.
    pub watch: Arc<Watch>,
    /// Latest timeline that a response has named.
    pub timelines: watch::Receiver<Timeline>,
}

impl Platform {
    /// Returns the latest timeline that a response has named; the first one before any response.
    pub fn timeline(&self) -> Timeline {
        *self.timelines.borrow()
    }

    /// Waits until a response names a later timeline than `known`. Never completes if the service
    /// names none.
    pub async fn wait_for_timeline_after(&self, known: Timeline) {
        let mut timelines = self.timelines.clone();
        if timelines.wait_for(|latest| *latest > known).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}
