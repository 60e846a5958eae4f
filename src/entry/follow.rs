//! Follows the keys under one prefix of the store.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout_at};

use super::clock;
use super::node::Node;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformResponse};
use crate::store::{WatchBatch, WatchSettings};
use crate::time::Timestamp;

/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of batches of a watch that wait to be applied.
const WATCH_QUEUE_BATCHES: usize = 16;

/// Time for which a watch may lag behind what other VMs have seen before the keys are read again.
const WATCH_DELAY_LIMIT: Duration = Duration::from_millis(400);

/// Delay of a heartbeat after which a watch counts as silent. Its connection may return nothing any more, while
/// others work.
const SILENCE_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which a follower checks whether its watch needs another heartbeat interval.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Latest revision under a prefix that is known to this VM, and to any other VM.
#[derive(Debug, Default)]
pub struct Progress {
    own: Cell<Revision>,
    peers: Cell<Revision>,
    lag_detected: Notify,
    /// Whether the keys have been read and watched since without a gap.
    followed: Cell<bool>,
    /// Time until which the last read, or the last batch of the watch, shows every change.
    heard_at: Cell<Timestamp>,
}

impl Progress {
    /// Returns the revision of the latest change known here.
    pub fn own(&self) -> Revision {
        self.own.get()
    }

    /// Records a change that this VM has seen.
    pub fn record_own(&self, revision: Revision) {
        self.own.set(self.own.get().max(revision));
    }

    /// Records the latest change that another VM has seen.
    pub fn record_peer(&self, revision: Revision) {
        self.peers.set(self.peers.get().max(revision));
        if self.is_behind() {
            self.lag_detected.notify_waiters();
        }
    }

    /// Returns whether every change is known here, but for the delay of a watch.
    pub fn is_current(&self) -> bool {
        self.followed.get() && !self.is_behind()
    }

    /// Records that changes may be missed from now on, until the keys have been read again.
    pub fn record_gap(&self) {
        self.followed.set(false);
    }

    /// Returns the time until which every change is known, whether or not the watch still delivers any.
    pub fn heard_at(&self) -> Timestamp {
        self.heard_at.get()
    }

    fn record_heard(&self, at: Timestamp) {
        self.heard_at.set(at);
    }

    fn is_behind(&self) -> bool {
        self.own.get() < self.peers.get()
    }

    /// Waits until this VM has lagged behind another one for [`WATCH_DELAY_LIMIT`].
    async fn wait_until_lagging(&self) {
        loop {
            self.lag_detected.notified().await;
            sleep(WATCH_DELAY_LIMIT).await;
            if self.is_behind() {
                return;
            }
        }
    }
}

/// Reads and watches the keys under a prefix, and passes them to callbacks.
pub struct Follower<'a> {
    /// Prefix of the keys to watch.
    pub prefix: &'static str,
    /// Latest revisions seen under the prefix.
    pub progress: &'a Progress,
    /// Reads the content, with the revision from which on changes must be watched; `None` when the
    /// store doesn't respond.
    pub read: &'a dyn Fn() -> LocalBoxFuture<'a, Option<(Vec<KeyValue>, Revision)>>,
    /// Applies the content after a read, with its revision.
    pub replace: &'a dyn Fn(Vec<KeyValue>, Revision),
    /// Applies one change, from the watch.
    pub apply: &'a dyn Fn(KeyValue),
    /// Returns the heartbeat interval of the watch ([`WatchSettings::heartbeat`]).
    pub heartbeat: &'a dyn Fn() -> Duration,
}

/// Why a watch has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// It failed, or is silent. Changes may be missing.
    Failed,
    /// The interval of its heartbeats has changed.
    HeartbeatChanged,
}

