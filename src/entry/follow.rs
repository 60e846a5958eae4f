//! Follows the keys of one prefix of the store.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;

use super::node::Node;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformAnswer};

/// Pause before the store is asked again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Batches of a watch that may wait to be applied.
const WATCH_QUEUE_BATCHES: usize = 16;

/// Time for a watch to deliver what other VMs have seen before the keys are read again.
const BEHIND_PATIENCE: Duration = Duration::from_millis(400);

/// How far this VM, and the others, have followed a prefix.
#[derive(Debug, Default)]
pub struct Progress {
    own: Cell<Revision>,
    peers: Cell<Revision>,
    behind: Notify,
}

impl Progress {
    /// Returns the revision of the latest change known here.
    pub fn own(&self) -> Revision {
        self.own.get()
    }

    /// Records a change that was seen here.
    pub fn note(&self, revision: Revision) {
        self.own.set(self.own.get().max(revision));
    }

    /// Records the latest change that another VM knows.
    pub fn heard(&self, revision: Revision) {
        self.peers.set(self.peers.get().max(revision));
        if self.is_behind() {
            self.behind.notify_waiters();
        }
    }

    fn is_behind(&self) -> bool {
        self.own.get() < self.peers.get()
    }

    /// Waits until the others have known more than this VM for a while.
    async fn fallen_behind(&self) {
        loop {
            self.behind.notified().await;
            sleep(BEHIND_PATIENCE).await;
            if self.is_behind() {
                return;
            }
        }
    }
}

/// What is done with the keys of a prefix.
pub struct Follower<'a> {
    /// The prefix.
    pub prefix: &'static str,
    /// How far the prefix has been followed.
    pub progress: &'a Progress,
    /// Takes over the whole content.
    pub replace: &'a dyn Fn(Vec<KeyValue>),
    /// Takes over one change.
    pub apply: &'a dyn Fn(KeyValue),
}

impl Follower<'_> {
    /// Reads and watches the keys until the process ends.
    pub async fn run(&self, node: &Node) {
        loop {
            // What the others knew before the keys were read is known here afterwards.
            let heard = self.progress.peers.get();
            let Some((keys, revision)) = list(node, self.prefix).await else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            (self.replace)(keys);
            self.progress.note(heard);
            tokio::select! {
                () = self.watch(node, Revision(revision.0 + 1)) => {
                    log::info!("event=watch_ended prefix={:?}", self.prefix);
                }
                () = self.progress.fallen_behind() => {
                    log::info!("event=watch_behind prefix={:?}", self.prefix);
                }
            }
        }
    }

    async fn watch(&self, node: &Node, from: Revision) {
        let (sender, mut batches) = mpsc::channel(WATCH_QUEUE_BATCHES);
        let watching = (node.adapter.store.watch)(self.prefix.to_owned(), from, sender);
        let applying = async {
            while let Some(batch) = batches.recv().await {
                log::debug!(
                    "event=watch_answered prefix={:?} keys={} revision={}",
                    self.prefix,
                    batch.keys.len(),
                    batch.revision.0
                );
                batch.keys.into_iter().for_each(self.apply);
            }
        };
        tokio::join!(watching, applying);
    }
}

impl fmt::Debug for Follower<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Follower").finish_non_exhaustive()
    }
}

/// Reads the keys of a prefix; `None` when the store doesn't answer.
pub async fn list(node: &Node, prefix: &str) -> Option<(Vec<KeyValue>, Revision)> {
    read(node, prefix, false).await
}

/// Reads the keys of a prefix as they were some seconds ago; `None` when the store doesn't answer.
pub async fn list_stale(node: &Node, prefix: &str) -> Option<Vec<KeyValue>> {
    read(node, prefix, true).await.map(|(keys, _)| keys)
}

async fn read(node: &Node, prefix: &str, allow_stale: bool) -> Option<(Vec<KeyValue>, Revision)> {
    let request = PlatformRequest::List {
        prefix: prefix.to_owned(),
        allow_stale,
    };
    match node.call(request).await {
        Ok(PlatformAnswer::Found { keys, revision }) => Some((keys, revision)),
        answer => {
            log::warn!("event=keys_unread prefix={prefix:?} answer={answer:?}");
            None
        }
    }
}
