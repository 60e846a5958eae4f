//! Tokens and waiting requests of one workspace at one gateway.

mod loans;

use std::collections::VecDeque;
use std::time::Duration;

use super::fallback::FallbackBucket;
use super::ledger::{Ask, Limit, PROMPT_TOKEN_TTL, TOKEN_TTL};
use super::lenders::Lenders;
use super::places::{Place, Places};
use super::queue::{Queue, Ticket, Waiter};
use crate::entry::datagram::TokenAnswer;
use crate::name::VmName;
use crate::time::Timestamp;

/// Time whose demand a holder requests ahead.
const HORIZON_S: f64 = 0.25;

/// Time constant by which the demand is averaged.
const DEMAND_WINDOW_S: f64 = 1.0;

/// Tokens needed within [`HORIZON_S`] up to which they are requested only when a request waits. With
/// fewer ahead, those of a chance accumulation of requests often expire unspent.
const MAX_PROMPT_NEED: f64 = 2.0;

/// Shortest time without a response after which a request counts as lost: a round trip between
/// zones, and the processing at a VM with a small part of a core.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(30);

/// Longest such time. It doubles with each lost request, because the grants of a slow owner would
/// otherwise all come too late.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(240);

/// Number of lost requests in a row after which the next-ranked gateway is asked.
const MAX_LOST: u32 = 2;

/// Delay before the first-ranked gateway is asked again when all have said that they aren't the
/// owner.
const NO_OWNER_DELAY: Duration = Duration::from_millis(40);

/// Time without a response after which the owner counts as unreachable: that of two lost requests.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(60);

/// Time without a grant after which the fallback is announced. Longer than the response of an
/// overloaded owner takes, because owners lower their rate for those who announce it.
const ANNOUNCED_AFTER: Duration = Duration::from_millis(250);

/// Time without requests after which an unreachable owner is no longer asked.
const IDLE_AFTER: Duration = Duration::from_secs(3);

/// Shortest retry delay while the owner is unreachable: gateways that start need a few round trips
/// until they own limits, and callers have only two retries.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Slack of the expected time of a token before a waiting request is refused early.
const EXPECTATION_SLACK: Duration = Duration::from_millis(20);

const EPSILON: f64 = 1e-6;

/// Request for one token.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Hash of the request's identifier, by which its retry is recognized.
    pub request: u64,
    /// Priority of its route; 0 is the highest.
    pub priority: u8,
    /// Longest time that it may wait for a token.
    pub max_wait: Duration,
    /// Time after which its caller gives up.
    pub patience: Duration,
}

/// What became of requests and tokens since it was last read, for log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Requests admitted with granted tokens.
    pub admitted: u32,
    /// Requests admitted with tokens of the fallback share.
    pub admitted_by_fallback: u32,
    /// Tokens borrowed from the fallback shares of other gateways.
    pub borrowed: u32,
    /// Requests refused.
    pub refused: u32,
    /// Granted tokens that expired unspent.
    pub expired: f64,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// A token was spent on it.
    Admitted,
    /// A token is expected in time.
    Waits,
    /// No token is expected in time; a retry finds one after this delay.
    Refused(Duration),
    /// The workspace is no longer part of the configuration.
    WorkspaceRemoved,
}

#[derive(Debug)]
struct Lot {
    owner: VmName,
    tokens: f64,
    until: Timestamp,
}

/// Unanswered request to a gateway.
#[derive(Debug, Clone)]
struct InFlight {
    nonce: u64,
    target: VmName,
    sent_at: Timestamp,
    is_prompt: bool,
}

/// Tokens of one workspace that the owner has granted to this VM, and the requests waiting for more.
#[derive(Debug)]
pub struct Holding {
    limit: Limit,
    lots: VecDeque<Lot>,
    demand_level: f64,
    demand_as_of: Timestamp,
    arrived_at: Timestamp,
    in_flight: Option<InFlight>,
    ask_at: Timestamp,
    lost: u32,
    response_timeout: Duration,
    /// Rank of the gateway that is asked; above 0 while those before it aren't the owner.
    rank: usize,
    without_grant_since: Option<Timestamp>,
    /// Time of the last response of the owner.
    granted_at: Timestamp,
    is_owner_silent: bool,
    /// Requests refused since the last grant; their retries need tokens.
    unmet: u32,
    /// Rate of tokens that this VM can expect while the owner has too few; `None` otherwise.
    share_per_s: Option<f64>,
    fallback: Option<FallbackBucket>,
    lenders: Lenders,
    queue: Queue,
    places: Places,
    usage: Usage,
}

