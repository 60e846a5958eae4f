//! Finds instances that fail, hang or slow down some of their statements, and takes reads from them
//! for a while.
//!
//! Load pattern: an instance that fails 15 to 45% of its statements, hangs some, or responds five to
//! eight times slower, while it responds to others and reports that all is well.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::WorkspaceName;
use crate::time::Timestamp;

mod weights;

use weights::Weights;
pub use weights::{ReadOutcome, Symptom};

/// Settings of the detection and of the ejections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierSettings {
    /// Time in which the weight of a read falls by half.
    pub half_life: Duration,
    /// Time in which the usual shares follow the current ones by half.
    pub past_half_life: Duration,
    /// Weight of reads that is needed for a decision.
    pub min_weight: f64,
    /// Weight that is needed while an instance gets only a part of its reads after an ejection.
    pub min_returning_weight: f64,
    /// Share of failed and hung reads from which an instance may be an outlier.
    pub min_failed_share: f64,
    /// Share of slow reads from which an instance may be an outlier. It is larger than that of
    /// failures, because reads that are queued are slow too.
    pub min_slow_share: f64,
    /// Factor by which a share must exceed those of the best peer and of the own past.
    pub min_factor: f64,
    /// Largest part of the bad reads that may be those of one workspace.
    pub max_workspace_part: f64,
    /// Duration of the first ejection; doubles with each further one.
    pub first_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Share of its reads that an instance gets right after an ejection.
    pub trickle: f64,
    /// Duration of the trickle.
    pub trickle_for: Duration,
    /// Time after the trickle in which the share grows to all reads.
    pub slow_start: Duration,
    /// Time without an ejection after which the next one is as short as the first.
    pub forget_after: Duration,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(3),
            past_half_life: Duration::from_mins(1),
            min_weight: 6.0,
            min_returning_weight: 2.0,
            min_failed_share: 0.1,
            min_slow_share: 0.5,
            min_factor: 4.0,
            max_workspace_part: 0.7,
            first_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(32),
            trickle: 0.05,
            trickle_for: Duration::from_secs(1),
            slow_start: Duration::from_secs(4),
            forget_after: Duration::from_secs(30),
        }
    }
}

/// Divisor of the number of a database's instances that gives the most ejected ones.
const MAX_EJECTED_DIVISOR: usize = 3;

/// Recent reads of one instance, and its ejections.
#[derive(Debug, Default)]
pub struct OutlierRecord {
    settings: OutlierSettings,
    recent: Weights,
    by_workspace: HashMap<WorkspaceName, Weights>,
    usual_failed: f64,
    usual_slow: f64,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

/// Instance among those of its database.
#[derive(Debug, Clone, Copy)]
pub struct Member<'a> {
    /// Recent reads of the instance.
    pub record: &'a OutlierRecord,
    /// Whether the instance may be ejected: it isn't the primary.
    pub may_be_ejected: bool,
    /// Whether the instance can run reads.
    pub is_usable: bool,
}

impl OutlierRecord {
    /// Records the outcome of a workspace's read.
    pub fn record(&mut self, workspace: &WorkspaceName, outcome: ReadOutcome) {
        self.recent.add(outcome);
        if outcome != ReadOutcome::Good {
            let weights = self.by_workspace.entry(workspace.clone()).or_default();
            weights.add(outcome);
        }
    }

    /// Lowers the weight of earlier reads as time passes, and updates the usual shares.
    pub fn decay(&mut self, by: Duration, now: Timestamp) {
        if self.recent.all >= self.settings.min_weight && self.admitted_share(now) >= 1.0 {
            self.update_usual(by);
        }
        let kept = kept(by, self.settings.half_life);
        self.recent.scale(kept);
        self.by_workspace.retain(|_, weights| {
            weights.scale(kept);
            weights.all > 0.01
        });
        let forgotten = |until| now.since(until) >= self.settings.forget_after;
        if self.ejected_until.is_some_and(forgotten) {
            self.ejected_until = None;
            self.ejections = 0;
        }
    }

    /// Updates the usual shares, unless the current ones are those of an outlier.
    fn update_usual(&mut self, by: Duration) {
        let gain = 1.0 - kept(by, self.settings.past_half_life);
        let failed = self.recent.share(Symptom::Failures);
        let slow = self.recent.share(Symptom::Slowness);
        if failed < self.settings.min_failed_share {
            self.usual_failed += gain * (failed - self.usual_failed);
        }
        if slow < self.settings.min_slow_share {
            self.usual_slow += gain * (slow - self.usual_slow);
        }
    }

