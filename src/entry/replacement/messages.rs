//! What the state machine of a replacement asks for, is told, and may look at.

use std::time::Duration;

use crate::entry::adapter::PromotionOutcome;
use crate::entry::position::Position;
use crate::entry::promotion::{Decision, MemberReport, RecordCheck};
use crate::entry::record::{Phase, PromotionCalls};
use crate::entry::statement::InstanceReport;
use crate::name::InstanceName;
use crate::time::Timestamp;

/// What is to be done next. Each action is followed by one [`Event`], [`Event::Done`] unless stated.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Request a report from the recorded primary once more; followed by [`Event::Answered`].
    AskPrimary,
    /// Forget that the recorded primary is suspected.
    ClearSuspicion,
    /// Request a report of every instance; followed by [`Event::Reported`].
    Collect,
    /// Write the record; followed by [`Event::Written`].
    Write {
        /// Instance that the record names.
        primary: InstanceName,
        /// Its term.
        term: u64,
        /// Progress of the replacement.
        phase: Phase,
        /// Number of instances that may hold acknowledged saves.
        instances: usize,
        /// Promotion calls that aren't recorded as successful.
        promotion_calls: PromotionCalls,
    },
    /// Start to wait, in the background, until no VM relies on an earlier record.
    StartConfirming,
    /// Wait for the end of that; followed by [`Event::Confirmed`].
    AwaitConfirmations,
    /// Send the record that was written last to every gateway.
    SendRecord,
    /// Send the record to every gateway, and notify the instances other than the new primary.
    Finish {
        /// Primary until now.
        former: InstanceName,
        /// Primary from now on.
        primary: InstanceName,
        /// Its term.
        term: u64,
    },
    /// Pause the replicas and request a report of the former primary; followed by [`Event::Reported`].
    Pause {
        /// Term under which they are paused.
        term: u64,
    },
    /// Pause all replicas again, with those that have joined or restarted since; followed by
    /// [`Event::AllPaused`].
    PauseAll {
        /// Term under which they are paused.
        term: u64,
    },
    /// Demote an instance; followed by [`Event::Demoted`].
    Demote {
        /// The instance.
        instance: InstanceName,
        /// Term above its own.
        term: u64,
    },
    /// Let an instance receive until it has reached a position; followed by [`Event::Reached`].
    CatchUp {
        /// The instance.
        instance: InstanceName,
        /// Position to reach.
        position: Position,
    },
    /// Wait until an instance has received what a demoted primary has sent; followed by
    /// [`Event::Reached`].
    AwaitDelivery {
        /// The instance.
        instance: InstanceName,
        /// Position to reach.
        position: Position,
    },
    /// Add to the record that an instance is about to be promoted; followed by [`Event::Written`].
    RecordCall {
        /// The instance.
        instance: InstanceName,
    },
    /// Promote an instance; followed by [`Event::Called`].
    CallPromotion {
        /// The instance.
        instance: InstanceName,
    },
    /// Wait until an instance reports that it leads; followed by [`Event::Led`].
    AwaitLeadership {
        /// The instance.
        instance: InstanceName,
        /// First term that counts. It may have led in an earlier one.
        first_term: u64,
    },
    /// Pause before the next attempt.
    Sleep,
    /// The replacement has ended; no event follows.
    End {
        /// Whether the database has a primary that takes reads and saves.
        done: bool,
    },
}

/// Response of a suspected primary.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Answer {
    /// It isn't announced any more, or didn't respond.
    Silent,
    /// It responded without a report, for lack of capacity.
    Busy,
    /// It reported.
    Report(InstanceReport),
}

/// Outcome of an [`Action`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// The action was carried out.
    Done,
    /// Response of the suspected primary.
    Answered(Answer),
    /// Reports of the instances that responded.
    Reported(Vec<MemberReport>),
    /// Reports of the replicas; `None` if the announcements couldn't be read.
    AllPaused(Option<Vec<MemberReport>>),
    /// Whether the record was written.
    Written(bool),
    /// Whether no VM relies on an earlier record. False if the wait was cut off.
    Confirmed(bool),
    /// Last report of the demoted instance, if it responded.
    Demoted(Option<InstanceReport>),
    /// Whether the instance has reached the position.
    Reached(bool),
    /// Outcome of the promotion call.
    Called(PromotionOutcome),
    /// Term in which the instance leads; `None` if it doesn't lead in a term that counts.
    Led(Option<u64>),
}

/// Instance that receives alone until it leads.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Receiving {
    /// The instance.
    pub instance: InstanceName,
    /// Reports of the instances that are paused, or are to receive.
    pub reports: Vec<MemberReport>,
    /// Term under which the others are paused.
    pub term: u64,
}

/// What the holder knows when an event arrives.
pub trait Situation {
    /// Returns the time of the event.
    fn now(&self) -> Timestamp;

    /// Returns whether leases of before a restoration of the store may still be valid.
    fn may_wait_for_reports(&self) -> bool;

    /// Returns how many instances may hold acknowledged saves, including those that are missing now.
    fn instances(&self) -> usize;

    /// Returns whether the failover lease can't have been granted to another VM yet.
    fn holds_lease(&self) -> bool;

    /// Returns whether a promotion call of this VM, or of a former holder of the failover lease, may still
    /// take effect.
    fn may_calls_take_effect(&self) -> bool;

    /// Returns whether no VM relies on an earlier record any more.
    fn is_confirmed(&self) -> bool;

    /// Returns whether saves are confirmed by a replica before they are acknowledged.
    fn is_synchronous(&self) -> bool;

    /// Returns whether an instance is announced.
    fn is_announced(&self, instance: &InstanceName) -> bool;

    /// Returns the start of an instance's process in Unix milliseconds; `None` if it isn't announced.
    fn started_at_ms(&self, instance: &InstanceName) -> Option<u64>;

    /// Returns the latest position that an instance is known to have reported as the primary.
    fn reported_position(&self, instance: &InstanceName) -> Option<Position>;

    /// Is told what was found or decided, for the log.
    fn note(&self, note: Note<'_>);
}

/// What was found or decided, for the log.
#[derive(Debug, Clone, Copy)]
pub enum Note<'a> {
    /// The record was checked after a restoration of the store.
    RecordChecked {
        /// Number of reports.
        heard: usize,
        /// Result of the check.
        check: RecordCheck,
        /// Newest term among the reports.
        newest_term: Option<u64>,
    },
    /// An attempt to promote an instance has decided.
    Decided {
        /// Number of reports.
        heard: usize,
        /// The decision.
        decision: &'a Decision,
    },
    /// An instance isn't promoted because the failover lease may have ended.
    Outdated {
        /// The instance.
        instance: &'a InstanceName,
    },
}

/// Time limit for the promotion within one replacement. If it fails, the next one tries again.
pub(super) const PROMOTION_TIMEOUT: Duration = Duration::from_secs(12);
