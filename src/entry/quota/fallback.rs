//! Share of a limit that a holder may use without its owner.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::ledger::Limit;
use crate::name::VmName;
use crate::time::Timestamp;

/// Part of the limit that all fallback shares add up to.
const FALLBACK_FACTOR: f64 = 0.8;

/// As [`FALLBACK_FACTOR`], for the time until the fallback has been announced. In a window of 5 s,
/// one second of it and [`TOLERANCE`] stay below 8% of the rate.
const EARLY_FACTOR: f64 = 0.2;

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

/// Time for which a gateway may use its fallback after its registration stopped being certain.
const MAX_UNCERTAIN: Duration = Duration::from_secs(10);

/// Time before the end of the validity lease from which on a gateway announces its fallback, so that
/// it can use it as soon as the lease has ended: the store then fails for other owners too.
const EXPECTED_LOSS_LEAD: Duration = Duration::from_millis(1_250);

/// Time after the end of the validity lease for which the fallback is announced even if owners that
/// are certain of their registration grant tokens.
const EXPECTED_LOSS_RETENTION: Duration = Duration::from_millis(500);

/// Returns the share of a limit that each of `gateways` may use without the owner, if all of them
/// may use the part `factor`.
pub fn share(limit: Limit, factor: f64, gateways: usize) -> Limit {
    let factor = factor / gateways.max(1) as f64;
    Limit {
        rate_per_s: limit.rate_per_s * factor,
        burst: (limit.burst * factor).max(1.0),
    }
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
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    heard_at: Timestamp,
    uses_fallback: bool,
}

/// Which gateways may be using their fallback shares, and whether this VM may use its own.
#[derive(Debug, Default)]
pub struct FallbackUse {
    peers: HashMap<VmName, Peer>,
    /// Gateways that left the list without a goodbye, with the time at which they left.
    left: HashMap<VmName, Timestamp>,
    announced_since: Option<Timestamp>,
    certain_until: Timestamp,
}

impl FallbackUse {
    /// Records the status of a gateway.
    pub fn record_status(&mut self, vm: &VmName, uses_fallback: bool, now: Timestamp) {
        let heard = Peer {
            heard_at: now,
            uses_fallback,
        };
        self.peers.insert(vm.clone(), heard);
    }

    /// Records a gateway that appears in the list: it counts as heard, so that one that has just
    /// registered isn't taken for silent.
    pub fn record_joined(&mut self, vm: &VmName, now: Timestamp) {
        self.left.remove(vm);
        self.record_status(vm, false, now);
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

    /// Records until when this VM's registration is certain.
    pub fn record_validity(&mut self, valid_until: Timestamp) {
        self.certain_until = valid_until;
    }

    /// Returns the part of its limits that an owner keeps, so that it and all gateways that may be
    /// using their fallback exceed a limit by at most the tolerance. `others` are the gateways in
    /// the list beside this one.
    pub fn owner_factor<'a>(
        &mut self,
        others: impl Iterator<Item = &'a VmName>,
        now: Timestamp,
    ) -> f64 {
        self.left
            .retain(|_, left_at| now.since(*left_at) < LEFT_RETENTION);
        let mut gateways = 1_usize;
        let mut suspected = 0_usize;
        let mut listed = HashSet::new();
        for vm in others {
            gateways += 1;
            suspected += usize::from(self.may_use(vm, now));
            listed.insert(vm);
        }
        // Gateways that aren't in the list: those that left it, and those that announce a fallback
        // to a VM that has restarted since.
        let left = self.left.keys();
        let announcing = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.uses_fallback && now.since(peer.heard_at) < LEFT_RETENTION);
        let unlisted: HashSet<_> = left.chain(announcing.map(|(vm, _)| vm)).collect();
        for vm in unlisted.difference(&listed) {
            gateways += 1;
            suspected += usize::from(self.may_use(vm, now));
        }
        let sum = FALLBACK_FACTOR * suspected as f64 / gateways as f64;
        1.0 - (sum - TOLERANCE).max(0.0)
    }

    /// Starts or ends the announcement of this VM's fallback. `needs_fallback` tells whether an owner
    /// is unreachable.
    pub fn announce(&mut self, needs_fallback: bool, now: Timestamp) {
        let left = self.certain_until.since(now);
        let ended = now.since(self.certain_until);
        let expects_loss = left < EXPECTED_LOSS_LEAD && ended < EXPECTED_LOSS_RETENTION;
        if needs_fallback || expects_loss {
            self.announced_since.get_or_insert(now);
        } else {
            self.announced_since = None;
        }
    }

    /// Returns whether this VM announces its fallback.
    pub const fn is_announced(&self) -> bool {
        self.announced_since.is_some()
    }

    /// Returns the part of the limits of which this VM may use its share without the owner; `None`
    /// if it may use nothing. `others` are the gateways in the list beside this one.
    pub fn factor<'a>(
        &self,
        others: impl Iterator<Item = &'a VmName>,
        now: Timestamp,
    ) -> Option<f64> {
        let was_registered = self.certain_until > Timestamp::ZERO;
        let is_recent = now.since(self.certain_until) < MAX_UNCERTAIN;
        if !was_registered || !(is_recent || self.most_use_fallback(others, now)) {
            return None;
        }
        let is_announced = self
            .announced_since
            .is_some_and(|since| now.since(since) >= ANNOUNCEMENT_LEAD);
        Some(if is_announced {
            FALLBACK_FACTOR
        } else {
            EARLY_FACTOR
        })
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
            let uses = |peer: &Peer| peer.uses_fallback && !peer.is_silent(now);
            using += usize::from(heard.is_some_and(uses));
        }
        using * 2 > gateways
    }

    /// Returns whether a gateway has sent no status for long enough to count as unreachable.
    pub fn is_silent(&self, vm: &VmName, now: Timestamp) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| peer.is_silent(now))
    }

    fn may_use(&self, vm: &VmName, now: Timestamp) -> bool {
        let peer = self.peers.get(vm);
        peer.is_none_or(|peer| peer.uses_fallback || peer.is_silent(now))
    }
}

impl Peer {
    fn is_silent(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) >= SILENCE_LIMIT
    }
}
