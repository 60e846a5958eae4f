//! Order of the changes that the platform's service has accepted.

use serde::{Deserialize, Serialize};

/// Revision of the platform's service. Revisions order all changes and never decrease.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// History of changes of the platform's service.
///
/// Restoring the service from an older copy begins the next timeline: the changes made since that
/// copy are lost, and their revisions are given out again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timeline(pub u64);
