//! Order of the changes that the platform's service has accepted.

use serde::{Deserialize, Serialize};

/// Bits of a revision that hold the number of the change; those above hold the timeline.
const NUMBER_BITS: u32 = 40;

/// Revision of the platform's service. Revisions order all changes and never decrease.
///
/// A revision consists of a timeline and the number of a change within it. Both are held in one
/// integer, so that revisions compare by timeline first, and can be used as fencing tokens.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// Builds the revision of a change from its number, of which the lower 40 bits are used.
    pub const fn new(timeline: Timeline, number: u64) -> Self {
        Self((timeline.0 << NUMBER_BITS) | (number & ((1 << NUMBER_BITS) - 1)))
    }

    /// Returns the timeline of the change.
    pub const fn timeline(self) -> Timeline {
        Timeline(self.0 >> NUMBER_BITS)
    }

    /// Returns the number of the change within its timeline.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

/// History of changes of the platform's service.
///
/// Restoring the service from an older copy begins the next timeline: the changes made since that
/// copy are lost, and their numbers are given out again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timeline(pub u64);

#[cfg(test)]
mod tests;
