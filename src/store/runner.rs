//! Performs the control code's calls to the platform's service and posts the results as events.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::{Platform, WatchSettings};
use crate::control::Event;
use crate::control::blackboard::CallId;
use crate::control::command::PlatformRequest;
use crate::control::event::PlatformEvent;
use crate::controller::EventSender;
use crate::time::Clock;

/// Maximum number of batches of a watch that are queued before they are posted as events.
const WATCH_QUEUE_BATCHES: usize = 64;

/// Performs calls on the runtime that it was created on.
#[derive(Debug, Clone)]
pub struct PlatformRunner {
    platform: Platform,
    clock: Clock,
    events: EventSender,
    runtime: Handle,
    watches: Arc<Mutex<HashMap<CallId, AbortHandle>>>,
}

impl PlatformRunner {
    /// Builds a runner on the current runtime.
    pub fn new(platform: Platform, clock: Clock, events: EventSender) -> Self {
        Self {
            platform,
            clock,
            events,
            runtime: Handle::current(),
            watches: Arc::default(),
        }
    }

    /// Starts a call. Its result is posted as an event.
    pub fn start(&self, call: CallId, request: PlatformRequest) {
        match request {
            PlatformRequest::Watch { prefix, from } => {
                let watching = self.clone().watch(call, prefix, from);
                // Hold the lock until the entry is inserted: the task removes it when it ends.
                let mut watches = self.lock();
                let task = self.runtime.spawn(watching).abort_handle();
                watches.insert(call, task);
            }
            PlatformRequest::EndWatch { watch } => {
                if let Some(task) = self.lock().remove(&watch) {
                    task.abort();
                }
            }
            request => {
                self.runtime.spawn(self.clone().call(call, request));
            }
        }
    }

    async fn call(self, call: CallId, request: PlatformRequest) {
        let sent_at = self.clock.now();
        let result = (self.platform.call)(request).await;
        self.events.post(Event::Platform(PlatformEvent::Ended {
            call,
            sent_at,
            result,
        }));
    }

    async fn watch(self, watch: CallId, prefix: String, from: crate::configuration::Revision) {
        let (sender, mut batches) = mpsc::channel(WATCH_QUEUE_BATCHES);
        let settings = WatchSettings {
            prefix,
            from,
            heartbeat: None,
        };
        let watching = (self.platform.watch)(settings, sender);
        let posting = async {
            while let Some(batch) = batches.recv().await {
                let (keys, revision) = (batch.keys, batch.revision);
                self.events.post(Event::Platform(PlatformEvent::Changed {
                    watch,
                    keys,
                    revision,
                }));
            }
        };
        tokio::join!(watching, posting);
        self.lock().remove(&watch);
        self.events
            .post(Event::Platform(PlatformEvent::WatchLost { watch }));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<CallId, AbortHandle>> {
        self.watches
            .lock()
            .expect("no code panics while it holds the watches")
    }
}