impl Holding {
    /// Creates the state of a workspace without tokens.
    pub fn new(limit: Limit, now: Timestamp) -> Self {
        Self {
            limit,
            lots: VecDeque::new(),
            demand_level: 0.0,
            demand_as_of: now,
            arrived_at: now,
            in_flight: None,
            ask_at: now,
            lost: 0,
            response_timeout: MIN_RESPONSE_TIMEOUT,
            rank: 0,
            without_grant_since: None,
            granted_at: Timestamp::ZERO,
            is_owner_silent: false,
            unmet: 0,
            share_per_s: None,
            fallback: None,
            lenders: Lenders::default(),
            queue: Queue::default(),
            places: Places::default(),
            usage: Usage::default(),
        }
    }

    /// Returns and resets the counts of requests and tokens.
    pub fn take_usage(&mut self) -> Usage {
        std::mem::take(&mut self.usage)
    }

    /// Adds tokens that a VM which has just started may spend before it knows the owner.
    pub fn add_start_credit(&mut self, own: &VmName, tokens: f64, until: Timestamp) {
        self.lots.push_back(Lot {
            owner: own.clone(),
            tokens,
            until,
        });
    }

    /// Changes the limit, which bounds what is requested.
    pub const fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Counts a request in the demand.
    pub fn count(&mut self, now: Timestamp) {
        self.demand_level = self.demand_per_s(now) * DEMAND_WINDOW_S + 1.0;
        self.demand_as_of = now;
        self.arrived_at = now;
    }

    /// Decides on a request with the tokens at hand.
    pub fn arrive(&mut self, arrival: Arrival, now: Timestamp) -> Decision {
        self.places.forget_missed(now);
        let place = self.places.of(arrival.request);
        let is_due = place.is_some_and(|at| Places::is_due(at, now));
        let has_spare = self.spare(now) >= 1.0 && self.queue.ahead_of(arrival.priority) == 0;
        let has_due = is_due && self.tokens(now) >= 1.0 - EPSILON;
        if (has_spare || has_due) && self.spend(now) {
            self.places.claim(arrival.request);
            return Decision::Admitted;
        }
        if is_due {
            self.places.claim(arrival.request);
            return Decision::Waits;
        }
        if let Some(at) = place {
            self.unmet += 1;
            self.usage.refused += 1;
            return Decision::Refused(at.since(now));
        }
        if self.expects_token(arrival, now) {
            return Decision::Waits;
        }
        Decision::Refused(self.book(arrival.request, now + arrival.patience, now))
    }

    /// Adds a request for which [`Holding::arrive`] returned [`Decision::Waits`].
    pub fn enqueue(&mut self, arrival: Arrival, ticket: Ticket, now: Timestamp) {
        let waiter = Waiter {
            ticket,
            request: arrival.request,
            deadline: now + arrival.max_wait,
            gives_up_at: now + arrival.patience,
        };
        self.queue.push(arrival.priority, waiter);
    }

