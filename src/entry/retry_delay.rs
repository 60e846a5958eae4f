//! Retry delays of refused callers: when the cause of the refusal is expected to be over.
//!
//! Callers retry a few times within seconds, at the time that they are told. Told too short a time,
//! they use up their retries before the cause is over; told the same time, they return together.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::DatabaseName;
use crate::time::Timestamp;

/// Shortest time between two retries, for an instance that has served nothing yet.
const MIN_INTERVAL: Duration = Duration::from_millis(1);

/// Settings of [`RetryDelays`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryDelaySettings {
    /// Shortest delay: earlier, the refusals of the same burst are still arriving.
    pub min: Duration,
    /// Longest delay: callers give up within one to eight seconds.
    pub max: Duration,
    /// Longest time over which the retries of callers are spread.
    pub max_spread: Duration,
    /// Assumed duration of a primary's replacement until one was seen.
    pub first_replacement: Duration,
    /// Assumed time for which no gateway can be reached until it was seen once.
    pub first_gateway_outage: Duration,
    /// Assumed time in which a VM that has just started learns what it needs to serve.
    pub start: Duration,
    /// Time between two retries where the time of a statement isn't known.
    pub interval: Duration,
}

impl Default for RetryDelaySettings {
    fn default() -> Self {
        Self {
            min: Duration::from_millis(50),
            max: Duration::from_secs(2),
            max_spread: Duration::from_millis(500),
            // Detection (0.3 s), confirmations and a promotion (0.6 to 1 s).
            first_replacement: Duration::from_millis(1_500),
            first_gateway_outage: Duration::from_secs(1),
            start: Duration::from_secs(1),
            interval: Duration::from_millis(5),
        }
    }
}

/// Room that refused callers wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// Time in which what waits now is served.
    pub expected: Duration,
    /// Time in which one statement is served.
    pub interval: Duration,
}

/// Something that is unavailable at times, for about the same duration.
#[derive(Debug, Default)]
struct Outage {
    since: Option<Timestamp>,
    spread: Spread,
}

/// Mean duration of the last outages of one kind.
#[derive(Debug)]
struct UsualDuration {
    mean: Duration,
    has_samples: bool,
}

/// Hands out places, one interval apart, to callers that are refused together.
#[derive(Debug, Default)]
struct Spread {
    next: Duration,
    used_at: Timestamp,
}

/// Computes the retry delays of one VM.
#[derive(Debug)]
pub struct RetryDelays {
    settings: RetryDelaySettings,
    started_at: Timestamp,
    replacements: HashMap<DatabaseName, Outage>,
    usual_replacement: UsualDuration,
    gateways: Outage,
    usual_gateway_outage: UsualDuration,
    drains: HashMap<DatabaseName, Spread>,
    starts: Spread,
    replicas: Spread,
}

impl RetryDelays {
    /// Builds the delays of a VM that started at `now`.
    pub fn new(settings: RetryDelaySettings, now: Timestamp) -> Self {
        Self {
            settings,
            started_at: now,
            replacements: HashMap::new(),
            usual_replacement: UsualDuration::new(settings.first_replacement),
            gateways: Outage::default(),
            usual_gateway_outage: UsualDuration::new(settings.first_gateway_outage),
            drains: HashMap::new(),
            starts: Spread::default(),
            replicas: Spread::default(),
        }
    }

    /// Returns the delay for a lack of slots or connections: callers return one after another, each
    /// when one more statement has been served, once the queue has drained.
    pub fn drain(&mut self, database: &DatabaseName, drain: Drain, now: Timestamp) -> Duration {
        let spread = self.drains.entry(database.clone()).or_default();
        let interval = drain.interval.max(MIN_INTERVAL);
        let place = spread.place(interval, self.settings.max_spread, now);
        self.bounded(drain.expected + place)
    }

    /// Records that the primary of a database is unavailable.
    pub fn on_primary_unavailable(&mut self, database: &DatabaseName, now: Timestamp) {
        let outage = self.replacements.entry(database.clone()).or_default();
        outage.since.get_or_insert(now);
    }

