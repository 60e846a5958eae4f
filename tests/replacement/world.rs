//! State of the model: instances, VMs, holders of the failover lease, the store.

use std::collections::BTreeMap;

use currantlb::configuration::{Revision, Timeline};
use currantlb::entry::position::Position;
use currantlb::entry::promotion::MemberReport;
use currantlb::entry::record::{Phase, PrimaryRecord, PromotionCalls, VersionedRecord};
use currantlb::entry::replacement::{
    Action, Note, Reason, Replacement, Situation, acknowledgement,
};
use currantlb::entry::statement::InstanceReport;
use currantlb::name::{InstanceName, VmName};
use currantlb::time::Timestamp;

/// Former primary, replica, and the instance that joins, leaves and starts again.
pub const NAMES: [&str; 3] = ["former", "replica", "joining"];
pub const FORMER: usize = 0;
pub const REPLICA: usize = 1;
pub const JOINING: usize = 2;

/// Guarantee that a state violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    /// The new primary lacks an acknowledged save.
    LostSave,
    /// A read runs on an instance that lacks an acknowledged save.
    StaleRead,
    /// A former primary has a save acknowledged, or one is promoted after the holder's lease has ended.
    TwoPrimaries,
    /// A primary that leaves is kept.
    LeavingPrimaryKept,
    /// An instance is recorded as the primary although another one leads in a later term.
    FormerPrimaryRecorded,
}

/// Behaviour that differs from the present one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    None,
    /// An instance is promoted without the confirmations although the former primary isn't heard.
    PromotionBeforeConfirmations,
    /// Replicas that have joined aren't paused with the others.
    JoinedNotCounted,
    /// A VM that has confirmed a replacement acknowledges saves of the former primary.
    AcknowledgesAfterConfirmation,
    /// The report of an instance that has lost its log counts as the former primary's.
    LostLogCounts,
    /// The report of a replica that has lost its log counts.
    LostReplicaCounts,
    /// A holder doesn't know of an instance that joined before it started.
    CountTooLow,
    /// A holder counts an instance that has left.
    CountTooHigh,
    /// A holder that was suspended relies on a lease that has ended.
    SuspendedHolderPromotes,
    /// An unfinished replacement keeps a primary that leaves.
    LeavingPrimaryKept,
    /// A registration counts as ended when it is revoked.
    RevocationEndsValidity,
    /// Not a defect of the state machine but present behaviour: a VM whose validity lease has
    /// lapsed passes saves on.
    LapsedVmSaves,
    /// Not a defect of the state machine but present behaviour: a VM that registers while a primary is
    /// replaced, and isn't waited for, still acknowledges a save that it has sent before.
    RegisteredVmAcknowledges,
    /// A holder doesn't know of the promotion calls that the record names.
    CallsNotRecorded,
    /// An instance that leads in an earlier term counts as promoted.
    FormerLeadershipCounts,
    /// Not a defect of the state machine: a promotion takes effect after the time within which calls are
    /// expected to.
    LateEffect,
    /// Not a defect of the state machine: a replica starts again without its log while no other one
    /// has an acknowledged save.
    OnlyCopyLost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Entry {
    pub term: u64,
    pub save: u8,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is known independently of the others"
)]
pub struct Member {
    pub is_alive: bool,
    pub is_announced: bool,
    pub leads: bool,
    pub term: u64,
    pub paused: Option<u64>,
    pub log: Vec<Entry>,
    /// Whether it was started again under its name.
    pub has_restarted: bool,
    /// Number of times that it was started again.
    pub starts: u8,
}

impl Member {
    pub fn received(&self) -> Position {
        let term = self.log.last().map_or(0, |entry| entry.term);
        Position {
            term,
            number: self.log.len() as u64,
        }
    }

    /// Returns the saves in the log, one bit each.
    pub fn saves(&self) -> u8 {
        self.log.iter().fold(0, |saves, entry| saves | entry.save)
    }

