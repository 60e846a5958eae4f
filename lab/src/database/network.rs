//! What reaches an instance: links that can be cut so that packets vanish without a close.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::sync::watch;

/// State of the links of one instance.
#[derive(Debug, Clone, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each link is cut by itself")]
pub(crate) struct Links {
    /// The process is stopped: it neither reads, works nor writes.
    pub(crate) paused: bool,
    /// Nothing reaches the instance from VMs.
    pub(crate) cut_from_vms: bool,
    /// Nothing reaches the instance from these VMs.
    pub(crate) cut_vms: BTreeSet<String>,
    /// Nothing reaches the instance from other instances.
    pub(crate) cut_from_instances: bool,
    /// The instance runs.
    pub(crate) alive: bool,
    /// Time that a packet takes each way.
    pub(crate) delay: Duration,
}

impl Links {
    fn is_open(&self, vm: &str) -> bool {
        !self.paused && !self.cut_from_vms && !self.cut_vms.contains(vm)
    }

    /// Returns whether log entries pass.
    pub(crate) fn replicates(&self) -> bool {
        self.alive && !self.paused && !self.cut_from_instances
    }
}

/// Links of one instance, shared with its sessions.
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

    /// Changes the links.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Links)) {
        self.links.send_modify(change);
    }

    /// Returns the links as they are.
    pub(crate) fn links(&self) -> Links {
        self.links.borrow().clone()
    }

    /// Waits until packets pass between the instance and a VM.
    pub(crate) async fn pass(&self, vm: &str) {
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
                // The sender lives as long as this network.
                let _ = links.wait_for(|links| links.is_open(vm)).await;
            }
        }
    }
}
