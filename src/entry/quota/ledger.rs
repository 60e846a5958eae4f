//! Bucket of one workspace at its owner, which grants tokens to all gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::fallback::unnoticed_s;
use crate::entry::datagram::{Rest, TokenAnswer};
use crate::time::Timestamp;

/// Time for which a holder may spend tokens, counted from when it requested them. The owner counts
/// the same time from when it granted them, which is later.
pub const TOKEN_TTL: Duration = Duration::from_secs(1);

/// Time-to-live of tokens for requests that wait already. Shorter than [`TOKEN_TTL`], because tokens
/// that were spent at once would otherwise lower the capacity of small workspaces for a second.
pub const PROMPT_TOKEN_TTL: Duration = Duration::from_millis(100);

/// Time for which an unmet request of a holder takes part in the division of new tokens. Longer than
/// the longest interval at which holders repeat their requests.
const WANT_RETENTION: Duration = Duration::from_millis(400);

/// Seconds of rate that an owner may grant while the tokens granted by its predecessor are unknown.
/// Below the tolerance of 8% in a window of 5 s.
const UNKNOWN_PREDECESSOR_S: f64 = 0.25;

/// Bounds of the time after which a holder is told to repeat a request that was not met in full.
const MIN_REST_WAIT_S: f64 = 0.01;
const MAX_REST_WAIT_S: f64 = 0.25;

/// Tolerates rounding errors of sums.
const EPSILON: f64 = 1e-6;

/// Rate and burst of a workspace over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Tokens added per second.
    pub rate_per_s: f64,
    /// Maximum number of tokens.
    pub burst: f64,
}

impl Limit {
    /// Returns a part of the limit. With a burst below 1, no request could ever be admitted.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            rate_per_s: self.rate_per_s * factor,
            burst: (self.burst * factor).max(1.0),
        }
    }
}

/// Request of a holder for tokens of one workspace.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// Number of the request. The holder accepts only the response to its latest request.
    pub nonce: u64,
    /// Unspent tokens that this owner granted earlier.
    pub held: f64,
    /// Further tokens that the holder needs.
    pub wanted: f64,
    /// Whether the tokens are for requests that wait already.
    pub is_prompt: bool,
}

#[derive(Debug)]
struct Holder {
    nonce: u64,
    lent: f64,
    lent_until: Timestamp,
    wanted: f64,
    /// Part of the tokens here that is meant for this holder; negative after it got a whole one for
    /// a fraction.
    entitled: f64,
    asked_at: Timestamp,
}

/// Tokens of one workspace at its owner.
///
/// Tokens are deducted before they are sent, and the capacity stays lower by those that may still be
/// unspent. The tokens here and at all holders therefore never exceed the burst, and grow by at most
/// the rate, so that any window has at most rate x window + burst.
#[derive(Debug)]
pub struct Ledger {
    limit: Limit,
    /// Part of the configured limit that `limit` is.
    factor: f64,
    tokens: f64,
    as_of: Timestamp,
    started_at: Timestamp,
    holders: HashMap<SocketAddr, Holder>,
    /// Tokens that a predecessor may have granted, with the time at which they expire.
    inherited: (f64, Timestamp),
}

impl Ledger {
    /// Creates a full bucket, for a workspace of which nobody has granted tokens for
    /// [`TOKEN_TTL`].
    pub fn full(limit: Limit, now: Timestamp) -> Self {
        Self::inherit(limit, limit.burst, 0.0, now)
    }

    /// Creates an empty bucket, after a predecessor whose grants aren't known.
    pub fn empty(limit: Limit, now: Timestamp) -> Self {
        let unknown = limit.burst - initial_tokens(limit);
        Self::inherit(limit, 0.0, unknown, now)
    }

    /// Creates the bucket of a process that has just started and received no hand-over: a restart
    /// takes longer than the rate needs to fill it so far.
    pub fn restarted(limit: Limit, now: Timestamp) -> Self {
        let tokens = initial_tokens(limit);
        Self::inherit(limit, tokens, limit.burst - tokens, now)
    }

