//! Relay of one transaction between its caller and a connection to an instance.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::future::{BoxFuture, OptionFuture};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::choose::{Place, session_key};
use super::confirm;
use super::database::Home;
use super::exchange::{Caller, Stop};
use super::release::{self, Output};
use super::schedule::{self, Slot};
use crate::control::fairness::Arrival;
use crate::control::gate::Save;
use crate::peer::stream::{self, StreamFrame};
use crate::time::Timestamp;
use crate::traffic::pool::Lease;
use crate::traffic::upstream::answer::{Part, is_fatal};
use crate::traffic::upstream::connection::TransactionStatus;
use crate::traffic::upstream::{self, UpstreamError};
use crate::traffic::{Access, CallerFrame, ExchangeHead, HomeFrame, Refusal, RefusalReason};

/// Time in which an instance must take a cancel request and answer the statement.
const CANCEL_TIME: Duration = Duration::from_secs(1);

/// Largest request that is kept so that it can be sent again.
const MAX_REPEAT_BYTES: usize = 64 * 1024;

/// What a relay is started with.
pub(super) struct RelaySettings<'a> {
    pub(super) home: Arc<Home>,
    pub(super) head: &'a ExchangeHead,
    pub(super) arrival: Arrival,
    /// Whether the route's requests may be sent again.
    pub(super) is_repeatable: bool,
    pub(super) place: Place,
}

/// Something that a relay waits for.
enum Wake {
    Frame(stream::Result<CallerFrame>),
    Read(upstream::Result<()>),
    Cancelled,
    Timer,
}

/// One transaction on one connection.
pub(super) struct Relay<'a> {
    settings: RelaySettings<'a>,
    /// Connection of the transaction; `None` once it was given back.
    lease: Option<Lease>,
    /// Slot while a statement runs.
    slot: Option<Slot>,
    output: Output,
    /// Whether the instance was sent something that it has not fully answered.
    is_busy: bool,
    /// Whether a cancel request was sent, after which the connection is not used again.
    is_cancelled: bool,
    cancelling: Option<BoxFuture<'static, upstream::Result<()>>>,
    /// Frames that were sent, as long as they may be sent again.
    repeat: Option<VecDeque<CallerFrame>>,
    is_confirmed: bool,
    began_at: Timestamp,
    /// When the instance was last sent something, or answered.
    asked_at: Timestamp,
    timers: Timers,
}

/// Points in time at which a relay acts.
struct Timers {
    /// The caller gives up, or the transaction has been idle for too long.
    deadline: Instant,
    /// The instance's silence is reported next.
    suspect_at: Instant,
}

const LEASED: &str = "the connection stays leased until the relay ends";

impl<'a> Relay<'a> {
    pub(super) fn new(settings: RelaySettings<'a>, lease: Lease, slot: Slot) -> Self {
        let may_repeat = settings.is_repeatable && settings.head.access == Access::Read;
        let began_at = settings.home.clock.now();
        let mut relay = Self {
            is_confirmed: !settings.place.must_confirm,
            settings,
            lease: Some(lease),
            slot: Some(slot),
            output: Output::default(),
            is_busy: false,
            is_cancelled: false,
            cancelling: None,
            repeat: may_repeat.then(VecDeque::new),
            began_at,
            asked_at: began_at,
            timers: Timers {
                deadline: Instant::now(),
                suspect_at: Instant::now(),
            },
        };
        relay.restart_timers();
        if !relay.is_confirmed {
            confirm::ask(&relay.settings.home, &relay.settings.place);
        }
        relay
    }

