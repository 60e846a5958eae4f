//! Transfers of tokens between homes: asked for in rounds, deducted first, received once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::LimitMessage;
use crate::control::blackboard::{Blackboard, Incarnation};
use crate::control::bucket::TRANSFER_HOLD;
use crate::control::command::{Command, TrafficRequest};
use crate::name::{DatabaseName, VmName, WorkspaceName};
use crate::peer::PeerMessage;
use crate::time::Timestamp;

/// Time after which a home that has not answered counts as having nothing to give.
const ROUND_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for which a home that had nothing to give is asked for the smallest amount.
const POOR_SPAN: Duration = Duration::from_millis(200);

/// Tokens that a home is asked for that lately had none.
const PROBE_TOKENS: f64 = 1.0;

/// Requests of other homes that are remembered, so that a doubled one is answered once.
const MAX_REMEMBERED: usize = 4_096;

/// Request of another home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Sender {
    pub(super) vm: VmName,
    pub(super) incarnation: Incarnation,
    pub(super) request: u64,
}

/// Home and workspace that tokens are for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Account {
    database: DatabaseName,
    workspace: WorkspaceName,
}

/// Request to one home that has not been answered.
#[derive(Debug, Clone)]
struct Asked {
    account: Account,
    giver: DatabaseName,
    at: Timestamp,
    is_overdue: bool,
}

/// Withdrawal that the traffic threads have not carried out yet.
#[derive(Debug, Clone)]
enum Withdrawal {
    /// For a home on another VM.
    Remote(Sender),
    /// For another home on this VM.
    Local(u64),
}

/// What is known of transfers under way.
#[derive(Debug, Default)]
pub(super) struct TransferState {
    last_id: u64,
    asked: BTreeMap<u64, Asked>,
    open: BTreeMap<Account, usize>,
    withdrawals: BTreeMap<u64, Withdrawal>,
    seen: VecDeque<Sender>,
    poor_at: BTreeMap<Account, Timestamp>,
}

impl TransferState {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Returns whether a request comes for the first time.
    fn is_new(&mut self, sender: &Sender) -> bool {
        if self.seen.contains(sender) {
            return false;
        }
        self.seen.push_back(sender.clone());
        if self.seen.len() > MAX_REMEMBERED {
            self.seen.pop_front();
        }
        true
    }

    /// Counts one answer; returns whether it was the last that is waited for.
    fn close(&mut self, account: &Account) -> bool {
        let Some(open) = self.open.get_mut(account) else {
            return false;
        };
        *open -= 1;
        if *open > 0 {
            return false;
        }
        self.open.remove(account);
        true
    }

    fn is_poor(&self, account: &Account, now: Timestamp) -> bool {
        let poor_at = self.poor_at.get(account);
        poor_at.is_some_and(|at| now.since(*at) < POOR_SPAN)
    }
}

/// Asks the homes of the workspace's other databases for tokens.
pub(super) fn wanted(
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
    let givers = givers(board, &account);
    if givers.is_empty() {
        return vec![round_ended(account)];
    }
    let transfers = &mut board.limits.transfers;
    let giver_account = |giver: &DatabaseName| Account {
        database: giver.clone(),
        workspace: workspace.clone(),
    };
    let is_rich = |giver: &&DatabaseName| !transfers.is_poor(&giver_account(giver), now);
    let rich = givers.iter().filter(is_rich).count();
    let part = (tokens / rich.max(1) as f64).max(PROBE_TOKENS);
    *transfers.open.entry(account.clone()).or_default() += givers.len();
    let mut commands = Vec::new();
    for giver in givers {
        let is_poor = board.limits.transfers.is_poor(&giver_account(&giver), now);
        let amount = if is_poor { PROBE_TOKENS } else { part };
        commands.push(ask(board, &account, giver, amount, now));
    }
    commands
}

