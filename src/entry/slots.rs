//! Slots of an instance at this VM: bounds the statements that run on the instance, and orders those
//! that wait.
//!
//! An instance serves its own queue in the order of arrival and rejects what doesn't fit. Waiting
//! here instead, urgent routes go first, workspaces share the instance by their rates, and a
//! statement that can't start in time is refused before it is sent, at once or as soon as that is
//! known.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use super::retry_delay::Drain;
use crate::control::fairness::{
    Arrival, Cost, FairQueue, FairQueueSettings, QueueClass, RunKey, Shed, WaiterKey,
};
use crate::name::WorkspaceName;
use crate::time::Timestamp;
use crate::traffic::Refusal;

/// Result of waiting for a slot.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Number of times that a statement is reviewed while it waits: whether those behind it can still
/// start in time.
const REVIEWS: u32 = 8;

/// Shortest time between two reviews of a waiting statement.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(5);

type Ticket = oneshot::Sender<Result<RunKey>>;

/// Statement that needs a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Workspace of the statement.
    pub workspace: WorkspaceName,
    /// Class of its route.
    pub class: QueueClass,
    /// Kind of the statement; statements of one kind usually take equally long.
    pub kind: u64,
    /// Weight of the workspace.
    pub weight: u32,
    /// Time that is left until its response is due by the latency objective.
    pub due_in: Duration,
    /// Longest time for which it may wait.
    pub max_wait: Duration,
}

/// Slots of one instance at this VM.
#[derive(Debug)]
pub struct Slots {
    queue: RefCell<FairQueue<Ticket>>,
    created_at: Instant,
}

/// Slot of an instance; released when dropped, with the time it was held as its cost.
#[derive(Debug)]
pub struct Slot {
    slots: Rc<Slots>,
    run: RunKey,
    since: Instant,
    sent_at: Option<Instant>,
}

impl Slot {
    /// Records that the statement is sent now: the time before, for a connection, says nothing about
    /// the speed of the instance.
    pub fn statement_sent(&mut self) {
        self.sent_at = Some(Instant::now());
    }

    /// Records that the instance didn't run the statement: how fast it rejects says nothing about the
    /// statements that it runs.
    pub fn statement_rejected(&mut self) {
        self.sent_at = None;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.slots.now();
        let cost = Cost {
            held: self.since.elapsed(),
            duration: self.sent_at.map(|at| at.elapsed()),
        };
        self.slots.queue.borrow_mut().finish(self.run, cost, now);
        self.slots.start_waiting();
    }
}

/// Request in the queue; removed from it when dropped.
struct QueuedRequest<'a> {
    slots: &'a Rc<Slots>,
    waiter: WaiterKey,
    granted: oneshot::Receiver<Result<RunKey>>,
}

impl QueuedRequest<'_> {
    fn slot(&self, run: RunKey) -> Slot {
        Slot {
            slots: Rc::clone(self.slots),
            run,
            since: Instant::now(),
            sent_at: None,
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
        self.slots.queue.borrow_mut().cancel(self.waiter);
    }
}

impl Slots {
    /// Builds the slots of an instance that runs `count` statements concurrently.
    pub fn new(count: u32) -> Rc<Self> {
        let queue = FairQueue::new(FairQueueSettings::default(), count);
        Rc::new(Self {
            queue: RefCell::new(queue),
            created_at: Instant::now(),
        })
    }

    /// Changes the number of statements that the instance runs concurrently.
    pub fn set_count(&self, count: u32) {
        self.queue.borrow_mut().set_slots(count);
    }

    /// Returns the number of statements that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.borrow().waiting()
    }

    /// Returns in which time what waits now gets a slot.
    pub fn drain(&self) -> Drain {
        let queue = self.queue.borrow();
        Drain {
            expected: queue.drain(self.now()),
            interval: queue.interval(),
        }
    }

    /// Records that the instance rejected a statement for lack of capacity.
    pub fn on_rejected(&self) {
        self.queue.borrow_mut().on_rejected();
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Fails at once when no slot is expected within the longest wait, and otherwise when that is no
    /// longer expected or more urgent requests need the room. Nothing was sent.
    pub async fn take(self: &Rc<Self>, request: &SlotRequest) -> Result<Slot> {
        let (ticket, granted) = oneshot::channel();
        let now = self.now();
        let arrival = Arrival {
            workspace: request.workspace.clone(),
            class: request.class,
            kind: request.kind,
            weight: request.weight,
            due: Some(now + request.due_in),
            deadline: now + request.max_wait,
        };
        let entered = self.queue.borrow_mut().enter(&arrival, ticket, now);
        let entered = entered.map_err(|shed| shed.refusal)?;
        entered.shed.into_iter().for_each(refuse);
        let mut queued = QueuedRequest {
            slots: self,
            waiter: entered.waiter,
            granted,
        };
        self.start_waiting();
        let end = Instant::now() + request.max_wait;
        let interval = (request.max_wait / REVIEWS).max(MIN_REVIEW_INTERVAL);
        loop {
            let review_at = end.min(Instant::now() + interval);
            tokio::select! {
                biased;
                granted = &mut queued.granted => {
                    let run = granted.expect("the queue keeps the ticket until it is granted or refused")?;
                    return Ok(queued.slot(run));
                }
                () = sleep_until(review_at) => self.review(queued.waiter),
            }
        }
    }

    /// Returns the time since the slots were created. A suspension of the VM isn't counted, as it
    /// delays the statements that wait here as much as those that run.
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.created_at.elapsed()
    }

    /// Refuses what can't start in time any more.
    fn review(&self, waiter: WaiterKey) {
        let now = self.now();
        let mut queue = self.queue.borrow_mut();
        queue.expire(now).into_iter().for_each(refuse);
        queue.review(waiter, now).into_iter().for_each(refuse);
    }

    /// Grants free slots to the requests that are next.
    fn start_waiting(&self) {
        let now = self.now();
        loop {
            let started = self.queue.borrow_mut().start(now);
            let Some(started) = started else { return };
            if let Err(Ok(run)) = started.ticket.send(Ok(started.run)) {
                // The request has been cancelled meanwhile and used no time of the instance.
                self.queue.borrow_mut().finish(run, Duration::ZERO, now);
            }
        }
    }
}

fn refuse(shed: Shed<Ticket>) {
    // The receiver is dropped when the caller has disconnected.
    let _ = shed.ticket.send(Err(shed.refusal));
}

#[cfg(test)]
mod tests;
