//! A database proxy with session consistency.
//!
//! Callers connect to any VM; the statement runs on the instance that holds what its session has
//! seen, through the VM that is the home of the database. Decisions are made by [`control`], which
//! does no I/O; [`traffic`], [`peer`], [`store`] and [`admin`] connect it to the outside.

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
