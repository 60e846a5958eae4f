//! Evidence of an instance's health, posted to the control thread.

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

/// Shortest time between two posts that say the same of an instance.
const REPEAT_INTERVAL: Duration = Duration::from_millis(20);

/// Posts what is learned of one instance, at a bounded rate.
#[derive(Debug)]
pub(crate) struct Evidence {
    database: DatabaseName,
    instance: InstanceName,
    events: EventSender,
    clock: Clock,
    last: Mutex<LastPosts>,
}

#[derive(Debug, Default)]
struct LastPosts {
    silent_at: Option<Timestamp>,
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

impl Evidence {
    /// Builds the evidence of an instance of which nothing was posted yet.
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

    /// Returns the current time on the clock that the posts carry.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Posts that a question, or a caller's statement, was not answered in time.
    pub(crate) fn silent(&self, asked_at: Timestamp) {
        let now = self.clock.now();
        if self.with_last(|last| is_due(&mut last.silent_at, now)) {
            self.post(InstanceEvent::Silent {
                database: self.database.clone(),
                instance: self.instance.clone(),
                asked_at,
            });
        }
    }

    /// Posts that a connection was refused or closed.
    pub(crate) fn closed(&self) {
        let now = self.clock.now();
        if self.with_last(|last| is_due(&mut last.closed_at, now)) {
            self.post(InstanceEvent::Closed {
                database: self.database.clone(),
                instance: self.instance.clone(),
            });
        }
    }

    /// Posts what a failed connection says of the instance.
    pub(crate) fn failed(&self, error: &UpstreamError) {
        log::debug!(
            "event=instance_failed instance={} error=\"{error}\"",
            self.instance
        );
        match error {
            UpstreamError::Timeout { .. } => self.silent(self.clock.now()),
            UpstreamError::Io { .. } | UpstreamError::Closed => self.closed(),
            // An instance that refuses is alive.
            UpstreamError::Refused { .. } | UpstreamError::Protocol { .. } => {
                log::warn!(
                    "event=instance_refused instance={} error=\"{error}\"",
                    self.instance
                );
            }
        }
    }

    /// Posts a report that was asked for.
    pub(crate) fn reported(&self, report: InstanceReport, asked_at: Timestamp) {
        self.post(InstanceEvent::Reported {
            database: self.database.clone(),
            instance: self.instance.clone(),
            report,
            asked_at,
        });
    }

    /// Posts a report that the instance pushed, unless it differs from the one before in nothing
    /// but the position within a term and that was posted a moment ago.
    pub(crate) fn pushed(&self, report: InstanceReport) {
        let now = self.clock.now();
        let due = self.with_last(|last| {
            let last_term = report.last.term.clone();
            let key = Some((report.adopted.clone(), report.is_primary, last_term));
            let changed = last.pushed != key;
            last.pushed = key;
            is_due(&mut last.pushed_at, now) || changed
        });
        if due {
            self.reported(report, now);
        }
    }

    /// Posts the end of a term command.
    pub(crate) fn command_ended(&self, request: InstanceRequest, report: Option<InstanceReport>) {
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
