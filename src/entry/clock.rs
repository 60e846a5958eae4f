//! Clock that advances while the VM is suspended.

use rustix::time::{ClockId, clock_gettime};

use crate::time::Timestamp;

/// Returns the time since the VM booted, including the time it was suspended.
///
/// Leases continue to run out at the store while a VM is suspended. Their holder must therefore not
/// use the monotonic clock, which doesn't advance during a suspension.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Timestamp::from_micros(seconds * 1_000_000 + nanos / 1_000)
}
