//! Execution of one exchange, including retries on other instances.

use std::collections::VecDeque;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::admission::{Admitted, admit, home_unknown};
use super::choose::{Target, choose};
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

/// Maximum number of bytes buffered from a caller while its exchange can't run yet.
const MAX_BACKLOG_BYTES: usize = 64 * 1024;

/// Delay before the next attempt after an instance could not be reached.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Longest time for which connection attempts to unreachable instances are repeated.
const CONNECT_RETRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an exchange, or one attempt at it, ended early.
#[derive(Debug)]
pub(super) enum Stop {
    /// The caller has disconnected.
    CallerLost,
    /// The refusal is sent to the caller immediately.
    Refused(Refusal),
    /// The transaction was aborted while no request of the caller was running; the reason is sent
    /// in response to the caller's next request.
    Aborted(RefusalReason),
    /// The caller has received nothing yet, so the request may be sent to another instance.
    Retry,
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Caller of an exchange, with the frames that were received but not processed yet.
pub(super) struct Caller<'a, 'io> {
    pub(super) io: &'a mut HomeIo<'io>,
    pub(super) backlog: VecDeque<CallerFrame>,
}

impl Caller<'_, '_> {
    /// Runs a future to completion unless the caller disconnects or cancels first. Other frames of
    /// the caller are buffered in the backlog meanwhile.
    ///
    /// # Errors
    ///
    /// Fails when the caller disconnects or cancels.
    pub(super) async fn run_unless_cancelled<T>(
        &mut self,
        future: impl Future<Output = T>,
    ) -> Result<T, Stop> {
        let mut future = pin!(future);
        loop {
            let bytes: usize = self.backlog.iter().map(StreamFrame::content_bytes).sum();
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                frame = self.io.recv(), if bytes < MAX_BACKLOG_BYTES => match frame {
                    Ok(CallerFrame::Cancel) => {
                        return Err(Refusal::without_retry(RefusalReason::Cancelled).into());
                    }
                    Ok(CallerFrame::Disconnected) | Err(_) => return Err(Stop::CallerLost),
                    Ok(frame) => self.backlog.push_back(frame),
                }
            }
        }
    }

