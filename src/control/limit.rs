//! Controller of limits: how tokens of a workspace move between the homes that admit its requests.

use serde::{Deserialize, Serialize};

use super::blackboard::Blackboard;
use super::command::Command;
use super::event::Event;
use crate::name::{DatabaseName, WorkspaceName};
use crate::time::Timestamp;

/// What the limit controller knows.
#[derive(Debug, Default)]
pub struct LimitState;

/// Messages about limits between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// A home wants tokens.
    Wanted {
        /// Database of the asking home.
        database: DatabaseName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Tokens wanted.
        tokens: f64,
    },
}

/// Handles one event.
pub fn handle(_board: &mut Blackboard, _event: &Event, _now: Timestamp) -> Vec<Command> {
    Vec::new()
}
