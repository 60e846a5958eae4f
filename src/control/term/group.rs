//! State of one database that this VM is the home of: its instances, its primary and its
//! promotions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::evidence::{Health, InstanceEvidence};
use super::promotion::Promotion;
use super::record::RecordState;
use crate::configuration::{Configuration, DatabaseGroup, InstanceState};
use crate::control::quorum;
use crate::control::snapshot::HomeLease;
use crate::name::{InstanceName, VmName};
use crate::position::{LogPosition, Term};
use crate::settings::ControlSettings;
use crate::time::Timestamp;

/// If more than [`PROMOTIONS_BEFORE_BACKOFF`] promotions fall within this time, the home waits
/// longer before it replaces the next primary.
const FLAPPING_WINDOW: Duration = Duration::from_secs(10);

/// Promotions in close succession that don't lengthen the failure timeout, because two instances
/// may really fail one after the other.
const PROMOTIONS_BEFORE_BACKOFF: usize = 2;

/// Upper limit of the factor by which the failure timeout is lengthened.
const MAX_TIMEOUT_FACTOR: u32 = 4;

/// Inputs of a decision about a group, besides the group's own state.
#[derive(Debug, Clone, Copy)]
pub struct GroupContext<'a> {
    /// This VM.
    pub vm: &'a VmName,
    /// Configuration of the group.
    pub config: &'a DatabaseGroup,
    /// The operators' configuration.
    pub configuration: &'a Configuration,
    /// Lease under which this VM is the home.
    pub lease: HomeLease,
    /// Settings of the controllers.
    pub settings: &'a ControlSettings,
    /// Current time.
    pub now: Timestamp,
}

impl GroupContext<'_> {
    /// Returns the number of instances in the group.
    pub const fn size(&self) -> usize {
        self.config.instances.len()
    }

    /// Returns whether the home lease is still valid.
    pub fn lease_valid(&self) -> bool {
        self.now <= self.lease.valid_until
    }

    /// Returns whether the configuration allows the instance to take new work.
    pub fn accepts_work(&self, instance: &InstanceName) -> bool {
        let mut records = self.config.instances.iter();
        let record = records.find(|record| record.name == *instance);
        record.is_some_and(|record| record.state == InstanceState::Live)
            && !self.configuration.in_maintenance(instance)
    }
}

/// Planned switchover of the primary, before its promotion starts.
#[derive(Debug, Clone)]
pub struct Switchover {
    /// When writes were paused.
    pub started_at: Timestamp,
    /// When the last transaction that may write ended; `None` while one is running.
    pub writes_ended_at: Option<Timestamp>,
}

/// Phase of the management of the group's primary.
#[derive(Debug, Clone, Default)]
pub enum Phase {
    /// Monitoring the primary.
    #[default]
    Steady,
    /// Pausing writes before a planned promotion.
    Switching(Switchover),
    /// Promoting an instance.
    Promoting(Promotion),
}

/// One database that this VM is the home of.
#[derive(Debug, Default)]
pub struct Group {
    /// Epoch of the home lease.
    pub epoch: u64,
    /// When this VM became the home.
    pub since: Timestamp,
    /// Evidence about each instance.
    pub evidence: BTreeMap<InstanceName, InstanceEvidence>,
    /// Low-water mark: a position that covers every save acknowledged before this VM became the
    /// home. `None` until enough instances have confirmed it.
    pub low_water_mark: Option<LogPosition>,
    /// Current phase.
    pub phase: Phase,
    /// Term record in the platform's service.
    pub record: RecordState,
    /// Failed primary that the latest promotion attempt replaces; `None` if there is none.
    pub replaces: Option<InstanceName>,
    /// Time since which the highest term has had no primary.
    pub no_primary_since: Option<Timestamp>,
    /// Earliest time of the next promotion attempt.
    pub retry_at: Option<Timestamp>,
    /// Earliest time of the next planned switchover.
    pub switch_at: Option<Timestamp>,
    /// Highest term that this VM has tried to start.
    pub attempted: Option<Term>,
    promoted_at: VecDeque<Timestamp>,
    /// Start of the silence about which other VMs were last asked.
    asked_silence: Option<Timestamp>,
}

impl Group {
    /// Creates the state of a group whose home lease starts at `since`.
    pub fn new(epoch: u64, since: Timestamp) -> Self {
        Self {
            epoch,
            since,
            ..Self::default()
        }
    }

    /// Returns the highest term that an instance is known to have adopted.
    pub fn term(&self) -> Option<&Term> {
        self.reports().map(|(_, report)| &report.adopted).max()
    }

    /// Returns the instance that reports being the primary of the highest term.
    pub fn primary(&self) -> Option<&InstanceName> {
        let term = self.term()?;
        self.reports()
            .find(|(_, report)| report.is_primary && report.adopted == *term)
            .map(|(name, _)| name)
    }

    /// Returns the primary that statements may be sent to.
    pub fn serving_primary(&self, cx: &GroupContext) -> Option<&InstanceName> {
        if matches!(self.phase, Phase::Promoting(_)) {
            return None;
        }
        let primary = self.primary()?;
        (self.health(primary, cx) < Health::Failed).then_some(primary)
    }

