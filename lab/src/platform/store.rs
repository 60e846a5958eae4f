//! Keys, revisions and leases of the configuration service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

/// Key with its value, revisions and lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Item {
    pub(super) key: Vec<u8>,
    pub(super) value: Vec<u8>,
    pub(super) create_revision: i64,
    pub(super) mod_revision: i64,
    pub(super) version: i64,
    pub(super) lease: i64,
}

/// Change of a key: a write, or a deletion when `deleted` is set.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) item: Item,
    pub(super) deleted: bool,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// State of the service.
#[derive(Debug)]
pub(super) struct Store {
    pub(super) revision: i64,
    items: BTreeMap<Vec<u8>, Item>,
    history: Vec<Change>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 7_000,
        }
    }
}

/// Range of keys, as in etcd: from `key` up to but excluding `end`. An empty `end` means the single
/// key, and an `end` of one zero byte means all keys from `key` on.
#[derive(Debug, Clone)]
pub(super) struct KeyRange {
    pub(super) key: Vec<u8>,
    pub(super) end: Vec<u8>,
}

impl KeyRange {
    pub(super) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

impl Store {
    pub(super) fn get(&self, key: &[u8]) -> Option<&Item> {
        self.items.get(key)
    }

    pub(super) fn range(&self, range: &KeyRange) -> Vec<Item> {
        self.items
            .values()
            .filter(|item| range.contains(&item.key))
            .cloned()
            .collect()
    }

    /// Returns the changes in a range of keys since a revision, inclusive.
    pub(super) fn changes_from(&self, revision: i64, range: &KeyRange) -> Vec<Change> {
        let start = self
            .history
            .partition_point(|change| change.item.mod_revision < revision);
        let matches = |change: &&Change| range.contains(&change.item.key);
        self.history[start..]
            .iter()
            .filter(matches)
            .cloned()
            .collect()
    }

    /// Increments the revision; all writes of one request share the new revision.
    pub(super) fn next_revision(&mut self) -> i64 {
        self.revision += 1;
        self.revision
    }

    /// Writes a key at the current revision. Returns false when the lease does not exist.
    pub(super) fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) -> bool {
        if lease != 0 {
            let Some(lease) = self.leases.get_mut(&lease) else {
                return false;
            };
            lease.keys.insert(key.clone());
        }
        let revision = self.revision;
        let old = self.items.get(&key);
        let item = Item {
            create_revision: old.map_or(revision, |item| item.create_revision),
            version: old.map_or(1, |item| item.version + 1),
            mod_revision: revision,
            key: key.clone(),
            value,
            lease,
        };
        self.history.push(Change {
            item: item.clone(),
            deleted: false,
        });
        self.items.insert(key, item);
        true
    }

    /// Deletes keys at the current revision. Returns the number of deleted keys.
    pub(super) fn delete(&mut self, range: &KeyRange) -> usize {
        let keys: Vec<_> = self.range(range).into_iter().map(|item| item.key).collect();
        for key in &keys {
            self.items.remove(key);
            let item = Item {
                key: key.clone(),
                value: Vec::new(),
                create_revision: 0,
                mod_revision: self.revision,
                version: 0,
                lease: 0,
            };
            self.history.push(Change {
                item,
                deleted: true,
            });
        }
        keys.len()
    }

    /// Returns whether a lease exists. Always true for 0, which means no lease.
    pub(super) fn has_lease(&self, id: i64) -> bool {
        id == 0 || self.leases.contains_key(&id)
    }

    pub(super) fn grant(&mut self, requested_id: i64, ttl: Duration, now: Instant) -> i64 {
        self.next_lease += 1;
        let id = if requested_id == 0 {
            self.next_lease
        } else {
            requested_id
        };
        self.leases.insert(
            id,
            Lease {
                ttl,
                expires_at: now + ttl,
                keys: BTreeSet::new(),
            },
        );
        id
    }

    /// Renews a lease and returns its TTL. `None` when the lease does not exist or has expired.
    pub(super) fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Removes a lease and deletes the keys attached to it. Returns whether the lease existed.
    pub(super) fn revoke(&mut self, id: i64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        let attached_keys: Vec<_> = lease
            .keys
            .into_iter()
            .filter(|key| self.items.get(key).is_some_and(|item| item.lease == id))
            .collect();
        if !attached_keys.is_empty() {
            self.next_revision();
        }
        for key in attached_keys {
            self.delete(&KeyRange {
                key,
                end: Vec::new(),
            });
        }
        true
    }

    /// Revokes all expired leases. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.revoke(*id);
        }
        !expired.is_empty()
    }
}
