//! Share of a limit that a holder may use without its owner.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::ledger::Limit;
use super::ownership::Ownership;
use crate::entry::datagram::LimitStatus;
use crate::name::VmName;
use crate::time::Timestamp;

/// Part of the limit that all fallback shares add up to.
const FALLBACK_FACTOR: f64 = 0.8;

/// As [`FALLBACK_FACTOR`], for the time until the fallback has been announced. One second of it stays
/// below 8% of the rate in a window of 5 s; owners withdraw it once they notice.
const EARLY_FACTOR: f64 = 0.4;

/// Part of the limit that may be used in addition to it while VMs can't reach each other.
const TOLERANCE: f64 = 0.04;

/// Time without a status after which a gateway may be using its fallback share unnoticed. Three
/// intervals of a busy gateway.
const SILENCE_LIMIT: Duration = Duration::from_millis(800);

/// Time for which a gateway that left without a goodbye may still use its fallback share: as long
/// as a lease lasts beyond [`MAX_UNCERTAIN`].
const LEFT_RETENTION: Duration = Duration::from_secs(15);

/// Time for which a gateway must have announced its fallback before it uses all of it: until then all
/// tokens granted before have expired, and the owner has lowered its rate.
const ANNOUNCEMENT_LEAD: Duration = Duration::from_secs(1);

/// Seconds for which fallback shares may be in use before the owner lowers its rate.
const UNNOTICED_S: f64 = 1.0;

/// Time for which a gateway may use its fallback after its registration stopped being certain.
const MAX_UNCERTAIN: Duration = Duration::from_secs(10);

/// Returns the share of a limit that each of `gateways` ([`FallbackUse::sharers`]) may use without the
/// owner, if all of them may use the part `factor`.
pub fn share(limit: Limit, factor: f64, gateways: usize) -> Limit {
    limit.scaled(factor / gateways.max(1) as f64)
}

/// Bucket that refills by a fallback share.
#[derive(Debug)]
pub struct FallbackBucket {
    share: Limit,
    tokens: f64,
    as_of: Timestamp,
}

impl FallbackBucket {
    /// Creates an empty bucket.
    pub const fn empty(share: Limit, now: Timestamp) -> Self {
        Self {
            share,
            tokens: 0.0,
            as_of: now,
        }
    }

    /// Returns the rate by which the bucket refills.
    pub const fn rate_per_s(&self) -> f64 {
        self.share.rate_per_s
    }

    /// Changes the share; tokens above its burst are dropped.
    pub fn set_share(&mut self, share: Limit, now: Timestamp) {
        self.tokens(now);
        self.share = share;
        self.tokens = self.tokens.min(share.burst);
    }

    /// Returns the available tokens.
    pub fn tokens(&mut self, now: Timestamp) -> f64 {
        let elapsed_s = now.since(self.as_of).as_secs_f64();
        self.tokens = (self.tokens + self.share.rate_per_s * elapsed_s).min(self.share.burst);
        self.as_of = self.as_of.max(now);
        self.tokens
    }

    /// Spends a token; returns whether there was one.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        if self.tokens(now) < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Deducts available tokens that another gateway spends.
    pub fn lend(&mut self, tokens: f64) {
        self.tokens -= tokens.min(self.tokens);
    }
}

/// Returns how many seconds of rate fallback shares may have spent before an owner noticed them and
/// lowered the part of its limits that it keeps.
pub fn unnoticed_s(factor_before: f64, factor: f64) -> f64 {
    (factor_before - factor).max(0.0) * EARLY_FACTOR * UNNOTICED_S
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    heard_at: Timestamp,
    unreachable_owners: u64,
}

/// Returns the bit that stands for an owner in [`LimitStatus::unreachable_owners`].
fn owner_bit(owner: &VmName) -> u64 {
    1 << (xxhash_rust::xxh3::xxh3_64(owner.as_bytes()) % u64::from(u64::BITS))
}

