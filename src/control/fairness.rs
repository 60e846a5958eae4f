//! Weighted fair queue for the slots of one instance.
//!
//! Slot time is shared between workspaces by weight: a flow is charged its estimated cost when a
//! statement starts, and the difference to the actual cost when it ends. More urgent classes go
//! first, but the others are guaranteed a minimum share.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::concurrency::ConcurrencyLimit;
use crate::configuration::RouteClass;
use crate::name::WorkspaceName;
use crate::time::Timestamp;
use crate::traffic::refusal::{Refusal, RefusalReason};

mod class;
mod flow;

use class::{CLASSES, ClassQueue, rank};
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
    pub class: RouteClass,
    /// Weight of the workspace.
    pub weight: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Timestamp,
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
    deadline: Timestamp,
    cost: Duration,
}

#[derive(Debug)]
struct Run {
    flow: FlowKey,
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
    index: HashMap<(WorkspaceName, RouteClass), FlowKey>,
    classes: [ClassQueue; 3],
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

    /// Estimates how long a request entering now would wait for a slot.
    pub fn expected_wait(&self, workspace: &WorkspaceName, class: RouteClass) -> Duration {
        if self.waiters.is_empty() && self.runs.len() < self.concurrency.limit() {
            return Duration::ZERO;
        }
        let rank = rank(class);
        let ahead: Duration = self.classes[..rank].iter().map(|class| class.backlog).sum();
        let own_class = &self.classes[rank];
        let flow = self
            .index
            .get(&(workspace.clone(), class))
            .map(|key| &self.flows[*key]);
        let by_share = flow.map_or(Duration::ZERO, |flow| {
            let weight = u64::from(flow.weight.max(1));
            let shares = own_class.weight.max(weight).div_ceil(weight);
            let waiting = u32::try_from(flow.waiting).unwrap_or(u32::MAX);
            flow.estimate
                .saturating_mul(waiting)
                .saturating_mul(u32::try_from(shares).unwrap_or(u32::MAX))
        });
        let slots = u32::try_from(self.concurrency.limit()).unwrap_or(1);
        let own = by_share.min(own_class.backlog);
        (ahead + own + self.mean_cost / 2) / slots.max(1)
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
        let wait = self.expected_wait(&arrival.workspace, arrival.class);
        if now + wait >= arrival.deadline {
            return Err(refuse(ticket, RefusalReason::DeadlineUnreachable, wait));
        }
        let key = self.flow(arrival);
        if self.flows[key].waiting >= self.settings.max_waiting_per_flow {
            return Err(refuse(ticket, RefusalReason::Overloaded, wait));
        }
        let mut shed = None;
        if self.waiters.len() >= self.settings.max_waiting {
            let Some(victim) = self.victim(arrival.class, self.flows[key].waiting) else {
                return Err(refuse(ticket, RefusalReason::Overloaded, wait));
            };
            shed = self
                .remove(victim)
                .map(|ticket| refuse(ticket, RefusalReason::Overloaded, wait));
        }
        let waiter = self.append(key, ticket, arrival.deadline);
        Ok(Entered { waiter, shed })
    }

    /// Removes a request whose caller has disconnected; `None` if it no longer waits.
    pub fn cancel(&mut self, waiter: WaiterKey) -> Option<T> {
        self.remove(waiter)
    }

    /// Gives a free slot to the next request; `None` if no slot is free or no request may start.
    pub fn start(&mut self) -> Option<Started<T>> {
        if self.runs.len() >= self.concurrency.limit() {
            return None;
        }
        let (rank, key) = self.next_flow()?;
        let ticket = self.pop(key)?;
        let cost = self.flows[key].estimate;
        self.update_credits(rank, cost);
        let class = &mut self.classes[rank];
        class.virtual_time = class.virtual_time.max(self.flows[key].virtual_time);
        self.advance(key, |flow| flow.virtual_time + flow.charge(cost));
        self.flows[key].running += 1;
        let run = self.runs.insert(Run {
            flow: key,
            charged: cost,
        });
        Some(Started { ticket, run })
    }

    /// Charges slot time that a statement used before it was sent, for example to open a connection.
    /// It doesn't count as the statement's cost, so that the instance isn't mistaken for a slow one.
    pub fn charge(&mut self, run: RunKey, cost: Duration) {
        if let Some(flow) = self.runs.get(run).map(|run| run.flow) {
            self.advance(flow, |flow| flow.virtual_time + flow.charge(cost));
        }
    }

