//! Why a primary is replaced.

use strum::Display;

use crate::entry::promotion::Knowledge;

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The primary announced that it is about to leave.
    Leaving,
    /// The availability zone of the primary is evacuated.
    Evacuated,
    /// The announcement of the primary is missing.
    Gone,
    /// The primary doesn't respond.
    Unreachable,
    /// The primary responds, but its saves are not acknowledged in time.
    Stalled,
    /// The recorded primary reports that it isn't the primary.
    Deposed,
    /// A former holder of the failover lease began a replacement and didn't finish it.
    Unfinished,
    /// The store was restored from a copy that lacks the record or holds an older one.
    Restored,
}

impl Reason {
    /// Returns whether the primary still serves, so that running statements can end first.
    pub const fn is_planned(self) -> bool {
        matches!(self, Self::Leaving | Self::Evacuated)
    }

    /// Returns whether the primary is asked once more before it is replaced.
    pub const fn is_suspicion(self) -> bool {
        matches!(self, Self::Unreachable | Self::Deposed)
    }

    /// Returns what is known about the primary.
    pub const fn knowledge(self) -> Knowledge {
        match self {
            Self::Unfinished => Knowledge::Unfinished,
            Self::Restored => Knowledge::Restored,
            _ => Knowledge::Former,
        }
    }
}
