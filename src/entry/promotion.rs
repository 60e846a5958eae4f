//! Chooses the instance that replaces a primary.

use strum::Display;

use super::position::Position;
use super::record::PromotionCalls;
use super::statement::InstanceReport;
use crate::name::InstanceName;

/// Report of one instance, collected while the primary is being replaced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberReport {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Report of the instance.
    pub report: InstanceReport,
    /// Whether the instance may be promoted: it takes new work and its zone isn't evacuated.
    pub may_lead: bool,
    /// Whether the instance has just started and is still slow.
    pub is_cold: bool,
    /// Whether the instance was started again without its log. Its report then says nothing about the saves that
    /// it had confirmed.
    pub has_lost_log: bool,
}

/// Next step of a replacement.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
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
    /// The promotion call for another instance may still take effect.
    AwaitEffect,
}

/// What is known about the primary that is being replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Knowledge {
    /// The recorded primary was the primary until now, and has failed or must leave. It remains the
    /// primary only if it still leads and no other instance that responded may lead.
    Former,
    /// As `Former`, but nothing may be wrong with it: it remains the primary if it still leads.
    Unfinished,
    /// A restoration of the store brought the record back: there may have been a later primary.
    Restored,
}

/// Primary that is being replaced.
#[derive(Debug, Clone, Copy)]
pub struct Replaced<'a> {
    /// Primary that the record names.
    pub primary: &'a InstanceName,
    /// Term that the record names.
    pub term: u64,
    /// Number of instances that may hold an acknowledged save.
    pub instances: usize,
    /// What is known about the primary.
    pub knowledge: Knowledge,
}

/// Promotion calls that aren't recorded as successful, by this VM or a former holder of the failover lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UnrecordedCalls {
    /// Instances that may have been called.
    pub instances: PromotionCalls,
    /// Whether a call could still take effect when the reports were requested.
    pub may_take_effect: bool,
    /// Instance of this VM's last call, if the platform has accepted that and the instance hasn't been
    /// started again since.
    pub accepted: Option<InstanceName>,
}

impl UnrecordedCalls {
    /// Returns whether the platform regards an instance that leads as the primary: it has accepted to promote
    /// it, and that changed nothing.
    fn changed_nothing_for(&self, leader: &InstanceName) -> bool {
        !self.may_take_effect && self.accepted.as_ref() == Some(leader)
    }

    /// Returns whether an instance that leads may be kept: no other one can have been promoted after it. An
    /// instance that was called and hasn't reported may lead in a later term.
    fn allow_keeping(
        &self,
        leader: &MemberReport,
        replaced: &Replaced<'_>,
        reports: &[MemberReport],
    ) -> bool {
        if self.changed_nothing_for(&leader.instance)
            || !self.instances.may_include_other(&leader.instance)
        {
            return true;
        }
        if self.may_take_effect {
            return false;
        }
        let has_reported =
            |name: &InstanceName| counted(reports).any(|member| member.instance == *name);
        match &self.instances {
            PromotionCalls::Named(called) => called
                .iter()
                .all(|name| *name == leader.instance || has_reported(name)),
            // A former holder has promoted it, after the recorded primary.
            PromotionCalls::Unknown if leader.instance != *replaced.primary => true,
            PromotionCalls::Unknown => counted(reports).count() >= replaced.instances,
        }
    }

    /// Returns whether an instance may be promoted now, so that no earlier call takes effect after that.
    fn allow_promoting(&self, instance: &InstanceName) -> bool {
        !self.may_take_effect || !self.instances.may_include_other(instance)
    }
}

/// Returns the reports that say which saves an instance has.
fn counted(reports: &[MemberReport]) -> impl Iterator<Item = &MemberReport> {
    reports.iter().filter(|member| !member.has_lost_log)
}

/// Decides the next step from the reports of the paused replicas, and of the recorded primary if
/// it responded.
///
/// A save is acknowledged once the primary and one replica have it, so the reports of all replicas,
/// or the report of the primary, are enough. If the record was restored, any two instances may hold
/// the last save, and all instances but one must report. The report of an instance that has lost its log
/// doesn't count.
///
/// An instance that leads is promoted again, under a higher term, if another one may have been promoted after
/// it.
pub fn decide(
    replaced: &Replaced<'_>,
    calls: &UnrecordedCalls,
    reports: &[MemberReport],
) -> Decision {
    let is_restored = replaced.knowledge == Knowledge::Restored;
    if is_restored && counted(reports).count() + 1 < replaced.instances {
        return Decision::Unheard;
    }
    let decision = match current_leader(replaced, calls, reports) {
        Some(leader) if calls.allow_keeping(leader, replaced, reports) => {
            return Decision::AlreadyLeads(leader.instance.clone());
        }
        Some(leader) => Decision::Promote(leader.instance.clone()),
        None => choose(replaced, calls, reports),
    };
    match &decision {
        Decision::Promote(chosen) | Decision::CatchUp(chosen, _)
            if !calls.allow_promoting(chosen) =>
        {
            Decision::AwaitEffect
        }
        _ => decision,
    }
}