    /// Releases a slot and charges the actual cost of the statement.
    pub fn finish(&mut self, run: RunKey, cost: Duration) {
        let Some(run) = self.runs.remove(run) else {
            return;
        };
        self.advance(run.flow, |flow| {
            let charged = flow.virtual_time.saturating_sub(flow.charge(run.charged));
            charged + flow.charge(cost)
        });
        let flow = &mut self.flows[run.flow];
        flow.running -= 1;
        let usual = flow.record_cost(cost);
        self.concurrency.observe(cost, usual);
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
        if flow.waiting > 0 {
            let class = &mut self.classes[rank(flow.class)];
            class.weight = class.weight + u64::from(weight) - u64::from(flow.weight);
        }
        flow.weight = weight;
    }

    fn append(&mut self, key: FlowKey, ticket: T, deadline: Timestamp) -> WaiterKey {
        let flow = &mut self.flows[key];
        let class = &mut self.classes[rank(flow.class)];
        if flow.waiting == 0 {
            flow.virtual_time = flow.virtual_time.max(class.virtual_time);
            class.ready.insert((flow.virtual_time, key));
            class.weight += u64::from(flow.weight);
        }
        let cost = flow.estimate;
        let waiter = self.waiters.insert(Waiter {
            flow: key,
            ticket,
            deadline,
            cost,
        });
        self.deadlines.insert((deadline, waiter));
        flow.queue.push_back(waiter);
        class.backlog += cost;
        self.set_waiting(key, 1);
        waiter
    }

    /// Removes a waiter from every index except its flow's queue, which skips it later.
    fn remove(&mut self, key: WaiterKey) -> Option<T> {
        let waiter = self.waiters.remove(key)?;
        self.deadlines.remove(&(waiter.deadline, key));
        let flow_key = waiter.flow;
        let class = &mut self.classes[rank(self.flows[flow_key].class)];
        class.backlog = class.backlog.saturating_sub(waiter.cost);
        self.set_waiting(flow_key, -1);
        let (flow, waiters) = (&mut self.flows[flow_key], &self.waiters);
        flow.compact(|key| waiters.contains_key(key));
        Some(waiter.ticket)
    }

    fn set_waiting(&mut self, key: FlowKey, change: isize) {
        let flow = &mut self.flows[key];
        let class = &mut self.classes[rank(flow.class)];
        class.by_length.remove(&(flow.waiting, key));
        flow.waiting = flow.waiting.saturating_add_signed(change);
        if flow.waiting > 0 {
            class.by_length.insert((flow.waiting, key));
            return;
        }
        class.ready.remove(&(flow.virtual_time, key));
        class.weight -= u64::from(flow.weight);
        flow.queue.clear();
    }

    fn pop(&mut self, key: FlowKey) -> Option<T> {
        loop {
            let waiter = self.flows[key].queue.pop_front()?;
            if let Some(ticket) = self.remove(waiter) {
                return Some(ticket);
            }
        }
    }

    /// Updates a flow's virtual time and its place among the waiting flows.
    fn advance(&mut self, key: FlowKey, to: impl FnOnce(&Flow) -> u64) {
        let flow = &mut self.flows[key];
        let class = &mut self.classes[rank(flow.class)];
        let was_ready = class.ready.remove(&(flow.virtual_time, key));
        flow.virtual_time = to(flow);
        if was_ready {
            class.ready.insert((flow.virtual_time, key));
        }
    }

    fn next_flow(&self) -> Option<(usize, FlowKey)> {
        let candidates = CLASSES.map(|class| self.first_eligible(rank(class)));
        let has_credit =
            |rank: usize, key: FlowKey| self.classes[rank].credit >= self.flows[key].estimate;
        let with_credit = (1..candidates.len())
            .filter_map(|rank| Some((rank, candidates[rank]?)))
            .find(|(rank, key)| has_credit(*rank, *key));
        let first = || (0..candidates.len()).find_map(|rank| Some((rank, candidates[rank]?)));
        with_credit.or_else(first)
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
        for lower in CLASSES.iter().skip(chosen + 1) {
            let queue = &mut self.classes[rank(*lower)];
            if queue.ready.is_empty() {
                queue.credit = Duration::ZERO;
            } else {
                queue.add_credit(*lower, cost);
            }
        }
    }

    /// Selects the newest request of the longest flow in the least urgent waiting class, if that
    /// class is less urgent than the arrival's, or is the same and the flow has more waiting
    /// requests than the arrival's flow would have with the arrival.
    fn victim(&self, class: RouteClass, own_waiting: usize) -> Option<WaiterKey> {
        let victim_rank = (0..CLASSES.len())
            .rev()
            .find(|rank| !self.classes[*rank].by_length.is_empty())?;
        let (waiting, key) = self.classes[victim_rank].by_length.last()?;
        let is_fairer = victim_rank == rank(class) && *waiting > own_waiting + 1;
        if victim_rank <= rank(class) && !is_fairer {
            return None;
        }
        let mut newest_first = self.flows[*key].queue.iter().rev();
        newest_first
            .find(|waiter| self.waiters.contains_key(**waiter))
            .copied()
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
