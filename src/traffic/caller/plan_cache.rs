//! Cache of statement classifications, by the hash of the text.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use xxhash_rust::xxh3::xxh3_128;

use super::classify::{self, Plan};

/// Shards of the cache, each with its own lock.
const SHARDS: usize = 16;
/// Statements that a shard holds; when it is full it is cleared.
const SHARD_CAPACITY: usize = 512;
/// Longest statement that is cached, in bytes.
const MAX_CACHED_BYTES: usize = 64 * 1024;

type Shard = Mutex<HashMap<u128, Arc<Plan>>>;

/// Cache of statement classifications, shared by all callers of a VM.
#[derive(Debug, Default)]
pub(crate) struct PlanCache {
    shards: [Shard; SHARDS],
}

impl PlanCache {
    /// Returns the classification of a statement.
    pub(crate) fn plan(&self, text: &str) -> Arc<Plan> {
        if text.len() > MAX_CACHED_BYTES {
            return Arc::new(classify::classify(text));
        }
        let hash = xxh3_128(text.as_bytes());
        let shard = &self.shards[hash as usize % SHARDS];
        if let Some(plan) = lock(shard).get(&hash) {
            return Arc::clone(plan);
        }
        let plan = Arc::new(classify::classify(text));
        let mut plans = lock(shard);
        if plans.len() >= SHARD_CAPACITY {
            plans.clear();
        }
        plans.insert(hash, Arc::clone(&plan));
        plan
    }
}

fn lock(shard: &Shard) -> std::sync::MutexGuard<'_, HashMap<u128, Arc<Plan>>> {
    shard
        .lock()
        .expect("no code panics while it holds the cache")
}
