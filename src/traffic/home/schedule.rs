//! Fair queueing for the slots of an instance.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use super::database::Home;
use super::state::{HomeState, Ticket};
use crate::control::fairness::{Arrival, RunKey, Shed, WaiterKey};
use crate::name::InstanceName;
use crate::time::Timestamp;
use crate::traffic::{Refusal, RefusalReason};

/// Slot of an instance; released when dropped, with the time it was held as its cost.
#[derive(Debug)]
pub(super) struct Slot {
    home: Arc<Home>,
    instance: InstanceName,
    run: RunKey,
    since: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let cost = self.since.elapsed();
        let now = self.home.clock.now();
        self.home.with_state(|state| {
            if let Some(queue) = state.queue(&self.instance) {
                queue.finish(self.run, cost, now);
            }
            start_waiting(state, &self.instance, now);
        });
    }
}

/// Request in the queue of an instance; removed from the queue when dropped.
struct QueuedRequest<'a> {
    home: &'a Arc<Home>,
    instance: &'a InstanceName,
    waiter: WaiterKey,
    granted: oneshot::Receiver<Result<RunKey, Refusal>>,
}

impl QueuedRequest<'_> {
    fn slot(&self, run: RunKey) -> Slot {
        Slot {
            home: Arc::clone(self.home),
            instance: self.instance.clone(),
            run,
            since: Instant::now(),
        }
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        // If a slot was granted in the meantime, release it.
        if let Ok(Ok(run)) = self.granted.try_recv() {
            drop(self.slot(run));
            return;
        }
        self.home.with_state(|state| {
            if let Some(queue) = state.queue(self.instance) {
                queue.cancel(self.waiter);
            }
        });
    }
}

/// Waits for a slot of an instance.
///
/// # Errors
///
/// Returns the refusal to send to the caller when the queue rejects the request.
pub(super) async fn slot(
    home: &Arc<Home>,
    instance: &InstanceName,
    arrival: &Arrival,
) -> Result<Slot, Refusal> {
    let no_instance = || Refusal::with_retry(RefusalReason::NoInstance, home.retry_after());
    let (ticket, granted) = oneshot::channel();
    let now = home.clock.now();
    let waiter = home.with_state(|state| {
        let queue = state.queue(instance).ok_or_else(no_instance)?;
        let entered = queue.enter(arrival, ticket, now);
        let entered = entered.map_err(|shed| shed.refusal)?;
        entered.shed.into_iter().for_each(refuse);
        start_waiting(state, instance, now);
        Ok(entered.waiter)
    })?;
    let mut queued = QueuedRequest {
        home,
        instance,
        waiter,
        granted,
    };
    let deadline = home.clock.instant(arrival.deadline);
    loop {
        tokio::select! {
            granted = &mut queued.granted => {
                let run = granted.map_err(|_dropped| no_instance())??;
                return Ok(queued.slot(run));
            }
            () = sleep_until(deadline) => expire(home, instance),
        }
    }
}

fn expire(home: &Home, instance: &InstanceName) {
    let now = home.clock.now();
    let expired = home.with_state(|state| state.queue(instance).map(|queue| queue.expire(now)));
    expired.into_iter().flatten().for_each(refuse);
}

fn refuse(shed: Shed<Ticket>) {
    // The receiver is dropped when the caller has disconnected.
    let _ = shed.ticket.send(Err(shed.refusal));
}

/// Grants free slots to the requests that are next in the queue.
fn start_waiting(state: &mut HomeState, instance: &InstanceName, now: Timestamp) {
    let Some(queue) = state.queue(instance) else {
        return;
    };
    while let Some(started) = queue.start(now) {
        if started.ticket.send(Ok(started.run)).is_err() {
            queue.finish(started.run, std::time::Duration::ZERO, now);
        }
    }
}
