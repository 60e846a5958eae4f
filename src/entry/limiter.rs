//! Carries out the decisions on limits: sends requests, grants and hand-overs, and wakes waiting
//! requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slotmap::SlotMap;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};

use super::catalog::Workspace;
use super::clock;
use super::datagram::{Datagram, HandOver, LimitMessage, LimitStatus, LoanAsk, TokenAsk};
use super::node::Node;
use super::peers;
use super::quota::holding::{Arrival, Decision};
use super::quota::queue::Ticket;
use super::quota::{FleetView, Quota, Workspaces};
use super::state::State;
use crate::name::{VmName, WorkspaceName};
use crate::telemetry::metrics::metrics;
use crate::time::Timestamp;

/// Interval at which waiting requests and due repetitions are checked while there are any.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which silent gateways and the validity of the registration are checked.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time beyond a request's longest wait after which it is refused although nothing has been decided.
const DECISION_MARGIN: Duration = Duration::from_millis(100);

/// Interval at which the use of exhausted limits is logged.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Requests that wait for a token.
#[derive(Debug, Default)]
pub struct Limiter {
    waiting: RefCell<SlotMap<Ticket, oneshot::Sender<Decision>>>,
    wake: Notify,
}

/// Waiting request; leaves the queue when it is dropped.
#[derive(Debug)]
struct Waiting<'a> {
    node: &'a Node,
    workspace: &'a WorkspaceName,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let sender = self.node.limiter.waiting.borrow_mut().remove(self.ticket);
        if sender.is_some() {
            let mut state = self.node.state.borrow_mut();
            state.quota.leave(self.workspace, self.ticket);
        }
    }
}

/// Spends a token on a request; waits for one if it is expected in time. Never returns
/// [`Decision::Waits`].
pub async fn take_token(node: &Rc<Node>, workspace: &Workspace, arrival: Arrival) -> Decision {
    let (decision, is_request_due) = with_quota(node, |quota, now| {
        let decision = quota.arrive(workspace, arrival, now);
        (decision, quota.has_due_request(&workspace.name, now))
    });
    if is_request_due || decision == Decision::Waits {
        node.limiter.wake.notify_one();
    }
    if decision != Decision::Waits {
        return decision;
    }
    let (sender, receiver) = oneshot::channel();
    let ticket = node.limiter.waiting.borrow_mut().insert(sender);
    let _waiting = Waiting {
        node,
        workspace: &workspace.name,
        ticket,
    };
    with_quota(node, |quota, now| {
        quota.enqueue(&workspace.name, arrival, ticket, now);
    });
    let started = Instant::now();
    let decided = timeout(arrival.max_wait + DECISION_MARGIN, receiver).await;
    metrics().limits().record_wait(started.elapsed());
    if let Ok(Ok(decision)) = decided {
        return decision;
    }
    log::warn!(
        "event=token_undecided workspace={} waited_ms={}",
        workspace.name,
        started.elapsed().as_millis()
    );
    Decision::Refused(arrival.max_wait)
}

/// Requests tokens and wakes waiting requests until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut updated_at = Timestamp::ZERO;
    let mut logged_at = Timestamp::ZERO;
    let mut has_changed = true;
    loop {
        let changed = node.changed.notified();
        let now = clock::now();
        let is_update_due = now.since(updated_at) >= UPDATE_INTERVAL;
        if has_changed || is_update_due || node.state.borrow().quota.needs_update() {
            update(&node);
            updated_at = now;
        }
        if now.since(logged_at) >= USAGE_INTERVAL {
            log_usage(&node);
            logged_at = now;
        }
        advance(&node);
        let is_active = node.state.borrow().quota.is_active();
        let interval = if is_active {
            ACTIVE_INTERVAL
        } else {
            UPDATE_INTERVAL
        };
        has_changed = tokio::select! {
            () = changed => true,
            () = node.limiter.wake.notified() => false,
            () = sleep(interval) => false,
        };
    }
}

/// Hands this VM's buckets over and says goodbye, before it deregisters.
pub fn leave(node: &Node) {
    let hand_overs = with_quota(node, Quota::stop);
    send_hand_overs(node, hand_overs);
    peers::send_status(node);
}

/// Handles a message of another gateway.
pub fn handle(node: &Node, message: LimitMessage, from: SocketAddr) {
    match message {
        LimitMessage::Request { nonce, asks } => return grant(node, nonce, &asks, from),
        LimitMessage::Grant { nonce, answers } => {
            with_quota(node, |quota, now| quota.receive(nonce, &answers, now));
        }
        LimitMessage::HandOver(hand_over) => {
            with_quota(node, |quota, now| quota.receive_hand_over(hand_over, now));
        }
        LimitMessage::LoanRequest { nonce, asks } => return lend(node, nonce, &asks, from),
        LimitMessage::Loan { nonce, loans } => {
            with_quota(node, |quota, now| quota.receive_loans(nonce, &loans, now));
        }
        LimitMessage::LeaseQuery { lease } => return answer_query(node, lease, from),
        LimitMessage::LeaseEnded { vm, lease } => {
            with_quota(node, |quota, now| quota.record_ended(&vm, lease, now));
        }
    }
    node.limiter.wake.notify_one();
}

/// Tells the sender if this VM doesn't use the registration with this lease, and won't.
fn answer_query(node: &Node, lease: u64, from: SocketAddr) {
    let is_used = {
        let state = node.state.borrow();
        [state.lease, state.pending_lease].contains(&Some(lease))
    };
    if !is_used {
        let vm = node.settings.vm.clone();
        let ended = LimitMessage::LeaseEnded { vm, lease };
        node.outbox.send(from, Datagram::Limit(ended));
    }
}