    /// Runs until the transaction has ended and its whole answer was sent.
    pub(super) async fn run(mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        loop {
            while self.lease().has_room()
                && let Some(frame) = caller.backlog.pop_front()
            {
                self.take(frame, caller).await?;
            }
            match self.wait(caller).await {
                Wake::Frame(Ok(frame)) => self.take(frame, caller).await?,
                Wake::Frame(Err(_lost)) => return Err(Stop::CallerLost),
                Wake::Read(Ok(())) => {
                    if self.pass_answer(caller).await? {
                        return Ok(());
                    }
                }
                Wake::Read(Err(error)) => return Err(self.lost(&error, caller)),
                Wake::Cancelled => self.cancelling = None,
                Wake::Timer => self.act_on_time(caller)?,
            }
        }
    }

    fn lease(&mut self) -> &mut Lease {
        self.lease.as_mut().expect(LEASED)
    }

    async fn wait(&mut self, caller: &mut Caller<'_, '_>) -> Wake {
        let timer = self.next_timer();
        let lease = self.lease.as_mut().expect(LEASED);
        let may_take = lease.has_room() && caller.backlog.is_empty();
        tokio::select! {
            biased;
            read = lease.progress() => Wake::Read(read),
            frame = caller.io.recv(), if may_take => Wake::Frame(frame),
            _ = OptionFuture::from(self.cancelling.as_mut()), if self.cancelling.is_some() => {
                Wake::Cancelled
            }
            () = sleep_until(timer) => Wake::Timer,
        }
    }

    /// Passes one frame of the caller on.
    async fn take(&mut self, frame: CallerFrame, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        match frame {
            CallerFrame::Gone => return Err(Stop::CallerLost),
            CallerFrame::Cancel => {
                self.cancel();
                return Ok(());
            }
            CallerFrame::Messages(_) | CallerFrame::Definition { .. } => {}
        }
        if !self.is_busy {
            self.begin_statement(caller).await?;
        }
        self.remember(&frame);
        let lease = self.lease.as_mut().expect(LEASED);
        let taken = match frame {
            CallerFrame::Messages(messages) => lease.take_messages(messages),
            CallerFrame::Definition { name, parse } => lease.define(&name, &parse),
            CallerFrame::Cancel | CallerFrame::Gone => Ok(()),
        };
        if let Err(error) = taken {
            log::warn!("event=caller_message_invalid error=\"{error}\"");
            return Err(Stop::CallerLost);
        }
        let written = lease.write_now();
        written.map_err(|error| self.lost(&error, caller))
    }

    /// Waits for a slot, unless the transaction's first one is still held.
    async fn begin_statement(&mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        if self.slot.is_none() {
            let home = Arc::clone(&self.settings.home);
            let instance = self.settings.place.instance.name.clone();
            let arrival = Arrival {
                deadline: home.clock.now() + self.budget(),
                ..self.settings.arrival.clone()
            };
            let slot = schedule::slot(&home, &instance, &arrival);
            self.slot = Some(caller.stay(slot).await??);
        }
        self.is_busy = true;
        self.restart_timers();
        Ok(())
    }

    fn remember(&mut self, frame: &CallerFrame) {
        let Some(repeat) = &mut self.repeat else {
            return;
        };
        repeat.push_back(frame.clone());
        let bytes: usize = repeat.iter().map(StreamFrame::content_bytes).sum();
        if bytes > MAX_REPEAT_BYTES {
            self.repeat = None;
        }
    }

    /// Passes on what was read; returns whether the transaction has ended.
    async fn pass_answer(&mut self, caller: &mut Caller<'_, '_>) -> Result<bool, Stop> {
        self.restart_timers();
        loop {
            let part = match self.lease().next_part() {
                Ok(Some(part)) => part,
                Ok(None) => break,
                Err(error) => return Err(self.lost(&error, caller)),
            };
            match part {
                Part::Ready(message) => {
                    if self.end_statement(message, caller).await? {
                        return Ok(true);
                    }
                }
                Part::Failed(message) if is_fatal(&message) => {
                    return Err(self.lost(&UpstreamError::Closed, caller));
                }
                part => self.output.push(part).map_err(Refusal::last)?,
            }
        }
        self.send_ready(caller).await?;
        Ok(false)
    }

