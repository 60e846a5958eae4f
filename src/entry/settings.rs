//! Settings of an entry: the component of a VM that serves callers.

use std::net::SocketAddr;
use std::time::Duration;

use super::input_budget::DEFAULT_DESCRIPTORS;
use super::warmup::WarmupSettings;
use crate::name::{VmName, ZoneName};

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of this VM.
    pub vm: VmName,
    /// Availability zone of this VM.
    pub availability_zone: ZoneName,
    /// CPU of this VM, in cores.
    pub cpu_share: f64,
    /// Number of gateways up to which every VM becomes one. In such small fleets, forwarding would
    /// cost more than the connections that it saves.
    pub direct_vms: usize,
    /// Address on which callers are accepted.
    pub caller_address: SocketAddr,
    /// Address on which messages and connections of other VMs are accepted.
    pub peer_address: SocketAddr,
    /// Time limit of a planned stop.
    pub stop_within: Duration,
    /// Time after an instance announced that it leaves by which nothing may arrive there any longer.
    pub drain_limit: Duration,
    /// Time within which the balancer detects that a VM isn't ready.
    pub balancer_detection_time: Duration,
    /// Time-to-live of a gateway's lease at the store, which bounds its validity lease. Longer than
    /// most outages of the store. The drawback: if a VM fails just before a primary is replaced,
    /// the replacement may have to wait for its lease to lapse.
    pub gateway_ttl: Duration,
    /// Interval between renewals of a gateway's lease.
    pub gateway_renewal: Duration,
    /// Time-to-live of the failover lease, the right to replace primaries.
    pub failover_lease_ttl: Duration,
    /// Interval at which health, pending failovers and limits are checked.
    pub tick: Duration,
    /// Time limit for opening a connection to an instance.
    pub connect_timeout: Duration,
    /// Number of files and sockets that the process may open.
    pub max_descriptors: usize,
    /// Time limit for completing a message of a caller or of another VM that has begun to arrive. The
    /// largest one takes less than a second on the slowest link.
    pub message_timeout: Duration,
    /// Time limit for a caller's first message.
    pub start_timeout: Duration,
    /// Longest time for which a new session waits until a VM that has just started knows routes,
    /// keys and primaries. Callers time out after two seconds.
    pub start_wait_limit: Duration,
    /// Longest time for which a statement waits for an instance that can run it, for example while
    /// a primary is being replaced.
    pub target_wait_limit: Duration,
    /// Use of instances that have just started, or whose zone was evacuated until now.
    pub warmup: WarmupSettings,
}

impl Default for EntrySettings {
    fn default() -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            vm: VmName::from(""),
            availability_zone: ZoneName::from(""),
            cpu_share: 1.0,
            direct_vms: 8,
            caller_address: unset,
            peer_address: unset,
            stop_within: Duration::from_secs(6),
            drain_limit: Duration::from_secs(7),
            balancer_detection_time: Duration::from_millis(2_200),
            gateway_ttl: Duration::from_secs(5),
            gateway_renewal: Duration::from_secs(1),
            failover_lease_ttl: Duration::from_millis(1_500),
            tick: Duration::from_millis(100),
            connect_timeout: Duration::from_millis(500),
            max_descriptors: DEFAULT_DESCRIPTORS,
            message_timeout: Duration::from_secs(5),
            start_timeout: Duration::from_secs(3),
            start_wait_limit: Duration::from_millis(1_200),
            target_wait_limit: Duration::from_millis(1_500),
            warmup: WarmupSettings::default(),
        }
    }
}
