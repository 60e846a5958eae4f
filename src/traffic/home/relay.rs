//! Relays one transaction between its caller and a connection to an instance.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::future::{BoxFuture, OptionFuture};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::choose::{Target, session_key};
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
use crate::traffic::upstream::connection::TransactionStatus;
use crate::traffic::upstream::response::{ResponsePart, is_fatal};
use crate::traffic::upstream::{self, UpstreamError};
use crate::traffic::{Access, CallerFrame, ExchangeHead, HomeFrame, Refusal, RefusalReason};

/// Time within which an instance must accept a cancel request and respond to the statement.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest request that is kept for a retry.
const MAX_RETRY_BYTES: usize = 64 * 1024;

/// Parameters of a relay.
pub(super) struct RelaySettings<'a> {
    pub(super) home: Arc<Home>,
    pub(super) head: &'a ExchangeHead,
    pub(super) arrival: Arrival,
    /// Whether the route allows its requests to be retried.
    pub(super) is_repeatable: bool,
    pub(super) target: Target,
}

/// Event that a relay waits for.
enum Wake {
    Frame(stream::Result<CallerFrame>),
    Read(upstream::Result<()>),
    Cancelled,
    Timer,
}

/// Whether the home's lease was valid whenever a message of the running statement was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HomeLeaseState {
    Valid,
    Lapsed,
}

/// One transaction on one connection.
pub(super) struct Relay<'a> {
    settings: RelaySettings<'a>,
    /// Connection of the transaction; `None` once it was returned to the pool.
    lease: Option<Lease>,
    /// Slot of the running statement; a transaction that may hold locks keeps it until it ends.
    slot: Option<Slot>,
    output: Output,
    /// Whether the response to the messages sent to the instance is still incomplete.
    is_busy: bool,
    /// Whether a cancel request was sent; the connection is not reused after that.
    is_cancelled: bool,
    cancelling: Option<BoxFuture<'static, upstream::Result<()>>>,
    /// Frames sent to the instance; `None` once the request may no longer be retried.
    retry_frames: Option<VecDeque<CallerFrame>>,
    is_confirmed: bool,
    home_lease: HomeLeaseState,
    began_at: Timestamp,
    /// When the last message was sent to the instance, or received from it.
    last_activity_at: Timestamp,
    timers: Timers,
}

/// Deadlines of a relay.
struct Timers {
    /// End of the caller's time budget, or of the idle-in-transaction timeout.
    deadline: Instant,
    /// When a missing response of the instance is reported to the control code next.
    suspect_at: Instant,
}

const LEASED: &str = "the connection stays leased until the relay ends";

impl<'a> Relay<'a> {
    pub(super) fn new(settings: RelaySettings<'a>, lease: Lease, slot: Slot) -> Self {
        let may_retry = settings.is_repeatable && settings.head.access == Access::Read;
        let began_at = settings.home.clock.now();
        let mut relay = Self {
            is_confirmed: !settings.target.must_confirm,
            settings,
            home_lease: HomeLeaseState::Valid,
            lease: Some(lease),
            slot: Some(slot),
            output: Output::default(),
            is_busy: false,
            is_cancelled: false,
            cancelling: None,
            retry_frames: may_retry.then(VecDeque::new),
            began_at,
            last_activity_at: began_at,
            timers: Timers {
                deadline: Instant::now(),
                suspect_at: Instant::now(),
            },
        };
        relay.restart_timers();
        if !relay.is_confirmed {
            confirm::request_reports(&relay.settings.home, &relay.settings.target);
        }
        relay
    }

