//! State that all callers of a VM share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::plan_cache::PlanCache;
use super::registry::CallerRegistry;
use crate::controller::SharedSnapshot;
use crate::peer::PeerClient;
use crate::settings::CallerSettings;
use crate::traffic::Homes;

/// Retry delay that is reported to a caller when the home of its database is unknown.
pub(crate) const HOME_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State that all callers of a VM share.
#[derive(Debug)]
pub(crate) struct CallerShared {
    pub(crate) settings: CallerSettings,
    pub(crate) snapshot: SharedSnapshot,
    pub(crate) homes: Homes,
    pub(crate) peers: PeerClient,
    pub(crate) registry: Arc<CallerRegistry>,
    pub(crate) plans: PlanCache,
    /// Secret from which salts for non-existent workspaces are derived.
    pub(crate) mock_secret: [u8; 32],
    pub(crate) exchanges: AtomicU64,
}

impl CallerShared {
    /// Allocates the number of the next exchange.
    pub(crate) fn next_exchange(&self) -> u64 {
        self.exchanges.fetch_add(1, Ordering::Relaxed)
    }
}