    /// Handles `ReadyForQuery`; returns whether the transaction has ended.
    async fn end_statement(
        &mut self,
        message: BytesMut,
        caller: &mut Caller<'_, '_>,
    ) -> Result<bool, Stop> {
        let lease = self.lease();
        let status = lease.status;
        let position = lease.position.clone();
        let is_answered = lease.replies.is_empty() && lease.partial.is_empty();
        let has_ended = is_answered && status == TransactionStatus::Idle;
        if is_answered {
            self.is_busy = false;
            // A transaction that may hold locks keeps its slot: were every slot taken by
            // statements that wait for those locks, it could never end.
            if has_ended || self.settings.head.access == Access::Read {
                self.slot = None;
            }
        }
        if has_ended {
            self.give_back();
        }
        let home = Arc::clone(&self.settings.home);
        let head = self.settings.head;
        if self.settings.place.is_primary && self.output.needs_gate(head.access, status) {
            let at = position
                .clone()
                .ok_or(Refusal::last(RefusalReason::AnswerLost))?;
            self.send_ready(caller).await?;
            let save = Save {
                under: self
                    .settings
                    .place
                    .term
                    .clone()
                    .unwrap_or_else(|| at.term.clone()),
                at,
                primary: self.settings.place.instance.name.clone(),
            };
            let timeout = Duration::from_millis(home.settings.control.gate_timeout_ms);
            let deadline = Instant::now() + timeout.min(self.budget());
            release::gate(&home, &save, deadline)
                .await
                .map_err(Refusal::last)?;
        } else if !home.is_leased() && self.is_confirmed && !self.settings.place.must_confirm {
            // What was read may be older than what another home has acknowledged since.
            return Err(Refusal::last(RefusalReason::AnswerLost).into());
        }
        if let Some(position) = position {
            home.with_state(|state| {
                state.marks.saw(&session_key(head), &position);
                if self.settings.place.is_primary {
                    state.primary_reached(&position, home.clock.now());
                }
            });
            send(caller, HomeFrame::Seen(position), self.budget()).await?;
        }
        self.output.finish(message);
        self.send_ready(caller).await?;
        if !has_ended {
            caller.io.flush().await.map_err(|_lost| Stop::CallerLost)?;
            self.repeat = None;
            self.restart_timers();
        }
        Ok(has_ended)
    }

    /// Ends the use of the connection; it is kept only if nothing about it is in doubt.
    fn give_back(&mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        if !self.is_cancelled {
            lease.give_back();
        }
    }

    async fn send_ready(&mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        if !self.is_confirmed && self.output.has_ready() {
            let place = &self.settings.place;
            let deadline = Instant::now() + self.budget();
            confirm::confirmed(&self.settings.home, place, self.began_at, deadline)
                .await
                .map_err(Refusal::last)?;
            self.is_confirmed = true;
        }
        while let Some(messages) = self.output.next_frame() {
            send(
                caller,
                HomeFrame::Messages(messages.freeze()),
                self.budget(),
            )
            .await?;
        }
        caller.io.flush().await.map_err(|_lost| Stop::CallerLost)
    }

    /// Asks the instance to interrupt the statement.
    fn cancel(&mut self) {
        if !self.is_busy || self.is_cancelled {
            return;
        }
        self.is_cancelled = true;
        let key = self.lease().cancel_key;
        self.cancelling = Some(Box::pin(key.send(CANCEL_TIME)));
    }

    /// Handles the loss of the connection.
    fn lost(&mut self, error: &UpstreamError, caller: &mut Caller<'_, '_>) -> Stop {
        self.settings.place.instance.evidence.failed(error);
        self.unanswered(RefusalReason::AnswerLost, caller)
    }

