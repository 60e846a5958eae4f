//! Chooses the instance that replaces a primary.

use super::position::Position;
use super::statement::InstanceReport;
use crate::name::InstanceName;

/// Report of one instance, collected while the primary is being replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Report of the instance.
    pub report: InstanceReport,
    /// Whether the instance takes new work and may therefore be promoted.
    pub may_lead: bool,
}

/// Next step of a replacement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Promote the instance: it has received every acknowledged save.
    Promote(InstanceName),
    /// The instance is already the primary: the promotion call of a former holder took effect, or
    /// no replacement was needed.
    AlreadyLeads(InstanceName),
    /// The instance is chosen, but must first receive the log up to this position.
    CatchUp(InstanceName, Position),
    /// Too few instances responded to determine the last acknowledged save, or none of those that
    /// responded may be promoted.
    Unheard,
}

/// Decides the next step from the reports of the paused replicas, and of the former primary if
/// it responded.
///
/// `term` is the term that is being replaced; `instances` is the number of instances that may hold
/// an acknowledged save. A save is acknowledged once the primary and one replica have it, so the
/// reports of all replicas, or the report of the primary, are enough. With `keep_leader`, a former
/// primary that still leads remains the primary.
pub fn decide(
    former_primary: &InstanceName,
    term: u64,
    reports: &[MemberReport],
    instances: usize,
    keep_leader: bool,
) -> Decision {
    let leader = reports.iter().find(|member| {
        let newer = member.report.term > term && member.instance != *former_primary;
        let kept = keep_leader && member.report.term >= term && member.instance == *former_primary;
        member.report.is_primary && (newer || kept)
    });
    if let Some(leader) = leader {
        return Decision::AlreadyLeads(leader.instance.clone());
    }
    let replicas = || {
        reports
            .iter()
            .filter(|member| member.instance != *former_primary)
    };
    let primary = reports
        .iter()
        .find(|member| member.instance == *former_primary);
    if primary.is_none() && replicas().count() + 1 < instances {
        return Decision::Unheard;
    }
    let furthest = reports.iter().map(|member| member.report.received).max();
    // A former primary that was deposed may be promoted again if only it has every save.
    let leads =
        |member: &&MemberReport| member.instance == *former_primary && member.report.is_primary;
    let candidates = reports
        .iter()
        .filter(|member| member.may_lead && !leads(member));
    let best = candidates
        .max_by_key(|member| (member.report.received, member.instance != *former_primary));
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
