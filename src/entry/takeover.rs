//! Replaces the primary of a database. Run by the VM that holds the failover lease.

use std::rc::Rc;
use std::time::Duration;

use strum::Display;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::adapter::{PromotionCall, PromotionOutcome};
use super::confirmation::Confirming;
use super::control::ControlLink;
use super::datagram::{Datagram, RecordUpdate};
use super::failover_lease::FailoverLease;
use super::instance::Instance;
use super::members::Replicas;
use super::node::Node;
use super::position::Position;
use super::promotion::{
    Decision, Knowledge, MemberReport, RecordCheck, Replaced, check_record, decide,
    furthest_without_leader, needs_all_replicas,
};
use super::record::{Phase, PrimaryRecord, VersionedRecord};
use super::records;
use super::reports::{self, REPORT_TIMEOUT};
use super::statement::{InstanceCommand, InstanceReport};
use crate::name::{DatabaseName, InstanceName};
use crate::telemetry::metrics::metrics;

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

/// Time limit for notifying the former primary of its replacement.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The primary announced that it is about to leave.
    Leaving,
    /// The availability zone of the primary is evacuated.
    Evacuated,
    /// The announcement of the primary is missing.
    Gone,
    /// The primary doesn't respond.
    Unreachable,
    /// The primary responds, but its saves are not acknowledged in time.
    Stalled,
    /// The recorded primary reports that it isn't the primary.
    Deposed,
    /// A former holder of the failover lease began a replacement and didn't finish it.
    Unfinished,
    /// The store was restored from a copy that lacks the record or holds an older one.
    Restored,
}

impl Reason {
    /// Returns whether the primary still serves, so that running statements can end first.
    pub const fn is_planned(self) -> bool {
        matches!(self, Self::Leaving | Self::Evacuated)
    }

    const fn knowledge(self) -> Knowledge {
        match self {
            Self::Unfinished => Knowledge::Unfinished,
            Self::Restored => Knowledge::Restored,
            _ => Knowledge::Former,
        }
    }
}

/// Replacement of one database's primary.
#[derive(Debug)]
pub struct Takeover {
    node: Rc<Node>,
    database: DatabaseName,
    generation: u64,
    lease: Rc<FailoverLease>,
    record: VersionedRecord,
    /// Newest term that an instance has reported before the replicas are paused.
    reported_term: u64,
    /// Tasks that let the replicas resume.
    resuming: JoinSet<()>,
}

impl Takeover {
    /// Runs a replacement. Returns whether the database has a primary that takes reads and saves
    /// afterwards.
    pub async fn run(
        node: Rc<Node>,
        database: DatabaseName,
        generation: u64,
        lease: Rc<FailoverLease>,
        reason: Reason,
    ) -> bool {
        let known = node.state.borrow_mut().database(&database).record.clone();
        let Some(record) = known else { return false };
        let mut takeover = Self {
            node,
            database,
            generation,
            lease,
            reported_term: record.record.term,
            record,
            resuming: JoinSet::new(),
        };
        let started = Instant::now();
        let done = takeover.replace(reason).await;
        metrics().count_takeover(reason.to_string(), done);
        log::info!(
            "event=takeover_ended database={} generation={generation} done={done} taken_ms={} \
             primary={} term={}",
            takeover.database,
            started.elapsed().as_millis(),
            takeover.record.record.primary,
            takeover.record.record.term
        );
        while takeover.resuming.join_next().await.is_some() {}
        done
    }

    async fn replace(&mut self, reason: Reason) -> bool {
        log::info!(
            "event=takeover_started database={} generation={} reason={reason} primary={} term={}",
            self.database,
            self.generation,
            self.record.record.primary,
            self.record.record.term
        );
        if !self.is_suspicion_confirmed(reason).await {
            return true;
        }
        if reason == Reason::Restored
            && let Some(done) = self.restore_record().await
        {
            return done;
        }
        if !self.begin().await {
            return false;
        }
        let mut confirming = Confirming::start(&self.node, self.record_update(), self.generation);
        // Without synchronous replicas, the former primary acknowledges saves until nobody sends it any.
        let must_confirm = reason.is_planned() || !self.is_synchronous();
        if must_confirm && !confirming.wait().await {
            return false;
        }
        if reason.is_planned() {
            self.depose_serving_primary().await;
        }
        let promoting = self.promote(reason.knowledge(), &mut confirming);
        let Some((instance, term)) = promoting.await else {
            return false;
        };
        let former = self.record.record.primary.clone();
        if !confirming.has_ended() {
            let settling = Phase::Settling {
                holder: self.node.settings.vm.clone(),
                generation: self.generation,
            };
            if !self.write(instance.clone(), term, settling).await {
                return false;
            }
            self.send_record_to_all();
            if !confirming.wait().await {
                return false;
            }
        }
        let recorded = self.write(instance.clone(), term, Phase::Steady).await;
        if recorded {
            self.send_record_to_all();
            self.notify_instances(&former, &instance, term);
        }
        recorded
    }

