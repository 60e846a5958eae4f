//! IP addresses of the loopback network, so that each VM has its own, as on real machines.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, Ordering};

/// Number of addresses that a process returns before it repeats them.
const ADDRESSES: u8 = 250;

static NEXT: AtomicU8 = AtomicU8::new(0);

/// Returns an IP address that no other running process of the lab is likely to use.
pub fn next_host() -> Ipv4Addr {
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % ADDRESSES + 1;
    Ipv4Addr::new(127, 64 + (process >> 8) as u8 % 64, process as u8, number)
}