/// Returns the other databases of the workspace that have a home.
fn givers(board: &Blackboard, account: &Account) -> Vec<DatabaseName> {
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

fn ask(
    board: &mut Blackboard,
    account: &Account,
    giver: DatabaseName,
    tokens: f64,
    now: Timestamp,
) -> Command {
    let vm = board.homes.homes[&giver].vm.clone();
    let transfers = &mut board.limits.transfers;
    let request = transfers.next_id();
    let asked = Asked {
        account: account.clone(),
        giver: giver.clone(),
        at: now,
        is_overdue: false,
    };
    transfers.asked.insert(request, asked);
    if vm == board.local.name {
        let withdrawal = Withdrawal::Local(request);
        return withdraw(board, withdrawal, &giver, &account.workspace, tokens);
    }
    let message = LimitMessage::Wanted {
        request,
        database: giver,
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

/// Handles another home's request: a home whose lease is certain deducts what it can spare.
pub(super) fn asked(
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
        return vec![give(&sender, 0.0)];
    }
    let withdrawal = Withdrawal::Remote(sender);
    vec![withdraw(board, withdrawal, database, workspace, tokens)]
}

fn give(to: &Sender, tokens: f64) -> Command {
    let message = LimitMessage::Given {
        request: to.request,
        tokens,
    };
    Command::Send {
        to: to.vm.clone(),
        message: PeerMessage::Limit(message),
    }
}

/// Sends tokens that the traffic threads have deducted.
pub(super) fn withdrawn(
    board: &mut Blackboard,
    transfer: u64,
    tokens: f64,
    now: Timestamp,
) -> Vec<Command> {
    match board.limits.transfers.withdrawals.remove(&transfer) {
        Some(Withdrawal::Remote(sender)) => vec![give(&sender, tokens)],
        Some(Withdrawal::Local(request)) => given(board, request, tokens, now),
        None => Vec::new(),
    }
}

/// Receives tokens; the request's identifier is taken once, so that a doubled answer adds nothing.
pub(super) fn given(
    board: &mut Blackboard,
    request: u64,
    tokens: f64,
    now: Timestamp,
) -> Vec<Command> {
    let transfers = &mut board.limits.transfers;
    let Some(asked) = transfers.asked.remove(&request) else {
        return Vec::new();
    };
    let giver = Account {
        database: asked.giver.clone(),
        workspace: asked.account.workspace.clone(),
    };
    if tokens > 0.0 {
        transfers.poor_at.remove(&giver);
    } else {
        transfers.poor_at.insert(giver, now);
    }
    let mut commands = Vec::new();
    if tokens > 0.0 {
        commands.push(Command::Traffic(TrafficRequest::Deposit {
            database: asked.account.database.clone(),
            workspace: asked.account.workspace.clone(),
            tokens,
            // Counted from when the tokens were asked for, which was before they were deducted.
            until: asked.at + TRANSFER_HOLD,
        }));
    }
    if !asked.is_overdue && board.limits.transfers.close(&asked.account) {
        commands.push(round_ended(asked.account));
    }
    commands
}

fn round_ended(account: Account) -> Command {
    Command::Traffic(TrafficRequest::TransfersEnded {
        database: account.database,
        workspace: account.workspace,
    })
}

/// Ends rounds whose answers are overdue, and forgets requests that can't be answered any more.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let transfers = &mut board.limits.transfers;
    let mut overdue = Vec::new();
    for asked in transfers.asked.values_mut() {
        if !asked.is_overdue && now.since(asked.at) >= ROUND_TIMEOUT {
            asked.is_overdue = true;
            overdue.push(asked.account.clone());
        }
    }
    transfers
        .asked
        .retain(|_, asked| now.since(asked.at) < TRANSFER_HOLD);
    transfers.poor_at.retain(|_, at| now.since(*at) < POOR_SPAN);
    overdue
        .into_iter()
        .filter_map(|account| transfers.close(&account).then(|| round_ended(account)))
        .collect()
}
