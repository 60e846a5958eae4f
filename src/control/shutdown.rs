//! Shutdown controller: stops accepting work, lets running work end, then exits.

use super::blackboard::Blackboard;
use super::command::{Command, LogEvent, TrafficRequest};
use super::event::{Event, TrafficEvent};
use super::snapshot::Standing;

/// Handles one event.
pub fn handle(board: &mut Blackboard, event: &Event) -> Vec<Command> {
    match event {
        Event::Shutdown if board.standing != Standing::Draining => {
            board.standing = Standing::Draining;
            vec![
                Command::Log(LogEvent::info("shutdown_started")),
                Command::Publish,
                Command::Traffic(TrafficRequest::Drain),
            ]
        }
        Event::Traffic(TrafficEvent::Drained) if board.standing == Standing::Draining => {
            vec![
                Command::Log(LogEvent::info("shutdown_drained")),
                Command::Exit,
            ]
        }
        _ => Vec::new(),
    }
}
