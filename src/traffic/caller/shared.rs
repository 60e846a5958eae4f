//! What all callers of a VM share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::registry::CallerRegistry;
use super::statement::PlanCache;
use crate::controller::SharedSnapshot;
use crate::peer::PeerClient;
use crate::settings::CallerSettings;
use crate::traffic::Homes;

/// Time after which a caller is told to ask again when no home is known.
pub(crate) const HOME_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What all callers of a VM share.
#[derive(Debug)]
pub(crate) struct CallerShared {
    pub(crate) settings: CallerSettings,
    pub(crate) snapshot: SharedSnapshot,
    pub(crate) homes: Homes,
    pub(crate) peers: PeerClient,
    pub(crate) registry: Arc<CallerRegistry>,
    pub(crate) plans: PlanCache,
    /// Makes up salts for workspaces that don't exist.
    pub(crate) mock_secret: [u8; 32],
    pub(crate) exchanges: AtomicU64,
}

impl CallerShared {
    /// Returns the number of the next exchange.
    pub(crate) fn next_exchange(&self) -> u64 {
        self.exchanges.fetch_add(1, Ordering::Relaxed)
    }
}
