//! Membership controller: which VMs exist and run, from the platform's list and from their
//! messages.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};
use xxhash_rust::xxh3::xxh3_64;

use super::blackboard::{Blackboard, CallId, Incarnation};
use super::command::{Command, PlatformRequest};
use super::event::{Event, PlatformEvent, PlatformResponse};
use super::snapshot::PeerView;
use crate::configuration::Revision;
use crate::name::{CellName, RegionName, VmName, ZoneName};
use crate::peer::PeerMessage;
use crate::time::Timestamp;

/// Prefix of the platform's list; the shell maps it to the setting `vm_list_prefix`.
pub const VM_LIST_PREFIX: &str = "@vms/";

/// Interval at which a leader reads the list.
const LEADER_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Average interval between reads of the list by the members of a cell taken together; each member
/// reads at this interval times the size of the cell.
const MEMBER_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout of a read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of entries per message, so that it fits into one datagram of 1,200 bytes.
const MAX_RECORDS: usize = 8;

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
    /// State according to the platform, which may lag behind the VM's actual state.
    pub state: VmState,
}

impl VmRecord {
    /// Returns whether the platform lists the VM as live, and not as leaving.
    pub fn is_live(&self) -> bool {
        self.state == VmState::Live
    }
}

/// State of the membership controller.
#[derive(Debug, Default)]
pub struct MembershipState {
    /// VMs of the platform's list, including this VM once it is listed.
    pub vms: BTreeMap<VmName, VmRecord>,
    /// Incarnation of each peer, from its latest message.
    pub incarnations: BTreeMap<VmName, Incarnation>,
    /// When the last message of each peer arrived.
    pub last_seen_at: BTreeMap<VmName, Timestamp>,
    /// Names of the listed VMs by cell.
    cells: BTreeMap<CellName, BTreeSet<VmName>>,
    /// The list in the form that the traffic threads use.
    views: Arc<BTreeMap<VmName, PeerView>>,
    digest: u64,
    /// Revision of the platform's service at which the list was read.
    revision: Revision,
    read: Option<Read>,
    read_at: Option<Timestamp>,
    partial: PartialList,
}

#[derive(Debug, Clone, Copy)]
struct Read {
    call: CallId,
    started_at: Timestamp,
}

/// List that is being received from the leader, in chunks.
#[derive(Debug, Default)]
struct PartialList {
    digest: u64,
    revision: Revision,
    records: BTreeMap<u32, Vec<VmRecord>>,
}

impl MembershipState {
    /// Returns whether a list has been read or received.
    pub fn is_known(&self) -> bool {
        !self.vms.is_empty()
    }

    /// Returns the listed VMs of a cell.
    pub fn names_in(&self, cell: &CellName) -> BTreeSet<VmName> {
        self.cells.get(cell).cloned().unwrap_or_default()
    }

    /// Returns whether the list was read at `revision` or later, so that a VM that was listed then
    /// and isn't now has left.
    pub fn covers(&self, revision: Revision) -> bool {
        self.is_known() && self.revision >= revision
    }

    /// Makes the next tick read the list.
    pub fn request_read(&mut self) {
        self.read_at = None;
    }

    /// Returns a digest of the list, by which two VMs detect that their lists differ.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns messages that send the list to another VM.
    pub fn relay(&self, to: &VmName) -> Vec<Command> {
        let records: Vec<_> = self.vms.values().cloned().collect();
        let chunks: Vec<_> = records.chunks(MAX_RECORDS).collect();
        let message = |(chunk, records): (usize, &&[VmRecord])| Command::Send {
            to: to.clone(),
            message: PeerMessage::Membership(MembershipMessage::Vms {
                digest: self.digest,
                revision: self.revision,
                chunk: chunk as u32,
                chunks: chunks.len() as u32,
                records: records.to_vec(),
            }),
        };
        chunks.iter().enumerate().map(message).collect()
    }

    pub(crate) fn replace(&mut self, records: impl Iterator<Item = VmRecord>) -> bool {
        let vms: BTreeMap<_, _> = records.map(|vm| (vm.name.clone(), vm)).collect();
        if vms.is_empty() || vms == self.vms {
            return false;
        }
        self.digest = digest_of(&vms);
        self.last_seen_at.retain(|vm, _| vms.contains_key(vm));
        self.incarnations.retain(|vm, _| vms.contains_key(vm));
        self.cells.clear();
        for vm in vms.values() {
            let members = self.cells.entry(vm.cell.clone()).or_default();
            members.insert(vm.name.clone());
        }
        self.vms = vms;
        self.rebuild_views();
        true
    }

    /// Returns the listed VMs in the form that the traffic threads use.
    pub fn views(&self) -> Arc<BTreeMap<VmName, PeerView>> {
        Arc::clone(&self.views)
    }

    fn rebuild_views(&mut self) {
        let view = |vm: &VmRecord| PeerView {
            address: vm.peer_address,
            incarnation: self.incarnations.get(&vm.name).copied(),
            availability_zone: vm.availability_zone.clone(),
        };
        let views = self.vms.values().map(|vm| (vm.name.clone(), view(vm)));
        self.views = Arc::new(views.collect());
    }
}

fn digest_of(vms: &BTreeMap<VmName, VmRecord>) -> u64 {
    // A record contains only values that postcard can represent.
    let bytes = postcard::to_stdvec(vms).unwrap_or_default();
    xxh3_64(&bytes)
}