    /// Removes a waiting request whose caller is gone.
    pub fn leave(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Spends tokens on waiting requests in their order, and refuses those that can't get one in
    /// time. Returns the decisions.
    pub fn settle(&mut self, now: Timestamp, settled: &mut Vec<(Ticket, Decision)>) {
        self.places.forget_missed(now);
        while !self.queue.is_empty() && self.spare(now) >= 1.0 && self.spend(now) {
            let first = self.queue.pop();
            settled.extend(first.map(|waiter| (waiter.ticket, Decision::Admitted)));
        }
        if self.queue.is_empty() {
            return;
        }
        let spare = self.spare(now);
        let share_per_s = self.expected_rate(now);
        let late = self.queue.drain_late(|position, waiter| {
            let missing = (position as f64 + 1.0 - spare).max(0.0);
            let expected = share_per_s.map(|share| now + duration(missing / share));
            let is_late = expected.is_some_and(|at| at > waiter.deadline + EXPECTATION_SLACK);
            now >= waiter.deadline || is_late
        });
        for waiter in late {
            let delay = self.book(waiter.request, waiter.gives_up_at, now);
            settled.push((waiter.ticket, Decision::Refused(delay)));
        }
    }

    /// Returns the rank of the gateway to ask, out of `ranks`, if tokens must be requested now.
    pub fn rank_to_ask(&mut self, ranks: usize, now: Timestamp) -> Option<usize> {
        if ranks == 0 {
            self.without_grant_since.get_or_insert(now);
            return None;
        }
        if let Some(in_flight) = &self.in_flight {
            if now.since(in_flight.sent_at) < self.response_timeout {
                return None;
            }
            self.in_flight = None;
            self.record_lost(ranks, now);
        }
        self.forget_unreachable(now);
        let polls_owner = self.without_grant_since.is_some();
        let is_needed = self.wanted(now).0 >= 1.0 || polls_owner;
        (is_needed && now >= self.ask_at).then_some(self.rank.min(ranks - 1))
    }

    /// Returns whether a request would have to wait, and more tokens can be requested now from the
    /// first-ranked gateway.
    pub fn lacks_token(&mut self, now: Timestamp) -> bool {
        self.rank == 0 && self.in_flight.is_none() && now >= self.ask_at && self.spare(now) < 1.0
    }

    /// Returns whether tokens must be requested now.
    pub fn is_request_due(&mut self, now: Timestamp) -> bool {
        self.in_flight.is_none() && now >= self.ask_at && self.wanted(now).0 >= 1.0
    }

    /// Asks the first-ranked gateway next, because the gateways have changed.
    pub const fn ask_first(&mut self) {
        self.rank = 0;
    }

    /// Builds the request to a gateway.
    pub fn ask(&mut self, target: &VmName, nonce: u64, now: Timestamp) -> Ask {
        let (wanted, is_prompt) = self.wanted(now);
        let lots = self.lots.iter().filter(|lot| lot.owner == *target);
        let held = lots.map(|lot| lot.tokens).sum::<f64>();
        self.in_flight = Some(InFlight {
            nonce,
            target: target.clone(),
            sent_at: now,
            is_prompt,
        });
        self.without_grant_since.get_or_insert(now);
        Ask {
            nonce,
            held: held.ceil(),
            wanted: wanted.floor(),
            is_prompt,
        }
    }

    /// Accepts the response to the latest request; returns the number of tokens granted.
    pub fn receive(
        &mut self,
        nonce: u64,
        answer: TokenAnswer,
        ranks: usize,
        now: Timestamp,
    ) -> u32 {
        let Some(request) = self.in_flight.take_if(|request| request.nonce == nonce) else {
            return 0;
        };
        self.lost = 0;
        let TokenAnswer::Granted { tokens, rest } = answer else {
            self.try_next(ranks, now);
            return 0;
        };
        self.without_grant_since = None;
        self.granted_at = now;
        self.response_timeout = (self.response_timeout / 2).max(MIN_RESPONSE_TIMEOUT);
        self.fallback = None;
        if tokens > 0 {
            self.unmet = 0;
        }
        self.share_per_s = rest.map(|rest| f64::from(rest.share_per_s).max(EPSILON));
        self.ask_at = now + Duration::from_millis(rest.map_or(0, |rest| rest.wait_ms).into());
        let ttl = if request.is_prompt {
            PROMPT_TOKEN_TTL
        } else {
            TOKEN_TTL
        };
        self.lots.push_back(Lot {
            owner: request.target,
            tokens: f64::from(tokens),
            until: request.sent_at + ttl,
        });
        tokens
    }

    /// Returns whether the owner counts as unreachable: it has granted nothing for some time, or
    /// sends no status either.
    pub fn is_without_owner(&self, now: Timestamp) -> bool {
        self.without_grant_since
            .is_some_and(|since| self.is_owner_silent || now.since(since) >= UNREACHABLE_AFTER)
    }

    /// Returns whether the use of the fallback share must be announced.
    pub fn needs_fallback(&self, now: Timestamp) -> bool {
        self.without_grant_since
            .is_some_and(|since| self.is_owner_silent || now.since(since) >= ANNOUNCED_AFTER)
    }

    /// Records whether the first-ranked gateway sends no status.
    pub const fn set_owner_silent(&mut self, is_silent: bool) {
        self.is_owner_silent = is_silent;
    }

    /// Returns the limit.
    pub const fn limit(&self) -> Limit {
        self.limit
    }

    /// Starts or ends the use of the fallback share; returns whether it was started. It starts
    /// without tokens, because those granted before may still be unspent.
    pub fn use_fallback(&mut self, share: Option<Limit>, now: Timestamp) -> bool {
        let share = share.filter(|_| self.is_without_owner(now));
        let is_started = share.is_some() && self.fallback.is_none();
        match (share, &mut self.fallback) {
            (Some(share), Some(bucket)) => bucket.set_share(share, now),
            (Some(share), None) => self.fallback = Some(FallbackBucket::empty(share, now)),
            (None, _) => self.fallback = None,
        }
        is_started
    }

    /// Returns whether something is to be done without a further request or response.
    pub fn is_active(&self) -> bool {
        let is_asking = self.in_flight.is_some() || self.without_grant_since.is_some();
        is_asking || !self.queue.is_empty() || self.unmet > 0
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the waiting requests.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.queue.tickets()
    }

    fn demand_per_s(&self, now: Timestamp) -> f64 {
        let elapsed_s = now.since(self.demand_as_of).as_secs_f64();
        self.demand_level * (-elapsed_s / DEMAND_WINDOW_S).exp() / DEMAND_WINDOW_S
    }

    /// Returns the number of tokens to request, and whether they are for requests that wait.
    fn wanted(&mut self, now: Timestamp) -> (f64, bool) {
        let waiting = self.queue.len() as f64;
        let need = self.demand_per_s(now).min(self.limit.rate_per_s) * HORIZON_S;
        let held = self.granted(now).floor();
        if need < MAX_PROMPT_NEED {
            let unmet = f64::from(self.unmet).min(MAX_PROMPT_NEED);
            let is_prompt = waiting > held;
            return ((waiting.max(unmet) - held).max(0.0), is_prompt);
        }
        if held - waiting >= need / 2.0 {
            return (0.0, false);
        }
        ((need + waiting - held).ceil(), false)
    }

    fn granted(&mut self, now: Timestamp) -> f64 {
        let ended = self.lots.iter().filter(|lot| now >= lot.until);
        self.usage.expired += ended.map(|lot| lot.tokens).sum::<f64>();
        self.lots
            .retain(|lot| now < lot.until && lot.tokens > EPSILON);
        self.lots.iter().map(|lot| lot.tokens).sum()
    }

    fn tokens(&mut self, now: Timestamp) -> f64 {
        let granted = self.granted(now);
        let fallback = self.fallback.as_mut();
        granted + fallback.map_or(0.0, |bucket| bucket.tokens(now))
    }

    /// Returns the tokens that aren't kept for places which are due.
    fn spare(&mut self, now: Timestamp) -> f64 {
        self.tokens(now) - self.places.expected_until(now) + EPSILON
    }

    /// Spends a token, of those granted first; returns whether there was one.
    fn spend(&mut self, now: Timestamp) -> bool {
        if self.granted(now) >= 1.0 - EPSILON {
            if let Some(lot) = self.lots.front_mut() {
                lot.tokens -= 1.0;
            }
            self.usage.admitted += 1;
            return true;
        }
        let fallback = self.fallback.as_mut();
        let is_spent = fallback.is_some_and(|bucket| bucket.try_take(now));
        self.usage.admitted_by_fallback += u32::from(is_spent);
        is_spent
    }

    /// Returns whether the request's token is expected within the time that it may wait.
    fn expects_token(&mut self, arrival: Arrival, now: Timestamp) -> bool {
        let Some(share_per_s) = self.expected_rate(now) else {
            // Either a grant is on its way, or nobody has granted anything yet.
            return !self.is_without_owner(now) || self.lenders.may_lend(now);
        };
        let ahead = self.queue.ahead_of(arrival.priority) as f64;
        let booked = self.places.expected_until(now + arrival.max_wait);
        let missing = ahead + booked + 1.0 - self.tokens(now);
        duration(missing.max(0.0) / share_per_s) <= arrival.max_wait
    }

    /// Returns the rate at which tokens arrive while there are too few; `None` if that isn't known.
    fn expected_rate(&self, now: Timestamp) -> Option<f64> {
        let Some(fallback) = &self.fallback else {
            return self.share_per_s;
        };
        if self.lenders.may_lend(now) {
            return None;
        }
        Some(fallback.rate_per_s() * (1 + self.lenders.active(now)) as f64)
    }

    /// Returns the retry delay of a request whose caller gives up at a time.
    fn book(&mut self, request: u64, gives_up_at: Timestamp, now: Timestamp) -> Duration {
        self.unmet += 1;
        self.usage.refused += 1;
        let rate_per_s = self.expected_rate(now).unwrap_or(self.limit.rate_per_s);
        let spacing = duration(1.0 / rate_per_s.max(EPSILON));
        let ahead = u32::try_from(self.queue.len() + 1).unwrap_or(u32::MAX);
        let mut earliest = now + spacing.saturating_mul(ahead);
        if self.fallback.is_none() && self.is_without_owner(now) {
            earliest = earliest.max(now + UNREACHABLE_RETRY_DELAY);
        }
        let place = Place {
            request,
            earliest,
            latest: gives_up_at,
            spacing,
        };
        self.places.book(place, now)
    }

    fn record_lost(&mut self, ranks: usize, now: Timestamp) {
        self.lost += 1;
        if self.lost.is_multiple_of(MAX_LOST) {
            self.try_next(ranks, now);
        }
        self.response_timeout = (self.response_timeout * 2).min(MAX_RESPONSE_TIMEOUT);
    }

    /// Asks the next-ranked gateway next, or the first one again after a delay.
    fn try_next(&mut self, ranks: usize, now: Timestamp) {
        self.rank += 1;
        if self.rank >= ranks {
            self.rank = 0;
            self.ask_at = now + NO_OWNER_DELAY;
        }
    }

    fn forget_unreachable(&mut self, now: Timestamp) {
        if now.since(self.arrived_at) >= IDLE_AFTER {
            self.unmet = 0;
            self.without_grant_since = None;
            self.fallback = None;
        }
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
}
