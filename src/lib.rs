//! A database proxy with session consistency.
//!
//! Callers may connect to any VM. The VM that is the home of the database runs each statement on an
//! instance that has applied everything the session has seen. Decisions are made by [`control`],
//! which does no I/O; [`traffic`], [`peer`], [`store`] and [`admin`] perform the I/O for it.

pub mod admin;
pub mod configuration;
pub mod control;
pub mod controller;
pub mod daemon;
pub mod entry;
pub mod error;
pub mod name;
pub mod peer;
pub mod position;
pub mod settings;
pub mod store;
pub mod telemetry;
pub mod time;
pub mod traffic;
