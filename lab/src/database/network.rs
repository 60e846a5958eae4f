//! Simulated network of an instance: links can be cut so that nothing is delivered while
//! connections stay open.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::sync::watch;

/// State of an instance's network links.
#[derive(Debug, Clone, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each link can be cut independently"
)]
pub(crate) struct Links {
    /// Whether the instance is paused: it processes no requests, sends no responses and does not
    /// replicate.
    pub(crate) paused: bool,
    /// Whether the links to all VMs are cut.
    pub(crate) cut_from_vms: bool,
    /// VMs to which the link is cut.
    pub(crate) cut_vms: BTreeSet<String>,
    /// Whether the links to the other instances are cut.
    pub(crate) cut_from_instances: bool,
    /// Whether the instance is running. False after it was killed.
    pub(crate) alive: bool,
    /// One-way delay of a packet.
    pub(crate) delay: Duration,
}

impl Links {
    fn is_open(&self, vm: &str) -> bool {
        !self.paused && !self.cut_from_vms && !self.cut_vms.contains(vm)
    }

    /// Returns whether log entries can be sent to or from this instance.
    pub(crate) fn allows_replication(&self) -> bool {
        self.alive && !self.paused && !self.cut_from_instances
    }
}

/// Network links of an instance, shared with its sessions.
#[derive(Debug)]
pub(crate) struct Network {
    links: watch::Sender<Links>,
}

impl Network {
    pub(crate) fn new(delay: Duration) -> Self {
        let links = Links {
            alive: true,
            delay,
            ..Links::default()
        };
        Self {
            links: watch::Sender::new(links),
        }
    }

    /// Changes the state of the links.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Links)) {
        self.links.send_modify(change);
    }

    /// Returns the current state of the links.
    pub(crate) fn links(&self) -> Links {
        self.links.borrow().clone()
    }

    /// Waits for the one-way delay between the instance and a VM or, when the link is cut or the
    /// instance is paused, until packets are delivered again.
    pub(crate) async fn wait_for_delivery(&self, vm: &str) {
        let delay = {
            let links = self.links.borrow();
            if links.is_open(vm) {
                Some(links.delay)
            } else {
                None
            }
        };
        match delay {
            Some(delay) if delay.is_zero() => {}
            Some(delay) => tokio::time::sleep(delay).await,
            None => {
                let mut links = self.links.subscribe();
                // `wait_for` fails only when the sender is dropped, and `self` owns the sender.
                let _ = links.wait_for(|links| links.is_open(vm)).await;
            }
        }
    }
}
