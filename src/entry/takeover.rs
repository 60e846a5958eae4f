//! Replaces the primary of a database, as the holder of the duty.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use strum::Display;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::adapter::{PromotionCall, PromotionOutcome};
use super::confirmation;
use super::control::ControlLink;
use super::gossip::{Datagram, ProvenRecord};
use super::instance::{Instance, InstanceState};
use super::node::Node;
use super::position::Position;
use super::promotion::{Decision, Heard, decide};
use super::record::{Phase, PrimaryRecord, VersionedRecord};
use super::records;
use super::statement::{InstanceCommand, InstanceReport};
use crate::name::{DatabaseName, InstanceName};
use crate::telemetry::metrics::metrics;

/// Longest time to hear one instance.
const HEAR_WITHIN: Duration = Duration::from_millis(400);

/// Time for statements under way to end before a planned replacement pauses the replicas.
const SETTLE: Duration = Duration::from_millis(60);

/// Longest time for a replica to receive what the primary or another replica has.
const CATCH_UP_WITHIN: Duration = Duration::from_millis(1_500);

/// Longest time for what a deposed primary has sent to arrive at a replica.
const DELIVERY_WITHIN: Duration = Duration::from_millis(100);

/// Interval at which an instance is asked whether it has caught up or leads.
const POLL: Duration = Duration::from_millis(20);

/// Longest time from the call that promotes until the instance leads.
const LEAD_WITHIN: Duration = Duration::from_secs(3);

/// Time after which a replacement that doesn't succeed is left to the next attempt.
const ATTEMPT: Duration = Duration::from_secs(12);

/// Time for which the former primary is told that it was replaced.
const DEMOTE_WITHIN: Duration = Duration::from_secs(5);

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It is about to leave.
    Leaving,
    /// It announces itself no longer.
    Gone,
    /// It doesn't answer.
    Unreachable,
    /// Its saves are not acknowledged.
    Stalled,
    /// It says that it isn't the primary.
    Deposed,
    /// A former holder of the duty began and didn't finish.
    Unfinished,
}

impl Reason {
    /// Returns whether the primary still serves and the statements under way may end first.
    pub const fn is_planned(self) -> bool {
        matches!(self, Self::Leaving)
    }
}

/// Replacement of one database's primary.
#[derive(Debug)]
pub struct Takeover {
    node: Rc<Node>,
    database: DatabaseName,
    generation: u64,
    record: VersionedRecord,
}

