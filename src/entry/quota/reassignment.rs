//! Starts the buckets that a VM owns when the gateways change, and hands over those that it no longer
//! owns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::holding::Holding;
use super::ledger::{Ledger, Limit};
use super::ownership::Candidate;
use super::{MAX_PER_DATAGRAM, Quota, Workspaces, limit_of};
use crate::entry::datagram::{HandOver, HandedBucket};
use crate::name::WorkspaceName;
use crate::time::Timestamp;

/// Time for which a received hand-over is kept until this VM has seen that it is the owner.
const HAND_OVER_RETENTION: Duration = Duration::from_secs(2);

/// Time without a change of the gateways after which a workspace without a bucket is known to be
/// new: nobody has granted tokens of it.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// Bucket that a former owner has handed over.
#[derive(Debug)]
pub(super) struct ReceivedHandOver {
    bucket: HandedBucket,
    to_lease: u64,
    received_at: Timestamp,
}

impl Quota {
    /// Ends this VM's ownership before it deregisters. Returns the buckets to hand over; the goodbye
    /// must be announced after them.
    pub fn stop(&mut self, now: Timestamp) -> Vec<(SocketAddr, HandOver)> {
        let mut buckets = Vec::new();
        let is_certain = self.is_certain(now);
        self.is_leaving = true;
        for (name, mut ledger) in std::mem::take(&mut self.ledgers) {
            let ranks = self.ownership.ranks(&name);
            if let Some(next) = ranks.get(1).filter(|_| is_certain) {
                buckets.push((next.clone(), handed(&name, &mut ledger, now)));
            }
        }
        self.build_hand_overs(buckets, now)
    }

    /// Keeps the buckets that another gateway hands over until this VM has seen that it owns them.
    /// They are used only if no bucket was started without them.
    pub fn receive_hand_over(&mut self, hand_over: HandOver, now: Timestamp) {
        let last = self
            .hand_over_nonces
            .entry(hand_over.vm.clone())
            .or_default();
        let is_repeated = hand_over.nonce <= std::mem::replace(last, hand_over.nonce.max(*last));
        let is_leaving =
            hand_over.is_leaving && self.ownership.is_registered(&hand_over.vm, hand_over.lease);
        if is_repeated || (self.ownership.is_established() && !is_leaving) {
            return;
        }
        for bucket in hand_over.buckets {
            let received = ReceivedHandOver {
                to_lease: hand_over.to_lease,
                received_at: now,
                bucket,
            };
            let workspace = received.bucket.workspace.clone();
            self.hand_overs.insert(workspace, received);
        }
        self.must_reassign = true;
    }

    /// Starts the buckets that this VM owns now and hands over those that it no longer owns.
    pub(super) fn reassign(
        &mut self,
        workspaces: &Workspaces,
        now: Timestamp,
    ) -> Vec<(SocketAddr, HandOver)> {
        self.hand_overs
            .retain(|_, received| now.since(received.received_at) < HAND_OVER_RETENTION);
        self.ledgers.retain(|name, _| workspaces.contains_key(name));
        let removed = self
            .holdings
            .extract_if(|name, _| !workspaces.contains_key(name));
        self.orphaned
            .extend(removed.flat_map(|(_, holding)| holding.tickets().collect::<Vec<_>>()));
        self.holdings.values_mut().for_each(Holding::ask_first);
        let is_certain = self.is_certain(now);
        let mut buckets = Vec::new();
        for (name, workspace) in workspaces {
            let is_first = self.ownership.is_first(name) && !self.is_leaving;
            if !is_first {
                let Some(mut ledger) = self.ledgers.remove(name) else {
                    continue;
                };
                let ranks = self.ownership.ranks(name);
                if let Some(first) = ranks.first().filter(|_| is_certain) {
                    buckets.push((first.clone(), handed(name, &mut ledger, now)));
                }
            } else if !self.ledgers.contains_key(name) {
                let ledger = self.start_ledger(name, limit_of(workspace), now);
                self.ledgers
                    .extend(ledger.map(|ledger| (name.clone(), ledger)));
            }
        }
        self.build_hand_overs(buckets, now)
    }

    fn start_ledger(
        &mut self,
        name: &WorkspaceName,
        limit: Limit,
        now: Timestamp,
    ) -> Option<Ledger> {
        let others = self.ownership.others();
        let owners = self.fallback.owners_of(&self.own, now, others, now);
        let factor = self.fallback.owner_factor(owners, &self.ownership, now);
        let ledger = self.start_bucket(name, limit.scaled(factor), now)?;
        Some(ledger.with_factor(factor))
    }

    fn start_bucket(
        &mut self,
        name: &WorkspaceName,
        limit: Limit,
        now: Timestamp,
    ) -> Option<Ledger> {
        let lease = self.ownership.own_lease();
        let received = self.hand_overs.remove(name);
        if let Some(received) = received.filter(|received| Some(received.to_lease) == lease) {
            self.counts.inherited += 1;
            let elapsed_s = now.since(received.received_at).as_secs_f64();
            let tokens = f64::from(received.bucket.tokens) + limit.rate_per_s * elapsed_s;
            let outstanding = received.bucket.outstanding.into();
            return Some(Ledger::inherit(limit, tokens, outstanding, now));
        }
        if !self.ownership.is_established() {
            return None;
        }
        self.counts.started += 1;
        let settled_for = now.since(self.ownership.changed_at());
        Some(if settled_for >= SETTLED_AFTER {
            Ledger::full(limit, now)
        } else if self.ownership.has_just_started() {
            Ledger::restarted(limit, now)
        } else {
            Ledger::empty(limit, now)
        })
    }

    fn build_hand_overs(
        &mut self,
        buckets: Vec<(Candidate, HandedBucket)>,
        now: Timestamp,
    ) -> Vec<(SocketAddr, HandOver)> {
        self.counts.handed_over += buckets.len();
        let mut by_target: BTreeMap<SocketAddr, (u64, Vec<HandedBucket>)> = BTreeMap::new();
        for (to, bucket) in buckets {
            let entry = by_target.entry(to.address);
            entry.or_insert((to.lease, Vec::new())).1.push(bucket);
        }
        let lease = self.ownership.own_lease().unwrap_or_default();
        let mut hand_overs = Vec::new();
        for (address, (to_lease, buckets)) in by_target {
            for chunk in buckets.chunks(MAX_PER_DATAGRAM) {
                let hand_over = HandOver {
                    vm: self.own.clone(),
                    lease,
                    to_lease,
                    nonce: self.next_nonce(now),
                    is_leaving: self.is_leaving,
                    buckets: chunk.to_vec(),
                };
                hand_overs.push((address, hand_over));
            }
        }
        hand_overs
    }
}

fn handed(name: &WorkspaceName, ledger: &mut Ledger, now: Timestamp) -> HandedBucket {
    let (tokens, outstanding) = ledger.balance(now);
    HandedBucket {
        workspace: name.clone(),
        tokens: tokens as f32,
        outstanding: outstanding as f32,
    }
}