/// Messages about membership between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Chunk of the platform's list, from a VM that has read it.
    Vms {
        /// Digest of the whole list.
        digest: u64,
        /// Revision at which the list was read; an older list never replaces a newer one.
        revision: Revision,
        /// Index of this chunk, from 0.
        chunk: u32,
        /// Number of chunks.
        chunks: u32,
        /// Entries of this chunk.
        records: Vec<VmRecord>,
    },
}

/// Handles one event.
pub fn handle(board: &mut Blackboard, event: &Event, now: Timestamp) -> Vec<Command> {
    match event {
        Event::Tick => start_read(board, now),
        Event::Peer {
            from,
            incarnation,
            message,
        } => {
            let mut commands = record_contact(board, from, *incarnation, now);
            if let PeerMessage::Membership(message) = message {
                commands.extend(receive_chunk(board, message));
            }
            commands
        }
        Event::Platform(PlatformEvent::Ended { call, result, .. })
            if board.membership.read.map(|read| read.call) == Some(*call) =>
        {
            board.membership.read = None;
            let Ok(PlatformResponse::Found { keys, revision }) = result else {
                return Vec::new();
            };
            if *revision < board.membership.revision {
                return Vec::new();
            }
            board.membership.revision = *revision;
            let decode = |value: &[u8]| serde_json::from_slice::<VmRecord>(value).ok();
            let records = keys.iter().filter_map(|key| decode(key.value.as_deref()?));
            if !board.membership.replace(records) {
                return Vec::new();
            }
            let mut commands = vec![Command::Publish];
            for follower in board.homes.followers() {
                commands.extend(board.membership.relay(&follower));
            }
            commands
        }
        _ => Vec::new(),
    }
}

/// Records that a message of a peer arrived; a greater incarnation is a new process at the same
/// address.
fn record_contact(
    board: &mut Blackboard,
    from: &VmName,
    incarnation: Incarnation,
    now: Timestamp,
) -> Vec<Command> {
    let membership = &mut board.membership;
    membership.last_seen_at.insert(from.clone(), now);
    let known = membership.incarnations.get(from).copied();
    if known >= Some(incarnation) {
        return Vec::new();
    }
    membership.incarnations.insert(from.clone(), incarnation);
    membership.rebuild_views();
    vec![Command::Publish]
}

/// Collects the chunks of a list; only the leader that this VM follows sends them.
fn receive_chunk(board: &mut Blackboard, message: &MembershipMessage) -> Vec<Command> {
    let MembershipMessage::Vms {
        digest,
        revision,
        chunk,
        chunks,
        records,
    } = message;
    let membership = &mut board.membership;
    if *digest == membership.digest {
        membership.revision = membership.revision.max(*revision);
        return Vec::new();
    }
    if *revision < membership.revision {
        // This VM has read the list later than the sender.
        return Vec::new();
    }
    if membership.partial.digest != *digest {
        membership.partial = PartialList {
            digest: *digest,
            revision: *revision,
            records: BTreeMap::new(),
        };
    }
    let collected = &mut membership.partial.records;
    collected.insert(*chunk, records.clone());
    if collected.len() < *chunks as usize {
        return Vec::new();
    }
    let collected = std::mem::take(&mut membership.partial);
    membership.revision = membership.revision.max(collected.revision);
    let is_new = membership.replace(collected.records.into_values().flatten());
    if is_new {
        vec![Command::Publish]
    } else {
        Vec::new()
    }
}

/// Returns the interval at which this VM reads the platform's list.
///
/// The leader reads it for its cell. The other members read it rarely, in case the list that the
/// leader sent is wrong. A VM reads it more often while the list lacks its leader or a follower, or
/// while the leader doesn't reply.
fn read_interval(board: &Blackboard) -> Duration {
    let is_listed = |vm: &VmName| board.membership.vms.contains_key(vm);
    if board.homes.is_leader() && board.homes.followers().iter().all(is_listed) {
        return LEADER_READ_INTERVAL;
    }
    // A leader that isn't listed can't be reached, and one that no longer replies may have moved to
    // another address.
    if board.homes.leader_responds() && board.homes.followed_leader().is_some_and(is_listed) {
        let cell = board.membership.names_in(&board.local.cell).len();
        return MEMBER_READ_INTERVAL * cell as u32;
    }
    Duration::from_millis(board.settings.heartbeat_ms / 2)
}

fn start_read(board: &mut Blackboard, now: Timestamp) -> Vec<Command> {
    let interval = read_interval(board);
    let membership = &mut board.membership;
    let recent = membership
        .read_at
        .is_some_and(|at| now.since(at) < interval);
    let is_waiting = |read: Read| now.since(read.started_at) < READ_TIMEOUT;
    if recent || membership.read.is_some_and(is_waiting) {
        return Vec::new();
    }
    let call = board.next_call();
    board.membership.read = Some(Read {
        call,
        started_at: now,
    });
    board.membership.read_at = Some(now);
    let prefix = VM_LIST_PREFIX.to_owned();
    vec![Command::Platform {
        call,
        request: PlatformRequest::List {
            prefix,
            allow_stale: false,
        },
    }]
}

#[cfg(test)]
mod tests;
