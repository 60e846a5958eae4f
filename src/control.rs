//! Control code: decisions as pure functions of the blackboard, an event and the time.
//!
//! Controllers do no I/O, read no clock and draw no random numbers, so that decisions can be
//! replayed, model-checked and benchmarked without a socket.

pub mod allowance;
pub mod blackboard;
pub mod bucket;
pub mod command;
pub mod concurrency;
pub mod configuration;
pub mod event;
pub mod fairness;
pub mod gate;
pub mod home;
pub mod limit;
pub mod membership;
pub mod quorum;
pub mod retry;
pub mod routing;
pub mod session;
pub mod shutdown;
pub mod snapshot;
pub mod term;

pub use blackboard::{Blackboard, LocalVm};
pub use command::Command;
pub use event::Event;
pub use snapshot::Snapshot;

use crate::time::Timestamp;

/// Passes one event to every controller, in an order in which each controller sees what the ones
/// before it wrote to the blackboard.
pub fn handle(board: &mut Blackboard, event: &Event, now: Timestamp) -> Vec<Command> {
    let mut commands = Vec::new();
    commands.extend(configuration::handle(board, event, now));
    commands.extend(membership::handle(board, event, now));
    commands.extend(home::handle(board, event, now));
    commands.extend(term::handle(board, event, now));
    commands.extend(limit::handle(board, event, now));
    commands.extend(shutdown::handle(board, event));
    commands
}

#[cfg(test)]
mod tests;
