//! Control messages between VMs, each handled by one controller.

use serde::{Deserialize, Serialize};

use crate::control::configuration::ConfigurationMessage;
use crate::control::home::HomeMessage;
use crate::control::limit::LimitMessage;
use crate::control::membership::MembershipMessage;
use crate::control::term::TermMessage;
use crate::traffic::caller::CancelKey;

/// Control message. It may be lost, duplicated, delayed or reordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Message to the membership controller.
    Membership(MembershipMessage),
    /// Message to the configuration controller.
    Configuration(ConfigurationMessage),
    /// Message to the home controller.
    Home(HomeMessage),
    /// Message to the term controller.
    Term(TermMessage),
    /// Message to the limit controller.
    Limit(LimitMessage),
    /// Cancels a statement of a caller of the VM that issued the key.
    Cancel(CancelKey),
}
