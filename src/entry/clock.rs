//! Clock that keeps counting while the VM is suspended.

use rustix::time::{ClockId, clock_gettime};

use crate::time::Timestamp;

/// Returns the time since the VM started, suspensions included.
///
/// Leases lapse at the store while a VM is suspended, so their holder may not count by the
/// monotonic clock, which stands still meanwhile.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Timestamp::from_micros(seconds * 1_000_000 + nanos / 1_000)
}
