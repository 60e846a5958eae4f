//! Calls of a replacement to the instances of a database, and to the platform.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::adapter::{PromotionCall, PromotionOutcome};
use super::clock;
use super::control::ControlLink;
use super::failover_lease::FailoverLease;
use super::instance::Instance;
use super::members::Replicas;
use super::node::Node;
use super::position::Position;
use super::promotion::MemberReport;
use super::replacement::Answer;
use super::reports::{self, REPORT_TIMEOUT};
use super::statement::{InstanceCommand, InstanceReport};
use crate::name::{DatabaseName, InstanceName};
use crate::time::Timestamp;

/// Time limit for a replica to receive the log entries that the primary or another replica has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for log entries that a deposed primary has already sent to arrive at a replica.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which an instance is polled until it has caught up or has become the primary, and at which
/// a promotion is attempted.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after a promotion call within which it takes effect, if it does.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for an instance to become the primary after the promotion call.
const LEADERSHIP_TIMEOUT: Duration = Duration::from_secs(3);

/// Database whose primary is replaced by this VM.
#[derive(Debug)]
pub struct Succession {
    /// State of this VM.
    pub node: Rc<Node>,
    /// Failover lease of this VM.
    pub lease: Rc<FailoverLease>,
    /// Database whose primary is replaced.
    pub database: DatabaseName,
    /// Generation of the failover lease.
    pub generation: u64,
    /// Former primary.
    pub former: InstanceName,
    /// Time at which the last promotion call ended; [`Timestamp::ZERO`] if there was none.
    pub called_at: Cell<Timestamp>,
}

impl Succession {
    /// Requests a report from the former primary once more.
    pub async fn ask_primary(&self) -> Answer {
        let Some(primary) = self.instance(&self.former) else {
            return Answer::Silent;
        };
        let mut link = ControlLink::new(Rc::clone(&self.node), primary);
        let report = link
            .request(&InstanceCommand::Report, REPORT_TIMEOUT / 2)
            .await;
        match report {
            Some(report) => Answer::Report(report),
            // An instance that refuses for lack of capacity is alive.
            None if link.has_responded() => Answer::Busy,
            None => Answer::Silent,
        }
    }

    /// Forgets that the former primary was suspected.
    pub fn clear_suspicion(&self) {
        log::info!(
            "event=suspicion_cleared database={} primary={}",
            self.database,
            self.former
        );
        if let Some(primary) = self.instance(&self.former) {
            self.node.pool(&primary).clear_health();
        }
    }

    /// Pauses the replicas that are announced, and returns their reports and that of the former primary.
    pub async fn pause(&self, term: u64) -> Vec<MemberReport> {
        let members = self.members();
        reports::pause_replicas(&self.node, &self.lease, members, &self.former, term).await
    }

    /// Demotes an instance; returns its last report.
    pub async fn demote(&self, instance: Rc<Instance>, term: u64) -> Option<InstanceReport> {
        let mut link = self.control_link(instance);
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

    /// Lets an instance receive until it has reached a position; returns whether it has.
    pub async fn catch_up(&self, name: &InstanceName, to: Position) -> bool {
        let Some(instance) = self.instance(name) else {
            return false;
        };
        let mut link = self.control_link(instance);
        link.request(&InstanceCommand::Resume, REPORT_TIMEOUT).await;
        drop(link);
        self.await_position(name, to, CATCH_UP_TIMEOUT).await
    }

    /// Waits until an instance has received what a demoted primary has sent; returns whether it has.
    pub async fn await_delivery(&self, name: &InstanceName, to: Position) -> bool {
        self.await_position(name, to, DELIVERY_TIMEOUT).await
    }

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

    /// Calls the platform to promote an instance. The caller has checked the failover lease, and has
    /// waited for nothing since.
    pub async fn call_promotion(&self, name: &InstanceName) -> PromotionOutcome {
        let call = PromotionCall {
            database: self.database.clone(),
            instance: name.clone(),
            holder: self.node.settings.vm.clone(),
            generation: self.generation,
            valid_until: self.lease.valid_until(),
        };
        self.lease.begin_call();
        let outcome = (self.node.adapter.promote)(call).await;
        self.called_at.set(clock::now());
        log::info!(
            "event=promotion_called database={} instance={name} generation={} outcome={outcome:?}",
            self.database,
            self.generation
        );
        if outcome != PromotionOutcome::NoAnswer {
            self.lease.end_call();
        }
        outcome
    }

    /// Returns whether a promotion call of this replacement, or of a former holder of the failover lease, may
    /// still take effect.
    pub fn may_calls_take_effect(&self) -> bool {
        let called_at = self.called_at.get().max(self.lease.acquired_at());
        clock::now() < called_at + EFFECT_TIMEOUT
    }

    /// Waits until an instance leads in `first_term` or a later one; returns its term.
    pub async fn await_leadership(&self, name: &InstanceName, first_term: u64) -> Option<u64> {
        let mut link = ControlLink::new(Rc::clone(&self.node), self.instance(name)?);
        let end = Instant::now() + LEADERSHIP_TIMEOUT;
        while Instant::now() < end {
            let report = link.request(&InstanceCommand::Report, REPORT_TIMEOUT).await;
            let leads = |report: &InstanceReport| report.is_primary && report.term >= first_term;
            if let Some(report) = report.filter(leads) {
                return Some(report.term);
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Returns the replicas, which are paused under a term.
    pub fn replicas(&self, term: u64) -> Replicas<'_> {
        Replicas {
            node: &self.node,
            lease: &self.lease,
            database: &self.database,
            former: &self.former,
            term,
        }
    }

    /// Creates a control connection of the holder of the failover lease.
    pub fn control_link(&self, instance: Rc<Instance>) -> ControlLink {
        ControlLink::of_holder(Rc::clone(&self.node), instance, Rc::clone(&self.lease))
    }

    /// Returns the instances of the database.
    pub fn members(&self) -> Vec<Rc<Instance>> {
        let state = self.node.state.borrow();
        let members = state.directory.in_database(&self.database);
        members.cloned().collect()
    }

    /// Returns an instance; `None` if it is announced no longer.
    pub fn instance(&self, name: &InstanceName) -> Option<Rc<Instance>> {
        self.node.state.borrow().directory.get(name).cloned()
    }

    /// Returns the latest position that this VM knows an instance to have reported as the primary.
    pub fn reported_position(&self, instance: &InstanceName) -> Option<Position> {
        let state = self.node.state.borrow();
        state
            .databases
            .get(&self.database)?
            .primary_position(instance)
    }

    /// Returns how many instances of the database may hold acknowledged saves, including those that are
    /// missing now.
    pub fn group_size(&self) -> usize {
        let mut state = self.node.state.borrow_mut();
        let announced = state.count_logs(&self.database);
        announced.max(state.database(&self.database).group_size)
    }
}
