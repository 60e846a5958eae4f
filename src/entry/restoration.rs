//! Detects that the store was restored from an older copy.
//!
//! What was written since that copy is lost, including leases, whose identifiers may be granted
//! again.

use std::rc::Rc;

use super::node::Node;
use crate::telemetry::metrics::metrics;

/// Logs and counts each restoration of the store, until the process ends.
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
        // Revoking this lease could revoke that of another VM.
        node.state.borrow_mut().lease = None;
    }
}