/// Which gateways may be using their fallback shares, and whether this VM may use its own.
#[derive(Debug, Default)]
pub struct FallbackUse {
    peers: HashMap<VmName, Peer>,
    /// Gateways that left the list without a goodbye, with the time at which they left.
    left: HashMap<VmName, Timestamp>,
    /// Unreachable owners, with the time since when the fallback for their limits is announced.
    unreachable_since: HashMap<VmName, Timestamp>,
    certain_until: Timestamp,
    /// Time at which this VM saw a list of gateways for the first time.
    listed_since: Timestamp,
}

impl FallbackUse {
    /// Records the status of a gateway.
    pub fn record_status(&mut self, vm: &VmName, status: &LimitStatus, now: Timestamp) {
        let heard = Peer {
            heard_at: now,
            unreachable_owners: status.unreachable_owners,
        };
        self.peers.insert(vm.clone(), heard);
    }

    /// Records a gateway that appears in the list: it counts as heard, so that one that has just
    /// registered isn't taken for silent.
    pub fn record_joined(&mut self, vm: &VmName, now: Timestamp) {
        self.left.remove(vm);
        let heard = Peer {
            heard_at: now,
            unreachable_owners: 0,
        };
        self.peers.insert(vm.clone(), heard);
    }

    /// Records that a gateway left the list.
    pub fn record_left(&mut self, vm: &VmName, said_goodbye: bool, now: Timestamp) {
        if said_goodbye {
            self.peers.remove(vm);
        } else {
            self.left.insert(vm.clone(), now);
        }
    }

    /// Returns until when a gateway that has just left the list may rely on its registration. One
    /// that is silent may be cut off, and not know that its registration was revoked. One that isn't
    /// has stopped before its lease lapsed.
    pub fn valid_until(&self, vm: &VmName, lease_ttl: Duration, now: Timestamp) -> Timestamp {
        let peer = self.peers.get(vm).filter(|peer| peer.is_silent(now));
        peer.map_or(now, |peer| peer.heard_at + lease_ttl)
    }

    /// Records that this VM sees a list of gateways for the first time.
    pub const fn record_first_list(&mut self, now: Timestamp) {
        self.listed_since = now;
    }

    /// Records until when this VM's registration is certain.
    pub fn record_validity(&mut self, valid_until: Timestamp) {
        self.certain_until = valid_until;
    }

    /// Forgets the gateways that left too long ago to use their fallback shares, and returns them.
    pub fn forget_left(&mut self, now: Timestamp) -> Vec<VmName> {
        let is_over = |_: &VmName, left_at: &mut Timestamp| now.since(*left_at) >= LEFT_RETENTION;
        self.left.extract_if(is_over).map(|(vm, _)| vm).collect()
    }