    /// Ends a statement that gets no answer any more, or lets it be tried elsewhere.
    fn unanswered(&mut self, reason: RefusalReason, caller: &mut Caller<'_, '_>) -> Stop {
        // A lost connection needs no cancel request and holds no slot.
        self.lease = None;
        if !self.is_busy {
            return Stop::Aborted(RefusalReason::TransactionLost);
        }
        match self.repeat.take() {
            Some(repeat) if !self.output.is_released => {
                let rest = std::mem::replace(&mut caller.backlog, repeat);
                caller.backlog.extend(rest);
                Stop::Retry
            }
            _ => Refusal::last(reason).into(),
        }
    }

    /// Returns whether control has given the instance up in the role that it was chosen for.
    fn is_replaced(&self) -> bool {
        let place = &self.settings.place;
        let Some(view) = self.settings.home.view() else {
            return false;
        };
        let name = &place.instance.name;
        if place.is_primary {
            return view.primary.as_ref().is_some_and(|primary| primary != name);
        }
        let mut instances = view.instances.iter();
        !instances.any(|instance| instance.name == *name && instance.reachable)
    }

    fn budget(&self) -> Duration {
        Duration::from_millis(self.settings.head.budget_ms)
    }

    fn restart_timers(&mut self) {
        let now = Instant::now();
        self.asked_at = self.settings.home.clock.now();
        let home = &self.settings.home.settings;
        let suspect_after = Duration::from_millis(home.control.suspect_after_ms);
        self.timers.suspect_at = now + suspect_after;
        let idle = Duration::from_millis(home.databases.idle_in_transaction_timeout_ms);
        self.timers.deadline = now + if self.is_busy { self.budget() } else { idle };
    }

    fn next_timer(&self) -> Instant {
        if self.is_busy {
            self.timers.deadline.min(self.timers.suspect_at)
        } else {
            self.timers.deadline
        }
    }

    fn act_on_time(&mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        let now = Instant::now();
        if !self.is_busy {
            return Err(Stop::Aborted(RefusalReason::IdleInTransaction));
        }
        if now >= self.timers.suspect_at {
            let settings = &self.settings.home.settings.control;
            self.timers.suspect_at = now + Duration::from_millis(settings.suspect_after_ms);
            self.settings.place.instance.evidence.silent(self.asked_at);
            if self.is_replaced() {
                let reason = if self.settings.place.is_primary {
                    RefusalReason::TermChanged
                } else {
                    RefusalReason::AnswerLost
                };
                return Err(self.unanswered(reason, caller));
            }
        }
        if now < self.timers.deadline {
            return Ok(());
        }
        if self.is_cancelled {
            return Err(Refusal::last(RefusalReason::AnswerLost).into());
        }
        self.timers.deadline = now + CANCEL_TIME;
        self.cancel();
        Ok(())
    }
}

async fn send(caller: &mut Caller<'_, '_>, frame: HomeFrame, limit: Duration) -> Result<(), Stop> {
    // A caller that takes nothing for so long must not hold a connection.
    match timeout_at(Instant::now() + limit, caller.io.send(frame)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(Stop::CallerLost),
    }
}

impl Drop for Relay<'_> {
    /// Ends a statement that nobody waits for; its slot stays taken until the instance is done.
    fn drop(&mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        let slot = self.slot.take();
        if self.is_busy
            && let Ok(runtime) = tokio::runtime::Handle::try_current()
        {
            runtime.spawn(abandon(lease, slot));
        }
    }
}

/// Cancels what a connection runs, waits until the instance is done with it, and closes it.
async fn abandon(mut lease: Lease, slot: Option<Slot>) {
    let until = Instant::now() + CANCEL_TIME;
    let key = lease.cancel_key;
    let ending = async {
        key.send(CANCEL_TIME).await?;
        loop {
            while let Some(part) = lease.next_part()? {
                if matches!(part, Part::Ready(_)) && lease.replies.is_empty() {
                    return Ok::<_, UpstreamError>(());
                }
            }
            lease.progress().await?;
        }
    };
    if let Ok(Err(error)) = timeout_at(until, ending).await {
        log::debug!("event=statement_abandoned error=\"{error}\"");
    }
    drop(lease);
    drop(slot);
}
