//! Choice of the instance that replaces a primary.

use super::position::Position;
use super::statement::InstanceReport;
use crate::name::InstanceName;

/// What an instance reported while the primary is being replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heard {
    /// The instance.
    pub instance: InstanceName,
    /// Its report.
    pub report: InstanceReport,
    /// Whether it takes new work and may therefore be promoted.
    pub may_lead: bool,
}

/// What can be done with the reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Promote the instance: no acknowledged save can lie beyond what it has received.
    Promote(InstanceName),
    /// An instance leads already: a former holder's call took effect, or none was needed.
    AlreadyLeads(InstanceName),
    /// The instance is chosen, but has yet to receive this position.
    CatchUp(InstanceName, Position),
    /// Too few instances were heard to know every acknowledged save.
    Unheard,
}

/// Decides from the reports of paused replicas, and of the old primary where it answers.
///
/// `term` is the term that is being replaced, `instances` counts every instance of the database
/// that may hold an acknowledged save. A save is acknowledged once the primary and one replica
/// have it, so hearing all replicas, or the primary itself, is enough. With `keep`, a primary that
/// still leads is left in its place.
pub fn decide(
    old_primary: &InstanceName,
    term: u64,
    heard: &[Heard],
    instances: usize,
    keep: bool,
) -> Decision {
    let leader = heard.iter().find(|heard| {
        let newer = heard.report.term > term && heard.instance != *old_primary;
        let kept = keep && heard.report.term >= term && heard.instance == *old_primary;
        heard.report.is_primary && (newer || kept)
    });
    if let Some(leader) = leader {
        return Decision::AlreadyLeads(leader.instance.clone());
    }
    let replicas = || heard.iter().filter(|heard| heard.instance != *old_primary);
    let primary = heard.iter().find(|heard| heard.instance == *old_primary);
    if primary.is_none() && replicas().count() + 1 < instances {
        return Decision::Unheard;
    }
    let furthest = heard.iter().map(|heard| heard.report.received).max();
    // A former primary that leads no longer may lead again, where only it has every save.
    let leads = |heard: &&Heard| heard.instance == *old_primary && heard.report.is_primary;
    let candidates = heard.iter().filter(|heard| heard.may_lead && !leads(heard));
    let best =
        candidates.max_by_key(|heard| (heard.report.received, heard.instance != *old_primary));
    let (Some(best), Some(furthest)) = (best, furthest) else {
        return Decision::Unheard;
    };
    if best.report.received < furthest {
        return Decision::CatchUp(best.instance.clone(), furthest);
    }
    Decision::Promote(best.instance.clone())
}

#[cfg(test)]
mod tests;
