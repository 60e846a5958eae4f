//! Keeps a VM that isn't a gateway informed about the gateways and the configuration.
//!
//! Such a VM learns both from the gateways and reads the store only while it can't.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::fetch;
use super::gateways::nearest_addresses;
use super::node::Node;
use super::synchronization;
use crate::time::Timestamp;

/// Interval at which a VM checks whether it still hears from a gateway.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay between two reads of the gateways while none is known.
const SEARCH_DELAY: Duration = Duration::from_millis(500);

/// Delay between two attempts to fetch the first configuration.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time for which a VM without a configuration asks the gateways before it reads the store. Covers
/// the start of gateways that have just restarted.
const FETCH_LIMIT: Duration = Duration::from_millis(900);

/// Number of consecutive checks without a message from a gateway after which the store is read.
/// Counting checks leaves out a suspension of this VM, after which the gateways are asked first.
const MAX_SILENT_CHECKS: u32 = 3;

/// Delay between two reads of the store while no gateway sends messages.
const REFRESH_DELAY: Duration = Duration::from_secs(2);

/// Whether messages of gateways arrive.
#[derive(Debug)]
struct Silence {
    /// Time of the last message before the latest check.
    contact_at: Timestamp,
    /// Number of consecutive checks before which no message had arrived.
    checks: u32,
}

impl Silence {
    /// Checks whether a message has arrived since the last check; returns whether the gateways are
    /// silent.
    fn check(&mut self, contact_at: Timestamp) -> bool {
        if contact_at == self.contact_at {
            self.checks = self.checks.saturating_add(1);
        } else {
            self.contact_at = contact_at;
            self.checks = 0;
        }
        self.checks >= MAX_SILENT_CHECKS
    }
}

/// Keeps this VM informed, while it isn't a gateway, until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        tokio::select! {
            () = keep_informed(&node) => {}
            () = node.wait_until(|state| state.gateway) => {}
        }
        node.wait_until(|state| !state.gateway).await;
    }
}

async fn keep_informed(node: &Rc<Node>) {
    // A stale list is enough at first: after a restart of the whole fleet, it names the VMs that
    // are about to return.
    synchronization::read_gateways(node, true).await;
    let started = Instant::now();
    // A gateway doesn't ask the others, so that the last message may be old.
    let mut silence = Silence {
        contact_at: node.state.borrow().gateway_contact_at,
        checks: MAX_SILENT_CHECKS,
    };
    loop {
        let (searching, uninformed, silent) = {
            let state = node.state.borrow();
            let silent = silence.check(state.gateway_contact_at);
            (state.gateways.is_empty(), state.catalog.is_none(), silent)
        };
        if searching {
            let found = node.wait_until(|state| !state.gateways.is_empty());
            if timeout(SEARCH_DELAY, found).await.is_err() {
                synchronization::read_gateways(node, false).await;
            }
        } else if uninformed && started.elapsed() < FETCH_LIMIT {
            if !fetch_configuration(node).await {
                sleep(FETCH_RETRY_DELAY).await;
            }
        } else if uninformed || silent {
            synchronization::read_gateways(node, true).await;
            if !fetch_configuration(node).await {
                synchronization::read_configuration(node).await;
            }
            // What was fetched here doesn't end the silence.
            silence.contact_at = node.state.borrow().gateway_contact_at;
            sleep(REFRESH_DELAY).await;
        } else {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Fetches the configuration from a random gateway nearby; returns whether it had one.
async fn fetch_configuration(node: &Rc<Node>) -> bool {
    let nearest = nearest_addresses(&node.state.borrow(), &node.settings);
    if nearest.is_empty() {
        return false;
    }
    let index = rand::random_range(0..nearest.len());
    fetch::configuration(node, nearest[index]).await
}
