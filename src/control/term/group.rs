//! One database that this VM is the home of: its instances, its primary and its promotions.

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

/// Promotions within this time, beyond [`CALM_PROMOTIONS`], make the home more patient before the
/// next one.
const FLAPPING_WINDOW: Duration = Duration::from_secs(10);

/// Promotions in close succession that two failures in a row may ask for.
const CALM_PROMOTIONS: usize = 2;

const MAX_PATIENCE: u32 = 4;

/// What a decision about a group is made from, besides the group's own state.
#[derive(Debug, Clone, Copy)]
pub struct Surroundings<'a> {
    /// This VM.
    pub vm: &'a VmName,
    /// The group as operators have configured it.
    pub config: &'a DatabaseGroup,
    /// The operators' configuration.
    pub configuration: &'a Configuration,
    /// Lease under which this VM is the home.
    pub lease: HomeLease,
    /// Intervals and bounds.
    pub settings: &'a ControlSettings,
    /// The time.
    pub now: Timestamp,
}

impl Surroundings<'_> {
    /// Returns how many instances the group has.
    pub const fn size(&self) -> usize {
        self.config.instances.len()
    }

    /// Returns whether the home lease may be relied on.
    pub fn lease_valid(&self) -> bool {
        self.now <= self.lease.valid_until
    }

    /// Returns whether operators let the instance take new work.
    pub fn accepts_work(&self, instance: &InstanceName) -> bool {
        let mut records = self.config.instances.iter();
        let record = records.find(|record| record.name == *instance);
        record.is_some_and(|record| record.state == InstanceState::Live)
            && !self.configuration.in_maintenance(instance)
    }
}

/// Planned move of the primary, before its promotion starts.
#[derive(Debug, Clone)]
pub struct Switchover {
    /// When writes were paused.
    pub started_at: Timestamp,
    /// When the last transaction that may write had ended.
    pub writes_ended_at: Option<Timestamp>,
}

/// What the home is doing about the group's primary.
#[derive(Debug, Clone, Default)]
pub enum Phase {
    /// Watching the primary.
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
    /// What is known of each instance.
    pub evidence: BTreeMap<InstanceName, InstanceEvidence>,
    /// Position that covers every save acknowledged before this VM became the home.
    pub floor: Option<LogPosition>,
    /// What the home is doing about the primary.
    pub phase: Phase,
    /// The record in the platform's service.
    pub record: RecordState,
    /// Instance that the latest promotion replaces.
    pub replaces: Option<InstanceName>,
    /// Since when the highest term has no primary.
    pub headless_since: Option<Timestamp>,
    /// Earliest moment of the next attempt at a promotion.
    pub retry_at: Option<Timestamp>,
    /// Earliest moment of the next planned switchover.
    pub switch_at: Option<Timestamp>,
    /// Highest term that this VM has tried to start.
    pub attempted: Option<Term>,
    promoted_at: VecDeque<Timestamp>,
    asked_about: Option<Timestamp>,
}

impl Group {
    /// Builds the group of a home that begins at `since`.
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

    /// Returns the instance that says it is the primary of the highest term.
    pub fn primary(&self) -> Option<&InstanceName> {
        let term = self.term()?;
        self.reports()
            .find(|(_, report)| report.is_primary && report.adopted == *term)
            .map(|(name, _)| name)
    }

    /// Returns the primary that statements may be sent to.
    pub fn serving_primary(&self, s: &Surroundings) -> Option<&InstanceName> {
        if matches!(self.phase, Phase::Promoting(_)) {
            return None;
        }
        let primary = self.primary()?;
        (self.health(primary, s) < Health::Failed).then_some(primary)
    }

    /// Returns whether new transactions that may write must wait.
    pub const fn writes_paused(&self) -> bool {
        match &self.phase {
            Phase::Steady => false,
            Phase::Switching(_) => true,
            Phase::Promoting(_) => self.replaces.is_none(),
        }
    }

    /// Judges an instance.
    pub fn health(&self, instance: &InstanceName, s: &Surroundings) -> Health {
        let Some(evidence) = self.evidence.get(instance) else {
            return Health::Alive;
        };
        evidence.health(s.settings, self.patience(evidence, s.now), s.now)
    }

    /// Returns whether enough instances live, other than `replaced`, to promote one of them.
    ///
    /// An instance counts if it has answered a question asked at or after `asked_since`; when this
    /// VM is the one that is cut off or was paused, too few do.
    pub fn enough_live(
        &self,
        replaced: Option<&InstanceName>,
        asked_since: Timestamp,
        s: &Surroundings,
    ) -> bool {
        let live = s.config.instances.iter().filter(|record| {
            let evidence = self.evidence.get(&record.name);
            let answered = evidence.is_some_and(|evidence| {
                evidence.alive_at.is_some_and(|at| at >= asked_since)
                    && evidence.health(s.settings, 1, s.now) == Health::Alive
            });
            answered && Some(&record.name) != replaced
        });
        live.count() >= quorum::promotion(s.size())
    }

    /// Takes the floor once enough instances have confirmed the primary's term to this home.
    ///
    /// Saves are acknowledged under a valid lease only. Those of the homes before were therefore
    /// acknowledged before `since`, under a term that these instances would report by now.
    pub fn update_floor(&mut self, s: &Surroundings) {
        if self.floor.is_some() || matches!(self.phase, Phase::Promoting(_)) {
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
        let confirmed = s
            .config
            .instances
            .iter()
            .filter_map(|i| self.evidence.get(&i.name));
        let count = confirmed.filter(|evidence| confirms(evidence)).count();
        if confirms(evidence) && count >= quorum::promotion(s.size()) {
            self.floor = evidence.report.as_ref().map(|report| report.last.clone());
        }
    }

    /// Records a finished promotion.
    pub fn note_promotion(&mut self, now: Timestamp) {
        self.promoted_at.push_back(now);
        self.promoted_at
            .retain(|at| now.since(*at) < FLAPPING_WINDOW);
    }

    /// Returns the primary when other VMs must be asked about it: once for each silence.
    pub fn to_ask_about(&mut self, s: &Surroundings) -> Option<InstanceName> {
        let primary = self.primary()?.clone();
        let suspect = self.health(&primary, s) == Health::Suspect;
        let silent_since = self.evidence[&primary].silent_since();
        if !suspect || !matches!(self.phase, Phase::Steady) || self.asked_about == silent_since {
            return None;
        }
        self.asked_about = silent_since;
        Some(primary)
    }

    /// Forgets instances that are no longer part of the group.
    pub fn retain_members(&mut self, config: &DatabaseGroup) {
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

    fn patience(&self, evidence: &InstanceEvidence, now: Timestamp) -> u32 {
        let recent = |at: &&Timestamp| now.since(**at) < FLAPPING_WINDOW;
        let promotions = self.promoted_at.iter().filter(recent).count();
        let disputed = evidence
            .answered_peer_at
            .is_some_and(|at| evidence.silent_since().is_some_and(|since| at >= since));
        let flapping = promotions.saturating_sub(CALM_PROMOTIONS);
        let flapping = u32::try_from(flapping).unwrap_or(MAX_PATIENCE);
        (1 + flapping + u32::from(disputed)).min(MAX_PATIENCE)
    }

    fn reports(
        &self,
    ) -> impl Iterator<Item = (&InstanceName, &crate::control::event::InstanceReport)> {
        self.evidence
            .iter()
            .filter_map(|(name, evidence)| Some((name, evidence.report.as_ref()?)))
    }
}
