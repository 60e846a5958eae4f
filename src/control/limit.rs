//! Limit controller: decides how much each home may admit, and transfers tokens between homes.
//!
//! A workspace's rate and burst are split into equal shares over the databases that it may use; the
//! home of a database admits requests within its share. A home that runs short requests tokens from
//! the homes of the workspace's other databases, which deduct them before they send them.
//! `docs/design/limits.md` explains why no sequence of failures adds a token.

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

/// State of the limit controller.
#[derive(Debug, Default)]
pub struct LimitState {
    shares: ShareState,
    transfers: TransferState,
}

impl LimitState {
    /// Returns the shares of the homes on this VM, in the form that the traffic threads use.
    pub fn views(&self) -> Arc<BTreeMap<DatabaseName, Arc<ShareTable>>> {
        self.shares.views()
    }

    /// Returns a digest of which databases share each workspace's limits, according to this VM's
    /// configuration.
    pub fn digest(&self) -> u64 {
        self.shares.digest()
    }

    /// Records that every home of the cell has the digest that this VM reported at `reported_at`.
    pub fn confirm_shares(&mut self, reported_at: Timestamp) {
        self.shares.confirm(reported_at);
    }
}

/// Messages about limits between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// A home requests tokens.
    TokenRequest {
        /// Identifier of the request, unique in the sender's process.
        request: u64,
        /// Database whose home the tokens are requested from.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Requested tokens.
        tokens: f64,
    },
    /// Response to `TokenRequest`; the tokens have already been deducted.
    TokenGrant {
        /// Identifier of the request.
        request: u64,
        /// Granted tokens; 0 if there were none to spare.
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
        Event::Traffic(TrafficEvent::TokensRequested {
            database,
            workspace,
            tokens,
        }) => transfer::request_tokens(board, database, workspace, *tokens, now),
        Event::Traffic(TrafficEvent::TokensWithdrawn {
            transfer, tokens, ..
        }) => transfer::tokens_withdrawn(board, *transfer, *tokens, now),
        Event::Peer {
            from,
            incarnation,
            message: PeerMessage::Limit(message),
        } => match message {
            LimitMessage::TokenRequest {
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
                transfer::tokens_requested(board, sender, database, workspace, *tokens, now)
            }
            LimitMessage::TokenGrant { request, tokens } => {
                transfer::tokens_granted(board, *request, *tokens, now)
            }
        },
        _ => Vec::new(),
    }
}

#[cfg(test)]
mod tests;
