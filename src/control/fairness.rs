//! Weighted fair queue in front of the slots of one instance.
//!
//! Slot time is shared between workspaces by weight: a flow is charged its estimated cost when a
//! statement starts and the difference when the statement ends. More urgent classes go first,
//! within a bound that keeps the others moving.

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
    /// Request that waits for a slot.
    pub struct WaiterKey;
    /// Request that holds a slot.
    pub struct RunKey;
    struct FlowKey;
}

/// Idle flows whose costs are remembered.
const MAX_IDLE_FLOWS: usize = 4_096;

/// Factor over the mean cost of all statements from which a flow counts as slow.
const SLOW_FLOW_FACTOR: u32 = 4;

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FairQueueSettings {
    /// Requests that may wait, over all workspaces.
    pub max_waiting: usize,
    /// Requests of one workspace and class that may wait.
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

/// Request as it reaches the queue.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Class of its route.
    pub class: RouteClass,
    /// Weight of the workspace.
    pub weight: u32,
    /// When the caller gives up.
    pub deadline: Timestamp,
}

/// Request that gets no slot.
#[derive(Debug)]
pub struct Shed<T> {
    /// The request's ticket.
    pub ticket: T,
    /// What the caller is told.
    pub refusal: Refusal,
}

/// Request that was accepted into the queue.
#[derive(Debug)]
pub struct Entered<T> {
    /// Place in the queue.
    pub waiter: WaiterKey,
    /// Less urgent request that had to make room.
    pub shed: Option<Shed<T>>,
}

/// Request that gets a slot.
#[derive(Debug)]
pub struct Started<T> {
    /// The request's ticket.
    pub ticket: T,
    /// Slot that it holds until [`FairQueue::finish`].
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
    /// Builds an empty queue for an instance with `slots` slots.
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

    /// Changes the slots of the instance; running statements go on.
    pub fn set_slots(&mut self, slots: u32) {
        self.concurrency.set_slots(slots);
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Returns how many requests hold a slot.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns how many requests may hold a slot now.
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
            let parts = own_class.weight.max(weight).div_ceil(weight);
            let waiting = u32::try_from(flow.waiting).unwrap_or(u32::MAX);
            flow.estimate
                .saturating_mul(waiting)
                .saturating_mul(u32::try_from(parts).unwrap_or(u32::MAX))
        });
        let slots = u32::try_from(self.concurrency.limit()).unwrap_or(1);
        let own = by_share.min(own_class.backlog);
        (ahead + own + self.mean_cost / 2) / slots.max(1)
    }

    /// Accepts a request, or refuses it when it can't start before its deadline.
    ///
    /// # Errors
    ///
    /// Returns the ticket with the refusal when the wait is too long or the queue is full.
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

    /// Removes a request whose caller has gone; `None` when it no longer waits.
    pub fn leave(&mut self, waiter: WaiterKey) -> Option<T> {
        self.remove(waiter)
    }

    /// Gives a free slot to the request whose turn it is.
    pub fn start(&mut self) -> Option<Started<T>> {
        if self.runs.len() >= self.concurrency.limit() {
            return None;
        }
        let (rank, key) = self.next_flow()?;
        let ticket = self.pop(key)?;
        let cost = self.flows[key].estimate;
        self.settle_classes(rank, cost);
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

    /// Takes a slot back and charges what the statement really cost.
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
        let usual = flow.learn(cost);
        self.concurrency.observe(cost, usual);
        self.mean_cost = match self.mean_cost {
            Duration::ZERO => cost,
            mean => (mean * 31 + cost) / 32,
        };
        self.forget_idle();
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

    /// Returns when [`FairQueue::expire`] has something to do.
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

    /// Removes a waiter from every index but its flow's queue, which skips it later.
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

    /// Moves a flow's virtual time, keeping the order of the waiting flows.
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
        let owed = |rank: usize, key: FlowKey| self.classes[rank].owed >= self.flows[key].estimate;
        let repaid = (1..candidates.len())
            .filter_map(|rank| Some((rank, candidates[rank]?)))
            .find(|(rank, key)| owed(*rank, *key));
        let first = || (0..candidates.len()).find_map(|rank| Some((rank, candidates[rank]?)));
        repaid.or_else(first)
    }

    fn first_eligible(&self, rank: usize) -> Option<FlowKey> {
        let mut ready = self.classes[rank].ready.iter().map(|(_, key)| *key);
        ready.find(|key| self.may_start(&self.flows[*key]))
    }

    /// Keeps one slot free of any single workspace whose statements are slow.
    fn may_start(&self, flow: &Flow) -> bool {
        let limit = self.concurrency.limit();
        let is_slow = flow.estimate > self.mean_cost * SLOW_FLOW_FACTOR;
        self.mean_cost.is_zero() || !is_slow || limit == 1 || flow.running + 1 < limit
    }

    fn settle_classes(&mut self, chosen: usize, cost: Duration) {
        let class = &mut self.classes[chosen];
        class.owed = class.owed.saturating_sub(cost);
        for lower in CLASSES.iter().skip(chosen + 1) {
            let queue = &mut self.classes[rank(*lower)];
            if queue.ready.is_empty() {
                queue.owed = Duration::ZERO;
            } else {
                queue.passed_over(*lower, cost);
            }
        }
    }

    /// Chooses the newest request of the longest flow in the least urgent class that waits, if it
    /// is less urgent than the arrival or its flow has more waiting than the arrival's.
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
        refusal: Refusal::retry(reason, wait.max(MIN_RETRY_AFTER)),
    }
}

#[cfg(test)]
mod tests;
