//! Carries out the replacement of a database's primary. Run by the VM that holds the failover lease.
//!
//! What is done next is decided by [`Replacement`].

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::clock;
use super::confirmation::Confirming;
use super::control::ControlLink;
use super::datagram::{Datagram, RecordUpdate};
use super::failover_lease::FailoverLease;
use super::instance::Instance;
use super::node::Node;
use super::position::Position;
use super::record::{Phase, PrimaryRecord, VersionedRecord};
use super::records;
use super::replacement::{Action, Event, Note, Reason, Receiving, Replacement, Situation};
use super::reports::{self, REPORT_TIMEOUT};
use super::statement::InstanceCommand;
use super::succession::{POLL_INTERVAL, Succession};
use crate::name::{DatabaseName, InstanceName};
use crate::telemetry::metrics::metrics;
use crate::time::Timestamp;

/// Time limit for notifying the former primary of its replacement.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(5);

/// Replacement of one database's primary.
#[derive(Debug)]
pub struct Takeover {
    succession: Rc<Succession>,
    /// Record that was written last.
    record: VersionedRecord,
    confirming: Option<Confirming>,
    /// Recorded primary when the instances reported last, if it was announced then.
    former: Option<Rc<Instance>>,
    /// Number of attempts to promote an instance.
    attempts: usize,
    /// Instance that receives alone, and the task that keeps the others paused.
    receiving: Option<(Receiving, JoinSet<Infallible>)>,
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
            succession: Rc::new(Succession {
                node,
                lease,
                database,
                generation,
                former: record.record.primary.clone(),
                called_at: Cell::default(),
            }),
            record,
            confirming: None,
            former: None,
            attempts: 0,
            receiving: None,
            resuming: JoinSet::new(),
        };
        let started = Instant::now();
        let done = takeover.replace(reason).await;
        metrics().count_takeover(reason.to_string(), done);
        log::info!(
            "event=takeover_ended database={} generation={generation} done={done} taken_ms={} \
             primary={} term={}",
            takeover.succession.database,
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
            self.succession.database,
            self.succession.generation,
            self.record.record.primary,
            self.record.record.term
        );
        let (mut replacement, mut action) = Replacement::start(
            self.succession.node.settings.vm.clone(),
            self.succession.generation,
            reason,
            &self.record,
            &self.situation(false),
        );
        loop {
            if let Action::End { done } = action {
                return done;
            }
            self.receive_alone(replacement.receiving());
            // The lease was checked when the action was chosen: nothing may be waited for in between.
            let event = self.carry_out(action).await;
            let is_confirmed = self.confirming.as_mut().is_some_and(Confirming::has_ended);
            action = replacement.on(event, &self.situation(is_confirmed));
        }
    }

    fn situation(&self, is_confirmed: bool) -> HolderSituation<'_> {
        HolderSituation {
            succession: &self.succession,
            attempt: self.attempts,
            is_confirmed,
        }
    }

    async fn carry_out(&mut self, action: Action) -> Event {
        let succession = Rc::clone(&self.succession);
        match action {
            Action::AskPrimary => Event::Answered(succession.ask_primary().await),
            Action::ClearSuspicion => {
                succession.clear_suspicion();
                Event::Done
            }
            Action::Collect => {
                self.former = succession.instance(&succession.former);
                let members = succession.members();
                Event::Reported(reports::collect(&succession.node, members).await)
            }
            Action::Write { .. } | Action::RecordCall { .. } => {
                Event::Written(self.write(action).await)
            }
            Action::StartConfirming => {
                let update = self.record_update();
                let confirming = Confirming::start(&succession.node, update, succession.generation);
                self.confirming = Some(confirming);
                Event::Done
            }
            Action::AwaitConfirmations => Event::Confirmed(match &mut self.confirming {
                Some(confirming) => confirming.wait().await,
                None => false,
            }),
            Action::SendRecord => {
                self.send_record_to_all();
                Event::Done
            }
            Action::Finish {
                former,
                primary,
                term,
            } => {
                self.send_record_to_all();
                self.notify_instances(&former, &primary, term);
                Event::Done
            }
            Action::Pause { term } => {
                self.attempts += 1;
                Event::Reported(succession.pause(term).await)
            }
            Action::Sleep => {
                sleep(POLL_INTERVAL).await;
                Event::Done
            }
            Action::End { .. } => unreachable!("nothing follows the end"),
            action => self.call_instances(action).await,
        }
    }

    /// Carries out an action of the promotion.
    async fn call_instances(&self, action: Action) -> Event {
        let succession = &self.succession;
        match action {
            Action::PauseAll { term } => {
                Event::AllPaused(succession.replicas(term).pause_all().await)
            }
            Action::Demote { instance, term } => {
                let announced = succession.instance(&instance);
                let demoted = match announced.or_else(|| self.former.clone()) {
                    Some(instance) => succession.demote(instance, term).await,
                    None => None,
                };
                Event::Demoted(demoted)
            }
            Action::CatchUp { instance, position } => {
                Event::Reached(succession.catch_up(&instance, position).await)
            }
            Action::AwaitDelivery { instance, position } => {
                Event::Reached(succession.await_delivery(&instance, position).await)
            }
            Action::CallPromotion { instance } => {
                Event::Called(succession.call_promotion(&instance).await)
            }
            Action::AwaitLeadership {
                instance,
                first_term,
            } => Event::Led(succession.await_leadership(&instance, first_term).await),
            action => unreachable!("{action:?} calls no instance"),
        }
    }

    /// Starts or ends that one instance receives alone.
    fn receive_alone(&mut self, receiving: Option<&Receiving>) {
        if self.receiving.as_ref().map(|(known, _)| known) == receiving {
            return;
        }
        self.receiving = receiving.map(|receiving| {
            let (succession, receiving) = (Rc::clone(&self.succession), receiving.clone());
            let mut task = JoinSet::new();
            let known = receiving.clone();
            task.spawn_local(async move {
                let replicas = succession.replicas(receiving.term);
                replicas
                    .receive_alone(&receiving.instance, &receiving.reports)
                    .await
            });
            (known, task)
        });
    }

    /// Returns the record in the form that is sent to other VMs.
    fn record_update(&self) -> RecordUpdate {
        RecordUpdate {
            database: self.succession.database.clone(),
            record: self.record.record.clone(),
            revision: self.record.revision.0,
        }
    }

    /// Sends the record to every gateway, so that those cut off from the store receive it too.
    fn send_record_to_all(&self) {
        let node = &self.succession.node;
        let state = node.state.borrow();
        for vm in state.gateways.values() {
            node.outbox
                .send(vm.peer_address, Datagram::Record(self.record_update()));
        }
    }

    /// Writes the record that an action asks for; returns whether the store has it.
    async fn write(&mut self, action: Action) -> bool {
        let Succession {
            node,
            database,
            generation,
            ..
        } = &*self.succession;
        let record = match action {
            Action::Write {
                primary,
                term,
                phase,
                instances,
                promotion_calls,
            } => PrimaryRecord {
                primary,
                term,
                phase,
                instances,
                timeline: node.adapter.store.timeline(),
                promotion_calls,
                started_at_ms: node.state.borrow().first_starts(database),
            },
            Action::RecordCall { instance } => {
                let mut record = self.record.record.clone();
                record.promotion_calls.add(&instance);
                record
            }
            action => unreachable!("{action:?} writes no record"),
        };
        let is_beginning = self.confirming.is_none();
        if is_beginning && matches!(record.phase, Phase::Moving { .. }) {
            node.confirmations.begin((database.clone(), *generation));
        }
        let expected = self.record.stored;
        let Some(written) = records::write(node, database, expected, record).await else {
            return false;
        };
        self.record = written;
        true
    }

    /// Notifies the other instances of the replacement: the former primary steps down, the replicas
    /// resume. Without this, the new primary notifies them, but later. It ends when the next
    /// replacement begins, whose holder counts on the replicas that it has paused.
    ///
    /// A replica must not resume after another VM has paused it for the next replacement. The lease
    /// is therefore kept until the replicas have resumed, or a time limit has passed. A late demotion
    /// has no effect, because the next primary has a higher term.
    fn notify_instances(&mut self, former: &InstanceName, current: &InstanceName, term: u64) {
        for instance in self.succession.members() {
            if instance.name == *current {
                continue;
            }
            let node = Rc::clone(&self.succession.node);
            let database = self.succession.database.clone();
            let revision = self.record.revision;
            let is_former = instance.name == *former;
            let (mut link, command, limit) = if is_former {
                let link = ControlLink::new(Rc::clone(&node), instance);
                (link, InstanceCommand::Demote { term }, NOTIFY_TIMEOUT)
            } else {
                let link = self.succession.control_link(instance);
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

/// What the holder of the failover lease knows at the time of an event.
struct HolderSituation<'a> {
    succession: &'a Succession,
    attempt: usize,
    is_confirmed: bool,
}

impl Situation for HolderSituation<'_> {
    fn now(&self) -> Timestamp {
        clock::now()
    }

    fn may_wait_for_reports(&self) -> bool {
        let node = &self.succession.node;
        node.timeline_age() < node.settings.gateway_ttl
    }

    fn instances(&self) -> usize {
        self.succession.group_size()
    }

    fn holds_lease(&self) -> bool {
        self.succession.lease.is_valid()
    }

    fn may_calls_take_effect(&self) -> bool {
        self.succession.may_calls_take_effect()
    }

    fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    fn is_synchronous(&self) -> bool {
        let catalog = self.succession.node.catalog();
        catalog.is_some_and(|catalog| catalog.is_synchronous(&self.succession.database))
    }

    fn is_announced(&self, instance: &InstanceName) -> bool {
        self.succession.instance(instance).is_some()
    }

    fn started_at_ms(&self, instance: &InstanceName) -> Option<u64> {
        let instance = self.succession.instance(instance)?;
        Some(instance.started_at_ms)
    }

    fn reported_position(&self, instance: &InstanceName) -> Option<Position> {
        self.succession.reported_position(instance)
    }

    fn note(&self, note: Note<'_>) {
        let database = &self.succession.database;
        match note {
            Note::RecordChecked {
                heard,
                check,
                newest_term,
            } => log::info!(
                "event=record_checked database={database} heard={heard} check={check} \
                 newest_term={newest_term:?}"
            ),
            Note::Decided { heard, decision } => log::info!(
                "event=takeover_decided database={database} attempt={} heard={heard} of={} \
                 decision=\"{decision:?}\"",
                self.attempt,
                self.instances()
            ),
            Note::Outdated { instance } => log::warn!(
                "event=promotion_outdated database={database} instance={instance} generation={}",
                self.succession.generation
            ),
        }
    }
}
