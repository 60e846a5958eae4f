//! Weighted fair queue for the slots of one instance.
//!
//! Slot time is shared between workspaces by weight: a flow is charged its estimated cost when a
//! statement starts, and the difference to the actual cost when it ends. More urgent classes go
//! first, but the others are guaranteed a minimum share. Within a flow, the request with the least
//! time left goes first. Requests that can't meet their objective any more go after all others.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::concurrency::ConcurrencyLimit;
use crate::name::WorkspaceName;
use crate::time::Timestamp;
use crate::traffic::refusal::{Refusal, RefusalReason};

mod class;
mod estimate;
mod flow;

pub use class::QueueClass;
use class::{CLASSES, ClassQueue};
use flow::Flow;

new_key_type! {
    /// Handle of a request that waits for a slot.
    pub struct WaiterKey;
    /// Handle of a request that holds a slot.
    pub struct RunKey;
    struct FlowKey;
}

/// Number of flows above which idle ones, and their cost estimates, are dropped.
const MAX_IDLE_FLOWS: usize = 4_096;

/// A flow counts as slow if its estimated cost exceeds the mean cost of all statements by this
/// factor.
const SLOW_FLOW_FACTOR: u32 = 4;

/// Shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Number of late requests among which one is sought whose flow may take a slot.
const MAX_LATE_EXAMINED: usize = 8;

/// Place of a request in its flow: time at which its response is due, then order of arrival.
type Place = (Timestamp, u64);

/// Limits of a [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FairQueueSettings {
    /// Maximum number of waiting requests of all workspaces.
    pub max_waiting: usize,
    /// Maximum number of waiting requests of one workspace and class.
    pub max_waiting_per_flow: usize,
}

impl Default for FairQueueSettings {
    fn default() -> Self {
        Self {
            max_waiting: 4_096,
            max_waiting_per_flow: 512,
        }
    }
}

/// Request that arrives at the queue.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Class of its route.
    pub class: QueueClass,
    /// Kind of the statement; statements of one kind usually take equally long.
    pub kind: u64,
    /// Weight of the workspace.
    pub weight: u32,
    /// Time by which its response must arrive to meet the latency objective; `None` if there is no
    /// objective, which orders the requests of a flow by arrival.
    pub due: Option<Timestamp>,
    /// Latest time at which it may start.
    pub deadline: Timestamp,
}

/// What a statement took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cost {
    /// Time for which it held its slot.
    pub held: Duration,
    /// Time that the instance took for it, without that for a connection; `None` if it wasn't sent.
    pub duration: Option<Duration>,
}

impl From<Duration> for Cost {
    fn from(held: Duration) -> Self {
        Self {
            held,
            duration: Some(held),
        }
    }
}

/// Request that is refused.
#[derive(Debug)]
pub struct Shed<T> {
    /// The request's ticket.
    pub ticket: T,
    /// Refusal to send to the caller.
    pub refusal: Refusal,
}

/// Request that was accepted into the queue.
#[derive(Debug)]
pub struct Entered<T> {
    /// Handle of the waiting request.
    pub waiter: WaiterKey,
    /// Request that was removed to make room.
    pub shed: Option<Shed<T>>,
}

/// Request that gets a slot.
#[derive(Debug)]
pub struct Started<T> {
    /// The request's ticket.
    pub ticket: T,
    /// Handle of the slot, which is held until [`FairQueue::finish`].
    pub run: RunKey,
}

#[derive(Debug)]
struct Waiter<T> {
    flow: FlowKey,
    ticket: T,
    kind: u64,
    place: Place,
    deadline: Timestamp,
    /// Estimated cost when the request became late; `None` while it can meet its objective.
    late_cost: Option<Duration>,
}

#[derive(Debug)]
struct Run {
    flow: FlowKey,
    kind: u64,
    charged: Duration,
}

