//! Promotes the instance that follows a primary and holds every acknowledged save.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::adapter::{PromotionCall, PromotionOutcome};
use super::confirmation::Confirming;
use super::control::ControlLink;
use super::failover_lease::FailoverLease;
use super::instance::Instance;
use super::members::Replicas;
use super::node::Node;
use super::position::Position;
use super::promotion::{
    Decision, Knowledge, MemberReport, Replaced, decide, furthest_without_leader,
    needs_all_replicas,
};
use super::record::PrimaryRecord;
use super::reports::{self, REPORT_TIMEOUT};
use super::statement::{InstanceCommand, InstanceReport};
use crate::name::{DatabaseName, InstanceName};

/// Time limit for a replica to receive the log entries that the primary or another replica has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for log entries that a deposed primary has already sent to arrive at a replica.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which an instance is polled until it has caught up or has become the primary.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for an instance to become the primary after the promotion call.
const LEADERSHIP_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for the promotion within one takeover. If it fails, the next takeover tries again.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(12);

/// Choice and promotion of the instance that follows the primary of a database.
#[derive(Debug, Clone, Copy)]
pub struct Succession<'a> {
    /// State of this VM.
    pub node: &'a Rc<Node>,
    /// Failover lease of this VM.
    pub lease: &'a Rc<FailoverLease>,
    /// Database whose primary is replaced.
    pub database: &'a DatabaseName,
    /// Generation of the failover lease.
    pub generation: u64,
    /// Record that names the former primary.
    pub record: &'a PrimaryRecord,
    /// Newest term that an instance has reported before the replicas are paused.
    pub reported_term: u64,
}

