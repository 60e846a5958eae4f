//! Callers: their connections, what they send and what they get.

mod classify;
mod functions;
mod session_statement;
mod setting;
mod tag;