/// Returns the instance that leads in the newest term, unless it must be replaced.
fn current_leader<'a>(
    replaced: &Replaced<'_>,
    calls: &UnrecordedCalls,
    reports: &'a [MemberReport],
) -> Option<&'a MemberReport> {
    let newest_term = reports.iter().map(|member| member.report.term).max();
    let may_others_lead = reports
        .iter()
        .any(|member| member.may_lead && member.instance != *replaced.primary);
    let leads = |member: &&MemberReport| {
        let newer = member.report.term > replaced.term && member.instance != *replaced.primary;
        let kept = member.report.term >= replaced.term
            && member.instance == *replaced.primary
            && match replaced.knowledge {
                // Without another instance that may lead, it stays the primary.
                Knowledge::Former => !may_others_lead,
                // One that is about to leave must still be replaced.
                Knowledge::Unfinished => member.may_lead || !may_others_lead,
                Knowledge::Restored => Some(member.report.term) == newest_term,
            };
        let is_regarded = calls.changed_nothing_for(&member.instance);
        member.report.is_primary && (newer || kept || is_regarded)
    };
    let leaders = reports.iter().filter(leads);
    leaders.max_by_key(|member| member.report.term)
}

/// Chooses the instance to promote.
fn choose(replaced: &Replaced<'_>, calls: &UnrecordedCalls, reports: &[MemberReport]) -> Decision {
    let is_former = |member: &&MemberReport| member.instance == *replaced.primary;
    let replicas = counted(reports).filter(|member| !is_former(member)).count();
    if !counted(reports).any(|member| is_former(&member)) && replicas + 1 < replaced.instances {
        return Decision::Unheard;
    }
    let furthest = reports.iter().map(|member| member.report.received).max();
    // A former primary that was deposed may be promoted again if only it has every save.
    let leads = |member: &&MemberReport| is_former(member) && member.report.is_primary;
    let candidates = reports
        .iter()
        .filter(|member| member.may_lead && !leads(member));
    let rank = |member: &&MemberReport| {
        let is_called = calls.instances.may_include(&member.instance);
        (
            member.report.received,
            is_called,
            !member.is_cold,
            !is_former(member),
        )
    };
    let best = candidates.max_by_key(rank);
    let (Some(best), Some(furthest)) = (best, furthest) else {
        return Decision::Unheard;
    };
    if best.report.received < furthest {
        return Decision::CatchUp(best.instance.clone(), furthest);
    }
    Decision::Promote(best.instance.clone())
}

/// Returns whether a decision relies on the reports of all replicas: that of the former primary,
/// which holds every acknowledged save and can be demoted, is missing, or there may have been a
/// later primary. A replica that isn't paused can then confirm further saves.
pub fn needs_all_replicas(replaced: &Replaced<'_>, reports: &[MemberReport]) -> bool {
    let is_heard = reports
        .iter()
        .any(|member| member.instance == *replaced.primary);
    !is_heard || replaced.knowledge == Knowledge::Restored
}

/// Returns the instance with the furthest log if no instance leads: then nobody can send its log to
/// the others, and only its promotion keeps every acknowledged save. It may have to leave.
pub fn furthest_without_leader(reports: &[MemberReport]) -> Option<InstanceName> {
    if reports.iter().any(|member| member.report.is_primary) {
        return None;
    }
    let furthest = reports.iter().max_by_key(|member| member.report.received);
    furthest.map(|member| member.instance.clone())
}

/// Whether the record of a primary holds although the store was restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RecordCheck {
    /// Every instance has reported, and the recorded primary leads in the recorded term.
    Confirmed,
    /// As `Confirmed`, but some instances didn't report. They may know a later term.
    Incomplete,
    /// The recorded primary didn't report that it leads in that term, or there is a later term.
    Refuted,
}

/// Checks the record of a primary against the reports of the instances.
pub fn check_record(replaced: &Replaced<'_>, reports: &[MemberReport]) -> RecordCheck {
    let leads = |member: &MemberReport| {
        member.instance == *replaced.primary
            && member.report.is_primary
            && member.report.term == replaced.term
    };
    let follows =
        |member: &MemberReport| !member.report.is_primary && member.report.term <= replaced.term;
    let is_consistent = |member: &MemberReport| leads(member) || follows(member);
    if !reports.iter().any(leads) || !reports.iter().all(is_consistent) {
        RecordCheck::Refuted
    } else if reports.len() < replaced.instances {
        RecordCheck::Incomplete
    } else {
        RecordCheck::Confirmed
    }
}

#[cfg(test)]
mod tests;
