//! Datagrams between VMs, and the queue of those to be sent.
//!
//! VMs of several versions run side by side. Datagrams are encoded by position, so a new message is a new
//! variant at the end, which earlier versions skip. [`encode`] and [`decode`] bridge the one layout that
//! was changed in another way.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::record::PrimaryRecord;
use crate::name::{DatabaseName, VmName, WorkspaceName, ZoneName};

/// Largest datagram: fits one packet on common links, with room for the headers of tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Result of encoding or decoding a datagram.
pub type Result<T, E = postcard::Error> = std::result::Result<T, E>;

/// Position of [`Datagram::Status`] among the variants.
const STATUS_VARIANT: u8 = 11;

/// Appended to the status of a gateway that reaches all owners and doesn't stop, so that the version with
/// [`FormerLimitStatus`] reads it as such.
const FORMER_STATUS_PADDING: [u8; 2] = [0, 0];

/// Datagram between VMs. Encoded by position: the order of variants and fields must not change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Status as VMs of the previous version send it.
    FormerStatus {
        /// VM that sends the datagram.
        vm: VmName,
        /// Version of the sender's configuration.
        version: u64,
        /// Revision of the latest change of a shared key that the sender knows.
        shared_change: u64,
        /// Revision of the latest change of an announcement that the sender knows.
        directory_change: u64,
    },
    /// Requests the version of a gateway's configuration.
    VersionRequest {
        /// Version of the sender's configuration.
        version: u64,
    },
    /// Announces what the sender knows, to a VM that isn't a gateway.
    Version {
        /// Version of the sender's configuration.
        version: u64,
        /// Store revision up to which the sender knows every change of the gateways.
        gateways_revision: u64,
    },
    /// Request for tokens by a VM of the previous version; ignored.
    FormerTokenRequest,
    /// Tokens sent by a VM of the previous version; ignored.
    FormerTokenGrant,
    /// Sends a record of a primary, as the store holds it.
    Record(RecordUpdate),
    /// Confirms to the holder of the failover lease that the sender has stopped using a former
    /// primary.
    Confirmation {
        /// VM that sends the datagram.
        vm: VmName,
        /// Database whose primary is replaced.
        database: DatabaseName,
        /// Generation of the holder's failover lease.
        generation: u64,
    },
    /// Acknowledges a `Confirmation`.
    ConfirmationAck {
        /// Database whose primary is replaced.
        database: DatabaseName,
        /// Generation of the holder's failover lease.
        generation: u64,
    },
    /// Requests a sublease, because the sender can't renew its own lease at the store.
    SubleaseRequest {
        /// Matches the response to this request.
        nonce: u64,
    },
    /// Grants a sublease.
    Sublease {
        /// Nonce of the request.
        nonce: u64,
        /// Validity of the sublease in milliseconds, counted from when the request was sent.
        valid_ms: u32,
        /// Version of the sender's configuration. The receiver fetches it if it is newer.
        version: u64,
        /// Records that the receiver may rely on.
        records: Vec<RecordUpdate>,
    },
    /// Names the evacuated zones to a VM that was granted a sublease.
    EvacuatedZones {
        /// Store revision up to which the sender knows every change of them.
        revision: u64,
        /// Zones, with the milliseconds after which the sender sends nothing more there.
        zones: Vec<(ZoneName, u32)>,
    },
    /// Announces a gateway, and the latest changes of the store that it knows.
    Status {
        /// VM that sends the datagram.
        vm: VmName,
        /// Version of the sender's configuration.
        version: u64,
        /// Revision of the latest change of a shared key that the sender knows.
        shared_change: u64,
        /// Revision of the latest change of an announcement that the sender knows.
        directory_change: u64,
        /// What concerns the limits.
        limits: LimitStatus,
    },
    /// Passes tokens of limits.
    Limit(LimitMessage),
}