impl Succession<'_> {
    /// Promotes an instance that holds every acknowledged save. Returns its name and the new term.
    ///
    /// If the former primary doesn't report, it may have saves confirmed by instances that this VM doesn't
    /// know. The instances are then asked once more when no VM acknowledges its saves any longer.
    pub async fn promote(
        &self,
        knowledge: Knowledge,
        confirming: &mut Confirming,
    ) -> Option<(InstanceName, u64)> {
        let end = Instant::now() + PROMOTION_TIMEOUT;
        let mut attempt = 0;
        while Instant::now() < end {
            attempt += 1;
            let replaced = self.replaced(knowledge);
            let term = replaced.term.max(self.reported_term) + 1;
            let (members, primary) = (self.members(), replaced.primary);
            let pausing = reports::pause_replicas(self.node, self.lease, members, primary, term);
            let mut reports = pausing.await;
            reports.retain(|member| !self.has_lost_log(member));
            let mut decision = decide(&replaced, &reports);
            let pause_term = needs_all_replicas(&replaced, &reports).then_some(term);
            if let Some(term) = pause_term
                && matches!(decision, Decision::Promote(_) | Decision::CatchUp(..))
            {
                if !confirming.wait().await {
                    return None;
                }
                reports = self.pause_all_replicas(reports, term).await;
                decision = decide(&self.replaced(knowledge), &reports);
            }
            log::info!(
                "event=takeover_decided database={} attempt={attempt} heard={} of={} \
                 decision=\"{decision:?}\"",
                self.database,
                reports.len(),
                self.replaced(knowledge).instances
            );
            let chosen = match decision {
                Decision::AlreadyLeads(instance) => self.await_leadership(&instance).await,
                Decision::Promote(instance) => {
                    self.promote_chosen(&instance, &reports, pause_term).await
                }
                Decision::CatchUp(instance, position) => {
                    if self.catch_up(&instance, position).await {
                        self.promote_caught_up(&instance, reports, pause_term).await
                    } else {
                        self.promote_furthest(reports, pause_term).await
                    }
                }
                Decision::Unheard => None,
            };
            if chosen.is_some() {
                return chosen;
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Pauses the replicas again together with those that have joined or restarted since, and
    /// returns their reports beside the former primary's. Returns none if the store doesn't respond.
    async fn pause_all_replicas(
        &self,
        mut reports: Vec<MemberReport>,
        term: u64,
    ) -> Vec<MemberReport> {
        let former = &self.record.primary;
        let Some(paused) = self.replicas(term).pause_all().await else {
            return Vec::new();
        };
        reports.retain(|member| member.instance == *former);
        reports.extend(paused);
        reports
    }

    /// Promotes an instance. With a `pause_term`, the former primary may still acknowledge saves,
    /// and the instance is the only one that receives them until it leads.
    async fn promote_chosen(
        &self,
        name: &InstanceName,
        reports: &[MemberReport],
        pause_term: Option<u64>,
    ) -> Option<(InstanceName, u64)> {
        let promoting = self.depose_and_promote(name, reports);
        let Some(term) = pause_term else {
            return promoting.await;
        };
        let replicas = self.replicas(term);
        let receiving = replicas.receive_alone(name, reports);
        tokio::select! {
            promoted = promoting => promoted,
            never = receiving => match never {},
        }
    }

    /// Promotes an instance that has caught up. With a `pause_term`, replicas that have joined or
    /// restarted meanwhile may have confirmed further saves: all are paused again, and nothing is promoted
    /// if another one has more.
    async fn promote_caught_up(
        &self,
        name: &InstanceName,
        mut reports: Vec<MemberReport>,
        pause_term: Option<u64>,
    ) -> Option<(InstanceName, u64)> {
        if let Some(term) = pause_term {
            reports = self.pause_all_replicas(reports, term).await;
            let furthest = reports.iter().map(|member| member.report.received).max();
            let chosen = reports.iter().find(|member| member.instance == *name)?;
            if Some(chosen.report.received) < furthest {
                return None;
            }
        }
        self.promote_chosen(name, &reports, pause_term).await
    }

    /// Promotes the instance with the furthest log if no instance leads. With a `pause_term`, the
    /// one that was to catch up is paused again before.
    async fn promote_furthest(
        &self,
        mut reports: Vec<MemberReport>,
        pause_term: Option<u64>,
    ) -> Option<(InstanceName, u64)> {
        let count = reports.len();
        if let Some(term) = pause_term {
            reports = self.pause_all_replicas(reports, term).await;
        }
        let furthest = furthest_without_leader(&reports).filter(|_| reports.len() >= count)?;
        self.promote_chosen(&furthest, &reports, pause_term).await
    }

    /// Returns whether the former primary lacks what it has reported itself. It was started again without
    /// its log then, and its report says nothing about acknowledged saves.
    fn has_lost_log(&self, member: &MemberReport) -> bool {
        let known = self.reported_position(&member.instance);
        known.is_some_and(|position| member.report.received < position)
    }

    /// Returns the latest position that this VM knows an instance to have reported as the primary.
    pub fn reported_position(&self, instance: &InstanceName) -> Option<Position> {
        let state = self.node.state.borrow();
        state
            .databases
            .get(self.database)?
            .primary_position(instance)
    }

    /// Demotes a primary that still serves, before its replicas are paused. They would miss a save
    /// that an open transaction commits after the pause, and a demoted primary sends nothing more.
    pub async fn depose_serving_primary(&self) -> Option<()> {
        let former = self.instance(&self.record.primary)?;
        let reports = reports::collect(self.node, self.members()).await;
        let newest_term = reports.iter().map(|member| member.report.term).max()?;
        let successors = reports
            .iter()
            .filter(|member| member.may_lead && member.instance != former.name);
        let successor = successors.max_by_key(|member| member.report.received)?;
        let mut link = self.control_link(former);
        let last_report = self.demote(&mut link, newest_term + 1).await?;
        self.await_position(&successor.instance, last_report.received, DELIVERY_TIMEOUT)
            .await;
        Some(())
    }

    async fn demote(&self, link: &mut ControlLink, term: u64) -> Option<InstanceReport> {
        let demote = InstanceCommand::Demote { term };
        let last_report = link.request(&demote, REPORT_TIMEOUT).await?;
        log::info!(
            "event=primary_deposed database={} instance={} received={}",
            self.database,
            link.instance().name,
            last_report.received
        );
        Some(last_report)
    }

    /// Promotes an instance. If the former primary still leads, it is deposed first: otherwise a
    /// replica that this VM doesn't know could acknowledge its saves in the meantime.
    async fn depose_and_promote(
        &self,
        name: &InstanceName,
        reports: &[MemberReport],
    ) -> Option<(InstanceName, u64)> {
        let former = &self.record.primary;
        let leads = |member: &&MemberReport| member.instance == *former && member.report.is_primary;
        let Some(former) = reports.iter().find(leads) else {
            return self.call_promotion(name).await;
        };
        let mut link = self.control_link(self.instance(&former.instance)?);
        let last_report = self.demote(&mut link, former.report.term + 1).await?;
        // Saves that the former primary accepted after its report may still be in transit to the
        // chosen replica. If they don't arrive in time, the next attempt decides again.
        if self
            .await_position(name, last_report.received, DELIVERY_TIMEOUT)
            .await
        {
            return self.call_promotion(name).await;
        }
        None
    }

    async fn catch_up(&self, name: &InstanceName, to: Position) -> bool {
        let Some(instance) = self.instance(name) else {
            return false;
        };
        let mut link = self.control_link(instance);
        link.request(&InstanceCommand::Resume, REPORT_TIMEOUT).await;
        drop(link);
        self.await_position(name, to, CATCH_UP_TIMEOUT).await
    }

    /// Waits until an instance has received the log up to a position; returns whether it has.
    async fn await_position(&self, name: &InstanceName, to: Position, within: Duration) -> bool {
        let Some(instance) = self.instance(name) else {
            return false;
        };
        let mut link = ControlLink::new(Rc::clone(self.node), instance);
        let end = Instant::now() + within;
        loop {
            let report = link.request(&InstanceCommand::Report, REPORT_TIMEOUT).await;
            if report.is_some_and(|report| report.received >= to) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn call_promotion(&self, name: &InstanceName) -> Option<(InstanceName, u64)> {
        let call = PromotionCall {
            database: self.database.clone(),
            instance: name.clone(),
            holder: self.node.settings.vm.clone(),
            generation: self.generation,
            valid_until: self.lease.valid_until(),
        };
        if !self.lease.is_valid() {
            log::warn!(
                "event=promotion_outdated database={} instance={name} generation={}",
                self.database,
                self.generation
            );
            return None;
        }
        self.lease.begin_call();
        let outcome = (self.node.adapter.promote)(call).await;
        log::info!(
            "event=promotion_called database={} instance={name} generation={} outcome={outcome:?}",
            self.database,
            self.generation
        );
        if outcome != PromotionOutcome::NoAnswer {
            self.lease.end_call();
        }
        match outcome {
            PromotionOutcome::Accepted | PromotionOutcome::NoAnswer => {
                self.await_leadership(name).await
            }
            PromotionOutcome::NotRunning | PromotionOutcome::NotDone => None,
        }
    }

    async fn await_leadership(&self, name: &InstanceName) -> Option<(InstanceName, u64)> {
        let mut link = ControlLink::new(Rc::clone(self.node), self.instance(name)?);
        let end = Instant::now() + LEADERSHIP_TIMEOUT;
        while Instant::now() < end {
            let report = link.request(&InstanceCommand::Report, REPORT_TIMEOUT).await;
            if let Some(report) = report.filter(|report| report.is_primary) {
                return Some((name.clone(), report.term));
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Returns the primary that is being replaced.
    pub fn replaced(&self, knowledge: Knowledge) -> Replaced<'_> {
        Replaced {
            primary: &self.record.primary,
            term: self.record.term,
            instances: self.group_size(),
            knowledge,
        }
    }

    fn replicas(&self, term: u64) -> Replicas<'_> {
        Replicas {
            node: self.node,
            lease: self.lease,
            database: self.database,
            former: &self.record.primary,
            term,
        }
    }

    /// Creates a control connection of the holder of the failover lease.
    pub fn control_link(&self, instance: Rc<Instance>) -> ControlLink {
        ControlLink::of_holder(Rc::clone(self.node), instance, Rc::clone(self.lease))
    }

    /// Returns the instances of the database.
    pub fn members(&self) -> Vec<Rc<Instance>> {
        let state = self.node.state.borrow();
        state
            .directory
            .in_database(self.database)
            .cloned()
            .collect()
    }

    /// Returns an instance; `None` if it is announced no longer.
    pub fn instance(&self, name: &InstanceName) -> Option<Rc<Instance>> {
        self.node.state.borrow().directory.get(name).cloned()
    }

    /// Returns how many instances of the database may hold acknowledged saves, including those that are
    /// missing now.
    pub fn group_size(&self) -> usize {
        let mut state = self.node.state.borrow_mut();
        let announced = state.count_logs(self.database);
        announced.max(state.database(self.database).group_size)
    }
}