/// Records the status of another gateway.
pub fn receive_status(node: &Node, vm: &VmName, status: LimitStatus) {
    let needs_update = with_quota(node, |quota, now| {
        quota.receive_status(vm, status, now);
        quota.needs_update()
    });
    if needs_update {
        node.limiter.wake.notify_one();
    }
}

/// Grants tokens that another gateway requested.
fn grant(node: &Node, nonce: u64, asks: &[TokenAsk], from: SocketAddr) {
    let granted = with_quota(node, |quota, now| quota.grant(from, nonce, asks, now));
    if let Some(answers) = granted {
        let grant = LimitMessage::Grant { nonce, answers };
        node.outbox.send(from, Datagram::Limit(grant));
    }
}

/// Lends tokens of this VM's fallback shares to another gateway.
fn lend(node: &Node, nonce: u64, asks: &[LoanAsk], from: SocketAddr) {
    let loans = with_state(node, |state, now| {
        let unknown = Workspaces::new();
        let catalog = state.catalog.as_ref();
        let workspaces = catalog.map_or(&unknown, |catalog| &catalog.workspaces);
        state.quota.lend(asks, workspaces, now)
    });
    let loan = LimitMessage::Loan { nonce, loans };
    node.outbox.send(from, Datagram::Limit(loan));
    node.limiter.wake.notify_one();
}

/// Takes over the configuration, the list of gateways and the validity of the registration.
fn update(node: &Node) {
    let (hand_overs, is_changed) = with_state(node, |state, now| {
        let unknown = Workspaces::new();
        let catalog = state.catalog.as_ref();
        let view = FleetView {
            workspaces: catalog.map_or(&unknown, |catalog| &catalog.workspaces),
            version: catalog.map_or(0, |catalog| catalog.version),
            gateways: &state.gateways,
            own_lease: state.lease.filter(|_| state.gateway),
        };
        let announced = state.quota.status();
        let hand_overs = state.quota.update(view, now);
        (hand_overs, state.quota.status() != announced)
    });
    send_hand_overs(node, hand_overs);
    if is_changed {
        // A gateway that has registered owns no limit before the others have announced that they
        // know of it.
        peers::send_status(node);
    }
    query_unconfirmed(node);
    report(node);
}

/// Asks the gateways that keep this VM from owning limits whether their registrations are still in
/// use. That of a process that was killed stays in the list until its lease ends.
fn query_unconfirmed(node: &Node) {
    let unconfirmed = with_quota(node, |quota, _| quota.unconfirmed());
    for (to, lease) in unconfirmed {
        let query = LimitMessage::LeaseQuery { lease };
        node.outbox.send(to, Datagram::Limit(query));
    }
}

fn send_hand_overs(node: &Node, hand_overs: Vec<(SocketAddr, HandOver)>) {
    for (to, hand_over) in hand_overs {
        let message = LimitMessage::HandOver(hand_over);
        node.outbox.send(to, Datagram::Limit(message));
    }
}

/// Requests tokens where they are needed, and decides on waiting requests.
fn advance(node: &Node) {
    let (outgoing, loans, settled) = with_quota(node, |quota, now| {
        let outgoing = quota.requests(now);
        let settled = quota.settle(now);
        (outgoing, quota.loan_requests(now), settled)
    });
    for request in loans {
        let (nonce, asks) = (request.nonce, request.asks);
        let message = LimitMessage::LoanRequest { nonce, asks };
        node.outbox.send(request.to, Datagram::Limit(message));
    }
    for request in outgoing {
        let (nonce, asks) = (request.nonce, request.asks);
        let message = LimitMessage::Request { nonce, asks };
        node.outbox.send(request.to, Datagram::Limit(message));
    }
    let mut waiting = node.limiter.waiting.borrow_mut();
    for (ticket, decision) in settled {
        if let Some(sender) = waiting.remove(ticket) {
            // The receiver is dropped together with the ticket, so that somebody receives it.
            let _ = sender.send(decision);
        }
    }
}

/// Logs and counts what has changed.
fn report(node: &Node) {
    let (counts, owned, waiting) = {
        let mut state = node.state.borrow_mut();
        let quota = &mut state.quota;
        (quota.take_counts(), quota.owned(), quota.waiting())
    };
    metrics().limits().record(&counts, owned, waiting);
    if counts.inherited + counts.started + counts.handed_over > 0 {
        log::info!(
            "event=limit_owners_changed owned={owned} inherited={} started={} handed_over={}",
            counts.inherited,
            counts.started,
            counts.handed_over
        );
    }
    if counts.fallbacks_started > 0 {
        log::warn!(
            "event=limit_fallback_started workspaces={}",
            counts.fallbacks_started
        );
    }
}

/// Logs how the limits were used of which requests were refused.
fn log_usage(node: &Node) {
    let usages = with_quota(node, |quota, _| quota.take_usage_of_refused());
    for (workspace, usage) in usages {
        log::info!(
            "event=limit_exhausted workspace={workspace} admitted={} admitted_by_fallback={} \
             borrowed={} refused={} expired={:.0}",
            usage.admitted,
            usage.admitted_by_fallback,
            usage.borrowed,
            usage.refused,
            usage.expired
        );
    }
}

fn with_quota<T>(node: &Node, operate: impl FnOnce(&mut Quota, Timestamp) -> T) -> T {
    with_state(node, |state, now| operate(&mut state.quota, now))
}

/// Runs an operation on limits, which depend on the validity lease of the registration.
fn with_state<T>(node: &Node, operate: impl FnOnce(&mut State, Timestamp) -> T) -> T {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let valid_until = state.validity_lease.valid_until();
    state.quota.set_valid_until(valid_until, now);
    operate(&mut state, now)
}
