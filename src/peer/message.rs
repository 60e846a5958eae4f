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
    /// To the membership controller.
    Membership(MembershipMessage),
    /// To the configuration controller.
    Configuration(ConfigurationMessage),
    /// To the home controller.
    Home(HomeMessage),
    /// To the term controller.
    Term(TermMessage),
    /// To the limit controller.
    Limit(LimitMessage),
    /// Cancels a statement of a caller of the VM that issued the key.
    Cancel(CancelKey),
}