    /// Runs until the transaction has ended and its complete response was sent.
    pub(super) async fn run(mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        loop {
            while self.lease().has_room()
                && let Some(frame) = caller.backlog.pop_front()
            {
                self.forward_frame(frame, caller).await?;
            }
            match self.wait(caller).await {
                Wake::Frame(Ok(frame)) => self.forward_frame(frame, caller).await?,
                Wake::Frame(Err(_lost)) => return Err(Stop::CallerLost),
                Wake::Read(Ok(())) => {
                    if self.forward_response(caller).await? {
                        return Ok(());
                    }
                }
                Wake::Read(Err(error)) => return Err(self.connection_lost(&error, caller)),
                Wake::Cancelled => self.cancelling = None,
                Wake::Timer => self.handle_timer(caller)?,
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

    /// Forwards one frame of the caller to the instance.
    async fn forward_frame(
        &mut self,
        frame: CallerFrame,
        caller: &mut Caller<'_, '_>,
    ) -> Result<(), Stop> {
        match frame {
            CallerFrame::Disconnected => return Err(Stop::CallerLost),
            CallerFrame::Cancel => {
                self.cancel();
                return Ok(());
            }
            CallerFrame::Messages(_) | CallerFrame::Definition { .. } => {}
        }
        if !self.is_busy {
            self.begin_statement(caller).await?;
        }
        self.store_for_retry(&frame);
        if !self.settings.home.is_leased() {
            self.home_lease = HomeLeaseState::Lapsed;
        }
        let lease = self.lease.as_mut().expect(LEASED);
        let taken = match frame {
            CallerFrame::Messages(messages) => lease.take_messages(messages),
            CallerFrame::Definition { name, parse } => lease.define(&name, &parse),
            CallerFrame::Cancel | CallerFrame::Disconnected => Ok(()),
        };
        if let Err(error) = taken {
            log::warn!("event=caller_message_invalid error=\"{error}\"");
            return Err(Stop::CallerLost);
        }
        let written = lease.write_now();
        written.map_err(|error| self.connection_lost(&error, caller))
    }

    /// Waits for a slot, unless the transaction still holds one.
    async fn begin_statement(&mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        if self.slot.is_none() {
            let home = Arc::clone(&self.settings.home);
            let instance = self.settings.target.instance.name.clone();
            let arrival = Arrival {
                deadline: home.clock.now() + self.budget(),
                ..self.settings.arrival.clone()
            };
            let slot = schedule::slot(&home, &instance, &arrival);
            self.slot = Some(caller.run_unless_cancelled(slot).await??);
        }
        self.is_busy = true;
        self.home_lease = HomeLeaseState::Valid;
        self.restart_timers();
        Ok(())
    }

    fn store_for_retry(&mut self, frame: &CallerFrame) {
        let Some(retry_frames) = &mut self.retry_frames else {
            return;
        };
        retry_frames.push_back(frame.clone());
        let bytes: usize = retry_frames.iter().map(StreamFrame::content_bytes).sum();
        if bytes > MAX_RETRY_BYTES {
            self.retry_frames = None;
        }
    }

    /// Forwards the messages read from the instance; returns whether the transaction has ended.
    async fn forward_response(&mut self, caller: &mut Caller<'_, '_>) -> Result<bool, Stop> {
        self.restart_timers();
        loop {
            let part = match self.lease().next_part() {
                Ok(Some(part)) => part,
                Ok(None) => break,
                Err(error) => return Err(self.connection_lost(&error, caller)),
            };
            match part {
                ResponsePart::Ready(message) => {
                    if self.end_statement(message, caller).await? {
                        return Ok(true);
                    }
                }
                ResponsePart::Failed(message) if is_fatal(&message) => {
                    return Err(self.connection_lost(&UpstreamError::Closed, caller));
                }
                part => self.output.push(part).map_err(Refusal::without_retry)?,
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
            // A transaction that may hold locks keeps its slot: if statements waiting for those
            // locks took every slot, the transaction could never end.
            if has_ended || self.settings.head.access == Access::Read {
                self.slot = None;
            }
        }
        if has_ended {
            self.release_connection();
        }
        let home = Arc::clone(&self.settings.home);
        let head = self.settings.head;
        if self.settings.target.is_primary && self.output.needs_gate(head.access, status) {
            let position = position
                .clone()
                .ok_or(Refusal::without_retry(RefusalReason::AnswerLost))?;
            self.send_ready(caller).await?;
            let save = Save {
                started_under: self
                    .settings
                    .target
                    .term
                    .clone()
                    .unwrap_or_else(|| position.term.clone()),
                position,
                primary: self.settings.target.instance.name.clone(),
            };
            let timeout = Duration::from_millis(home.settings.control.gate_timeout_ms);
            let deadline = Instant::now() + timeout.min(self.budget());
            release::gate(&home, &save, deadline)
                .await
                .map_err(Refusal::without_retry)?;
        } else if self.home_lease == HomeLeaseState::Lapsed && !self.settings.target.must_confirm {
            // Another home may have acknowledged writes before this read began, which it did not
            // see. Those acknowledged since need not be seen.
            return Err(Refusal::without_retry(RefusalReason::AnswerLost).into());
        }
        if let Some(position) = position {
            home.with_state(|state| {
                state.marks.record_seen(&session_key(head), &position);
                if self.settings.target.is_primary {
                    state.primary_reached(&position, home.clock.now());
                }
            });
            send(caller, HomeFrame::Seen(position), self.budget()).await?;
        }
        self.output.finish(message);
        self.send_ready(caller).await?;
        if !has_ended {
            caller.io.flush().await.map_err(|_lost| Stop::CallerLost)?;
            self.retry_frames = None;
            self.restart_timers();
        }
        Ok(has_ended)
    }

    /// Ends the use of the connection; it is reused only if it is clean and no cancel request was
    /// sent for it.
    fn release_connection(&mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        if !self.is_cancelled {
            lease.release();
        }
    }

    async fn send_ready(&mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        if !self.is_confirmed && self.output.has_ready() {
            let target = &self.settings.target;
            let deadline = Instant::now() + self.budget();
            confirm::confirmed(&self.settings.home, target, self.began_at, deadline)
                .await
                .map_err(Refusal::without_retry)?;
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

    /// Sends a cancel request for the running statement.
    fn cancel(&mut self) {
        if !self.is_busy || self.is_cancelled {
            return;
        }
        self.is_cancelled = true;
        let key = self.lease().cancel_key;
        self.cancelling = Some(Box::pin(key.send(CANCEL_TIMEOUT)));
    }

    /// Reports the failure of the connection to the control code and ends the statement.
    fn connection_lost(&mut self, error: &UpstreamError, caller: &mut Caller<'_, '_>) -> Stop {
        self.settings.target.instance.health.post_failure(error);
        self.end_without_response(RefusalReason::AnswerLost, caller)
    }

    /// Ends a statement that will get no response, or retries it on another instance.
    fn end_without_response(&mut self, reason: RefusalReason, caller: &mut Caller<'_, '_>) -> Stop {
        // Without the lease, `Drop` sends no cancel request, which would be useless on a lost
        // connection, and releases the slot immediately.
        self.lease = None;
        if !self.is_busy {
            return Stop::Aborted(RefusalReason::TransactionLost);
        }
        match self.retry_frames.take() {
            Some(retry_frames) if !self.output.is_released => {
                let rest = std::mem::replace(&mut caller.backlog, retry_frames);
                caller.backlog.extend(rest);
                Stop::Retry
            }
            _ => Refusal::without_retry(reason).into(),
        }
    }

    /// Returns whether the control code has replaced the primary that was selected, or considers
    /// the selected replica unreachable.
    fn is_replaced(&self) -> bool {
        let target = &self.settings.target;
        let Some(view) = self.settings.home.view() else {
            return false;
        };
        let name = &target.instance.name;
        if target.is_primary {
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
        self.last_activity_at = self.settings.home.clock.now();
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

    fn handle_timer(&mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        let now = Instant::now();
        if !self.is_busy {
            return Err(Stop::Aborted(RefusalReason::IdleInTransaction));
        }
        if now >= self.timers.suspect_at {
            let settings = &self.settings.home.settings.control;
            self.timers.suspect_at = now + Duration::from_millis(settings.suspect_after_ms);
            self.settings
                .target
                .instance
                .health
                .post_no_response(self.last_activity_at);
            if self.is_replaced() {
                let reason = if self.settings.target.is_primary {
                    RefusalReason::TermChanged
                } else {
                    RefusalReason::AnswerLost
                };
                return Err(self.end_without_response(reason, caller));
            }
        }
        if now < self.timers.deadline {
            return Ok(());
        }
        if self.is_cancelled {
            return Err(Refusal::without_retry(RefusalReason::AnswerLost).into());
        }
        self.timers.deadline = now + CANCEL_TIMEOUT;
        self.cancel();
        Ok(())
    }
}

async fn send(caller: &mut Caller<'_, '_>, frame: HomeFrame, limit: Duration) -> Result<(), Stop> {
    // A caller that does not read for this long must not keep a connection occupied.
    match timeout_at(Instant::now() + limit, caller.io.send(frame)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(Stop::CallerLost),
    }
}

impl Drop for Relay<'_> {
    /// Cancels a statement whose response is no longer awaited; its slot stays taken until the
    /// instance has finished it.
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

/// Cancels the statement that runs on a connection, waits until it has ended, and closes the
/// connection.
async fn abandon(mut lease: Lease, slot: Option<Slot>) {
    let until = Instant::now() + CANCEL_TIMEOUT;
    let key = lease.cancel_key;
    let ending = async {
        key.send(CANCEL_TIMEOUT).await?;
        loop {
            while let Some(part) = lease.next_part()? {
                if matches!(part, ResponsePart::Ready(_)) && lease.replies.is_empty() {
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
