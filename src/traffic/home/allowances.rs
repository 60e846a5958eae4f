//! Rate-limit allowances of the workspaces at one home.

use std::collections::HashMap;
use std::sync::Arc;

use crate::control::allowance::Allowance;
use crate::control::bucket::TRANSFER_HOLD;
use crate::control::snapshot::ShareTable;
use crate::name::WorkspaceName;
use crate::time::Timestamp;

/// Allowances by workspace, one for each entry of the share table.
#[derive(Debug, Default)]
pub(super) struct Allowances {
    started_at: Timestamp,
    table: Arc<ShareTable>,
    by_workspace: HashMap<WorkspaceName, Allowance>,
}

impl Allowances {
    /// Creates an empty set for a home that started at `started_at`; no workspace has a share yet.
    pub(super) fn new(started_at: Timestamp) -> Self {
        Self {
            started_at,
            ..Self::default()
        }
    }

    /// Applies a new share table. A bucket refills at its share's rate from the time the share is
    /// applied, not from its first use, because other homes may have used the tokens until then.
    pub(super) fn follow(&mut self, table: &Arc<ShareTable>, now: Timestamp) {
        if Arc::ptr_eq(&self.table, table) {
            return;
        }
        self.table = Arc::clone(table);
        // The previous home may have transferred tokens to others shortly before it ended.
        let refills_from = now.max(self.started_at + TRANSFER_HOLD);
        self.by_workspace
            .retain(|workspace, _| table.contains_key(workspace));
        for (workspace, share) in table.iter() {
            let new = || Allowance::new(*share, refills_from);
            let allowance = self
                .by_workspace
                .entry(workspace.clone())
                .or_insert_with(new);
            allowance.set_share(*share, now);
        }
    }

    /// Returns the allowance of a workspace, or `None` when it has no share at this home.
    pub(super) fn get(&mut self, workspace: &WorkspaceName) -> Option<&mut Allowance> {
        self.by_workspace.get_mut(workspace)
    }
}