    pub fn report(&self) -> InstanceReport {
        InstanceReport {
            is_primary: self.leads,
            term: self.term,
            received: self.received(),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RecordPhase {
    Steady,
    Moving(usize),
    Settling(usize),
}

/// Record of the primary in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Record {
    pub primary: usize,
    pub term: u64,
    pub phase: RecordPhase,
    pub instances: usize,
    pub revision: u64,
    /// Instances that may have been called to be promoted, one bit each.
    pub calls: u8,
}

impl Record {
    pub fn content(self) -> PrimaryRecord {
        let of = |holder: usize| (vm(holder), generation(holder));
        PrimaryRecord {
            primary: name(self.primary),
            term: self.term,
            phase: match self.phase {
                RecordPhase::Steady => Phase::Steady,
                RecordPhase::Moving(index) => {
                    let (holder, generation) = of(index);
                    Phase::Moving { holder, generation }
                }
                RecordPhase::Settling(index) => {
                    let (holder, generation) = of(index);
                    Phase::Settling { holder, generation }
                }
            },
            instances: self.instances,
            timeline: Timeline::default(),
            promotion_calls: PromotionCalls::Named(
                (0..3)
                    .filter(|index| self.calls & 1 << index != 0)
                    .map(name)
                    .collect(),
            ),
            started_at_ms: BTreeMap::new(),
        }
    }

    pub fn versioned(self) -> VersionedRecord {
        VersionedRecord::new(self.content(), Revision(self.revision))
    }
}

/// VM that may be cut off from everything but the former primary.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Vm {
    pub record: Record,
    /// Whether its validity lease goes on.
    pub is_valid: bool,
    pub withholds: bool,
}

impl Vm {
    /// Returns the instance that reads of the primary may be sent to.
    pub fn readable(&self) -> Option<usize> {
        let is_moving = matches!(self.record.phase, RecordPhase::Moving(_));
        (self.is_valid && !is_moving).then_some(self.record.primary)
    }

    pub fn may_acknowledge(&self, instance: usize) -> bool {
        acknowledgement::may_acknowledge(
            Some(&self.record.content()),
            self.withholds,
            &name(instance),
        )
    }
}

/// Save that was sent to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Save {
    pub bit: u8,
    pub instance: usize,
    /// Whether the VM that may be cut off has sent it; otherwise one that always knows the record.
    pub by_cut_vm: bool,
    pub is_committed: bool,
    /// Whether it was committed after another instance had been promoted.
    pub is_late: bool,
}

/// Holder of the failover lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Holder {
    Idle,
    Running(Box<Running>),
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is known independently of the others"
)]
pub struct Running {
    pub machine: Replacement,
    pub action: Action,
    /// Whether the instance that joins is in its directory.
    pub knows_joining: bool,
    pub group_size: usize,
    /// Revision of the record that it wrote or read last.
    pub revision: u64,
    /// Whether it waits for confirmations, and whether the VM that may be cut off must still confirm.
    pub is_confirming: bool,
    pub awaits_vm: bool,
    /// Whether the replica was among the last reports.
    pub heard_replica: bool,
    pub former: usize,
    pub reason: Reason,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub members: [Member; 3],
    pub record: Record,
    pub vm: Vm,
    pub holders: [Holder; 2],
    /// Whether each holder's lease goes on.
    pub leases: [bool; 2],
    /// Accepted promotions that haven't taken effect.
    pub promoting: Vec<usize>,
    pub save: Option<Save>,
    pub sent: u8,
    pub acknowledged: u8,
    /// Instance that has reported last as the primary, and its latest position.
    pub reported: (usize, Position),
    pub is_leaving: bool,
    /// Instance that the holders don't reach.
    pub cut: Option<usize>,
    /// Number of times that an instance may still be cut off.
    pub cuts: u8,
    pub faults: u8,
    pub crashes: u8,
    pub joins: u8,
    /// Saves that may still be sent.
    pub saves: u8,
    pub violation: Option<Violation>,
}

pub fn name(index: usize) -> InstanceName {
    InstanceName::from(NAMES[index])
}

