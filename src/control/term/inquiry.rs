//! Inquiries between VMs: a VM that can't reach an instance asks others whether the instance
//! responds to them.
//!
//! A positive response lengthens the home's failure timeout for the instance, since its own network
//! path may be at fault. It never prevents a promotion, because an instance that the home can't
//! reach serves no requests.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::TermState;
use crate::control::blackboard::Blackboard;
use crate::control::command::{Command, InstanceRequest};
use crate::control::event::InstanceEvent;
use crate::control::home::weight;
use crate::control::membership::VmState;
use crate::name::{DatabaseName, InstanceName, VmName};
use crate::peer::PeerMessage;
use crate::time::Timestamp;

/// Number of VMs of the cell that are asked.
const QUERIED_VMS: usize = 2;

/// Time after which a pending inquiry is dropped.
const INQUIRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of pending inquiries from other VMs.
const MAX_INQUIRIES: usize = 256;

/// Messages about terms between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TermMessage {
    /// The sender can't reach an instance and asks whether the receiver can.
    InstanceInquiry {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
    },
    /// Response: the instance has responded to the sender since the inquiry arrived.
    InstanceResponded {
        /// Database of the instance.
        database: DatabaseName,
        /// The instance.
        instance: InstanceName,
    },
}

#[derive(Debug)]
struct Inquiry {
    requester: VmName,
    requested_at: Timestamp,
}

/// Inquiries from other VMs that wait for a response of the instance.
#[derive(Debug, Default)]
pub struct Inquiries {
    waiting: BTreeMap<(DatabaseName, InstanceName), Inquiry>,
}

impl Inquiries {
    /// Drops inquiries that have timed out.
    pub fn expire(&mut self, now: Timestamp) {
        self.waiting
            .retain(|_, inquiry| now.since(inquiry.requested_at) < INQUIRY_TIMEOUT);
    }

    /// Responds to the pending inquiry about an instance that has reported on a request sent since
    /// the inquiry arrived.
    pub fn respond(&mut self, event: &InstanceEvent) -> Vec<Command> {
        let InstanceEvent::Reported {
            database,
            instance,
            requested_at,
            ..
        } = event
        else {
            return Vec::new();
        };
        let key = (database.clone(), instance.clone());
        if self
            .waiting
            .get(&key)
            .is_none_or(|inquiry| *requested_at < inquiry.requested_at)
        {
            return Vec::new();
        }
        let inquiry = self.waiting.remove(&key);
        let response = inquiry.map(|inquiry| Command::Send {
            to: inquiry.requester,
            message: PeerMessage::Term(TermMessage::InstanceResponded {
                database: database.clone(),
                instance: instance.clone(),
            }),
        });
        response.into_iter().collect()
    }
}

/// Asks other VMs of the cell about an instance.
pub fn query_peers(
    board: &Blackboard,
    database: &DatabaseName,
    instance: &InstanceName,
) -> Vec<Command> {
    let local = &board.local;
    let vms = board.membership.vms.values();
    let mut peers: Vec<_> = vms
        .filter(|vm| vm.cell == local.cell && vm.name != local.name && vm.state == VmState::Live)
        .map(|vm| (weight(database, &vm.name), &vm.name))
        .collect();
    peers.sort_unstable_by(|a, b| b.cmp(a));
    let ask = |peer: &VmName| Command::Send {
        to: peer.clone(),
        message: PeerMessage::Term(TermMessage::InstanceInquiry {
            database: database.clone(),
            instance: instance.clone(),
        }),
    };
    peers
        .into_iter()
        .take(QUERIED_VMS)
        .map(|(_, peer)| ask(peer))
        .collect()
}

impl TermState {
    /// Handles a message from another VM.
    pub(super) fn message(
        &mut self,
        board: &Blackboard,
        from: &VmName,
        message: &TermMessage,
        now: Timestamp,
    ) -> Vec<Command> {
        match message {
            TermMessage::InstanceInquiry { database, instance } => {
                let configuration = &board.configuration.current;
                let group = configuration.databases.get(database);
                let is_member =
                    group.is_some_and(|group| group.instances.iter().any(|i| i.name == *instance));
                if !is_member || self.inquiries.waiting.len() >= MAX_INQUIRIES {
                    return Vec::new();
                }
                let inquiry = Inquiry {
                    requester: from.clone(),
                    requested_at: now,
                };
                let key = (database.clone(), instance.clone());
                self.inquiries.waiting.insert(key, inquiry);
                vec![Command::Instance {
                    database: database.clone(),
                    instance: instance.clone(),
                    request: InstanceRequest::Probe,
                }]
            }
            TermMessage::InstanceResponded { database, instance } => {
                let group = self.groups.get_mut(database);
                if let Some(evidence) = group.and_then(|group| group.evidence.get_mut(instance)) {
                    evidence.responded_to_peer_at = Some(now);
                }
                Vec::new()
            }
        }
    }
}
