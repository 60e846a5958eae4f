//! Token transfers between homes: requested in rounds, deducted before they are sent, and credited
//! once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::LimitMessage;
use crate::control::blackboard::{Blackboard, Incarnation};
use crate::control::bucket::TRANSFER_HOLD;
use crate::control::command::{Command, TrafficRequest};
use crate::name::{DatabaseName, VmName, WorkspaceName};
use crate::peer::PeerMessage;
use crate::time::Timestamp;

/// Time after which a home that has not responded counts as having no tokens to spare.
const ROUND_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for which a home that had no tokens to spare is asked only for [`PROBE_TOKENS`].
const DEPLETED_SPAN: Duration = Duration::from_millis(200);

/// Tokens requested from a home that recently had none to spare.
const PROBE_TOKENS: f64 = 1.0;

/// Requests of other homes that are remembered, so that a duplicate gets no second response.
const MAX_SEEN_REQUESTS: usize = 4_096;

/// Identity of a request from another home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Sender {
    pub(super) vm: VmName,
    pub(super) incarnation: Incarnation,
    pub(super) request: u64,
}

/// Identifies a bucket by the database of its home and the workspace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Account {
    database: DatabaseName,
    workspace: WorkspaceName,
}

/// Request to another home that is waiting for a response.
#[derive(Debug, Clone)]
struct PendingRequest {
    account: Account,
    donor: DatabaseName,
    at: Timestamp,
    is_overdue: bool,
}

/// Withdrawal that is waiting for the traffic threads to carry it out.
#[derive(Debug, Clone)]
enum Withdrawal {
    /// For a home on another VM.
    Remote(Sender),
    /// For another home on this VM, by the identifier of its request.
    Local(u64),
}

/// State of the transfers in progress.
#[derive(Debug, Default)]
pub(super) struct TransferState {
    last_id: u64,
    pending: BTreeMap<u64, PendingRequest>,
    /// Number of outstanding responses to each requesting home.
    open_requests: BTreeMap<Account, usize>,
    withdrawals: BTreeMap<u64, Withdrawal>,
    seen_requests: VecDeque<Sender>,
    depleted_at: BTreeMap<Account, Timestamp>,
}

impl TransferState {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Returns whether a request is received for the first time, and remembers it.
    fn is_new(&mut self, sender: &Sender) -> bool {
        if self.seen_requests.contains(sender) {
            return false;
        }
        self.seen_requests.push_back(sender.clone());
        if self.seen_requests.len() > MAX_SEEN_REQUESTS {
            self.seen_requests.pop_front();
        }
        true
    }

    /// Counts one request as ended, by a response or a timeout; returns whether it was the last.
    fn close(&mut self, account: &Account) -> bool {
        let Some(open) = self.open_requests.get_mut(account) else {
            return false;
        };
        *open -= 1;
        if *open > 0 {
            return false;
        }
        self.open_requests.remove(account);
        true
    }

    fn is_depleted(&self, account: &Account, now: Timestamp) -> bool {
        let depleted_at = self.depleted_at.get(account);
        depleted_at.is_some_and(|at| now.since(*at) < DEPLETED_SPAN)
    }
}

/// Requests tokens from the homes of the workspace's other databases.
pub(super) fn request_tokens(
    board: &mut Blackboard,
    database: &DatabaseName,
    workspace: &WorkspaceName,
    tokens: f64,
    now: Timestamp,
) -> Vec<Command> {
    let account = Account {
        database: database.clone(),
        workspace: workspace.clone(),
    };
    let donors = donors(board, &account);
    if donors.is_empty() {
        return vec![transfers_ended(account)];
    }
    let transfers = &mut board.limits.transfers;
    let donor_account = |donor: &DatabaseName| Account {
        database: donor.clone(),
        workspace: workspace.clone(),
    };
    let may_have_tokens =
        |donor: &&DatabaseName| !transfers.is_depleted(&donor_account(donor), now);
    let promising = donors.iter().filter(may_have_tokens).count();
    let amount_each = (tokens / promising.max(1) as f64).max(PROBE_TOKENS);
    *transfers.open_requests.entry(account.clone()).or_default() += donors.len();
    let mut commands = Vec::new();
    for donor in donors {
        let is_depleted = board
            .limits
            .transfers
            .is_depleted(&donor_account(&donor), now);
        let amount = if is_depleted {
            PROBE_TOKENS
        } else {
            amount_each
        };
        commands.push(send_request(board, &account, donor, amount, now));
    }
    commands
}

/// Returns the workspace's other databases that have a home.
fn donors(board: &Blackboard, account: &Account) -> Vec<DatabaseName> {
    let configuration = &board.configuration.current;
    let Some(workspace) = configuration.workspaces.get(&account.workspace) else {
        return Vec::new();
    };
    let others = workspace.databases.iter();
    others
        .filter(|name| **name != account.database && board.homes.homes.contains_key(*name))
        .cloned()
        .collect()
}

