//! Tenure of the failover lease: replaces the primaries that are due, side by side.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::clock;
use super::failover_lease::FailoverLease;
use super::keys;
use super::node::Node;
use super::record::FailoverLeaseRecord;
use super::replacement::Reason;
use super::synchronization;
use super::takeover::Takeover;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::PlatformResponse;
use crate::name::DatabaseName;

/// Delay after an attempt to acquire the failover lease, before the next one.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Database whose primary must be replaced, with the reason.
pub type Due = (DatabaseName, Reason);

/// Tenure of the failover lease by this VM.
///
/// When a zone is lost, the failures of its primaries are detected one after the other, and each
/// replacement may have to wait for the leases of the zone's VMs. A database that becomes due
/// meanwhile is therefore added to the tenure instead of waiting for the next one.
#[derive(Debug, Default)]
pub struct Tenure {
    is_active: Cell<bool>,
    /// Databases whose replacement hasn't begun yet.
    due: RefCell<Vec<Due>>,
    /// Databases of this tenure. Each is replaced once, so that another VM gets its turn if this one
    /// can't.
    databases: RefCell<HashSet<DatabaseName>>,
    added: Notify,
}

impl Tenure {
    /// Returns whether this VM holds the failover lease or tries to acquire it.
    pub fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// Acquires the failover lease, replaces the primaries that are due, and releases the lease.
    pub fn begin(self: &Rc<Self>, node: &Rc<Node>, due: Vec<Due>) {
        self.is_active.set(true);
        self.add(due);
        let (tenure, node) = (Rc::clone(self), Rc::clone(node));
        tokio::task::spawn_local(async move {
            tenure.hold(&node).await;
            sleep(CLAIM_RETRY_DELAY).await;
            tenure.due.borrow_mut().clear();
            tenure.databases.borrow_mut().clear();
            tenure.is_active.set(false);
        });
    }

    /// Adds databases to the tenure, except those that it has replaced or replaces already.
    pub fn add(&self, due: Vec<Due>) {
        let mut databases = self.databases.borrow_mut();
        let added = due.into_iter();
        let added = added.filter(|(database, _)| databases.insert(database.clone()));
        self.due.borrow_mut().extend(added);
        self.added.notify_one();
    }

    async fn hold(&self, node: &Rc<Node>) {
        let ttl = node.settings.failover_lease_ttl;
        let timeline = node.adapter.store.timeline();
        let held = Rc::<FailoverLease>::default();
        let sent_at = clock::now();
        let granted = node.call(PlatformRequest::GrantLease { ttl }).await;
        let Ok(PlatformResponse::Lease { lease, ttl }) = granted else {
            log::warn!("event=duty_lease_not_granted answer={granted:?}");
            return;
        };
        held.renew(sent_at, ttl);
        if let Some(generation) = claim(node, lease).await {
            held.acquire(clock::now());
            log::info!(
                "event=duty_taken generation={} databases={}",
                generation.0,
                self.due.borrow().len()
            );
            tokio::select! {
                () = self.replace(node, &held, generation) => {}
                () = renew(node, lease, &held) => log::warn!("event=duty_lost generation={}", generation.0),
                // The lease may be lost, and its identifier granted to another VM.
                () = node.adapter.store.wait_for_timeline_after(timeline) => {
                    log::warn!("event=duty_outdated generation={}", generation.0);
                    return;
                }
            }
        }
        held.end();
        if node.adapter.store.timeline() != timeline {
            return;
        }
        // A call that was given up may still arrive. The next holder gets the lease after it has
        // lapsed, which is later than any call of this tenure can take effect.
        if held.has_unanswered_call() {
            log::warn!("event=duty_left_to_lapse lease={lease}");
            return;
        }
        if let Err(error) = node.call(PlatformRequest::Revoke { lease }).await {
            log::warn!("event=duty_not_released lease={lease} error=\"{error}\"");
        }
    }

    /// Replaces the primaries that are due, and those that become due meanwhile.
    async fn replace(&self, node: &Rc<Node>, held: &Rc<FailoverLease>, generation: Revision) {
        let mut running = FuturesUnordered::new();
        loop {
            let due = std::mem::take(&mut *self.due.borrow_mut());
            let started = due.into_iter().map(|(database, reason)| {
                let held = Rc::clone(held);
                Takeover::run(Rc::clone(node), database, generation.0, held, reason)
            });
            running.extend(started);
            tokio::select! {
                ended = running.next() => {
                    if ended.is_none() && self.due.borrow().is_empty() {
                        return;
                    }
                }
                () = self.added.notified() => {}
            }
        }
    }
}

async fn claim(node: &Rc<Node>, lease: u64) -> Option<Revision> {
    let holder = node.settings.vm.clone();
    let value = serde_json::to_vec(&FailoverLeaseRecord { holder, lease }).ok()?;
    let request = PlatformRequest::CompareAndSwap {
        key: keys::FAILOVER_LEASE.to_owned(),
        expected: Revision(0),
        value: Some(value),
        lease: Some(lease),
    };
    match node.call(request).await {
        Ok(PlatformResponse::Swapped { revision }) => Some(revision),
        Ok(PlatformResponse::Conflict {
            current: Some(current),
        }) => {
            // This record may be newer than what the watch has delivered.
            synchronization::apply(node, current);
            let holder = node.state.borrow().failover_holder.clone();
            log::info!("event=duty_not_taken holder={holder:?}");
            None
        }
        response => {
            log::info!("event=duty_not_taken answer={response:?}");
            None
        }
    }
}

/// Renews the failover lease; returns once it has lapsed or can't be relied on any longer.
async fn renew(node: &Rc<Node>, lease: u64, held: &FailoverLease) {
    let delay = node.settings.failover_lease_ttl / 5;
    loop {
        sleep(delay.min(held.time_left())).await;
        let sent_at = clock::now();
        let renewal = node.call(PlatformRequest::KeepAlive { lease });
        match timeout(held.time_left(), renewal).await {
            Ok(Ok(PlatformResponse::Lease { ttl, .. })) => held.renew(sent_at, ttl),
            Ok(Ok(PlatformResponse::LeaseLapsed)) => return,
            response => log::warn!("event=duty_renewal_failed lease={lease} answer={response:?}"),
        }
        if !held.is_valid() {
            return;
        }
    }
}