    /// Returns whether new transactions that may write have to wait.
    pub const fn writes_paused(&self) -> bool {
        match &self.phase {
            Phase::Steady => false,
            Phase::Switching(_) => true,
            Phase::Promoting(_) => self.replaces.is_none(),
        }
    }

    /// Returns the health of an instance; `Alive` when nothing is known of it.
    pub fn health(&self, instance: &InstanceName, cx: &GroupContext) -> Health {
        let Some(evidence) = self.evidence.get(instance) else {
            return Health::Alive;
        };
        evidence.health(cx.settings, self.timeout_factor(evidence, cx.now), cx.now)
    }

    /// Returns whether enough instances other than `replaced` are alive to promote one of them.
    ///
    /// An instance counts if it has responded to a request sent at or after `requested_since`. If
    /// this VM itself is cut off or was paused, too few instances qualify.
    pub fn enough_live(
        &self,
        replaced: Option<&InstanceName>,
        requested_since: Timestamp,
        cx: &GroupContext,
    ) -> bool {
        let live = cx.config.instances.iter().filter(|record| {
            let evidence = self.evidence.get(&record.name);
            let has_responded = evidence.is_some_and(|evidence| {
                evidence.alive_at.is_some_and(|at| at >= requested_since)
                    && evidence.health(cx.settings, 1, cx.now) == Health::Alive
            });
            has_responded && Some(&record.name) != replaced
        });
        live.count() >= quorum::promotion(cx.size())
    }

    /// Sets the low-water mark once enough instances have confirmed the primary's term to this
    /// home.
    ///
    /// Saves are acknowledged only under a valid lease. The saves of earlier homes were therefore
    /// acknowledged before `since`, under a term that these instances would report by now.
    pub fn update_low_water_mark(&mut self, cx: &GroupContext) {
        if self.low_water_mark.is_some() || matches!(self.phase, Phase::Promoting(_)) {
            return;
        }
        let (Some(term), Some(primary)) = (self.term(), self.primary()) else {
            return;
        };
        let since = self.since;
        let confirms = |evidence: &InstanceEvidence| {
            let report = evidence.report.as_ref();
            report.is_some_and(|report| report.adopted == *term)
                && evidence.alive_at.is_some_and(|at| at >= since)
        };
        let evidence = &self.evidence[primary];
        let confirmed = cx
            .config
            .instances
            .iter()
            .filter_map(|i| self.evidence.get(&i.name));
        let count = confirmed.filter(|evidence| confirms(evidence)).count();
        if confirms(evidence) && count >= quorum::promotion(cx.size()) {
            self.low_water_mark = evidence.report.as_ref().map(|report| report.last.clone());
        }
    }

    /// Records a finished promotion.
    pub fn record_promotion(&mut self, now: Timestamp) {
        self.promoted_at.push_back(now);
        self.promoted_at
            .retain(|at| now.since(*at) < FLAPPING_WINDOW);
    }

    /// Returns the primary if it is suspect and other VMs should be asked about it; at most once
    /// per period of silence.
    pub fn primary_to_query(&mut self, cx: &GroupContext) -> Option<InstanceName> {
        let primary = self.primary()?.clone();
        let suspect = self.health(&primary, cx) == Health::Suspect;
        let silent_since = self.evidence[&primary].silent_since();
        if !suspect || !matches!(self.phase, Phase::Steady) || self.asked_silence == silent_since {
            return None;
        }
        self.asked_silence = silent_since;
        Some(primary)
    }

    /// Removes the evidence of instances that have left the group, and adds empty evidence for new
    /// ones.
    pub fn update_members(&mut self, config: &DatabaseGroup) {
        let is_member =
            |name: &InstanceName| config.instances.iter().any(|record| record.name == *name);
        self.evidence.retain(|name, _| is_member(name));
        for record in &config.instances {
            if !self.evidence.contains_key(&record.name) {
                self.evidence
                    .insert(record.name.clone(), InstanceEvidence::default());
            }
        }
    }

    fn timeout_factor(&self, evidence: &InstanceEvidence, now: Timestamp) -> u32 {
        let recent = |at: &&Timestamp| now.since(**at) < FLAPPING_WINDOW;
        let promotions = self.promoted_at.iter().filter(recent).count();
        let disputed = evidence
            .responded_to_peer_at
            .is_some_and(|at| evidence.silent_since().is_some_and(|since| at >= since));
        let flapping = promotions.saturating_sub(PROMOTIONS_BEFORE_BACKOFF);
        let flapping = u32::try_from(flapping).unwrap_or(MAX_TIMEOUT_FACTOR);
        (1 + flapping + u32::from(disputed)).min(MAX_TIMEOUT_FACTOR)
    }

    fn reports(
        &self,
    ) -> impl Iterator<Item = (&InstanceName, &crate::control::event::InstanceReport)> {
        self.evidence
            .iter()
            .filter_map(|(name, evidence)| Some((name, evidence.report.as_ref()?)))
    }
}
