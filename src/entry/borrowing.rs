//! Borrows tokens from other VMs when this VM's share of a limit is used up.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use super::clock;
use super::datagram::Datagram;
use super::gateways;
use super::node::Node;
use crate::name::WorkspaceName;
use crate::time::Timestamp;

/// Maximum number of VMs from which tokens are requested at once.
const MAX_LENDERS: usize = 3;

/// Time limit for the responses: a round trip between availability zones plus processing time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(8);

/// Delay before tokens of a workspace are requested again after no VM had one to spare.
const EMPTY_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Outstanding request for tokens.
#[derive(Debug)]
struct OutstandingRequest {
    workspace: WorkspaceName,
    requested_at: Timestamp,
    pending: usize,
    granted: f64,
}

/// Outstanding requests for tokens, by nonce.
#[derive(Debug, Default)]
pub struct Borrowing {
    nonce: Cell<u64>,
    requests: RefCell<HashMap<u64, OutstandingRequest>>,
    retry_at: RefCell<HashMap<WorkspaceName, Timestamp>>,
    responded: Notify,
}

/// Requests tokens of a workspace from other VMs. Returns whether any were received in time.
pub async fn borrow_tokens(node: &Rc<Node>, workspace: &WorkspaceName) -> bool {
    let now = clock::now();
    let borrowing = &node.borrowing;
    let retry_after = borrowing.retry_at.borrow().get(workspace).copied();
    let others = gateway_addresses(node);
    if others.is_empty() || retry_after.is_some_and(|until| now < until) {
        return false;
    }
    let nonce = borrowing.register(workspace, others.len().min(MAX_LENDERS), now);
    let first = usize::try_from(nonce).unwrap_or_default();
    for offset in 0..others.len().min(MAX_LENDERS) {
        let datagram = Datagram::TokenRequest {
            workspace: workspace.clone(),
            nonce,
        };
        node.outbox
            .send(others[(first + offset) % others.len()], datagram);
    }
    let completed = async {
        while !borrowing.is_complete(nonce) {
            borrowing.responded.notified().await;
        }
    };
    let in_time = timeout(RESPONSE_TIMEOUT, completed).await.is_ok();
    let request = borrowing.requests.borrow_mut().remove(&nonce);
    let granted = request.is_some_and(|request| request.granted > 0.0);
    if !granted {
        log::debug!("event=tokens_not_borrowed workspace={workspace} in_time={in_time}");
        let mut retry_at = borrowing.retry_at.borrow_mut();
        retry_at.insert(workspace.clone(), clock::now() + EMPTY_RETRY_DELAY);
    }
    granted
}

/// Receives tokens that another VM lent. The time for which they may exceed this VM's burst starts
/// at the request, which precedes the lender's deduction, so that no token counts at two VMs at
/// once.
pub fn receive_tokens(node: &Rc<Node>, nonce: u64, tokens: f64) {
    let mut requests = node.borrowing.requests.borrow_mut();
    // Tokens that arrive after the request timed out are dropped.
    let Some(request) = requests.get_mut(&nonce) else {
        return;
    };
    request.pending = request.pending.saturating_sub(1);
    if tokens > 0.0 {
        request.granted += tokens;
        let mut state = node.state.borrow_mut();
        let (workspace, requested_at) = (&request.workspace, request.requested_at);
        state
            .quota
            .deposit(workspace, tokens, requested_at, clock::now());
    }
    node.borrowing.responded.notify_waiters();
}

impl Borrowing {
    fn register(&self, workspace: &WorkspaceName, lenders: usize, now: Timestamp) -> u64 {
        let nonce = self.nonce.get() + 1;
        self.nonce.set(nonce);
        let request = OutstandingRequest {
            workspace: workspace.clone(),
            requested_at: now,
            pending: lenders,
            granted: 0.0,
        };
        self.requests.borrow_mut().insert(nonce, request);
        nonce
    }

    fn is_complete(&self, nonce: u64) -> bool {
        let requests = self.requests.borrow();
        let request = requests.get(&nonce);
        request.is_none_or(|request| request.granted > 0.0 || request.pending == 0)
    }
}

fn gateway_addresses(node: &Node) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let others = gateways::other_gateways(&state, &node.settings.vm);
    others.map(|(_, record)| record.peer_address).collect()
}