    /// Records that the primary is being replaced; returns whether it is recorded.
    async fn begin(&mut self) -> bool {
        let moving = Phase::Moving {
            holder: self.node.settings.vm.clone(),
            generation: self.generation,
        };
        let replacement = (self.database.clone(), self.generation);
        self.node.confirmations.begin(replacement);
        let (primary, term) = (self.record.record.primary.clone(), self.record.record.term);
        self.write(primary, term, moving).await
    }

    /// Returns the record in the form that is sent to other VMs.
    fn record_update(&self) -> RecordUpdate {
        RecordUpdate {
            database: self.database.clone(),
            record: self.record.record.clone(),
            revision: self.record.revision.0,
        }
    }

    /// Sends the record to every gateway, so that those cut off from the store receive it too.
    fn send_record_to_all(&self) {
        let state = self.node.state.borrow();
        for vm in state.gateways.values() {
            self.node
                .outbox
                .send(vm.peer_address, Datagram::Record(self.record_update()));
        }
    }

    /// Requests a report from a suspected primary once more, so that a transient failure doesn't
    /// lead to its replacement. Returns whether the replacement should go on.
    async fn is_suspicion_confirmed(&self, reason: Reason) -> bool {
        if !matches!(reason, Reason::Unreachable | Reason::Deposed) {
            return true;
        }
        let name = &self.record.record.primary;
        let Some(primary) = self.instance(name) else {
            return true;
        };
        let mut link = ControlLink::new(Rc::clone(&self.node), primary);
        let report = link
            .request(&InstanceCommand::Report, REPORT_TIMEOUT / 2)
            .await;
        // An instance that refuses for lack of capacity is alive.
        let busy = report.is_none() && link.has_responded() && reason == Reason::Unreachable;
        let known = self.reported_position(name);
        let leads = report.is_some_and(|report| {
            let has_log = known.is_none_or(|position| report.received >= position);
            report.is_primary && report.term <= self.record.record.term && has_log
        });
        if leads || busy {
            log::info!(
                "event=suspicion_cleared database={} primary={name}",
                self.database
            );
            self.node.pool(link.instance()).clear_health();
        }
        !leads && !busy
    }

    /// Promotes an instance that holds every acknowledged save. Returns its name and the new term.
    ///
    /// If the former primary doesn't report, it may have saves confirmed by instances that this VM doesn't
    /// know. The instances are then asked once more when no VM acknowledges its saves any longer.
    async fn promote(
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
            let pausing = reports::pause_replicas(&self.node, &self.lease, members, primary, term);
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
        let former = &self.record.record.primary;
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
    fn reported_position(&self, instance: &InstanceName) -> Option<Position> {
        let state = self.node.state.borrow();
        state
            .databases
            .get(&self.database)?
            .primary_position(instance)
    }

    fn is_synchronous(&self) -> bool {
        let catalog = self.node.catalog();
        catalog.is_some_and(|catalog| catalog.is_synchronous(&self.database))
    }

    fn replicas(&self, term: u64) -> Replicas<'_> {
        Replicas {
            node: &self.node,
            lease: &self.lease,
            database: &self.database,
            former: &self.record.record.primary,
            term,
        }
    }

