//! Controller of limits: how tokens of a workspace move between the homes that admit its requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::blackboard::Blackboard;
use super::bucket::Share;
use super::command::Command;
use super::event::Event;
use super::snapshot::ShareTable;
use crate::configuration::Configuration;
use crate::name::{DatabaseName, WorkspaceName};
use crate::time::Timestamp;

/// What the limit controller knows.
#[derive(Debug, Default)]
pub struct LimitState {
    shares: Arc<BTreeMap<DatabaseName, Arc<ShareTable>>>,
}

impl LimitState {
    /// Returns the shares of the homes of this VM, as the traffic threads need them.
    pub fn views(&self) -> Arc<BTreeMap<DatabaseName, Arc<ShareTable>>> {
        Arc::clone(&self.shares)
    }
}

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
pub fn handle(board: &mut Blackboard, event: &Event, _now: Timestamp) -> Vec<Command> {
    if !matches!(event, Event::Tick) {
        return Vec::new();
    }
    let configuration = Arc::clone(&board.configuration.current);
    let shares: BTreeMap<_, _> = board
        .homes
        .leases
        .keys()
        .map(|database| (database.clone(), shares_of(&configuration, database)))
        .collect();
    if *board.limits.shares == shares {
        return Vec::new();
    }
    board.limits.shares = Arc::new(shares);
    vec![Command::Publish]
}

/// Returns the equal parts that the workspaces have at one database.
fn shares_of(configuration: &Configuration, database: &DatabaseName) -> Arc<ShareTable> {
    let users = configuration
        .workspaces
        .values()
        .filter(|workspace| workspace.databases.contains(database));
    let shares = users.filter_map(|workspace| {
        let limits = configuration.limits(&workspace.name)?;
        let part = 1.0 / workspace.databases.len() as f64;
        let share = Share {
            rate_per_s: limits.rate_per_s * part,
            burst: limits.burst * part,
            weight: limits.weight,
        };
        Some((workspace.name.clone(), share))
    });
    Arc::new(shares.collect())
}
