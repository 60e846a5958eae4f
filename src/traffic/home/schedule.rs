//! Slots of an instance: who runs next, and how long each held a slot.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use super::database::Home;
use super::state::{HomeState, Ticket};
use crate::control::fairness::{Arrival, RunKey, Shed, WaiterKey};
use crate::name::InstanceName;
use crate::traffic::{Refusal, RefusalReason};

/// Slot of an instance; given back when dropped.
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
        self.home.with_state(|state| {
            if let Some(queue) = state.queue(&self.instance) {
                queue.finish(self.run, cost);
            }
            start_waiting(state, &self.instance);
        });
    }
}

/// Place in the queue; left when dropped.
struct Place<'a> {
    home: &'a Arc<Home>,
    instance: &'a InstanceName,
    waiter: WaiterKey,
    granted: oneshot::Receiver<Result<RunKey, Refusal>>,
}

impl Place<'_> {
    fn slot(&self, run: RunKey) -> Slot {
        Slot {
            home: Arc::clone(self.home),
            instance: self.instance.clone(),
            run,
            since: Instant::now(),
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        // A slot that was granted in between goes back at once.
        if let Ok(Ok(run)) = self.granted.try_recv() {
            drop(self.slot(run));
            return;
        }
        self.home.with_state(|state| {
            if let Some(queue) = state.queue(self.instance) {
                queue.leave(self.waiter);
            }
        });
    }
}

/// Waits for a slot of an instance.
///
/// # Errors
///
/// Fails with what the caller is told when the queue refuses the request.
pub(super) async fn slot(
    home: &Arc<Home>,
    instance: &InstanceName,
    arrival: &Arrival,
) -> Result<Slot, Refusal> {
    let no_instance = || Refusal::retry(RefusalReason::NoInstance, home.retry_after());
    let (ticket, granted) = oneshot::channel();
    let now = home.clock.now();
    let waiter = home.with_state(|state| {
        let queue = state.queue(instance).ok_or_else(no_instance)?;
        let entered = queue.enter(arrival, ticket, now);
        let entered = entered.map_err(|shed| shed.refusal)?;
        entered.shed.into_iter().for_each(refuse);
        start_waiting(state, instance);
        Ok(entered.waiter)
    })?;
    let mut place = Place {
        home,
        instance,
        waiter,
        granted,
    };
    let deadline = home.clock.instant(arrival.deadline);
    loop {
        tokio::select! {
            granted = &mut place.granted => {
                let run = granted.map_err(|_dropped| no_instance())??;
                return Ok(place.slot(run));
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
    // The caller may have gone.
    let _ = shed.ticket.send(Err(shed.refusal));
}

/// Gives free slots to those whose turn it is.
fn start_waiting(state: &mut HomeState, instance: &InstanceName) {
    let Some(queue) = state.queue(instance) else {
        return;
    };
    while let Some(started) = queue.start() {
        if started.ticket.send(Ok(started.run)).is_err() {
            queue.finish(started.run, std::time::Duration::ZERO);
        }
    }
}
