//! One exchange from its head to its end.

use std::collections::VecDeque;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::admission::{Admitted, admit, home_unknown};
use super::choose::{Place, choose};
use super::relay::{Relay, RelaySettings};
use super::schedule::{self, Slot};
use super::{ExchangeEnd, Shared};
use crate::control::fairness::Arrival;
use crate::control::retry::RetryRequest;
use crate::name::InstanceName;
use crate::peer::stream::StreamFrame;
use crate::traffic::io::HomeIo;
use crate::traffic::pool::{Lease, PoolError};
use crate::traffic::upstream::UpstreamError;
use crate::traffic::{Access, CallerFrame, ExchangeHead, HomeFrame, Refusal, RefusalReason};

/// Bytes of the caller that are kept while its exchange can't run yet.
const MAX_BACKLOG_BYTES: usize = 64 * 1024;

/// Pause before another try at an instance that can't be reached.
const REACH_PAUSE: Duration = Duration::from_millis(10);

/// Longest time for which tries at instances that can't be reached go on.
const REACH_TIME: Duration = Duration::from_secs(1);

/// Why an exchange ends, or its attempt does.
#[derive(Debug)]
pub(super) enum Stop {
    /// The caller has gone.
    CallerLost,
    /// The caller is told this at once.
    Refused(Refusal),
    /// The transaction has ended while the caller asks for nothing; it is told when it next does.
    Aborted(RefusalReason),
    /// Nothing has reached the caller, and the request may be sent again.
    Retry,
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Caller of an exchange, with its frames that were received but not used yet.
pub(super) struct Caller<'a, 'io> {
    pub(super) io: &'a mut HomeIo<'io>,
    pub(super) backlog: VecDeque<CallerFrame>,
}

impl Caller<'_, '_> {
    /// Waits for a future while the caller neither goes away nor cancels.
    ///
    /// # Errors
    ///
    /// Fails when it does.
    pub(super) async fn stay<T>(&mut self, future: impl Future<Output = T>) -> Result<T, Stop> {
        let mut future = pin!(future);
        loop {
            let bytes: usize = self.backlog.iter().map(StreamFrame::content_bytes).sum();
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                frame = self.io.recv(), if bytes < MAX_BACKLOG_BYTES => match frame {
                    Ok(CallerFrame::Cancel) => {
                        return Err(Refusal::last(RefusalReason::Cancelled).into());
                    }
                    Ok(CallerFrame::Gone) | Err(_) => return Err(Stop::CallerLost),
                    Ok(frame) => self.backlog.push_back(frame),
                }
            }
        }
    }

    /// Waits until the caller asks for something.
    async fn next_request(&mut self) -> Result<(), Stop> {
        loop {
            match self.io.recv().await {
                Ok(CallerFrame::Messages(_)) => return Ok(()),
                Ok(CallerFrame::Definition { .. } | CallerFrame::Cancel) => {}
                Ok(CallerFrame::Gone) | Err(_) => return Err(Stop::CallerLost),
            }
        }
    }

    async fn end(&mut self, refusal: Option<Refusal>) -> ExchangeEnd {
        let refused = refusal.map(HomeFrame::Refused);
        for frame in refused.into_iter().chain([HomeFrame::End]) {
            if self.io.send(frame).await.is_err() {
                return ExchangeEnd::CallerLost;
            }
        }
        if self.io.flush().await.is_err() {
            return ExchangeEnd::CallerLost;
        }
        refusal.map_or(ExchangeEnd::Answered, ExchangeEnd::Refused)
    }
}

/// Runs an exchange to its end.
pub(super) async fn run(shared: &Shared, head: ExchangeHead, io: &mut HomeIo<'_>) -> ExchangeEnd {
    let mut caller = Caller {
        io,
        backlog: VecDeque::new(),
    };
    let mut stop = attempts(shared, &head, &mut caller).await;
    if let Err(Stop::Aborted(reason)) = stop {
        let next = caller.next_request().await;
        stop = next.and(Err(Refusal::last(reason).into()));
    }
    match stop {
        Ok(()) => caller.end(None).await,
        Err(Stop::Refused(refusal)) => {
            log::debug!(
                "event=exchange_refused database={} reason={}",
                head.database,
                refusal.reason
            );
            caller.end(Some(refusal)).await
        }
        Err(Stop::CallerLost | Stop::Aborted(_) | Stop::Retry) => ExchangeEnd::CallerLost,
    }
}

/// Tries until the exchange has run, or there is nothing more to try.
async fn attempts(
    shared: &Shared,
    head: &ExchangeHead,
    caller: &mut Caller<'_, '_>,
) -> Result<(), Stop> {
    let admitted = caller.stay(admit(shared, head)).await??;
    let home = Arc::clone(&admitted.home);
    let Some(_running) = home.work.start() else {
        return Err(home_unknown().into());
    };
    let mut attempt = Attempt {
        head,
        admitted,
        deadline: Instant::now() + Duration::from_millis(head.budget_ms),
        reach_until: Instant::now() + REACH_TIME,
        excluded: Vec::new(),
        count: 0,
    };
    loop {
        attempt.count += 1;
        match attempt.run(caller).await {
            Err(Stop::Retry) => attempt.pause_before_retry(caller).await?,
            ended => return ended,
        }
    }
}