/// Requests that wait for the slots of one instance.
#[derive(Debug)]
pub struct FairQueue<T> {
    settings: FairQueueSettings,
    concurrency: ConcurrencyLimit,
    waiters: SlotMap<WaiterKey, Waiter<T>>,
    runs: SlotMap<RunKey, Run>,
    flows: SlotMap<FlowKey, Flow>,
    index: HashMap<(WorkspaceName, QueueClass), FlowKey>,
    classes: [ClassQueue; CLASSES],
    /// Requests that can't meet their objective any more: most urgent class first, then oldest.
    late: BTreeSet<(QueueClass, Place, WaiterKey)>,
    late_backlog: Duration,
    arrivals: u64,
    /// Last time at which a statement ended, or started while no other ran.
    progressed_at: Timestamp,
    deadlines: BTreeSet<(Timestamp, WaiterKey)>,
    mean_cost: Duration,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for an instance with `slots` slots.
    pub fn new(settings: FairQueueSettings, slots: u32) -> Self {
        Self {
            settings,
            concurrency: ConcurrencyLimit::new(slots),
            waiters: SlotMap::with_key(),
            runs: SlotMap::with_key(),
            flows: SlotMap::with_key(),
            index: HashMap::new(),
            classes: Default::default(),
            late: BTreeSet::new(),
            late_backlog: Duration::ZERO,
            arrivals: 0,
            progressed_at: Timestamp::ZERO,
            deadlines: BTreeSet::new(),
            mean_cost: Duration::ZERO,
        }
    }

