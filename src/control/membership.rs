//! Controller of membership: which VMs are there, from the platform's list and direct evidence.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use super::blackboard::{Blackboard, CallId, Incarnation};
use super::command::{Command, PlatformRequest};
use super::event::{Event, PlatformAnswer, PlatformEvent};
use super::snapshot::PeerView;
use crate::name::{CellName, RegionName, VmName, ZoneName};
use crate::time::Timestamp;

/// Prefix of the platform's list; the shell maps it to the setting `vm_list_prefix`.
pub const VM_LIST_PREFIX: &str = "@vms/";

/// State of a VM in the platform's list.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// Entry of the platform's list of VMs, in JSON below the setting `vm_list_prefix`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub name: VmName,
    /// Address for streams and datagrams between VMs.
    pub peer_address: SocketAddr,
    /// Availability zone.
    pub availability_zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Cell.
    pub cell: CellName,
    /// State as the platform sees it; lags.
    pub state: VmState,
}

/// What the membership controller knows.
#[derive(Debug, Default)]
pub struct MembershipState {
    /// VMs of the platform's list, this VM among them.
    pub vms: BTreeMap<VmName, VmRecord>,
    /// Start counts heard from peers.
    pub incarnations: BTreeMap<VmName, Incarnation>,
    read: Option<CallId>,
    read_at: Option<Timestamp>,
}

impl MembershipState {
    /// Returns the other VMs as the traffic threads need them.
    pub fn views(&self) -> Arc<BTreeMap<VmName, PeerView>> {
        let view = |vm: &VmRecord| PeerView {
            address: vm.peer_address,
            incarnation: self.incarnations.get(&vm.name).copied(),
            availability_zone: vm.availability_zone.clone(),
        };
        Arc::new(
            self.vms
                .values()
                .map(|vm| (vm.name.clone(), view(vm)))
                .collect(),
        )
    }
}

/// Messages about membership between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// The sender is alive.
    Heartbeat,
}

/// Handles one event.
pub fn handle(board: &mut Blackboard, event: &Event, now: Timestamp) -> Vec<Command> {
    match event {
        Event::Tick => start_read(board, now),
        Event::Peer {
            from, incarnation, ..
        } => {
            board
                .membership
                .incarnations
                .insert(from.clone(), *incarnation);
            Vec::new()
        }
        Event::Platform(PlatformEvent::Ended { call, result, .. })
            if board.membership.read == Some(*call) =>
        {
            board.membership.read = None;
            let Ok(PlatformAnswer::Found { keys, .. }) = result else {
                return Vec::new();
            };
            let decode = |value: &[u8]| serde_json::from_slice::<VmRecord>(value).ok();
            let records = keys.iter().filter_map(|key| decode(key.value.as_deref()?));
            board.membership.vms = records.map(|vm| (vm.name.clone(), vm)).collect();
            vec![Command::Publish]
        }
        _ => Vec::new(),
    }
}

fn start_read(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let interval = std::time::Duration::from_millis(board.settings.heartbeat_ms);
    let recent = board
        .membership
        .read_at
        .is_some_and(|at| now.since(at) < interval);
    if recent || board.membership.read.is_some() {
        return Vec::new();
    }
    let call = board.next_call();
    board.membership.read = Some(call);
    board.membership.read_at = Some(now);
    let prefix = VM_LIST_PREFIX.to_owned();
    vec![Command::Platform {
        call,
        request: PlatformRequest::List { prefix },
    }]
}