    /// Records that the primary of a database is available.
    pub fn on_primary_available(&mut self, database: &DatabaseName, now: Timestamp) {
        if let Some(outage) = self.replacements.get_mut(database) {
            outage.end(&mut self.usual_replacement, now);
        }
    }

    /// Returns the delay while the primary of a database is being replaced.
    pub fn replacement(&mut self, database: &DatabaseName, now: Timestamp) -> Duration {
        let outage = self.replacements.entry(database.clone()).or_default();
        let delay = outage.delay(&self.usual_replacement, &self.settings, now);
        self.bounded(delay)
    }

    /// Records that a gateway was reached.
    pub fn on_gateway_reached(&mut self, now: Timestamp) {
        self.gateways.end(&mut self.usual_gateway_outage, now);
    }

    /// Returns the delay while no gateway can be reached.
    pub fn no_gateway(&mut self, now: Timestamp) -> Duration {
        let usual = &self.usual_gateway_outage;
        let delay = self.gateways.delay(usual, &self.settings, now);
        self.bounded(delay)
    }

    /// Returns the delay at a VM that doesn't know yet what it needs to serve.
    pub fn starting(&mut self, now: Timestamp) -> Duration {
        let rest = rest(self.settings.start, now.since(self.started_at));
        let horizon = self.settings.max_spread;
        let place = self.starts.place(self.settings.interval, horizon, now);
        self.bounded(rest + place)
    }

    /// Returns the delay at a VM that can't rely on its records until it has renewed its lease or
    /// got a sublease, which it tries once in each `renewal`.
    pub fn no_lease(&mut self, renewal: Duration, now: Timestamp) -> Duration {
        let place = self.starts.place(self.settings.interval, renewal, now);
        self.bounded(renewal / 2 + place)
    }

    /// Returns the delay while a primary has no replica: the longest one, because nothing shows when it has one
    /// again.
    pub fn no_replica(&mut self, now: Timestamp) -> Duration {
        let horizon = self.settings.max_spread;
        let place = self.replicas.place(self.settings.interval, horizon, now);
        self.bounded(self.settings.max.saturating_sub(horizon) + place)
    }

    fn bounded(&self, delay: Duration) -> Duration {
        delay.clamp(self.settings.min, self.settings.max)
    }
}

impl Outage {
    fn end(&mut self, usual: &mut UsualDuration, now: Timestamp) {
        if let Some(since) = self.since.take() {
            usual.record(now.since(since));
        }
    }

    fn delay(
        &mut self,
        usual: &UsualDuration,
        settings: &RetryDelaySettings,
        now: Timestamp,
    ) -> Duration {
        let since = *self.since.get_or_insert(now);
        let horizon = settings.max_spread;
        rest(usual.mean, now.since(since)) + self.spread.place(settings.interval, horizon, now)
    }
}

impl UsualDuration {
    const fn new(assumed: Duration) -> Self {
        Self {
            mean: assumed,
            has_samples: false,
        }
    }

    fn record(&mut self, measured: Duration) {
        self.mean = if self.has_samples {
            (self.mean * 3 + measured) / 4
        } else {
            measured
        };
        self.has_samples = true;
    }
}

impl Spread {
    /// Returns the next place. Places begin again at zero when the horizon is reached, and for the
    /// first refusal after a pause as long as the horizon.
    fn place(&mut self, interval: Duration, horizon: Duration, now: Timestamp) -> Duration {
        if self.next > horizon || now.since(self.used_at) > horizon {
            self.next = Duration::ZERO;
        }
        self.used_at = now;
        let place = self.next;
        self.next += interval;
        place
    }
}

/// Returns how much longer something lasts that usually takes `usual`. What is overdue is expected
/// to last on for as long as it is overdue.
const fn rest(usual: Duration, elapsed: Duration) -> Duration {
    usual.abs_diff(elapsed)
}

#[cfg(test)]
mod tests;