fn send_request(
    board: &mut Blackboard,
    account: &Account,
    donor: DatabaseName,
    tokens: f64,
    now: Timestamp,
) -> Command {
    let vm = board.homes.homes[&donor].vm.clone();
    let transfers = &mut board.limits.transfers;
    let request = transfers.next_id();
    let pending = PendingRequest {
        account: account.clone(),
        donor: donor.clone(),
        at: now,
        is_overdue: false,
    };
    transfers.pending.insert(request, pending);
    if vm == board.local.name {
        let withdrawal = Withdrawal::Local(request);
        return withdraw(board, withdrawal, &donor, &account.workspace, tokens);
    }
    let message = LimitMessage::TokenRequest {
        request,
        database: donor,
        workspace: account.workspace.clone(),
        tokens,
    };
    Command::Send {
        to: vm,
        message: PeerMessage::Limit(message),
    }
}

fn withdraw(
    board: &mut Blackboard,
    withdrawal: Withdrawal,
    database: &DatabaseName,
    workspace: &WorkspaceName,
    tokens: f64,
) -> Command {
    let transfers = &mut board.limits.transfers;
    let transfer = transfers.next_id();
    transfers.withdrawals.insert(transfer, withdrawal);
    Command::Traffic(TrafficRequest::Withdraw {
        transfer,
        database: database.clone(),
        workspace: workspace.clone(),
        tokens,
    })
}

/// Handles another home's request: a home with a valid lease deducts what it can spare.
pub(super) fn tokens_requested(
    board: &mut Blackboard,
    sender: Sender,
    database: &DatabaseName,
    workspace: &WorkspaceName,
    tokens: f64,
    now: Timestamp,
) -> Vec<Command> {
    if !board.limits.transfers.is_new(&sender) {
        return Vec::new();
    }
    let lease = board.homes.leases.get(database);
    if lease.is_none_or(|lease| lease.valid_until <= now) {
        return vec![grant(&sender, 0.0)];
    }
    let withdrawal = Withdrawal::Remote(sender);
    vec![withdraw(board, withdrawal, database, workspace, tokens)]
}

fn grant(to: &Sender, tokens: f64) -> Command {
    let message = LimitMessage::TokenGrant {
        request: to.request,
        tokens,
    };
    Command::Send {
        to: to.vm.clone(),
        message: PeerMessage::Limit(message),
    }
}

/// Sends tokens that the traffic threads have deducted.
pub(super) fn tokens_withdrawn(
    board: &mut Blackboard,
    transfer: u64,
    tokens: f64,
    now: Timestamp,
) -> Vec<Command> {
    match board.limits.transfers.withdrawals.remove(&transfer) {
        Some(Withdrawal::Remote(sender)) => vec![grant(&sender, tokens)],
        Some(Withdrawal::Local(request)) => tokens_granted(board, request, tokens, now),
        None => Vec::new(),
    }
}

/// Processes the response to a request. The request's identifier is removed, so that a duplicate
/// response adds no tokens.
pub(super) fn tokens_granted(
    board: &mut Blackboard,
    request: u64,
    tokens: f64,
    now: Timestamp,
) -> Vec<Command> {
    let transfers = &mut board.limits.transfers;
    let Some(pending) = transfers.pending.remove(&request) else {
        return Vec::new();
    };
    let donor = Account {
        database: pending.donor.clone(),
        workspace: pending.account.workspace.clone(),
    };
    if tokens > 0.0 {
        transfers.depleted_at.remove(&donor);
    } else {
        transfers.depleted_at.insert(donor, now);
    }
    let mut commands = Vec::new();
    if tokens > 0.0 {
        commands.push(Command::Traffic(TrafficRequest::Deposit {
            database: pending.account.database.clone(),
            workspace: pending.account.workspace.clone(),
            tokens,
            // Counted from the request, which was sent before the tokens were deducted.
            until: pending.at + TRANSFER_HOLD,
        }));
    }
    if !pending.is_overdue && board.limits.transfers.close(&pending.account) {
        commands.push(transfers_ended(pending.account));
    }
    commands
}

fn transfers_ended(account: Account) -> Command {
    Command::Traffic(TrafficRequest::TransfersEnded {
        database: account.database,
        workspace: account.workspace,
    })
}

/// Ends rounds whose responses are overdue, and removes requests whose response would come too late
/// to be used.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let transfers = &mut board.limits.transfers;
    let mut overdue = Vec::new();
    for pending in transfers.pending.values_mut() {
        if !pending.is_overdue && now.since(pending.at) >= ROUND_TIMEOUT {
            pending.is_overdue = true;
            overdue.push(pending.account.clone());
        }
    }
    transfers
        .pending
        .retain(|_, pending| now.since(pending.at) < TRANSFER_HOLD);
    transfers
        .depleted_at
        .retain(|_, at| now.since(*at) < DEPLETED_SPAN);
    overdue
        .into_iter()
        .filter_map(|account| transfers.close(&account).then(|| transfers_ended(account)))
        .collect()
}