    /// Creates a bucket from what a predecessor handed over: its tokens, and those that holders may
    /// still spend.
    pub fn inherit(limit: Limit, tokens: f64, outstanding: f64, now: Timestamp) -> Self {
        let mut ledger = Self {
            limit,
            factor: 1.0,
            tokens: tokens.max(0.0),
            as_of: now,
            started_at: now,
            holders: HashMap::new(),
            inherited: (outstanding.max(0.0), now + TOKEN_TTL),
        };
        ledger.clamp(now);
        ledger
    }

    /// Returns the time at which this VM became the owner.
    pub const fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Returns the tokens left and those that holders may still spend, for a hand-over.
    pub fn balance(&mut self, now: Timestamp) -> (f64, f64) {
        self.refill(now);
        (self.tokens, self.outstanding(now))
    }

    /// Records which part of the configured limit the bucket was created with.
    #[must_use]
    pub const fn with_factor(mut self, factor: f64) -> Self {
        self.factor = factor;
        self
    }

    /// Keeps a part of a configured limit beside the fallback shares of others. If it is lower than
    /// before, shares were in use before this owner noticed; what they may have spent is withdrawn.
    pub fn keep_part(&mut self, limit: Limit, factor: f64, now: Timestamp) {
        let unnoticed_s = unnoticed_s(self.factor, factor);
        self.withdraw(limit.rate_per_s * unnoticed_s, now);
        self.factor = factor;
        self.set_limit(limit.scaled(factor), now);
    }

    /// Changes the limit; tokens above the new burst are dropped.
    fn set_limit(&mut self, limit: Limit, now: Timestamp) {
        if self.limit != limit {
            self.refill(now);
            self.limit = limit;
            self.clamp(now);
        }
    }

    /// Drops the tokens, because holders may have used their fallback meanwhile.
    pub fn drain(&mut self, now: Timestamp) {
        self.refill(now);
        self.tokens = 0.0;
    }

    /// Withdraws tokens that others have spent without this owner. What is missing is withheld from
    /// later refills.
    fn withdraw(&mut self, tokens: f64, now: Timestamp) {
        if tokens > 0.0 {
            self.refill(now);
            self.tokens -= tokens;
        }
    }

    /// Grants tokens to a holder. Returns `None` for a request that was received before.
    pub fn grant(&mut self, from: SocketAddr, ask: Ask, now: Timestamp) -> Option<TokenAnswer> {
        self.forget_holders(now);
        let holder = self.holders.entry(from).or_insert_with(|| Holder::new(now));
        if ask.nonce <= holder.nonce {
            return None;
        }
        holder.nonce = ask.nonce;
        // The holder accepts no earlier grant any more, so it has only what it reports.
        holder.lent = holder.lent.min(ask.held.max(0.0));
        holder.wanted = ask.wanted.max(0.0);
        holder.asked_at = now;
        self.refill(now);
        let wanted_by_all = self.divide(from, now);
        let available = self.tokens;
        let most_entitled = self.most_entitled();
        let holder = self.holders.get_mut(&from)?;
        let granted = holder.entitled.min(holder.wanted).min(available) + EPSILON;
        let mut granted = granted.floor().max(0.0);
        // Otherwise many holders that are entitled to a fraction each could keep the bucket full.
        let is_first = holder.entitled + EPSILON >= most_entitled;
        if granted < 1.0 && is_first && holder.wanted >= 1.0 && available + EPSILON >= 1.0 {
            granted = 1.0;
        }
        let ttl = if ask.is_prompt {
            PROMPT_TOKEN_TTL
        } else {
            TOKEN_TTL
        };
        let rest = holder.rest(granted, wanted_by_all, self.limit.rate_per_s);
        if granted > 0.0 {
            holder.lent += granted;
            holder.lent_until = holder.lent_until.max(now + ttl);
            holder.wanted -= granted;
            holder.entitled -= granted;
            self.tokens -= granted;
        }
        Some(TokenAnswer::Granted {
            tokens: granted as u32,
            rest,
        })
    }