    /// Changes the number of slots of the instance; running statements continue.
    pub fn set_slots(&mut self, slots: u32) {
        self.concurrency.set_slots(slots);
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns how many requests may currently hold a slot.
    pub const fn concurrency(&self) -> usize {
        self.concurrency.limit()
    }

    /// Accepts a request, or refuses it if it can't start before its deadline or the queue is full.
    ///
    /// # Errors
    ///
    /// Returns the ticket and the refusal if the expected wait is too long or the queue is full.
    pub fn enter(
        &mut self,
        arrival: &Arrival,
        ticket: T,
        now: Timestamp,
    ) -> Result<Entered<T>, Shed<T>> {
        let wait = self.expected_wait(&arrival.workspace, arrival.class, now);
        if now + wait >= arrival.deadline {
            return Err(refuse(ticket, RefusalReason::DeadlineUnreachable, wait));
        }
        let key = self.flow(arrival);
        if self.flows[key].waiting() >= self.settings.max_waiting_per_flow {
            return Err(refuse(ticket, RefusalReason::Overloaded, wait));
        }
        let mut shed = None;
        if self.waiters.len() >= self.settings.max_waiting {
            let Some(victim) = self.victim(arrival.class, self.flows[key].waiting()) else {
                return Err(refuse(ticket, RefusalReason::Overloaded, wait));
            };
            shed = self
                .remove(victim)
                .map(|ticket| refuse(ticket, RefusalReason::Overloaded, wait));
        }
        let waiter = self.append(key, ticket, arrival);
        Ok(Entered { waiter, shed })
    }

    /// Removes a request whose caller has disconnected; `None` if it no longer waits.
    pub fn cancel(&mut self, waiter: WaiterKey) -> Option<T> {
        self.remove(waiter)
    }

    /// Gives a free slot to the next request; `None` if no slot is free or no request may start.
    pub fn start(&mut self, now: Timestamp) -> Option<Started<T>> {
        if self.runs.len() >= self.concurrency.limit() {
            return None;
        }
        let waiter = self.next_in_time(now).or_else(|| self.next_late())?;
        let key = self.waiters[waiter].flow;
        let is_late = self.waiters[waiter].late_cost.is_some();
        let kind = self.waiters[waiter].kind;
        let ticket = self.remove(waiter)?;
        let cost = self.flows[key].estimate;
        if !is_late {
            let rank = self.flows[key].class.rank();
            self.update_credits(rank, cost);
            let class = &mut self.classes[rank];
            class.virtual_time = class.virtual_time.max(self.flows[key].virtual_time);
        }
        self.advance(key, |flow| flow.virtual_time + flow.charge(cost));
        self.flows[key].running += 1;
        if self.runs.is_empty() {
            self.progressed_at = now;
        }
        let run = self.runs.insert(Run {
            flow: key,
            kind,
            charged: cost,
        });
        Some(Started { ticket, run })
    }

    /// Releases a slot and charges the actual cost of the statement. Only the time that the instance
    /// took counts as evidence that it is slow.
    pub fn finish(&mut self, run: RunKey, cost: impl Into<Cost>, now: Timestamp) {
        let Cost {
            held: cost,
            duration,
        } = cost.into();
        let Some(run) = self.runs.remove(run) else {
            return;
        };
        self.progressed_at = now;
        self.advance(run.flow, |flow| {
            let charged = flow.virtual_time.saturating_sub(flow.charge(run.charged));
            charged + flow.charge(cost)
        });
        let flow = &mut self.flows[run.flow];
        flow.running -= 1;
        let class = &mut self.classes[flow.class.rank()];
        class.backlog = class.backlog.saturating_sub(flow.backlog());
        flow.record_cost(cost);
        class.backlog += flow.backlog();
        if let Some(duration) = duration {
            let usual = flow.record_duration(run.kind, duration);
            self.concurrency.observe(duration, usual);
        }
        self.mean_cost = match self.mean_cost {
            Duration::ZERO => cost,
            mean => (mean * 31 + cost) / 32,
        };
        self.forget_idle();
    }

    /// Lowers the limit of concurrent statements, because the instance rejected one for lack of
    /// capacity.
    pub fn on_rejected(&mut self) {
        self.concurrency.on_rejected();
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Shed<T>> {
        let mut expired = Vec::new();
        while let Some((deadline, waiter)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            let Some(ticket) = self.remove(waiter) else {
                self.deadlines.pop_first();
                continue;
            };
            let refused = refuse(ticket, RefusalReason::DeadlineUnreachable, self.mean_cost);
            expired.push(refused);
        }
        expired
    }

    /// Returns the earliest deadline of a waiting request, at which [`FairQueue::expire`] should be
    /// called.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn flow(&mut self, arrival: &Arrival) -> FlowKey {
        let name = (arrival.workspace.clone(), arrival.class);
        if let Some(key) = self.index.get(&name).copied() {
            self.set_weight(key, arrival.weight);
            return key;
        }
        let flow = Flow::new(arrival.workspace.clone(), arrival.class, arrival.weight);
        let key = self.flows.insert(flow);
        self.index.insert(name, key);
        key
    }

    fn set_weight(&mut self, key: FlowKey, weight: u32) {
        let flow = &mut self.flows[key];
        if flow.waiting() > 0 {
            let class = &mut self.classes[flow.class.rank()];
            class.weight = class.weight + u64::from(weight) - u64::from(flow.weight);
        }
        flow.weight = weight;
    }

    fn append(&mut self, key: FlowKey, ticket: T, arrival: &Arrival) -> WaiterKey {
        self.arrivals += 1;
        let place = (arrival.due.unwrap_or(Timestamp::MAX), self.arrivals);
        let flow = &mut self.flows[key];
        let class = &mut self.classes[flow.class.rank()];
        if flow.waiting() == 0 {
            flow.virtual_time = flow.virtual_time.max(class.virtual_time);
            class.ready.insert((flow.virtual_time, key));
            class.weight += u64::from(flow.weight);
        }
        let waiter = self.waiters.insert(Waiter {
            flow: key,
            ticket,
            kind: arrival.kind,
            place,
            deadline: arrival.deadline,
            late_cost: None,
        });
        self.deadlines.insert((arrival.deadline, waiter));
        class.by_length.remove(&(flow.waiting(), key));
        flow.queue.insert(place, waiter);
        class.by_length.insert((flow.waiting(), key));
        class.backlog += flow.estimate;
        waiter
    }

    fn remove(&mut self, key: WaiterKey) -> Option<T> {
        let waiter = self.waiters.remove(key)?;
        self.deadlines.remove(&(waiter.deadline, key));
        if let Some(cost) = waiter.late_cost {
            let flow = &mut self.flows[waiter.flow];
            flow.late -= 1;
            self.late.remove(&(flow.class, waiter.place, key));
            self.late_backlog = self.late_backlog.saturating_sub(cost);
        } else {
            self.remove_from_flow(waiter.flow, waiter.place);
        }
        Some(waiter.ticket)
    }

    fn remove_from_flow(&mut self, key: FlowKey, place: Place) {
        let flow = &mut self.flows[key];
        let class = &mut self.classes[flow.class.rank()];
        class.backlog = class.backlog.saturating_sub(flow.estimate);
        class.by_length.remove(&(flow.waiting(), key));
        flow.queue.remove(&place);
        if flow.waiting() > 0 {
            class.by_length.insert((flow.waiting(), key));
            return;
        }
        class.ready.remove(&(flow.virtual_time, key));
        class.weight -= u64::from(flow.weight);
    }

    /// Moves the requests of a flow that can't meet their objective any more behind all others.
    fn set_late_aside(&mut self, key: FlowKey, now: Timestamp) {
        while let Some(late) = self.flows[key].first_late(now) {
            let cost = self.flows[key].estimate;
            let waiter = &mut self.waiters[late];
            waiter.late_cost = Some(cost);
            let place = waiter.place;
            self.remove_from_flow(key, place);
            let flow = &mut self.flows[key];
            flow.late += 1;
            self.late.insert((flow.class, place, late));
            self.late_backlog += cost;
        }
    }

    /// Selects the next request that can meet its objective.
    fn next_in_time(&mut self, now: Timestamp) -> Option<WaiterKey> {
        loop {
            let key = self.next_flow()?;
            self.set_late_aside(key, now);
            if let Some((_, waiter)) = self.flows[key].queue.first_key_value() {
                return Some(*waiter);
            }
        }
    }

    fn next_late(&self) -> Option<WaiterKey> {
        let mut late = self.late.iter().take(MAX_LATE_EXAMINED);
        let may_start = |key: WaiterKey| self.may_start(&self.flows[self.waiters[key].flow]);
        late.find(|(.., key)| may_start(*key)).map(|(.., key)| *key)
    }

    /// Updates a flow's virtual time and its place among the waiting flows.
    fn advance(&mut self, key: FlowKey, to: impl FnOnce(&Flow) -> u64) {
        let flow = &mut self.flows[key];
        let class = &mut self.classes[flow.class.rank()];
        let was_ready = class.ready.remove(&(flow.virtual_time, key));
        flow.virtual_time = to(flow);
        if was_ready {
            class.ready.insert((flow.virtual_time, key));
        }
    }

    fn next_flow(&self) -> Option<FlowKey> {
        let candidates: [_; CLASSES] = std::array::from_fn(|rank| self.first_eligible(rank));
        let has_credit = |rank: usize, key: FlowKey| {
            let credit = self.classes[rank].credit;
            !credit.is_zero() && credit >= self.flows[key].estimate
        };
        let with_credit = (1..CLASSES)
            .filter_map(|rank| Some((rank, candidates[rank]?)))
            .find(|(rank, key)| has_credit(*rank, *key));
        let with_credit = with_credit.map(|(_, key)| key);
        with_credit.or_else(|| candidates.into_iter().flatten().next())
    }

    fn first_eligible(&self, rank: usize) -> Option<FlowKey> {
        let mut ready = self.classes[rank].ready.iter().map(|(_, key)| *key);
        ready.find(|key| self.may_start(&self.flows[*key]))
    }

    /// Returns whether a flow may take another slot: a workspace with slow statements must leave
    /// one slot free.
    fn may_start(&self, flow: &Flow) -> bool {
        let limit = self.concurrency.limit();
        let is_slow = flow.estimate > self.mean_cost * SLOW_FLOW_FACTOR;
        self.mean_cost.is_zero() || !is_slow || limit == 1 || flow.running + 1 < limit
    }

    fn update_credits(&mut self, chosen: usize, cost: Duration) {
        let class = &mut self.classes[chosen];
        class.credit = class.credit.saturating_sub(cost);
        for (rank, queue) in self.classes.iter_mut().enumerate().skip(chosen + 1) {
            if queue.ready.is_empty() {
                queue.credit = Duration::ZERO;
            } else {
                queue.add_credit(rank, cost);
            }
        }
    }

    /// Selects a request to remove for an arrival: the last of those that are late, or else of the
    /// longest flow in the least urgent waiting class, if that class is less urgent than the
    /// arrival's, or is the same and the flow has more waiting requests than the arrival's flow
    /// would have with the arrival.
    fn victim(&self, class: QueueClass, own_waiting: usize) -> Option<WaiterKey> {
        if let Some((.., late)) = self.late.last() {
            return Some(*late);
        }
        let victim_rank = (0..CLASSES)
            .rev()
            .find(|rank| !self.classes[*rank].by_length.is_empty())?;
        let (waiting, key) = self.classes[victim_rank].by_length.last()?;
        let is_fairer = victim_rank == class.rank() && *waiting > own_waiting + 1;
        if victim_rank <= class.rank() && !is_fairer {
            return None;
        }
        let last = self.flows[*key].queue.last_key_value();
        last.map(|(_, waiter)| *waiter)
    }

    fn forget_idle(&mut self) {
        if self.flows.len() <= MAX_IDLE_FLOWS {
            return;
        }
        let index = &mut self.index;
        self.flows.retain(|_, flow| {
            if flow.is_idle() {
                index.remove(&(flow.workspace.clone(), flow.class));
            }
            !flow.is_idle()
        });
    }
}

fn refuse<T>(ticket: T, reason: RefusalReason, wait: Duration) -> Shed<T> {
    Shed {
        ticket,
        refusal: Refusal::with_retry(reason, wait.max(MIN_RETRY_AFTER)),
    }
}

#[cfg(test)]
mod tests;