impl Takeover {
    /// Runs a replacement; returns whether the database has a primary that takes statements.
    pub async fn run(
        node: Rc<Node>,
        database: DatabaseName,
        generation: u64,
        reason: Reason,
    ) -> bool {
        let known = node.state.borrow_mut().database(&database).record.clone();
        let Some(record) = known else { return false };
        let mut takeover = Self {
            node,
            database,
            generation,
            record,
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
        if !self.suspicion_stands(reason).await {
            return true;
        }
        let moving = Phase::Moving {
            holder: self.node.settings.vm.clone(),
            generation: self.generation,
        };
        let replacement = (self.database.clone(), self.generation);
        self.node.handover.begin(replacement);
        if !self
            .write(
                self.record.record.primary.clone(),
                self.record.record.term,
                moving,
            )
            .await
        {
            return false;
        }
        let (node, record) = (Rc::clone(&self.node), self.proven());
        let generation = self.generation;
        // Aborted with the takeover, should the duty be lost.
        let mut confirming = JoinSet::new();
        confirming.spawn_local(async move {
            confirmation::all(&node, &record, generation).await;
        });
        if reason.is_planned() {
            confirming.join_next().await;
            sleep(SETTLE).await;
        }
        let keep = reason == Reason::Unfinished;
        let Some((instance, term)) = self.promote(keep).await else {
            return false;
        };
        let former = self.record.record.primary.clone();
        if confirming.try_join_next().is_none() && !confirming.is_empty() {
            let settling = Phase::Settling {
                holder: self.node.settings.vm.clone(),
                generation,
            };
            if !self.write(instance.clone(), term, settling).await {
                return false;
            }
            self.tell_all();
            confirming.join_next().await;
        }
        let recorded = self.write(instance.clone(), term, Phase::Steady).await;
        if recorded {
            self.tell_all();
            self.dismiss(&former, &instance, term);
        }
        recorded
    }

    /// Returns the record as it is told to other VMs.
    fn proven(&self) -> ProvenRecord {
        ProvenRecord {
            database: self.database.clone(),
            record: self.record.record.clone(),
            revision: self.record.revision.0,
        }
    }

    /// Tells every VM the record, whether or not it hears the store.
    fn tell_all(&self) {
        let state = self.node.state.borrow();
        for vm in state.gateways.values() {
            self.node
                .outbox
                .send(vm.peer_address, Datagram::Record(self.proven()));
        }
    }

    /// Asks a suspected primary once more, so that a passing doubt doesn't replace it.
    async fn suspicion_stands(&self, reason: Reason) -> bool {
        if !matches!(reason, Reason::Unreachable | Reason::Deposed) {
            return true;
        }
        let name = &self.record.record.primary;
        let Some(primary) = self.instance(name) else {
            return true;
        };
        let mut link = ControlLink::new(Rc::clone(&self.node), primary);
        let report = link.ask(&InstanceCommand::Report, HEAR_WITHIN / 2).await;
        // An instance without capacity is alive.
        let busy = report.is_none() && link.has_answered() && reason == Reason::Unreachable;
        let leads = report
            .is_some_and(|report| report.is_primary && report.term <= self.record.record.term);
        if leads || busy {
            log::info!(
                "event=suspicion_cleared database={} primary={name}",
                self.database
            );
            self.node.pool(link.instance()).clear_health();
        }
        !leads && !busy
    }

    /// Promotes the instance that holds every acknowledged save; returns it with its term.
    async fn promote(&self, keep: bool) -> Option<(InstanceName, u64)> {
        let end = Instant::now() + ATTEMPT;
        let mut attempt = 0;
        while Instant::now() < end {
            attempt += 1;
            let heard = self.hear().await;
            let instances = self.members().len().max(self.group_size());
            let primary = &self.record.record.primary;
            let decision = decide(primary, self.record.record.term, &heard, instances, keep);
            log::info!(
                "event=takeover_decided database={} attempt={attempt} heard={} of={instances} \
                 decision=\"{decision:?}\"",
                self.database,
                heard.len()
            );
            let chosen = match decision {
                Decision::AlreadyLeads(instance) => self.await_lead(&instance).await,
                Decision::Promote(instance) => self.install(&instance, &heard).await,
                Decision::CatchUp(instance, position) => {
                    if self.catch_up(&instance, position).await {
                        self.install(&instance, &heard).await
                    } else {
                        None
                    }
                }
                Decision::Unheard => None,
            };
            if chosen.is_some() {
                return chosen;
            }
            sleep(POLL).await;
        }
        None
    }

    /// Promotes an instance, after the former primary was deposed where it still leads: a replica
    /// that nobody knew of could otherwise acknowledge saves for it meanwhile.
    async fn install(&self, name: &InstanceName, heard: &[Heard]) -> Option<(InstanceName, u64)> {
        let former = &self.record.record.primary;
        let leads = |heard: &&Heard| heard.instance == *former && heard.report.is_primary;
        let Some(former) = heard.iter().find(leads) else {
            return self.call(name).await;
        };
        let mut link = ControlLink::new(Rc::clone(&self.node), self.instance(&former.instance)?);
        let demote = InstanceCommand::Demote {
            term: former.report.term + 1,
        };
        let last = link.ask(&demote, HEAR_WITHIN).await?;
        log::info!(
            "event=primary_deposed database={} instance={} received={}",
            self.database,
            former.instance,
            last.received
        );
        // What it took up since it was heard is still on its way; otherwise the next attempt
        // decides anew.
        if self.reaches(name, last.received, DELIVERY_WITHIN).await {
            return self.call(name).await;
        }
        None
    }

    /// Pauses the replicas and hears every instance.
    async fn hear(&self) -> Vec<Heard> {
        let term = self.record.record.term;
        let asking = self.members().into_iter().map(|instance| {
            let is_old = instance.name == self.record.record.primary;
            let command = if is_old {
                InstanceCommand::Report
            } else {
                InstanceCommand::Pause { term: term + 1 }
            };
            let mut link = ControlLink::new(Rc::clone(&self.node), instance);
            async move {
                let mut report = link.ask(&command, HEAR_WITHIN).await;
                if report.is_none() && !is_old {
                    // An instance that leads a newer term refuses to pause.
                    report = link.ask(&InstanceCommand::Report, HEAR_WITHIN / 4).await;
                    report = report.filter(|report| report.is_primary);
                }
                report.map(|report| heard(link.instance(), report))
            }
        });
        join_all(asking).await.into_iter().flatten().collect()
    }

    async fn catch_up(&self, name: &InstanceName, to: Position) -> bool {
        let Some(instance) = self.instance(name) else {
            return false;
        };
        let mut link = ControlLink::new(Rc::clone(&self.node), instance);
        link.ask(&InstanceCommand::Resume, HEAR_WITHIN).await;
        drop(link);
        self.reaches(name, to, CATCH_UP_WITHIN).await
    }

    /// Waits until an instance has received a position.
    async fn reaches(&self, name: &InstanceName, to: Position, within: Duration) -> bool {
        let Some(instance) = self.instance(name) else {
            return false;
        };
        let mut link = ControlLink::new(Rc::clone(&self.node), instance);
        let end = Instant::now() + within;
        loop {
            let report = link.ask(&InstanceCommand::Report, HEAR_WITHIN).await;
            if report.is_some_and(|report| report.received >= to) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            sleep(POLL).await;
        }
    }

    async fn call(&self, name: &InstanceName) -> Option<(InstanceName, u64)> {
        let call = PromotionCall {
            database: self.database.clone(),
            instance: name.clone(),
            holder: self.node.settings.vm.clone(),
            generation: self.generation,
        };
        let outcome = (self.node.adapter.promote)(call).await;
        log::info!(
            "event=promotion_called database={} instance={name} generation={} outcome={outcome:?}",
            self.database,
            self.generation
        );
        match outcome {
            PromotionOutcome::Accepted | PromotionOutcome::NoAnswer => self.await_lead(name).await,
            PromotionOutcome::NotRunning | PromotionOutcome::NotDone => None,
        }
    }

    async fn await_lead(&self, name: &InstanceName) -> Option<(InstanceName, u64)> {
        let mut link = ControlLink::new(Rc::clone(&self.node), self.instance(name)?);
        let end = Instant::now() + LEAD_WITHIN;
        while Instant::now() < end {
            let report = link.ask(&InstanceCommand::Report, HEAR_WITHIN).await;
            if let Some(report) = report.filter(|report| report.is_primary) {
                return Some((name.clone(), report.term));
            }
            sleep(POLL).await;
        }
        None
    }

    async fn write(&mut self, primary: InstanceName, term: u64, phase: Phase) -> bool {
        let record = PrimaryRecord {
            primary,
            term,
            phase,
            instances: self.members().len().max(self.group_size()),
        };
        let expected = self.record.revision;
        let written = records::write(&self.node, &self.database, expected, record).await;
        match written {
            Some(record) => {
                self.record = record;
                true
            }
            None => false,
        }
    }

    /// Tells the others what has changed; they learn it from the new primary too, only later.
    fn dismiss(&self, former: &InstanceName, current: &InstanceName, term: u64) {
        for instance in self.members() {
            if instance.name == *current {
                continue;
            }
            let command = if instance.name == *former {
                InstanceCommand::Demote { term }
            } else {
                InstanceCommand::Resume
            };
            let mut link = ControlLink::new(Rc::clone(&self.node), instance);
            tokio::task::spawn_local(async move { link.ask(&command, DEMOTE_WITHIN).await });
        }
    }

    fn members(&self) -> Vec<Rc<Instance>> {
        let state = self.node.state.borrow();
        state.directory.of(&self.database).cloned().collect()
    }

    fn instance(&self, name: &InstanceName) -> Option<Rc<Instance>> {
        self.node.state.borrow().directory.get(name).cloned()
    }

    /// Returns how many instances the database had when it was last whole.
    fn group_size(&self) -> usize {
        let mut state = self.node.state.borrow_mut();
        state.database(&self.database).group_size
    }
}

fn heard(instance: &Instance, report: InstanceReport) -> Heard {
    Heard {
        instance: instance.name.clone(),
        report,
        may_lead: instance.state == InstanceState::Serving,
    }
}
