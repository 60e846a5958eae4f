//! Detects that the store was restored from an older copy.
//!
//! What was written since that copy is lost, including leases, whose identifiers may be granted
//! again. A VM can't tell which other VMs still hold a lease that is lost. It therefore waits for
//! the time-to-live of such leases, counted from when it first saw the new timeline.

use std::rc::Rc;

use super::clock;
use super::node::Node;
use crate::telemetry::metrics::metrics;

/// Records, logs and counts each restoration of the store, until the process ends.
pub async fn run(node: Rc<Node>) {
    let store = &node.adapter.store;
    loop {
        let known = store.timeline();
        store.wait_for_timeline_after(known).await;
        let timeline = store.timeline();
        log::warn!(
            "event=store_timeline_changed timeline={} previous={} shared_change={} \
             directory_change={}",
            timeline.0,
            known.0,
            node.shared_progress.own().0,
            node.directory_progress.own().0
        );
        metrics().count_store_timeline();
        let mut state = node.state.borrow_mut();
        state.timeline = timeline;
        state.timeline_seen_at = clock::now();
        // Revoking this lease could revoke that of another VM.
        state.lease = None;
    }
}
