//! In-memory stand-in for the store of entries, with keys, revisions, leases and watches.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use currantlb::configuration::{Revision, Timeline};
use currantlb::control::command::PlatformRequest;
use currantlb::control::event::{KeyValue, PlatformFailure, PlatformResponse};
use currantlb::store::{Platform, Result, WatchBatch, WatchSettings};
use futures::FutureExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout_at};

/// Interval between the heartbeats of a watch that needs none: longer than any test.
const NO_HEARTBEAT: Duration = Duration::from_hours(1);

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: Option<u64>,
}

/// Content of the store at one time.
#[derive(Debug, Clone, Default)]
pub struct Content {
    items: BTreeMap<String, Item>,
    /// Every change since the start.
    history: Vec<KeyValue>,
    /// Expiry and time-to-live of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    revision: u64,
    /// Number of restorations.
    timeline: u64,
    /// Whether every call and every watch fails.
    down: bool,
    /// Whether every call fails, whereas watches stay open.
    calls_down: bool,
    /// Number of times that the open watches have fallen silent.
    silences: u64,
}

/// Store that every VM of a test shares.
#[derive(Debug, Clone, Default)]
pub struct Store {
    content: Arc<Mutex<Content>>,
    /// Wakes watches after every call.
    changed: Arc<watch::Sender<u64>>,
    /// Number of open watches.
    open_watches: Arc<AtomicUsize>,
}

/// Open watch, which is counted until it is dropped.
struct OpenWatch(Arc<AtomicUsize>);

impl OpenWatch {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Store {
    /// Builds an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the interface that a VM uses, with its counter of calls and watches. Its watches
    /// deliver no changes while `is_silenced` is set.
    pub fn platform(&self, is_silenced: &Arc<AtomicBool>, count: &Arc<AtomicUsize>) -> Platform {
        let (calls, watches) = (self.clone(), self.clone());
        let (call_count, watch_count) = (Arc::clone(count), Arc::clone(count));
        let is_silenced = Arc::clone(is_silenced);
        let (timeline_sender, timelines) = watch::channel(Timeline::default());
        Platform {
            call: Arc::new(move |request| {
                call_count.fetch_add(1, Ordering::Relaxed);
                let response = calls.call(request);
                if response.is_ok() {
                    timeline_sender.send_replace(calls.timeline());
                }
                async move { response }.boxed()
            }),
            watch: Arc::new(move |settings, batches| {
                watch_count.fetch_add(1, Ordering::Relaxed);
                let (store, is_silenced) = (watches.clone(), Arc::clone(&is_silenced));
                async move { store.watch(settings, batches, &is_silenced).await }.boxed()
            }),
            timelines,
        }
    }

    /// Writes a key without a lease and notifies the watches.
    pub fn put(&self, key: &str, value: &str) {
        self.content()
            .write(key, Some(value.as_bytes().to_vec()), None);
        self.notify_watches();
    }

    /// Deletes a key and notifies the watches.
    pub fn delete(&self, key: &str) {
        self.content().write(key, None, None);
        self.notify_watches();
    }

    /// Returns the value of a key; `None` if the key doesn't exist or its value isn't text.
    pub fn get(&self, key: &str) -> Option<String> {
        let content = self.content();
        let item = content.items.get(key)?;
        String::from_utf8(item.value.clone()).ok()
    }

    /// Returns whether any key has a prefix.
    pub fn has_any(&self, prefix: &str) -> bool {
        let content = self.content();
        content.items.keys().any(|key| key.starts_with(prefix))
    }

    /// Returns the revision of a key; `None` if the key doesn't exist or its lease has lapsed.
    pub fn live_revision(&self, key: &str) -> Option<u64> {
        let mut content = self.content();
        content.expire();
        content.items.get(key).map(|item| item.revision)
    }

    /// Sets whether every call fails and every watch ends.
    pub fn set_down(&self, down: bool) {
        self.content().down = down;
        self.notify_watches();
    }

    /// Sets whether every call fails, whereas watches stay open.
    pub fn set_calls_down(&self, down: bool) {
        self.content().calls_down = down;
    }

    /// Returns the number of open watches.
    pub fn open_watches(&self) -> usize {
        self.open_watches.load(Ordering::Relaxed)
    }

    /// Returns how many times the open watches have fallen silent.
    pub fn silences(&self) -> u64 {
        self.content().silences
    }

    /// Lets every open watch fall silent: it stays open and delivers nothing more. New ones work.
    pub fn silence_open_watches(&self) {
        self.content().silences += 1;
        self.notify_watches();
    }

    /// Returns a copy of the content that the store can be restored from.
    pub fn copy(&self) -> Content {
        self.content().clone()
    }

    /// Restores the store from a copy: what was written since is lost, and its revisions are given
    /// out again. Watches that wait aren't ended.
    pub fn restore(&self, copy: Content) {
        let mut content = self.content();
        let (timeline, down) = (content.timeline + 1, content.down);
        let silences = content.silences;
        *content = Content {
            timeline,
            down,
            silences,
            ..copy
        };
        drop(content);
        self.notify_watches();
    }

    /// Returns the current timeline.
    pub fn timeline(&self) -> Timeline {
        Timeline(self.content().timeline)
    }

    fn call(&self, request: PlatformRequest) -> Result<PlatformResponse> {
        let mut content = self.content();
        if content.down || content.calls_down {
            return Err(PlatformFailure::Unreachable);
        }
        content.expire();
        let response = content.call(request);
        drop(content);
        self.notify_watches();
        Ok(response)
    }