/// Message about tokens of limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// Requests tokens of workspaces.
    Request {
        /// Number of the request; grows with each that the sender sends.
        nonce: u64,
        /// Requested tokens by workspace.
        asks: Vec<TokenAsk>,
    },
    /// Responds to a `Request`.
    Grant {
        /// Number of the request.
        nonce: u64,
        /// Response for each workspace, in the order of the request.
        answers: Vec<TokenAnswer>,
    },
    /// Hands buckets over to the gateway that owns them now.
    HandOver(HandOver),
    /// Asks whether the receiver still uses the registration with this store lease.
    LeaseQuery {
        /// Lease of the registration.
        lease: u64,
    },
    /// Responds to a `LeaseQuery`: the sender doesn't use the registration any more, for example
    /// because its process was restarted.
    LeaseEnded {
        /// VM that sends the datagram.
        vm: VmName,
        /// Lease of the registration.
        lease: u64,
    },
    /// Requests tokens of the receiver's fallback shares, while the owners are unreachable.
    LoanRequest {
        /// Number of the request.
        nonce: u64,
        /// Requested tokens by workspace.
        asks: Vec<LoanAsk>,
    },
    /// Responds to a `LoanRequest`.
    Loan {
        /// Number of the request.
        nonce: u64,
        /// Responses, in the order of the request.
        loans: Vec<Loan>,
    },
}

/// What a gateway's status tells about limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// Store lease of the sender's registration.
    pub lease: u64,
    /// Digest of the list of gateways that the sender has taken over.
    pub gateways_digest: u32,
    /// Owners that grant the sender nothing, so that it uses its fallback shares of their limits, or
    /// will soon. Each is a bit, chosen by a hash of its name; owners that share a bit all count.
    pub unreachable_owners: u64,
    /// Whether the sender stops; it grants nothing any more.
    pub says_goodbye: bool,
}

/// [`LimitStatus`] as versions up to 0141e8f write it.
#[derive(Debug, Clone, Copy, Deserialize)]
struct FormerLimitStatus {
    lease: u64,
    gateways_digest: u32,
    uses_fallback: bool,
    unreachable_owners: u64,
    _is_store_silent: bool,
    says_goodbye: bool,
}

impl From<FormerLimitStatus> for LimitStatus {
    fn from(former: FormerLimitStatus) -> Self {
        let unreachable_owners = if former.uses_fallback {
            u64::MAX
        } else {
            former.unreachable_owners
        };
        Self {
            lease: former.lease,
            gateways_digest: former.gateways_digest,
            unreachable_owners,
            says_goodbye: former.says_goodbye,
        }
    }
}

impl LimitStatus {
    /// Returns whether both layouts mean the same when [`FORMER_STATUS_PADDING`] follows.
    const fn is_readable_by_former(&self) -> bool {
        self.unreachable_owners == 0 && !self.says_goodbye
    }
}

/// Encodes a datagram.
///
/// # Errors
///
/// Fails if the datagram can't be serialized.
pub fn encode(datagram: &Datagram) -> Result<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(datagram)?;
    if let Datagram::Status { limits, .. } = datagram
        && limits.is_readable_by_former()
    {
        bytes.extend(FORMER_STATUS_PADDING);
    }
    Ok(bytes)
}

/// Decodes a datagram of this or an earlier version.
///
/// # Errors
///
/// Fails for unknown variants and malformed bytes.
pub fn decode(bytes: &[u8]) -> Result<Datagram> {
    let decoded = postcard::take_from_bytes(bytes);
    let is_status = bytes.first() == Some(&STATUS_VARIANT);
    match decoded {
        Ok((datagram, _)) if !is_status => Ok(datagram),
        Ok((datagram, [])) => Ok(datagram),
        Ok((Datagram::Status { limits, .. }, rest))
            if rest == FORMER_STATUS_PADDING && limits.is_readable_by_former() =>
        {
            postcard::from_bytes(bytes)
        }
        Err(error) if !is_status => Err(error),
        _ => decode_former_status(&bytes[1..]),
    }
}

