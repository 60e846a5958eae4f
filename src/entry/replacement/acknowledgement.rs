//! Whether a VM may acknowledge a save.

use crate::entry::record::{Phase, PrimaryRecord};
use crate::name::InstanceName;

/// Returns whether a VM that confirms a replacement ceases to acknowledge saves, until a primary that
/// takes saves is recorded.
pub fn withholds_after_confirmation(record: Option<&PrimaryRecord>) -> bool {
    record.is_some_and(|record| record.phase != Phase::Steady)
}

/// Returns whether a save that an instance has kept may be acknowledged: it is the primary, and the VM
/// hasn't confirmed its replacement.
pub fn may_acknowledge(
    record: Option<&PrimaryRecord>,
    withholds_saves: bool,
    instance: &InstanceName,
) -> bool {
    let is_current = record.is_some_and(|record| {
        let is_settling = matches!(record.phase, Phase::Settling { .. });
        record.primary == *instance && !is_settling
    });
    is_current && !withholds_saves
}