pub fn index(name: &InstanceName) -> usize {
    let found = NAMES.iter().position(|known| **known == **name);
    found.expect("the model names its instances")
}

pub fn vm(holder: usize) -> VmName {
    VmName::from(["first", "second"][holder])
}

pub fn generation(holder: usize) -> u64 {
    holder as u64 + 1
}

impl World {
    /// Returns the start: two instances with empty logs, nothing under way.
    pub fn start(bounds: Bounds) -> Self {
        let follower = Member {
            is_alive: true,
            is_announced: true,
            term: 1,
            ..Member::default()
        };
        let primary = Member {
            leads: true,
            ..follower.clone()
        };
        let third = if bounds.has_third {
            follower.clone()
        } else {
            Member::default()
        };
        let record = Record {
            primary: FORMER,
            term: 1,
            phase: RecordPhase::Steady,
            instances: 2 + usize::from(bounds.has_third),
            revision: 1,
            calls: 0,
        };
        let world = Self {
            members: [primary, follower, third],
            record,
            vm: Vm {
                record,
                is_valid: true,
                withholds: false,
            },
            holders: [Holder::Idle, Holder::Idle],
            leases: [false; 2],
            promoting: Vec::new(),
            save: None,
            sent: 0,
            acknowledged: 0,
            reported: (FORMER, Position::default()),
            is_leaving: bounds.is_leaving,
            cut: bounds.is_cut.then_some(FORMER),
            cuts: bounds.cuts,
            faults: bounds.faults,
            crashes: bounds.crashes,
            joins: bounds.joins,
            saves: bounds.saves,
            violation: None,
        };
        match bounds.start {
            Start::Steady => world,
            Start::Called => world.called(),
            Start::Replaced => world.replaced(),
        }
    }

    /// Returns the state after the first holder has called for the replica, without the former primary's
    /// report, and has ended.
    fn called(mut self) -> Self {
        self.record.phase = RecordPhase::Moving(0);
        self.record.calls = 1 << REPLICA;
        self.record.revision = 3;
        (self.vm.record, self.vm.withholds) = (self.record, true);
        for member in &mut self.members[REPLICA..] {
            member.paused = member.is_alive.then_some(2);
        }
        self.members[REPLICA].paused = None;
        self.promoting = vec![REPLICA];
        self.holders[0] = Holder::Ended;
        self.leases[0] = true;
        self
    }

    /// Returns the state after the replica has been promoted, recorded and cut off, while the former primary
    /// knows nothing of it.
    fn replaced(mut self) -> Self {
        (self.members[REPLICA].leads, self.members[REPLICA].term) = (true, 2);
        (self.record.primary, self.record.term) = (REPLICA, 2);
        self.vm.record = self.record;
        self.cut = Some(REPLICA);
        // Makes the former primary the one to be promoted.
        self.members[FORMER].log = vec![Entry { term: 1, save: 0 }];
        self
    }

    pub fn report(&self, index: usize) -> MemberReport {
        MemberReport {
            instance: name(index),
            report: self.members[index].report(),
            may_lead: index != FORMER || !self.is_leaving,
            is_cold: false,
            has_lost_log: self.has_lost_log(index),
        }
    }

    /// Returns whether an instance was started again and holds nothing, although the primary has
    /// reported that it held something.
    pub fn has_lost_log(&self, index: usize) -> bool {
        let member = &self.members[index];
        member.has_restarted && member.log.is_empty() && self.reported.1.number > 0
    }

    /// Returns the state with two fresh holders and without further faults.
    pub fn calmed(&self) -> Self {
        let mut world = self.clone();
        world.holders = [Holder::Idle, Holder::Idle];
        world.leases = [false; 2];
        (world.faults, world.crashes, world.joins, world.saves) = (0, 0, 0, 0);
        (world.cut, world.cuts, world.is_leaving) = (None, 0, false);
        world
    }