    async fn watch(
        &self,
        settings: WatchSettings,
        batches: mpsc::Sender<WatchBatch>,
        is_silenced: &AtomicBool,
    ) {
        let prefix = settings.prefix;
        let heartbeat = settings.heartbeat.unwrap_or(NO_HEARTBEAT);
        let _open = OpenWatch::new(&self.open_watches);
        let mut changed = self.changed.subscribe();
        let mut heard_at = Instant::now();
        let mut from = settings.from.number();
        let silences = self.content().silences;
        if from > self.content().revision + 1 {
            return;
        }
        loop {
            let (batch, has_fallen_silent) = {
                let content = self.content();
                if content.down {
                    return;
                }
                let history = content.history.iter();
                let new = history
                    .filter(|key| key.revision.number() >= from && is_covered(&prefix, &key.key));
                let batch = WatchBatch {
                    keys: new.map(|key| content.in_timeline(key.clone())).collect(),
                    revision: content.current_revision(),
                };
                (batch, content.silences != silences)
            };
            if has_fallen_silent || is_silenced.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            from = from.max(batch.revision.number() + 1);
            let is_heartbeat_due = heard_at.elapsed() >= heartbeat;
            if !batch.keys.is_empty() || is_heartbeat_due {
                heard_at = Instant::now();
                if batches.send(batch).await.is_err() {
                    return;
                }
            }
            let next = timeout_at(heard_at + heartbeat, changed.changed()).await;
            if matches!(next, Ok(Err(_))) {
                return;
            }
        }
    }

    fn notify_watches(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap()
    }
}

/// Returns whether a prefix covers a key. The empty prefix excludes the keys that VMs don't watch.
fn is_covered(prefix: &str, key: &str) -> bool {
    let excluded = ["instances/", "confirmations/"];
    let excluded = excluded.iter().any(|prefix| key.starts_with(prefix));
    key.starts_with(prefix) && (!prefix.is_empty() || !excluded)
}

impl Content {
    fn call(&mut self, request: PlatformRequest) -> PlatformResponse {
        match request {
            PlatformRequest::Get { key } => self.found(|found| found == key),
            PlatformRequest::List { prefix, .. } => self.found(|key| is_covered(&prefix, key)),
            PlatformRequest::CompareAndSwap {
                key,
                expected,
                value,
                lease,
            } => {
                let current = self.items.get(&key).map_or(0, |item| item.revision);
                if current != expected.number() {
                    let current = self.items.get(&key).map(|item| self.key_value(&key, item));
                    return PlatformResponse::Conflict { current };
                }
                if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                    return PlatformResponse::LeaseLapsed;
                }
                self.write(&key, value, lease);
                PlatformResponse::Swapped {
                    revision: self.current_revision(),
                }
            }
            PlatformRequest::GrantLease { ttl } => {
                self.revision += 1;
                let lease = self.revision;
                self.leases.insert(lease, (Instant::now() + ttl, ttl));
                PlatformResponse::Lease { lease, ttl }
            }
            PlatformRequest::KeepAlive { lease } => match self.leases.get_mut(&lease) {
                Some((until, ttl)) => {
                    *until = Instant::now() + *ttl;
                    PlatformResponse::Lease { lease, ttl: *ttl }
                }
                None => PlatformResponse::LeaseLapsed,
            },
            PlatformRequest::Revoke { lease } => {
                self.end_lease(lease);
                PlatformResponse::LeaseLapsed
            }
            PlatformRequest::Watch { .. } | PlatformRequest::EndWatch { .. } => {
                unreachable!("watches aren't made as calls")
            }
        }
    }

    fn found(&self, is_match: impl Fn(&str) -> bool) -> PlatformResponse {
        let items = self.items.iter().filter(|(key, _)| is_match(key));
        PlatformResponse::Found {
            keys: items.map(|(key, item)| self.key_value(key, item)).collect(),
            revision: self.current_revision(),
        }
    }

    fn current_revision(&self) -> Revision {
        Revision::new(Timeline(self.timeline), self.revision)
    }

    /// Returns a change with its revision in the current timeline.
    fn in_timeline(&self, change: KeyValue) -> KeyValue {
        let revision = Revision::new(Timeline(self.timeline), change.revision.number());
        KeyValue { revision, ..change }
    }

    fn key_value(&self, key: &str, item: &Item) -> KeyValue {
        self.in_timeline(KeyValue {
            key: key.to_owned(),
            value: Some(item.value.clone()),
            revision: Revision(item.revision),
        })
    }

    fn write(&mut self, key: &str, value: Option<Vec<u8>>, lease: Option<u64>) {
        self.revision += 1;
        let revision = self.revision;
        match value.clone() {
            Some(value) => {
                let item = Item {
                    value,
                    revision,
                    lease,
                };
                self.items.insert(key.to_owned(), item);
            }
            None => {
                self.items.remove(key);
            }
        }
        self.history.push(KeyValue {
            key: key.to_owned(),
            value,
            revision: Revision(revision),
        });
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let lapsed = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        let lapsed: Vec<u64> = lapsed.map(|(lease, _)| *lease).collect();
        for lease in lapsed {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == Some(lease));
        let bound: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in bound {
            self.write(&key, None, None);
        }
    }
}
