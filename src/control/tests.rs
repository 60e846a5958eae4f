//! Support for tests that run several controllers together.

pub(crate) mod cell;