    /// Returns the share of its reads that the instance gets: none while it is ejected, a trickle
    /// afterwards, then a growing share.
    pub fn admitted_share(&self, now: Timestamp) -> f64 {
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        if now < until {
            return 0.0;
        }
        let settings = &self.settings;
        let growing = now.since(until).saturating_sub(settings.trickle_for);
        let grown = growing.as_secs_f64() / settings.slow_start.as_secs_f64();
        (settings.trickle + grown).min(1.0)
    }

    /// Returns whether the instance is ejected.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether an ejection has ended within the last `period`.
    pub fn has_returned_within(&self, period: Duration, now: Timestamp) -> bool {
        self.ejected_until
            .is_some_and(|until| until <= now && now.since(until) < period)
    }

    /// Ejects the instance. Returns for how long.
    pub fn eject(&mut self, now: Timestamp) -> Duration {
        let factor = 2_u32.saturating_pow(self.ejections.min(16));
        let ejection = self.settings.first_ejection * factor;
        let ejection = ejection.min(self.settings.max_ejection);
        self.ejections += 1;
        self.ejected_until = Some(now + ejection);
        self.recent = Weights::default();
        self.by_workspace.clear();
        ejection
    }

    /// Returns the share of recent reads with a symptom.
    pub fn share(&self, symptom: Symptom) -> f64 {
        self.recent.share(symptom)
    }

    fn has_evidence(&self, now: Timestamp) -> bool {
        let returning = self.admitted_share(now) < 1.0;
        let needed = if returning {
            self.settings.min_returning_weight
        } else {
            self.settings.min_weight
        };
        self.recent.all >= needed
    }

    /// Returns whether bad reads are those of several workspaces. One whose own statements fail
    /// isn't evidence against an instance.
    fn is_widespread(&self, symptom: Symptom) -> bool {
        let bad = self.by_workspace.values();
        let largest = bad.map(|weights| weights.bad(symptom)).fold(0.0, f64::max);
        largest <= self.recent.bad(symptom) * self.settings.max_workspace_part
    }

    /// Returns by how much a share exceeds the least that makes an outlier beside the best peer;
    /// `None` if it doesn't.
    fn excess(&self, symptom: Symptom, best_peer: f64) -> Option<f64> {
        let (min_share, usual) = match symptom {
            Symptom::Failures => (self.settings.min_failed_share, self.usual_failed),
            Symptom::Slowness => (self.settings.min_slow_share, self.usual_slow),
        };
        let compared = best_peer.max(usual) * self.settings.min_factor;
        let threshold = min_share.max(compared.min(1.0));
        let share = self.recent.share(symptom);
        (share >= threshold && self.is_widespread(symptom)).then(|| share / threshold)
    }
}

fn kept(by: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(by.as_secs_f64() / half_life.as_secs_f64())
}

/// Returns the index of the member to eject next, with its worst symptom; `None` if there is none.
/// At most a third of the members are ejected at once, and another usable one always remains. If all
/// look bad, none is ejected: the fault may be at this VM.
pub fn find(members: &[Member<'_>], now: Timestamp) -> Option<(usize, Symptom)> {
    let ejected = members
        .iter()
        .filter(|member| member.record.is_ejected(now));
    if ejected.count() >= members.len() / MAX_EJECTED_DIVISOR {
        return None;
    }
    let mut worst = None;
    let mut worst_excess = 0.0;
    for (index, member) in members.iter().enumerate() {
        let record = member.record;
        if !member.may_be_ejected || record.is_ejected(now) || !record.has_evidence(now) {
            continue;
        }
        for symptom in [Symptom::Failures, Symptom::Slowness] {
            let excess = best_peer(members, index, symptom, now)
                .and_then(|best_peer| record.excess(symptom, best_peer));
            if let Some(excess) = excess.filter(|excess| *excess > worst_excess) {
                worst = Some((index, symptom));
                worst_excess = excess;
            }
        }
    }
    worst
}

/// Returns the lowest share among the usable peers with evidence; `None` without such a peer.
fn best_peer(members: &[Member<'_>], own: usize, symptom: Symptom, now: Timestamp) -> Option<f64> {
    let peers = members.iter().enumerate().filter(|(index, peer)| {
        *index != own
            && peer.is_usable
            && !peer.record.is_ejected(now)
            && peer.record.recent.all >= peer.record.settings.min_returning_weight
    });
    peers
        .map(|(_, peer)| peer.record.share(symptom))
        .min_by(f64::total_cmp)
}

#[cfg(test)]
mod tests;