/// Decodes the fields of a status whose limits have the former layout.
fn decode_former_status(fields: &[u8]) -> Result<Datagram> {
    type Fields = (VmName, u64, u64, u64, FormerLimitStatus);
    let (fields, rest): (Fields, _) = postcard::take_from_bytes(fields)?;
    if !rest.is_empty() {
        return Err(postcard::Error::DeserializeBadEncoding);
    }
    let (vm, version, shared_change, directory_change, limits) = fields;
    Ok(Datagram::Status {
        vm,
        version,
        shared_change,
        directory_change,
        limits: limits.into(),
    })
}

/// Request for tokens of one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenAsk {
    /// Workspace whose tokens are requested.
    pub workspace: WorkspaceName,
    /// Unspent tokens that the receiver granted earlier.
    pub held: u32,
    /// Further tokens that are needed.
    pub wanted: u32,
    /// Whether the tokens are for requests that wait already.
    pub is_prompt: bool,
}

/// Response to a [`TokenAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum TokenAnswer {
    /// The sender isn't the owner, or isn't certain of its registration.
    NotOwner,
    /// Transfers tokens, which the sender has already deducted.
    Granted {
        /// Number of tokens.
        tokens: u32,
        /// When more can be expected; `None` if all that was wanted is granted.
        rest: Option<Rest>,
    },
}

/// When a gateway can expect more tokens of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Rest {
    /// Time in milliseconds after which to request again.
    pub wait_ms: u32,
    /// Rate of the tokens that the gateway can expect.
    pub share_per_s: f32,
}

/// Request for tokens of a fallback share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAsk {
    /// Workspace whose tokens are requested.
    pub workspace: WorkspaceName,
    /// Tokens that are needed at once.
    pub wanted: u32,
}

/// Response to a [`LoanAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Tokens, which the sender has already deducted from its share.
    pub tokens: u32,
    /// Time in milliseconds after which the sender may have another token.
    pub wait_ms: u32,
}

/// Buckets that a former owner hands over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandOver {
    /// VM that sends the datagram.
    pub vm: VmName,
    /// Store lease of its registration.
    pub lease: u64,
    /// Store lease of the receiver's registration, which the buckets are meant for.
    pub to_lease: u64,
    /// Grows with each hand-over that the sender sends.
    pub nonce: u64,
    /// Whether the sender stops, in contrast to having seen that the receiver has registered.
    pub is_leaving: bool,
    /// Buckets by workspace.
    pub buckets: Vec<HandedBucket>,
}

/// Bucket of one workspace, as handed over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandedBucket {
    /// Workspace of the bucket.
    pub workspace: WorkspaceName,
    /// Tokens in the bucket.
    pub tokens: f32,
    /// Tokens granted that may still be unspent.
    pub outstanding: f32,
}

/// Record of a database's primary, as sent to other VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordUpdate {
    /// Database that the record belongs to.
    pub database: DatabaseName,
    /// Content of the record.
    pub record: PrimaryRecord,
    /// Store revision of the record.
    pub revision: u64,
}

/// Maximum number of datagrams waiting to be sent. Beyond it the oldest are dropped, as on any
/// full link.
const MAX_WAITING: usize = 1_024;

/// Queue of datagrams to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: RefCell<VecDeque<(SocketAddr, Datagram)>>,
    added: Notify,
}

impl Outbox {
    /// Queues a datagram; drops the oldest one if the queue is full.
    pub fn send(&self, to: SocketAddr, datagram: Datagram) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() == MAX_WAITING {
            waiting.pop_front();
        }
        waiting.push_back((to, datagram));
        self.added.notify_one();
    }

    /// Removes the oldest datagram; waits until there is one.
    pub async fn next(&self) -> (SocketAddr, Datagram) {
        loop {
            let added = self.added.notified();
            let next = self.waiting.borrow_mut().pop_front();
            if let Some(next) = next {
                return next;
            }
            added.await;
        }
    }
}
