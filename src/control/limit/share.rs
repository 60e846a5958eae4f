//! Shares: the fraction of each workspace's limits that the homes of this VM may use.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use xxhash_rust::xxh3::Xxh3;

use crate::configuration::{Configuration, Workspace};
use crate::control::blackboard::Blackboard;
use crate::control::bucket::Share;
use crate::control::command::Command;
use crate::control::snapshot::ShareTable;
use crate::name::{DatabaseName, WorkspaceName};
use crate::time::Timestamp;

type Workspaces = BTreeMap<WorkspaceName, Arc<Workspace>>;

/// Division of the workspaces' limits over databases, according to one configuration.
#[derive(Debug, Clone)]
struct Division {
    workspaces: Workspaces,
    digest: u64,
    since: Timestamp,
}

impl Division {
    /// Returns the fraction of a workspace's limits that the home of a database has.
    fn fraction(&self, workspace: &WorkspaceName, database: &DatabaseName) -> f64 {
        let record = self.workspaces.get(workspace);
        record
            .filter(|record| record.databases.contains(database))
            .map_or(0.0, |record| 1.0 / record.databases.len() as f64)
    }
}

/// Divisions that some home may still use, the newest last.
///
/// A home uses the smallest fraction that any of them gives it. The fractions of all homes
/// therefore add up to at most one, whichever of the divisions each home has.
#[derive(Debug, Default)]
pub(super) struct ShareState {
    divisions: Vec<Division>,
    /// Whether all homes are known to have the oldest division; a restarted VM doesn't know this
    /// until its digest is confirmed.
    oldest_is_confirmed: bool,
    configuration: Option<Arc<Configuration>>,
    databases: BTreeSet<DatabaseName>,
    is_stale: bool,
    shares: Arc<BTreeMap<DatabaseName, Arc<ShareTable>>>,
}

impl ShareState {
    pub(super) fn views(&self) -> Arc<BTreeMap<DatabaseName, Arc<ShareTable>>> {
        Arc::clone(&self.shares)
    }

    pub(super) fn digest(&self) -> u64 {
        self.divisions.last().map_or(0, |division| division.digest)
    }

    pub(super) fn confirm(&mut self, reported_at: Timestamp) {
        let Some(newest) = self.divisions.last() else {
            return;
        };
        let newest_is_confirmed = self.oldest_is_confirmed && self.divisions.len() == 1;
        if newest_is_confirmed || reported_at < newest.since {
            return;
        }
        let newest = newest.clone();
        self.divisions = vec![newest];
        self.oldest_is_confirmed = true;
        self.is_stale = true;
    }

    fn adopt(&mut self, configuration: &Arc<Configuration>, now: Timestamp) {
        let known = self.configuration.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, configuration)) {
            return;
        }
        self.configuration = Some(Arc::clone(configuration));
        self.is_stale = true;
        let digest = digest_of(&configuration.workspaces);
        if self.divisions.last().map(|division| division.digest) == Some(digest) {
            return;
        }
        self.divisions.push(Division {
            workspaces: configuration.workspaces.clone(),
            digest,
            since: now,
        });
    }

    fn fraction(&self, workspace: &WorkspaceName, database: &DatabaseName) -> f64 {
        if !self.oldest_is_confirmed {
            return 0.0;
        }
        let fractions = self
            .divisions
            .iter()
            .map(|d| d.fraction(workspace, database));
        fractions.fold(f64::INFINITY, f64::min).min(1.0)
    }

    fn table(&self, configuration: &Configuration, database: &DatabaseName) -> Arc<ShareTable> {
        let workspaces = configuration.workspaces.values();
        let users = workspaces.filter(|workspace| workspace.databases.contains(database));
        let shares = users.filter_map(|workspace| {
            let limits = configuration.limits(&workspace.name)?;
            let fraction = self.fraction(&workspace.name, database);
            let share = Share {
                rate_per_s: limits.rate_per_s * fraction,
                burst: limits.burst * fraction,
                weight: limits.weight,
            };
            Some((workspace.name.clone(), share))
        });
        Arc::new(shares.collect())
    }
}

/// Returns a digest of the databases of all workspaces.
fn digest_of(workspaces: &Workspaces) -> u64 {
    let mut hasher = Xxh3::new();
    for workspace in workspaces.values() {
        hasher.update(workspace.name.as_bytes());
        hasher.update(&[0]);
        for database in &workspace.databases {
            hasher.update(database.as_bytes());
            hasher.update(&[1]);
        }
    }
    hasher.digest()
}

/// Recomputes the shares if the configuration, the homes or the divisions have changed.
pub(super) fn tick(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let configuration = Arc::clone(&board.configuration.current);
    let state = &mut board.limits.shares;
    state.adopt(&configuration, now);
    let leases = &board.homes.leases;
    if !state.is_stale && state.databases.iter().eq(leases.keys()) {
        return Vec::new();
    }
    state.is_stale = false;
    state.databases = leases.keys().cloned().collect();
    let table = |database: &DatabaseName| (database.clone(), state.table(&configuration, database));
    let shares: BTreeMap<_, _> = state.databases.iter().map(table).collect();
    if *state.shares == shares {
        return Vec::new();
    }
    state.shares = Arc::new(shares);
    vec![Command::Publish]
}
