//! Gradual use of instances that have just started, or whose zone was evacuated until now.

use std::time::Duration;

use crate::name::{InstanceName, VmName};
use crate::time::Timestamp;

/// Statements a second that a VM with a share of a cold instance's rate should have at least. A VM
/// that was idle may send one at once in addition to its share, so with two a second, all VMs
/// together send at most half as many again as the instance takes.
const MIN_SHARE_PER_S: f64 = 2.0;

/// Retry delay suggested to a refused caller at a VM without a share.
const RETRY_WITHOUT_SHARE: Duration = Duration::from_secs(1);

/// How an instance is used until it is warm.
#[derive(Debug, Clone, Copy)]
pub struct WarmupSettings {
    /// Fraction of the slots that are used while the instance is cold, and at the beginning of the
    /// slow start.
    pub initial_fraction: f64,
    /// Time in which the used slots then grow to all of them.
    pub slow_start: Duration,
}

impl Default for WarmupSettings {
    fn default() -> Self {
        Self {
            initial_fraction: 0.25,
            slow_start: Duration::from_secs(5),
        }
    }
}

impl WarmupSettings {
    /// Returns how many of an instance's slots are used by a VM. `warm_from` is when the slow start
    /// begins: in the future while the instance is cold, `None` if it started warm.
    pub fn slots(&self, all: u32, warm_from: Option<Timestamp>, now: Timestamp) -> u32 {
        let Some(warm_from) = warm_from else {
            return all;
        };
        let progress = now.since(warm_from).as_secs_f64() / self.slow_start.as_secs_f64();
        let fraction = self.initial_fraction + (1.0 - self.initial_fraction) * progress;
        let used = f64::from(all) * fraction.min(1.0);
        used.ceil() as u32
    }
}

/// Returns how many statements a second this VM may send to a cold instance, which takes
/// `cold_per_s` of all gateways. A few gateways share the rate; the others send it nothing.
pub fn share_per_s<'a>(
    cold_per_s: f64,
    instance: &InstanceName,
    own: &VmName,
    gateways: impl Iterator<Item = &'a VmName>,
) -> f64 {
    let weight = |vm: &VmName| xxhash_rust::xxh3::xxh3_64(format!("{vm}/{instance}").as_bytes());
    let own_weight = weight(own);
    let (mut count, mut before, mut is_registered) = (0_u32, 0_u32, false);
    for vm in gateways {
        count += 1;
        before += u32::from(weight(vm) < own_weight);
        is_registered |= vm == own;
    }
    let sharing = ((cold_per_s / MIN_SHARE_PER_S) as u32).clamp(1, count.max(1));
    if is_registered && before < sharing {
        cold_per_s / f64::from(sharing)
    } else {
        0.0
    }
}

/// Spaces the statements that this VM sends to a cold instance evenly.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    next_at: Timestamp,
}

impl Pace {
    /// Reserves the next place of a statement and returns the time until then.
    ///
    /// # Errors
    ///
    /// Fails with the time until the next place if it is longer than `max_wait`; nothing is
    /// reserved.
    pub fn reserve(
        &mut self,
        per_s: f64,
        max_wait: Duration,
        now: Timestamp,
    ) -> Result<Duration, Duration> {
        if per_s <= 0.0 {
            return Err(RETRY_WITHOUT_SHARE);
        }
        let at = self.next_at.max(now);
        let wait = at.since(now);
        if wait > max_wait {
            return Err(wait);
        }
        self.next_at = at + Duration::from_secs_f64(1.0 / per_s);
        Ok(wait)
    }

    /// Returns whether a statement may be sent at once.
    pub fn is_free(&self, per_s: f64, now: Timestamp) -> bool {
        per_s > 0.0 && self.next_at <= now
    }
}

#[cfg(test)]
mod tests;