/// Attempts of one exchange.
struct Attempt<'a> {
    head: &'a ExchangeHead,
    admitted: Admitted,
    deadline: Instant,
    reach_until: Instant,
    /// Instances that have failed this exchange.
    excluded: Vec<InstanceName>,
    count: u32,
}

impl Attempt<'_> {
    async fn run(&mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        loop {
            let place = caller.stay(self.choose()).await??;
            let slot = caller.stay(self.slot(&place)).await??;
            let home = Arc::clone(&self.admitted.home);
            let _writing = (self.head.access == Access::Write).then(|| home.work.start_write());
            if !self.is_current(&place) {
                continue;
            }
            let Some((lease, slot)) = self.connect(caller, &place, slot).await? else {
                continue;
            };
            let settings = RelaySettings {
                home: Arc::clone(&self.admitted.home),
                head: self.head,
                arrival: self.arrival(),
                is_repeatable: self.admitted.policy.repeatable,
                place: place.clone(),
            };
            let ended = Relay::new(settings, lease, slot).run(caller).await;
            if matches!(ended, Err(Stop::Retry)) {
                self.excluded.push(place.instance.name.clone());
            }
            return ended;
        }
    }

    async fn choose(&self) -> Result<Place, Refusal> {
        let max_staleness = Duration::from_millis(self.admitted.policy.max_staleness_ms.into());
        choose(
            &self.admitted.home,
            self.head,
            max_staleness,
            self.deadline,
            &self.excluded,
        )
        .await
    }

    fn arrival(&self) -> Arrival {
        let home = &self.admitted.home;
        let left = self.deadline.saturating_duration_since(Instant::now());
        Arrival {
            workspace: self.head.workspace.clone(),
            class: self.admitted.policy.class,
            weight: self.admitted.weight,
            deadline: home.clock.now() + left,
        }
    }

    async fn slot(&self, place: &Place) -> Result<Slot, Refusal> {
        let home = &self.admitted.home;
        schedule::slot(home, &place.instance.name, &self.arrival()).await
    }

    /// Returns whether the choice still holds after the wait for a slot.
    fn is_current(&self, place: &Place) -> bool {
        let view = self.admitted.home.view();
        view.is_some_and(|view| {
            let is_primary = view.primary.as_ref() == Some(&place.instance.name);
            let is_paused = self.head.access == Access::Write && view.writes_paused;
            is_primary == place.is_primary && view.term == place.term && !is_paused
        })
    }

    /// Takes a connection with the caller's settings; `None` when another choice must be made.
    async fn connect(
        &mut self,
        caller: &mut Caller<'_, '_>,
        place: &Place,
        slot: Slot,
    ) -> Result<Option<(Lease, Slot)>, Stop> {
        let pool = &place.instance.pool;
        // Open transactions need slots to end and so to free a connection.
        let slot = (!pool.is_saturated()).then_some(slot);
        let taken = caller
            .stay(pool.take(&self.head.settings, self.deadline))
            .await?;
        let mut lease = match taken {
            Ok(lease) => lease,
            Err(PoolError::Exhausted) => {
                let after = self.admitted.home.retry_after();
                return Err(Refusal::retry(RefusalReason::Overloaded, after).into());
            }
            Err(PoolError::Unreachable) => return self.unreachable(caller, place).await,
        };
        let slot = match slot {
            Some(slot) => slot,
            None => caller.stay(self.slot(place)).await??,
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        match lease.apply_settings(&self.head.settings, left).await {
            Ok(()) => Ok(Some((lease, slot))),
            Err(UpstreamError::Refused { sqlstate, message }) => {
                log::warn!("event=setting_refused sqlstate={sqlstate} message={message:?}");
                Err(Refusal::last(RefusalReason::SessionStateUnsupported).into())
            }
            Err(error) => {
                place.instance.evidence.failed(&error);
                self.unreachable(caller, place).await
            }
        }
    }

    /// Notes that an instance can't be reached; nothing was sent to it.
    async fn unreachable<T>(
        &mut self,
        caller: &mut Caller<'_, '_>,
        place: &Place,
    ) -> Result<Option<T>, Stop> {
        let until = self.reach_until.min(self.deadline);
        if Instant::now() + REACH_PAUSE >= until {
            let reason = if place.is_primary {
                RefusalReason::PrimaryUnknown
            } else {
                RefusalReason::NoInstance
            };
            return Err(Refusal::retry(reason, self.admitted.home.retry_after()).into());
        }
        if !place.is_primary {
            self.excluded.push(place.instance.name.clone());
        }
        caller.stay(sleep(REACH_PAUSE)).await?;
        Ok(None)
    }

    /// Waits before a request is sent again, if the workspace's budget allows it.
    async fn pause_before_retry(&mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        debug_assert_eq!(self.head.access, Access::Read, "only reads are sent again");
        let request = RetryRequest {
            attempts: self.count,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            expected: Duration::ZERO,
            jitter: rand::random(),
        };
        let home = &self.admitted.home;
        let pause = home.with_state(|state| state.retries.take(&self.head.workspace, &request));
        let Some(pause) = pause else {
            return Err(Refusal::last(RefusalReason::AnswerLost).into());
        };
        caller.stay(sleep(pause)).await
    }
}
