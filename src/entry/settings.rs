//! Settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use crate::name::{VmName, ZoneName};

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of this VM.
    pub vm: VmName,
    /// Availability zone of this VM.
    pub availability_zone: ZoneName,
    /// Part of a core that this VM has.
    pub cpu_share: f64,
    /// Number of VMs up to which each is a gateway: a hop costs more than the connections that it
    /// saves.
    pub direct_vms: usize,
    /// Address on which callers are accepted.
    pub caller_address: SocketAddr,
    /// Address on which other VMs are heard.
    pub peer_address: SocketAddr,
    /// Time that a planned stop may take.
    pub stop_within: Duration,
    /// Time within which the balancer has noticed that a VM isn't ready.
    pub balancer_notice: Duration,
    /// Time-to-live of the lease that carries this VM's guard. Longer than most outages of the
    /// store; the price is paid when a VM vanishes just before a primary is replaced.
    pub guard_ttl: Duration,
    /// Interval between renewals of the guard.
    pub guard_renewal: Duration,
    /// Time-to-live of the lease of a VM without a guard; nothing waits for its end.
    pub entry_ttl: Duration,
    /// Interval between renewals of that lease.
    pub entry_renewal: Duration,
    /// Time-to-live of the lease on the duty to replace primaries.
    pub duty_ttl: Duration,
    /// Interval at which health, duties and limits are looked at.
    pub tick: Duration,
    /// Longest time to open a connection to an instance.
    pub connect_timeout: Duration,
    /// Longest time to wait for a caller's first message.
    pub start_timeout: Duration,
    /// Longest time for which a session waits for a VM that has just started; callers wait for two
    /// seconds.
    pub start_patience: Duration,
    /// Longest time for which a statement waits while a primary is replaced.
    pub move_patience: Duration,
}

impl Default for EntrySettings {
    fn default() -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            vm: VmName::from(""),
            availability_zone: ZoneName::from(""),
            cpu_share: 1.0,
            direct_vms: 12,
            caller_address: unset,
            peer_address: unset,
            stop_within: Duration::from_secs(6),
            balancer_notice: Duration::from_millis(2_200),
            guard_ttl: Duration::from_secs(5),
            guard_renewal: Duration::from_secs(1),
            entry_ttl: Duration::from_secs(12),
            entry_renewal: Duration::from_secs(4),
            duty_ttl: Duration::from_millis(1_500),
            tick: Duration::from_millis(100),
            connect_timeout: Duration::from_millis(500),
            start_timeout: Duration::from_secs(3),
            start_patience: Duration::from_millis(1_200),
            move_patience: Duration::from_millis(1_500),
        }
    }
}
