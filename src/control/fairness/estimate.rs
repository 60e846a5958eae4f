//! Expected waits, and the refusal of waiting requests that can't start in time any more.

use std::time::Duration;

use super::class::QueueClass;
use super::flow::Flow;
use super::{FairQueue, FlowKey, Shed, WaiterKey, refuse};
use crate::name::WorkspaceName;
use crate::time::Timestamp;
use crate::traffic::refusal::RefusalReason;

/// Maximum number of requests that one review refuses, which bounds its duration.
const MAX_REFUSED_PER_REVIEW: usize = 16;

impl<T> FairQueue<T> {
    /// Estimates how long a request entering now would wait for a slot.
    pub fn expected_wait(
        &self,
        workspace: &WorkspaceName,
        class: QueueClass,
        now: Timestamp,
    ) -> Duration {
        if self.waiters.is_empty() && self.runs.len() < self.concurrency.limit() {
            return Duration::ZERO;
        }
        let flow = self.index.get(&(workspace.clone(), class));
        let flow = flow.map(|key| &self.flows[*key]);
        let own = flow.map_or(Duration::ZERO, |flow| {
            self.wait_behind(flow, flow.waiting())
        });
        self.wait_in_class(class, own, now)
    }

    /// Estimates the time in which everything that waits now gets a slot.
    pub fn drain(&self, now: Timestamp) -> Duration {
        let backlog: Duration = self.classes.iter().map(|class| class.backlog).sum();
        self.stall(now) + (backlog + self.late_backlog + self.mean_cost / 2) / self.slots()
    }

    /// Returns the mean time between two statements that end while all slots are taken.
    pub fn interval(&self) -> Duration {
        self.mean_cost / self.slots()
    }

    /// Refuses requests of a waiting request's flow that can't start in time any more, those with
    /// the most time left first: they are the ones that others delay, and their callers have the
    /// time to retry. To be called now and then for each waiting request, because estimates change
    /// while it waits.
    pub fn review(&mut self, waiter: WaiterKey, now: Timestamp) -> Vec<Shed<T>> {
        let mut refused = Vec::new();
        while refused.len() < MAX_REFUSED_PER_REVIEW {
            let Some(last) = self.waiters.get(waiter).map(|waiter| waiter.flow) else {
                break;
            };
            let Some((last, wait)) = self.last_expected(last, waiter, now) else {
                break;
            };
            if now + wait <= self.waiters[last].deadline {
                break;
            }
            let ticket = self.remove(last);
            let reason = RefusalReason::DeadlineUnreachable;
            refused.extend(ticket.map(|ticket| refuse(ticket, reason, wait)));
        }
        refused
    }

    /// Returns the request that starts last, of the late ones or of a flow, and its expected wait.
    fn last_expected(
        &self,
        key: FlowKey,
        waiter: WaiterKey,
        now: Timestamp,
    ) -> Option<(WaiterKey, Duration)> {
        if self.waiters[waiter].late_cost.is_some() {
            let (.., last) = self.late.last()?;
            return Some((*last, self.drain(now)));
        }
        let flow = &self.flows[key];
        let (_, last) = flow.queue.last_key_value()?;
        let own = self.wait_behind(flow, flow.waiting() - 1);
        Some((*last, self.wait_in_class(flow.class, own, now)))
    }

    /// Returns the slot time that a class spends until `ahead` requests of a flow have started.
    fn wait_behind(&self, flow: &Flow, ahead: usize) -> Duration {
        let class = &self.classes[flow.class.rank()];
        let weight = u64::from(flow.weight.max(1));
        let shares = class.weight.max(weight).div_ceil(weight);
        let by_share = flow
            .estimate
            .saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
            .saturating_mul(u32::try_from(shares).unwrap_or(u32::MAX));
        by_share.min(class.backlog)
    }

    fn wait_in_class(&self, class: QueueClass, own: Duration, now: Timestamp) -> Duration {
        let more_urgent = &self.classes[..class.rank()];
        let ahead: Duration = more_urgent.iter().map(|class| class.backlog).sum();
        self.stall(now) + (ahead + own + self.mean_cost / 2) / self.slots()
    }

    /// Returns how much longer no slot is expected to become free than the running statements
    /// usually take: a stall is expected to last on for as long as it has lasted.
    fn stall(&self, now: Timestamp) -> Duration {
        if self.runs.len() < self.concurrency.limit() {
            return Duration::ZERO;
        }
        let usual = self.runs.values().map(|run| run.charged).max();
        let without_progress = now.since(self.progressed_at);
        without_progress.saturating_sub(usual.unwrap_or_default())
    }

    fn slots(&self) -> u32 {
        u32::try_from(self.concurrency.limit()).unwrap_or(1).max(1)
    }
}
