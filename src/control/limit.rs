//! Controller of limits: what each home may admit, and how tokens move between homes.
//!
//! A workspace's rate and burst are split into equal shares over the databases that it may use;
//! the home of a database admits by its share. A home that runs short asks the homes of the
//! workspace's other databases, which deduct before they send. `docs/design/limits.md` says why no
//! sequence of failures adds a token.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::blackboard::Blackboard;
use super::command::Command;
use super::event::{Event, TrafficEvent};
use super::snapshot::ShareTable;
use crate::name::{DatabaseName, WorkspaceName};
use crate::peer::PeerMessage;
use crate::time::Timestamp;

mod share;
mod transfer;

use share::ShareState;
use transfer::TransferState;

/// What the limit controller knows.
#[derive(Debug, Default)]
pub struct LimitState {
    shares: ShareState,
    transfers: TransferState,
}

impl LimitState {
    /// Returns the shares of the homes of this VM, as the traffic threads need them.
    pub fn views(&self) -> Arc<BTreeMap<DatabaseName, Arc<ShareTable>>> {
        self.shares.views()
    }

    /// Returns a digest of who shares each workspace's limits, as this VM's configuration has it.
    pub fn digest(&self) -> u64 {
        self.shares.digest()
    }

    /// Takes note that every home of the cell has the digest that this VM reported at a time.
    pub fn agree(&mut self, reported_at: Timestamp) {
        self.shares.agree(reported_at);
    }
}

/// Messages about limits between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// A home wants tokens.
    Wanted {
        /// Identifier of the request, unique in the sender's process.
        request: u64,
        /// Database whose home is asked.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Tokens wanted.
        tokens: f64,
    },
    /// Answers `Wanted`; the tokens have been deducted.
    Given {
        /// The request.
        request: u64,
        /// Tokens given; 0 when there were none to spare.
        tokens: f64,
    },
}

/// Handles one event.
pub fn handle(board: &mut Blackboard, event: &Event, now: Timestamp) -> Vec<Command> {
    match event {
        Event::Tick => {
            let mut commands = share::tick(board, now);
            commands.extend(transfer::tick(board, now));
            commands
        }
        Event::Traffic(TrafficEvent::TokensWanted {
            database,
            workspace,
            tokens,
        }) => transfer::wanted(board, database, workspace, *tokens, now),
        Event::Traffic(TrafficEvent::TokensWithdrawn {
            transfer, tokens, ..
        }) => transfer::withdrawn(board, *transfer, *tokens, now),
        Event::Peer {
            from,
            incarnation,
            message: PeerMessage::Limit(message),
        } => match message {
            LimitMessage::Wanted {
                request,
                database,
                workspace,
                tokens,
            } => {
                let sender = transfer::Sender {
                    vm: from.clone(),
                    incarnation: *incarnation,
                    request: *request,
                };
                transfer::asked(board, sender, database, workspace, *tokens, now)
            }
            LimitMessage::Given { request, tokens } => {
                transfer::given(board, *request, *tokens, now)
            }
        },
        _ => Vec::new(),
    }
}

#[cfg(test)]
mod tests;
