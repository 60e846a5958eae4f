//! Asks other VMs for tokens when this VM's part of a limit is used up.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use super::clock;
use super::gateways;
use super::gossip::Datagram;
use super::node::Node;
use crate::name::WorkspaceName;
use crate::time::Timestamp;

/// VMs that are asked at once.
const ASKED: usize = 3;

/// Longest wait for an answer: two ways between availability zones and the time to handle them.
const ANSWER_WITHIN: Duration = Duration::from_millis(8);

/// Time for which nobody is asked again after nobody had a token to spare.
const DRY_PAUSE: Duration = Duration::from_millis(150);

/// Question for tokens that is under way.
#[derive(Debug)]
struct Question {
    workspace: WorkspaceName,
    asked_at: Timestamp,
    unanswered: usize,
    given: f64,
}

/// Questions for tokens.
#[derive(Debug, Default)]
pub struct Borrowing {
    nonce: Cell<u64>,
    questions: RefCell<HashMap<u64, Question>>,
    dry_until: RefCell<HashMap<WorkspaceName, Timestamp>>,
    answered: Notify,
}

/// Asks other VMs for tokens of a workspace; returns whether any came.
pub async fn borrow(node: &Rc<Node>, workspace: &WorkspaceName) -> bool {
    let now = clock::now();
    let borrowing = &node.borrowing;
    let dry = borrowing.dry_until.borrow().get(workspace).copied();
    let others = others(node);
    if others.is_empty() || dry.is_some_and(|until| now < until) {
        return false;
    }
    let nonce = borrowing.ask(workspace, others.len().min(ASKED), now);
    let first = usize::try_from(nonce).unwrap_or_default();
    for offset in 0..others.len().min(ASKED) {
        let wanted = Datagram::TokensWanted {
            workspace: workspace.clone(),
            nonce,
        };
        node.outbox
            .send(others[(first + offset) % others.len()], wanted);
    }
    let settled = async {
        while !borrowing.is_settled(nonce) {
            borrowing.answered.notified().await;
        }
    };
    let in_time = timeout(ANSWER_WITHIN, settled).await.is_ok();
    let question = borrowing.questions.borrow_mut().remove(&nonce);
    let given = question.is_some_and(|question| question.given > 0.0);
    if !given {
        log::debug!("event=tokens_not_borrowed workspace={workspace} in_time={in_time}");
        let mut dry_until = borrowing.dry_until.borrow_mut();
        dry_until.insert(workspace.clone(), clock::now() + DRY_PAUSE);
    }
    given
}

/// Takes tokens that another VM gave. They count from when they were asked for, which was before
/// their giver gave them up.
pub fn take(node: &Rc<Node>, nonce: u64, tokens: f64) {
    let mut questions = node.borrowing.questions.borrow_mut();
    // Tokens that come after the question was given up are dropped.
    let Some(question) = questions.get_mut(&nonce) else {
        return;
    };
    question.unanswered = question.unanswered.saturating_sub(1);
    if tokens > 0.0 {
        question.given += tokens;
        let mut state = node.state.borrow_mut();
        let (workspace, asked_at) = (&question.workspace, question.asked_at);
        state
            .quota
            .deposit(workspace, tokens, asked_at, clock::now());
    }
    node.borrowing.answered.notify_waiters();
}

impl Borrowing {
    fn ask(&self, workspace: &WorkspaceName, asked: usize, now: Timestamp) -> u64 {
        let nonce = self.nonce.get() + 1;
        self.nonce.set(nonce);
        let question = Question {
            workspace: workspace.clone(),
            asked_at: now,
            unanswered: asked,
            given: 0.0,
        };
        self.questions.borrow_mut().insert(nonce, question);
        nonce
    }

    fn is_settled(&self, nonce: u64) -> bool {
        let questions = self.questions.borrow();
        let question = questions.get(&nonce);
        question.is_none_or(|question| question.given > 0.0 || question.unanswered == 0)
    }
}

fn others(node: &Node) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let others = gateways::others(&state, &node.settings.vm);
    others.map(|(_, record)| record.peer_address).collect()
}