    /// Divides the tokens that nobody is entitled to yet among the holders with unmet requests, in
    /// proportion to what they requested. Returns the sum of the unmet requests.
    fn divide(&mut self, from: SocketAddr, now: Timestamp) -> f64 {
        let mut wanted = 0.0;
        let mut entitled = 0.0;
        for holder in self.holders.values_mut() {
            if now.since(holder.asked_at) >= WANT_RETENTION {
                holder.wanted = 0.0;
                holder.entitled = 0.0;
            }
            holder.entitled = holder.entitled.min(holder.wanted);
            wanted += holder.wanted;
            entitled += holder.entitled;
        }
        let free = (self.tokens - entitled).max(0.0);
        if wanted <= 0.0 || free <= 0.0 {
            return wanted;
        }
        let mut left = free;
        for holder in self.holders.values_mut() {
            let part = free * holder.wanted / wanted;
            let part = part.min(holder.wanted - holder.entitled);
            holder.entitled += part;
            left -= part;
        }
        // What others don't need is the requester's.
        if let Some(holder) = self.holders.get_mut(&from) {
            holder.entitled += left.max(0.0).min(holder.wanted - holder.entitled);
        }
        wanted
    }

    fn most_entitled(&self) -> f64 {
        let holders = self.holders.values();
        let entitled = holders.filter(|holder| holder.wanted >= 1.0);
        entitled.map(|holder| holder.entitled).fold(0.0, f64::max)
    }

    fn forget_holders(&mut self, now: Timestamp) {
        self.holders
            .retain(|_, holder| now < holder.lent_until || now.since(holder.asked_at) < TOKEN_TTL);
    }

    fn outstanding(&self, now: Timestamp) -> f64 {
        let (inherited, until) = self.inherited;
        let inherited = if now < until { inherited } else { 0.0 };
        let holders = self.holders.values();
        let lent = holders.filter(|holder| now < holder.lent_until);
        inherited + lent.map(|holder| holder.lent).sum::<f64>()
    }

    fn refill(&mut self, now: Timestamp) {
        for holder in self.holders.values_mut() {
            if now >= holder.lent_until {
                holder.lent = 0.0;
            }
        }
        self.tokens += self.limit.rate_per_s * now.since(self.as_of).as_secs_f64();
        self.as_of = self.as_of.max(now);
        self.clamp(now);
    }

    fn clamp(&mut self, now: Timestamp) {
        let capacity = (self.limit.burst - self.outstanding(now)).max(0.0);
        self.tokens = self.tokens.min(capacity);
    }
}

impl Holder {
    const fn new(now: Timestamp) -> Self {
        Self {
            nonce: 0,
            lent: 0.0,
            lent_until: Timestamp::ZERO,
            wanted: 0.0,
            entitled: 0.0,
            asked_at: now,
        }
    }

    /// Returns when the holder can expect more than the `granted` tokens; `None` if it was granted
    /// all that it wanted.
    fn rest(&self, granted: f64, wanted_by_all: f64, rate_per_s: f64) -> Option<Rest> {
        if granted >= self.wanted {
            return None;
        }
        let share_per_s = rate_per_s * self.wanted / wanted_by_all.max(self.wanted);
        let missing = (1.0 - (self.entitled - granted)).max(0.0);
        let wait_s = (missing / share_per_s.max(EPSILON)).clamp(MIN_REST_WAIT_S, MAX_REST_WAIT_S);
        Some(Rest {
            wait_ms: (wait_s * 1e3).ceil() as u32,
            share_per_s: share_per_s as f32,
        })
    }
}

/// Returns what may be granted while the predecessor's grants are unknown, at least one token.
fn initial_tokens(limit: Limit) -> f64 {
    let seconds = limit.rate_per_s * UNKNOWN_PREDECESSOR_S;
    seconds.min(limit.burst / 2.0).max(1.0).min(limit.burst)
}
