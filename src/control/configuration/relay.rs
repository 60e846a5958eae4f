//! Tree along which a change travels from a watcher to the other VMs of its cell.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::super::blackboard::Blackboard;
use super::super::command::Command;
use super::message::ConfigurationMessage;
use super::{Batch, send};
use crate::configuration::Revision;
use crate::name::VmName;

/// VMs that each VM of the tree forwards a change to.
const FANOUT: usize = 3;

/// Forwards a batch to this VM's children in the tree of `origin`.
///
/// The order of the VMs below the root changes with each revision, so that no VM always forwards.
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

/// Returns the VMs that `own` forwards to.
pub(super) fn children(
    members: impl IntoIterator<Item = VmName>,
    origin: &VmName,
    own: &VmName,
    revision: Revision,
) -> Vec<VmName> {
    let mut order: Vec<_> = members.into_iter().filter(|vm| vm != origin).collect();
    order.sort_by_cached_key(|vm| (xxh3_64_with_seed(vm.as_bytes(), revision.0), vm.clone()));
    let place = if own == origin {
        0
    } else {
        let Some(index) = order.iter().position(|vm| vm == own) else {
            return Vec::new();
        };
        index + 1
    };
    // The root is place 0; place p has the children p * FANOUT + 1 ..= p * FANOUT + FANOUT.
    order
        .into_iter()
        .skip(place * FANOUT)
        .take(FANOUT)
        .collect()
}
