//! Tree along which a change is forwarded from a watcher to the other VMs of its cell.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::super::blackboard::Blackboard;
use super::super::command::Command;
use super::message::ConfigurationMessage;
use super::{Batch, send};
use crate::configuration::Revision;
use crate::name::VmName;

/// Number of VMs to which each VM of the tree forwards a change.
const FANOUT: usize = 3;

/// Forwards a batch to this VM's children in the tree of `origin`.
///
/// The order of the VMs below the root changes with each revision, so that the load of forwarding
/// is not always on the same VMs.
pub(super) fn forward(board: &Blackboard, origin: &VmName, batch: &Batch) -> Vec<Command> {
    let members = board.membership.names_in(&board.local.cell);
    let children = children(members, origin, &board.local.name, batch.upto);
    let message = |to: &VmName| {
        let changes = ConfigurationMessage::Changes {
            origin: Some(origin.clone()),
            after: batch.after,
            upto: batch.upto,
            changes: batch.changes.clone(),
        };
        send(to, changes)
    };
    children.iter().map(message).collect()
}

/// Returns the VMs that `own` forwards to in the tree of `origin`.
pub(super) fn children(
    members: impl IntoIterator<Item = VmName>,
    origin: &VmName,
    own: &VmName,
    revision: Revision,
) -> Vec<VmName> {
    let mut order: Vec<_> = members.into_iter().filter(|vm| vm != origin).collect();
    order.sort_by_cached_key(|vm| (xxh3_64_with_seed(vm.as_bytes(), revision.0), vm.clone()));
    let index = if own == origin {
        0
    } else {
        let Some(index) = order.iter().position(|vm| vm == own) else {
            return Vec::new();
        };
        index + 1
    };
    // The root is at index 0; index i has the children i * FANOUT + 1 ..= i * FANOUT + FANOUT.
    order
        .into_iter()
        .skip(index * FANOUT)
        .take(FANOUT)
        .collect()
}