    /// Returns the owners whose fallback shares are used by those who don't know that `own` became the
    /// owner of a limit at `started_at`: it may have taken the limit over from any gateway that had left,
    /// or, if `own` has just started, from one that had left before. An announcement for a gateway that is
    /// silent and one of `others` is taken to be for this one.
    pub fn owners_of<'a>(
        &self,
        own: &VmName,
        started_at: Timestamp,
        others: impl Iterator<Item = &'a VmName>,
        now: Timestamp,
    ) -> u64 {
        let left = self.left.iter();
        let left = left.filter(|(_, left_at)| **left_at <= started_at);
        let known = left.fold(owner_bit(own), |owners, (vm, _)| owners | owner_bit(vm));
        if now.since(self.listed_since) >= LEFT_RETENTION {
            return known;
        }
        let silent = others.filter(|vm| self.is_silent(vm, now));
        let silent = silent.fold(0, |owners, vm| owners | owner_bit(vm));
        known | !silent
    }

    /// Returns the part of the limits of `owners` that their present owner keeps, so that it and all
    /// gateways that may be using their fallback shares of them exceed a limit by at most the tolerance.
    /// Each of them divides a limit among the gateways in its own list.
    pub fn owner_factor(&self, owners: u64, ownership: &Ownership, now: Timestamp) -> f64 {
        // Gateways that aren't in the list: those that left it, and those that announce a fallback
        // to a VM that has restarted since.
        let announcing = self.peers.iter().filter(|(_, peer)| {
            peer.uses_fallback_of(owners) && now.since(peer.heard_at) < LEFT_RETENTION
        });
        let unlisted = self.left.keys().chain(announcing.map(|(vm, _)| vm));
        let known: HashSet<_> = ownership.others().chain(unlisted).collect();
        let suspected = known.iter().filter(|vm| self.may_use(vm, owners, now));
        let shares = suspected.map(|vm| {
            let sharers = ownership.count_seen_by(vm, &known, self.is_silent(vm, now));
            FALLBACK_FACTOR / sharers.max(1) as f64
        });
        let sum: f64 = shares.sum();
        (1.0 - (sum - TOLERANCE).max(0.0)).max(0.0)
    }

    /// Returns the number of gateways that divide the limit of an unreachable owner: this one, `others` in
    /// the list, and those that left it and may not know.
    pub fn sharers<'a>(&'a self, others: impl Iterator<Item = &'a VmName>) -> usize {
        let known: HashSet<_> = others.chain(self.left.keys()).collect();
        known.len() + 1
    }

    /// Starts or ends the announcements of this VM's fallback for the limits of unreachable owners.
    ///
    /// Owners that grant tokens don't lower their rates because another one is unreachable.
    pub fn announce(&mut self, unreachable: &HashSet<VmName>, now: Timestamp) {
        self.unreachable_since
            .retain(|owner, _| unreachable.contains(owner));
        for owner in unreachable {
            self.unreachable_since.entry(owner.clone()).or_insert(now);
        }
    }

    /// Returns the owners whose limits this VM announces its fallback for.
    pub fn unreachable_owners(&self) -> u64 {
        let owners = self.unreachable_since.keys().map(owner_bit);
        owners.fold(0, |owners, bit| owners | bit)
    }

    /// Returns whether this VM may use fallback shares at all. `others` are the gateways in the list
    /// beside this one.
    pub fn is_allowed<'a>(&self, others: impl Iterator<Item = &'a VmName>, now: Timestamp) -> bool {
        let was_registered = self.certain_until > Timestamp::ZERO;
        let is_recent = now.since(self.certain_until) < MAX_UNCERTAIN;
        was_registered && (is_recent || self.most_use_fallback(others, now))
    }

    /// Returns the part of an owner's limits of which this VM may use its share.
    pub fn factor(&self, owner: &VmName, now: Timestamp) -> f64 {
        let since = self.unreachable_since.get(owner);
        if since.is_some_and(|since| now.since(*since) >= ANNOUNCEMENT_LEAD) {
            FALLBACK_FACTOR
        } else {
            EARLY_FACTOR
        }
    }

    /// Returns whether most gateways, this one included, are known to use their fallback: then it is
    /// the store that fails, and no others have taken over.
    fn most_use_fallback<'a>(
        &self,
        others: impl Iterator<Item = &'a VmName>,
        now: Timestamp,
    ) -> bool {
        let mut gateways = 1;
        let mut using = 1;
        for vm in others {
            gateways += 1;
            let heard = self.peers.get(vm);
            let uses = |peer: &Peer| peer.uses_fallback_of(u64::MAX) && !peer.is_silent(now);
            using += usize::from(heard.is_some_and(uses));
        }
        using * 2 > gateways
    }

    /// Returns whether a gateway has sent no status for long enough to count as unreachable.
    pub fn is_silent(&self, vm: &VmName, now: Timestamp) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| peer.is_silent(now))
    }

    /// Returns whether a gateway may be using its fallback share of the limits of `owners`.
    fn may_use(&self, vm: &VmName, owners: u64, now: Timestamp) -> bool {
        let peer = self.peers.get(vm);
        peer.is_none_or(|peer| peer.uses_fallback_of(owners) || peer.is_silent(now))
    }
}

impl Peer {
    const fn uses_fallback_of(&self, owners: u64) -> bool {
        self.unreachable_owners & owners != 0
    }

    fn is_silent(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) >= SILENCE_LIMIT
    }
}

#[cfg(test)]
mod tests;