    fn replaced(&self, knowledge: Knowledge) -> Replaced<'_> {
        Replaced {
            primary: &self.record.record.primary,
            term: self.record.record.term,
            instances: self.group_size(),
            knowledge,
        }
    }

    /// Writes the record again if the reports of all instances confirm it. No VM has to confirm
    /// this, because none can know another primary.
    ///
    /// Returns whether the record is written, or `None` if the primary must be replaced. While only
    /// some instances confirm a record that this VM relies on, it waits for the others.
    async fn restore_record(&mut self) -> Option<bool> {
        let reports = reports::collect(&self.node, self.members()).await;
        let newest_term = reports.iter().map(|member| member.report.term).max();
        self.reported_term = self.reported_term.max(newest_term.unwrap_or_default());
        let check = check_record(&self.replaced(Knowledge::Restored), &reports);
        log::info!(
            "event=record_checked database={} heard={} check={check} newest_term={newest_term:?}",
            self.database,
            reports.len()
        );
        // Some VMs may still use the primary before the recorded one.
        let is_settling = matches!(self.record.record.phase, Phase::Settling { .. });
        let may_wait = self.node.timeline_age() < self.node.settings.gateway_ttl;
        match check {
            RecordCheck::Confirmed if !is_settling => Some(self.rewrite_record().await),
            RecordCheck::Incomplete if self.record.is_reliable() && may_wait => Some(false),
            _ => None,
        }
    }

    async fn rewrite_record(&mut self) -> bool {
        let (primary, term) = (self.record.record.primary.clone(), self.record.record.term);
        let is_written = self.write(primary.clone(), term, Phase::Steady).await;
        if is_written {
            self.send_record_to_all();
            // A replacement that the restoration ended may have paused the replicas.
            self.notify_instances(&primary, &primary, term);
        }
        is_written
    }

    /// Demotes a primary that still serves, before its replicas are paused. They would miss a save
    /// that an open transaction commits after the pause, and a demoted primary sends nothing more.
    async fn depose_serving_primary(&self) -> Option<()> {
        let former = self.instance(&self.record.record.primary)?;
        let reports = reports::collect(&self.node, self.members()).await;
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
        let former = &self.record.record.primary;
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
        let mut link = ControlLink::new(Rc::clone(&self.node), instance);
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

    fn control_link(&self, instance: Rc<Instance>) -> ControlLink {
        ControlLink::of_holder(Rc::clone(&self.node), instance, Rc::clone(&self.lease))
    }

    async fn await_leadership(&self, name: &InstanceName) -> Option<(InstanceName, u64)> {
        let mut link = ControlLink::new(Rc::clone(&self.node), self.instance(name)?);
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

    async fn write(&mut self, primary: InstanceName, term: u64, phase: Phase) -> bool {
        let record = PrimaryRecord {
            primary,
            term,
            phase,
            instances: self.group_size(),
            timeline: self.node.adapter.store.timeline(),
        };
        if !self.lease.is_valid() {
            return false;
        }
        let expected = self.record.stored;
        let written = records::write(&self.node, &self.database, expected, record).await;
        match written {
            Some(record) => {
                self.record = record;
                true
            }
            None => false,
        }
    }

    /// Notifies the other instances of the replacement: the former primary steps down, the replicas
    /// resume. Without this, the new primary notifies them, but later. It ends when the next
    /// replacement begins, whose holder counts on the replicas that it has paused.
    ///
    /// A replica must not resume after another VM has paused it for the next replacement. The lease
    /// is therefore kept until the replicas have resumed, or a time limit has passed. A late demotion
    /// has no effect, because the next primary has a higher term.
    fn notify_instances(&mut self, former: &InstanceName, current: &InstanceName, term: u64) {
        for instance in self.members() {
            if instance.name == *current {
                continue;
            }
            let (node, database) = (Rc::clone(&self.node), self.database.clone());
            let revision = self.record.revision;
            let is_former = instance.name == *former;
            let (mut link, command, limit) = if is_former {
                let link = ControlLink::new(Rc::clone(&node), instance);
                (link, InstanceCommand::Demote { term }, NOTIFY_TIMEOUT)
            } else {
                let link = self.control_link(instance);
                (link, InstanceCommand::Resume, REPORT_TIMEOUT)
            };
            let notifying = async move {
                tokio::select! {
                    _ = link.request(&command, limit) => {}
                    () = node.wait_until(|state| !state.is_latest(&database, revision)) => {}
                }
            };
            if is_former {
                tokio::task::spawn_local(notifying);
            } else {
                self.resuming.spawn_local(notifying);
            }
        }
    }

    fn members(&self) -> Vec<Rc<Instance>> {
        let state = self.node.state.borrow();
        state
            .directory
            .in_database(&self.database)
            .cloned()
            .collect()
    }

    fn instance(&self, name: &InstanceName) -> Option<Rc<Instance>> {
        self.node.state.borrow().directory.get(name).cloned()
    }

    /// Returns how many instances of the database may hold acknowledged saves, including those that are
    /// missing now.
    fn group_size(&self) -> usize {
        let mut state = self.node.state.borrow_mut();
        let announced = state.count_logs(&self.database);
        announced.max(state.database(&self.database).group_size)
    }
}