    /// Waits for the caller's next request.
    async fn next_request(&mut self) -> Result<(), Stop> {
        loop {
            match self.io.recv().await {
                Ok(CallerFrame::Messages(_)) => return Ok(()),
                Ok(CallerFrame::Definition { .. } | CallerFrame::Cancel) => {}
                Ok(CallerFrame::Disconnected) | Err(_) => return Err(Stop::CallerLost),
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

/// Runs an exchange to completion and sends its final frames.
pub(super) async fn run(shared: &Shared, head: ExchangeHead, io: &mut HomeIo<'_>) -> ExchangeEnd {
    let mut caller = Caller {
        io,
        backlog: VecDeque::new(),
    };
    let mut stop = attempts(shared, &head, &mut caller).await;
    if let Err(Stop::Aborted(reason)) = stop {
        let next = caller.next_request().await;
        stop = next.and(Err(Refusal::without_retry(reason).into()));
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

/// Repeats the exchange until it has run, or until no further attempt is allowed.
async fn attempts(
    shared: &Shared,
    head: &ExchangeHead,
    caller: &mut Caller<'_, '_>,
) -> Result<(), Stop> {
    let admitted = caller.run_unless_cancelled(admit(shared, head)).await??;
    let home = Arc::clone(&admitted.home);
    let Some(_running) = home.work.start() else {
        return Err(home_unknown().into());
    };
    let mut attempt = Attempt {
        head,
        admitted,
        deadline: Instant::now() + Duration::from_millis(head.budget_ms),
        connect_retry_until: Instant::now() + CONNECT_RETRY_TIMEOUT,
        excluded: Vec::new(),
        count: 0,
    };
    loop {
        attempt.count += 1;
        match attempt.run(caller).await {
            Err(Stop::Retry) => attempt.wait_before_retry(caller).await?,
            ended => return ended,
        }
    }
}

/// State shared by the attempts to run one exchange.
struct Attempt<'a> {
    head: &'a ExchangeHead,
    admitted: Admitted,
    deadline: Instant,
    connect_retry_until: Instant,
    /// Instances on which an attempt at this exchange has failed.
    excluded: Vec<InstanceName>,
    count: u32,
}

impl Attempt<'_> {
    async fn run(&mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        loop {
            let target = caller.run_unless_cancelled(self.choose()).await??;
            let slot = caller.run_unless_cancelled(self.slot(&target)).await??;
            let home = Arc::clone(&self.admitted.home);
            let _writing = (self.head.access == Access::Write).then(|| home.work.start_write());
            if !self.is_current(&target) {
                continue;
            }
            let Some((lease, slot)) = self.connect(caller, &target, slot).await? else {
                continue;
            };
            let settings = RelaySettings {
                home: Arc::clone(&self.admitted.home),
                head: self.head,
                arrival: self.arrival(),
                is_repeatable: self.admitted.policy.repeatable,
                target: target.clone(),
            };
            let ended = Relay::new(settings, lease, slot).run(caller).await;
            if matches!(ended, Err(Stop::Retry)) {
                self.excluded.push(target.instance.name.clone());
            }
            return ended;
        }
    }

    async fn choose(&self) -> Result<Target, Refusal> {
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
            class: self.admitted.policy.class.into(),
            weight: self.admitted.weight,
            kind: 0,
            due: None,
            deadline: home.clock.now() + left,
        }
    }

    async fn slot(&self, target: &Target) -> Result<Slot, Refusal> {
        let home = &self.admitted.home;
        schedule::slot(home, &target.instance.name, &self.arrival()).await
    }

    /// Returns whether the selected instance is still valid after waiting for a slot.
    fn is_current(&self, target: &Target) -> bool {
        let view = self.admitted.home.view();
        view.is_some_and(|view| {
            let is_primary = view.primary.as_ref() == Some(&target.instance.name);
            let is_paused = self.head.access == Access::Write && view.writes_paused;
            is_primary == target.is_primary && view.term == target.term && !is_paused
        })
    }

    /// Takes a connection and applies the caller's settings; returns `None` when another instance
    /// must be selected.
    async fn connect(
        &mut self,
        caller: &mut Caller<'_, '_>,
        target: &Target,
        slot: Slot,
    ) -> Result<Option<(Lease, Slot)>, Stop> {
        let pool = &target.instance.pool;
        // With every connection in use, release the slot while waiting: the open transactions need
        // slots to finish and free a connection.
        let slot = (!pool.is_saturated()).then_some(slot);
        let taken = caller
            .run_unless_cancelled(pool.take(&self.head.settings, self.deadline))
            .await?;
        let mut lease = match taken {
            Ok(lease) => lease,
            Err(PoolError::Exhausted) => {
                let after = self.admitted.home.retry_after();
                return Err(Refusal::with_retry(RefusalReason::Overloaded, after).into());
            }
            Err(PoolError::Unreachable) => return self.unreachable(caller, target).await,
        };
        let slot = match slot {
            Some(slot) => slot,
            None => caller.run_unless_cancelled(self.slot(target)).await??,
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        match lease.apply_settings(&self.head.settings, left).await {
            Ok(()) => Ok(Some((lease, slot))),
            Err(UpstreamError::Refused { sqlstate, message }) => {
                log::warn!("event=setting_refused sqlstate={sqlstate} message={message:?}");
                Err(Refusal::without_retry(RefusalReason::SessionStateUnsupported).into())
            }
            Err(error) => {
                target.instance.health.post_failure(&error);
                self.unreachable(caller, target).await
            }
        }
    }

    /// Handles an unreachable instance, to which nothing was sent: waits before the next attempt,
    /// or refuses the exchange when the time for connection attempts is over.
    async fn unreachable<T>(
        &mut self,
        caller: &mut Caller<'_, '_>,
        target: &Target,
    ) -> Result<Option<T>, Stop> {
        let until = self.connect_retry_until.min(self.deadline);
        if Instant::now() + CONNECT_RETRY_DELAY >= until {
            let reason = if target.is_primary {
                RefusalReason::PrimaryUnknown
            } else {
                RefusalReason::NoInstance
            };
            return Err(Refusal::with_retry(reason, self.admitted.home.retry_after()).into());
        }
        if !target.is_primary {
            self.excluded.push(target.instance.name.clone());
        }
        caller
            .run_unless_cancelled(sleep(CONNECT_RETRY_DELAY))
            .await?;
        Ok(None)
    }

    /// Waits before a request is retried, if the workspace's retry budget allows it.
    async fn wait_before_retry(&mut self, caller: &mut Caller<'_, '_>) -> Result<(), Stop> {
        debug_assert_eq!(self.head.access, Access::Read, "only reads are retried");
        let request = RetryRequest {
            attempts: self.count,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            expected: Duration::ZERO,
            jitter: rand::random(),
        };
        let home = &self.admitted.home;
        let delay = home.with_state(|state| state.retries.take(&self.head.workspace, &request));
        let Some(delay) = delay else {
            return Err(Refusal::without_retry(RefusalReason::AnswerLost).into());
        };
        caller.run_unless_cancelled(sleep(delay)).await
    }
}
