//! Tests of several controllers together.

pub(crate) mod cell;
