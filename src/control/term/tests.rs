//! Runs the controller against a group of fake instances that respond at once, late or not at all.

use std::collections::BTreeSet;

use crate::configuration::{Configuration, InstanceState, Revision};
use crate::control::snapshot::{DatabaseView, HomeLease};
use crate::position::Term;
use crate::settings::ControlSettings;

use super::*;

mod failover;
mod fixture;
mod random;

use fixture::{Fixture, NAMES};