    /// Returns whether the recorded primary, with its log, or all other counted instances are there, and
    /// one has every acknowledged save.
    pub fn can_be_served(&self) -> bool {
        let alive = self.members.iter().filter(|member| member.is_alive);
        let has_all = |member: &&Member| member.saves() & self.acknowledged == self.acknowledged;
        let primary = &self.members[self.record.primary];
        let has_log =
            self.reported.0 != self.record.primary || primary.received() >= self.reported.1;
        let others = (0..3).filter(|index| *index != self.record.primary);
        let others = others.filter(|index| self.members[*index].is_alive);
        let others = others.filter(|index| !self.has_lost_log(*index)).count();
        // An instance that has joined counts before the record says so.
        let announced = 2 + usize::from(self.members[JOINING].is_announced);
        let instances = self.record.instances.max(announced);
        let is_heard = primary.is_alive && has_log || others + 1 >= instances;
        is_heard && alive.filter(has_all).count() > 0
    }

    /// Returns whether the recorded primary takes saves.
    pub fn is_served(&self) -> bool {
        let primary = &self.members[self.record.primary];
        let is_steady = self.record.phase == RecordPhase::Steady;
        is_steady && primary.is_alive && primary.leads && self.leader() == Some(self.record.primary)
    }

    /// Returns whether a holder and an instance reach each other.
    pub fn is_reachable(&self, index: usize) -> bool {
        self.members[index].is_alive && self.cut != Some(index)
    }

    /// Returns the instance that leads in the newest term.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..3).filter(|index| self.members[*index].leads);
        leaders.max_by_key(|index| self.members[*index].term)
    }
}

/// State in which an exploration starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// Nothing is under way.
    Steady,
    /// The first holder has ended after its promotion call for the replica.
    Called,
    /// The replica has been promoted and recorded, and is cut off. The former primary knows nothing of it.
    Replaced,
}

/// Number of events of each kind that an exploration allows.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub start: Start,
    /// Times that an instance is cut off from the holders.
    pub cuts: u8,
    /// Lost reports and answers.
    pub faults: u8,
    /// Crashes, and starts without the log.
    pub crashes: u8,
    /// Joins and starts of the third instance.
    pub joins: u8,
    pub saves: u8,
    pub holders: usize,
    pub is_leaving: bool,
    /// Whether the holders don't reach the former primary, until the cut ends.
    pub is_cut: bool,
    /// Whether the third instance is there from the start.
    pub has_third: bool,
}

/// What a holder of the model knows.
pub struct Known<'a> {
    pub world: &'a World,
    pub holder: usize,
    pub knows_joining: bool,
    pub group_size: usize,
    pub is_confirmed: bool,
    pub defect: Defect,
}

impl Situation for Known<'_> {
    fn now(&self) -> Timestamp {
        Timestamp::ZERO
    }

    fn may_wait_for_reports(&self) -> bool {
        false
    }

    fn instances(&self) -> usize {
        match self.defect {
            Defect::CountTooLow => return 2,
            Defect::CountTooHigh => return 3,
            _ => {}
        }
        self.group_size.max(2 + usize::from(self.knows_joining))
    }

    fn holds_lease(&self) -> bool {
        self.world.leases[self.holder] || self.defect == Defect::SuspendedHolderPromotes
    }

    fn may_calls_take_effect(&self) -> bool {
        !self.world.promoting.is_empty() && self.defect != Defect::LateEffect
    }

    fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    fn is_synchronous(&self) -> bool {
        true
    }

    fn is_announced(&self, instance: &InstanceName) -> bool {
        index(instance) != JOINING || self.knows_joining
    }

    fn started_at_ms(&self, instance: &InstanceName) -> Option<u64> {
        let starts = self.world.members[index(instance)].starts;
        self.is_announced(instance).then_some(u64::from(starts))
    }

    fn reported_position(&self, instance: &InstanceName) -> Option<Position> {
        let (reported, position) = self.world.reported;
        let is_known = index(instance) == reported && self.defect != Defect::LostLogCounts;
        is_known.then_some(position)
    }

    fn note(&self, _: Note<'_>) {}
}