impl Follower<'_> {
    /// Reads and watches the keys until the process ends.
    pub async fn run(&self, node: &Node) {
        loop {
            // The keys read below include every change that other VMs had reported before the read.
            let known_before = self.progress.peers.get();
            let read_at = clock::now();
            let Some((keys, revision)) = (self.read)().await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            (self.replace)(keys, revision);
            self.progress.record_heard(read_at);
            self.progress.record_own(known_before);
            self.progress.followed.set(true);
            let timeline = revision.timeline();
            log::info!(
                "event=watch_started prefix={:?} after={} timeline={}",
                self.prefix,
                revision.number(),
                timeline.0
            );
            tokio::select! {
                () = self.watch(node, Revision(revision.0.saturating_add(1))) => {
                    log::info!("event=watch_ended prefix={:?}", self.prefix);
                }
                () = self.progress.wait_until_lagging() => {
                    log::info!("event=watch_behind prefix={:?}", self.prefix);
                }
                // The connection of the watch may have fallen silent with that of the renewal.
                () = node.store_regained.notified() => {
                    log::info!("event=watch_doubtful prefix={:?}", self.prefix);
                }
                // Changes of the new timeline may have revisions that the watch is already past.
                () = node.adapter.store.wait_for_timeline_after(timeline) => {
                    log::info!("event=watch_outdated prefix={:?}", self.prefix);
                }
            }
            self.progress.record_gap();
        }
    }

    /// Watches the keys and applies their changes until the watch fails or is silent.
    async fn watch(&self, node: &Node, mut from: Revision) {
        loop {
            let heartbeat = (self.heartbeat)();
            let settings = WatchSettings {
                prefix: self.prefix.to_owned(),
                from,
                heartbeat: Some(heartbeat),
            };
            let (sender, batches) = mpsc::channel(WATCH_QUEUE_BATCHES);
            let watching = async {
                (node.adapter.store.watch)(settings, sender).await;
                // The batches that it has delivered are still applied.
                std::future::pending::<Infallible>().await
            };
            let ended = tokio::select! {
                never = watching => match never {},
                ended = self.apply_batches(batches, heartbeat, &mut from) => ended,
            };
            if ended == Ended::Failed {
                return;
            }
        }
    }

    /// Applies what a watch delivers; `from` is the revision from which on another one must go on.
    async fn apply_batches(
        &self,
        mut batches: mpsc::Receiver<WatchBatch>,
        heartbeat: Duration,
        from: &mut Revision,
    ) -> Ended {
        // A batch shows the store at some time after the one before it was received.
        let mut shown_after = clock::now();
        let mut silent_at = Instant::now() + heartbeat + SILENCE_MARGIN;
        loop {
            let check_at = silent_at.min(Instant::now() + CHECK_INTERVAL);
            match timeout_at(check_at, batches.recv()).await {
                Ok(Some(batch)) => {
                    self.progress.record_heard(shown_after);
                    shown_after = clock::now();
                    silent_at = Instant::now() + heartbeat + SILENCE_MARGIN;
                    *from = Revision(batch.revision.0.saturating_add(1));
                    self.apply_batch(batch);
                }
                Ok(None) => return Ended::Failed,
                Err(_elapsed) if Instant::now() >= silent_at => {
                    log::warn!("event=watch_silent prefix={:?}", self.prefix);
                    return Ended::Failed;
                }
                Err(_elapsed) => {}
            }
            if (self.heartbeat)() != heartbeat {
                return Ended::HeartbeatChanged;
            }
        }
    }

    fn apply_batch(&self, batch: WatchBatch) {
        log::debug!(
            "event=watch_batch_received prefix={:?} keys={} revision={}",
            self.prefix,
            batch.keys.len(),
            batch.revision.0
        );
        batch.keys.into_iter().for_each(self.apply);
    }
}

impl fmt::Debug for Follower<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Follower").finish_non_exhaustive()
    }
}

/// Reads the keys under a prefix, with the revision of the read. `None` when the store doesn't
/// respond.
pub async fn list(node: &Node, prefix: &str) -> Option<(Vec<KeyValue>, Revision)> {
    read(node, prefix, false).await
}

/// Reads the keys under a prefix, with the revision of the read. With `allow_stale` both may be some
/// seconds old. `None` when the store doesn't respond.
pub async fn read(
    node: &Node,
    prefix: &str,
    allow_stale: bool,
) -> Option<(Vec<KeyValue>, Revision)> {
    let request = PlatformRequest::List {
        prefix: prefix.to_owned(),
        allow_stale,
    };
    match node.call(request).await {
        Ok(PlatformResponse::Found { keys, revision }) => Some((keys, revision)),
        response => {
            log::warn!("event=keys_unread prefix={prefix:?} answer={response:?}");
            None
        }
    }
}
