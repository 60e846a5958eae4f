//! State that the controllers share.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::configuration::ConfigurationState;
use super::home::HomeState;
use super::limit::LimitState;
use super::membership::MembershipState;
use super::snapshot::{Snapshot, Standing};
use super::term::TermState;
use crate::name::{CellName, RegionName, VmName, ZoneName};
use crate::settings::ControlSettings;
use crate::time::Timestamp;

/// Start counter of a VM's process; a restarted VM has a greater one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Identity of the VM that the blackboard belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalVm {
    /// Name of the VM.
    pub name: VmName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Availability zone of the VM.
    pub availability_zone: ZoneName,
    /// Region of the VM.
    pub region: RegionName,
    /// Cell of the VM.
    pub cell: CellName,
}

/// Identifier of a call to the platform's service, unique within one process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CallId(pub u64);

/// State that the controllers share: each controller writes its own field and reads all of them.
#[derive(Debug)]
pub struct Blackboard {
    /// Identity of this VM.
    pub local: LocalVm,
    /// Intervals and limits of the control code.
    pub settings: ControlSettings,
    /// Written by the configuration controller.
    pub configuration: ConfigurationState,
    /// Written by the membership controller.
    pub membership: MembershipState,
    /// Written by the home controller.
    pub homes: HomeState,
    /// Written by the term controller.
    pub terms: TermState,
    /// Written by the limit controller.
    pub limits: LimitState,
    /// Whether this VM accepts new work.
    pub standing: Standing,
    next_call: u64,
}

impl Blackboard {
    /// Creates the blackboard of a VM that has just started.
    pub fn new(local: LocalVm, settings: ControlSettings) -> Self {
        Self {
            local,
            settings,
            configuration: ConfigurationState::default(),
            membership: MembershipState::default(),
            homes: HomeState::default(),
            terms: TermState::default(),
            limits: LimitState::default(),
            standing: Standing::Starting,
            next_call: 0,
        }
    }

    /// Returns an identifier for the next call to the platform's service.
    pub fn next_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    /// Builds the snapshot that the traffic threads read.
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        let databases: BTreeMap<_, _> = self.terms.views(
            &self.local,
            &self.settings,
            &self.configuration,
            &self.homes,
            now,
        );
        Snapshot {
            taken_at: now,
            local: self.local.clone(),
            standing: self.standing,
            configuration: Arc::clone(&self.configuration.current),
            revision_everywhere: self.homes.common_revision,
            homes: self.homes.views(),
            databases,
            shares: self.limits.views(),
            peers: self.membership.views(),
        }
    }
}
