//! Homes: the databases whose statements all run through this VM.

use std::sync::Arc;
use std::time::Duration;

use crate::control::Event;
use crate::control::command::{InstanceRequest, TrafficRequest};
use crate::control::event::{InstanceEvent, TrafficEvent};
use crate::controller::{EventSender, SharedSnapshot};
use crate::name::{DatabaseName, InstanceName};
use crate::settings::Settings;
use crate::time::Clock;
use crate::traffic::io::HomeIo;
use crate::traffic::{ExchangeHead, HomeFrame, Refusal, RefusalReason};

/// How an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The caller has its whole answer.
    Answered,
    /// The caller was sent this refusal.
    Refused(Refusal),
    /// The caller went away before it had its answer.
    CallerLost,
}

/// The databases that this VM is the home of; cheap to clone.
#[derive(Debug, Clone)]
pub struct Homes {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    snapshot: SharedSnapshot,
    clock: Clock,
    events: EventSender,
}

impl Shared {
    fn retry_after(&self) -> Duration {
        Duration::from_millis(self.settings.control.suspect_after_ms)
    }
}

impl Homes {
    /// Builds the homes of a VM; they follow the databases of the snapshot.
    pub fn new(
        settings: Settings,
        snapshot: SharedSnapshot,
        clock: Clock,
        events: EventSender,
    ) -> Self {
        let shared = Shared {
            settings,
            snapshot,
            clock,
            events,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Runs one exchange to its end; the last frame that it sends is `HomeFrame::End`.
    pub async fn run(&self, head: ExchangeHead, io: &mut HomeIo<'_>) -> ExchangeEnd {
        let refusal = self.refusal(&head);
        for frame in [HomeFrame::Refused(refusal), HomeFrame::End] {
            if io.send(frame).await.is_err() {
                return ExchangeEnd::CallerLost;
            }
        }
        match io.flush().await {
            Ok(()) => ExchangeEnd::Refused(refusal),
            Err(_lost) => ExchangeEnd::CallerLost,
        }
    }

    fn refusal(&self, head: &ExchangeHead) -> Refusal {
        let snapshot = self.shared.snapshot.load();
        if snapshot.databases.contains_key(&head.database) {
            Refusal::retry(RefusalReason::NoInstance, self.shared.retry_after())
        } else {
            Refusal::last(RefusalReason::HomeUnknown)
        }
    }

    /// Carries out a request of the control code; returns at once.
    pub fn request(&self, request: &TrafficRequest) {
        if *request == TrafficRequest::Drain {
            self.shared
                .events
                .post(Event::Traffic(TrafficEvent::Drained));
        }
    }

    /// Asks something of an instance; the answer is posted as an event.
    pub fn instance(
        &self,
        database: &DatabaseName,
        instance: &InstanceName,
        request: &InstanceRequest,
    ) {
        let event = InstanceEvent::Silent {
            database: database.clone(),
            instance: instance.clone(),
            asked_at: self.shared.clock.now(),
        };
        log::debug!("event=instance_request_dropped instance={instance} request={request:?}");
        self.shared.events.post(Event::Instance(event));
    }
}
