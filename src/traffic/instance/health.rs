//! Posts observations of an instance's health to the control thread.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use crate::control::Event;
use crate::control::command::InstanceRequest;
use crate::control::event::{InstanceEvent, InstanceReport};
use crate::controller::EventSender;
use crate::name::{DatabaseName, InstanceName};
use crate::position::Term;
use crate::time::{Clock, Timestamp};
use crate::traffic::upstream::UpstreamError;

/// Shortest interval between two posts of the same observation.
const REPEAT_INTERVAL: Duration = Duration::from_millis(20);

/// Posts observations of one instance's health, at a limited rate.
#[derive(Debug)]
pub(crate) struct HealthReporter {
    database: DatabaseName,
    instance: InstanceName,
    events: EventSender,
    clock: Clock,
    last: Mutex<LastPosts>,
}

#[derive(Debug, Default)]
struct LastPosts {
    no_response_at: Option<Timestamp>,
    closed_at: Option<Timestamp>,
    pushed_at: Option<Timestamp>,
    pushed: Option<(Term, bool, Term)>,
}

fn is_due(last: &mut Option<Timestamp>, now: Timestamp) -> bool {
    if last.is_some_and(|last| now.since(last) < REPEAT_INTERVAL) {
        return false;
    }
    *last = Some(now);
    true
}

impl HealthReporter {
    /// Builds the reporter of an instance for which nothing was posted yet.
    pub(crate) fn new(
        database: DatabaseName,
        instance: InstanceName,
        events: EventSender,
        clock: Clock,
    ) -> Self {
        Self {
            database,
            instance,
            events,
            clock,
            last: Mutex::default(),
        }
    }

    /// Returns the current time of the clock that timestamps the posts.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Posts that the response to a query or a caller's statement did not arrive in time.
    pub(crate) fn post_no_response(&self, requested_at: Timestamp) {
        let now = self.clock.now();
        if self.with_last(|last| is_due(&mut last.no_response_at, now)) {
            self.post(InstanceEvent::NoResponse {
                database: self.database.clone(),
                instance: self.instance.clone(),
                requested_at,
            });
        }
    }

    /// Posts that a connection attempt failed, or a connection was closed.
    pub(crate) fn post_closed(&self) {
        let now = self.clock.now();
        if self.with_last(|last| is_due(&mut last.closed_at, now)) {
            self.post(InstanceEvent::Closed {
                database: self.database.clone(),
                instance: self.instance.clone(),
            });
        }
    }

    /// Posts what the failure of a connection indicates about the instance.
    pub(crate) fn post_failure(&self, error: &UpstreamError) {
        log::debug!(
            "event=instance_failed instance={} error=\"{error}\"",
            self.instance
        );
        match error {
            UpstreamError::Timeout { .. } => self.post_no_response(self.clock.now()),
            UpstreamError::Io { .. } | UpstreamError::Closed => self.post_closed(),
            // An instance that sends a refusal is running.
            UpstreamError::Refused { .. } | UpstreamError::Protocol { .. } => {
                log::warn!(
                    "event=instance_refused instance={} error=\"{error}\"",
                    self.instance
                );
            }
        }
    }

    /// Posts a report that the instance sent on request.
    pub(crate) fn post_report(&self, report: InstanceReport, requested_at: Timestamp) {
        self.post(InstanceEvent::Reported {
            database: self.database.clone(),
            instance: self.instance.clone(),
            report,
            requested_at,
        });
    }

    /// Posts a report that the instance pushed. If only the position within the term has changed,
    /// at most one report per `REPEAT_INTERVAL` is posted.
    pub(crate) fn post_pushed_report(&self, report: InstanceReport) {
        let now = self.clock.now();
        let due = self.with_last(|last| {
            let last_term = report.last.term.clone();
            let key = Some((report.adopted.clone(), report.is_primary, last_term));
            let changed = last.pushed != key;
            last.pushed = key;
            is_due(&mut last.pushed_at, now) || changed
        });
        if due {
            self.post_report(report, now);
        }
    }

    /// Posts that a term command has ended; `report` is `None` when it got no valid response.
    pub(crate) fn post_command_ended(
        &self,
        request: InstanceRequest,
        report: Option<InstanceReport>,
    ) {
        self.post(InstanceEvent::CommandEnded {
            database: self.database.clone(),
            instance: self.instance.clone(),
            request,
            report,
        });
    }

    fn with_last<T>(&self, f: impl FnOnce(&mut LastPosts) -> T) -> T {
        f(&mut self.last.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn post(&self, event: InstanceEvent) {
        self.events.post(Event::Instance(event));
    }
}
