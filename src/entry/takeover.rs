//! Replaces the primary of a database. Run by the VM that holds the failover lease.

use std::rc::Rc;
use std::time::Duration;

use strum::Display;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::confirmation::Confirming;
use super::control::ControlLink;
use super::datagram::{Datagram, RecordUpdate};
use super::failover_lease::FailoverLease;
use super::node::Node;
use super::promotion::{Knowledge, RecordCheck, check_record};
use super::record::{Phase, PrimaryRecord, VersionedRecord};
use super::records;
use super::reports::{self, REPORT_TIMEOUT};
use super::statement::InstanceCommand;
use super::succession::Succession;
use crate::name::{DatabaseName, InstanceName};
use crate::telemetry::metrics::metrics;

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
            self.succession().depose_serving_primary().await;
        }
        let succession = self.succession();
        let promoting = succession.promote(reason.knowledge(), &mut confirming);
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

    fn succession(&self) -> Succession<'_> {
        Succession {
            node: &self.node,
            lease: &self.lease,
            database: &self.database,
            generation: self.generation,
            record: &self.record.record,
            reported_term: self.reported_term,
        }
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
        let Some(primary) = self.succession().instance(name) else {
            return true;
        };
        let mut link = ControlLink::new(Rc::clone(&self.node), primary);
        let report = link
            .request(&InstanceCommand::Report, REPORT_TIMEOUT / 2)
            .await;
        // An instance that refuses for lack of capacity is alive.
        let busy = report.is_none() && link.has_responded() && reason == Reason::Unreachable;
        let known = self.succession().reported_position(name);
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

    fn is_synchronous(&self) -> bool {
        let catalog = self.node.catalog();
        catalog.is_some_and(|catalog| catalog.is_synchronous(&self.database))
    }

    /// Writes the record again if the reports of all instances confirm it. No VM has to confirm
    /// this, because none can know another primary.
    ///
    /// Returns whether the record is written, or `None` if the primary must be replaced. While only
    /// some instances confirm a record that this VM relies on, it waits for the others.
    async fn restore_record(&mut self) -> Option<bool> {
        let reports = reports::collect(&self.node, self.succession().members()).await;
        let newest_term = reports.iter().map(|member| member.report.term).max();
        self.reported_term = self.reported_term.max(newest_term.unwrap_or_default());
        let check = check_record(&self.succession().replaced(Knowledge::Restored), &reports);
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

    async fn write(&mut self, primary: InstanceName, term: u64, phase: Phase) -> bool {
        let record = PrimaryRecord {
            primary,
            term,
            phase,
            instances: self.succession().group_size(),
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
        for instance in self.succession().members() {
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
                let link = self.succession().control_link(instance);
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
}
