//! Detects that the store was restored from an older copy.
//!
//! What was written since that copy is lost, including leases, whose identifiers may be granted
//! again. A VM can't tell which other VMs still hold a lease that is lost. It therefore waits for
//! the time-to-live of such leases, counted from when it first saw the new timeline. Once one has
//! waited, it records that, so that VMs which start later don't wait.

use std::rc::Rc;
use std::time::Duration;

use super::clock;
use super::keys;
use super::node::Node;
use super::record::SettledTimelineRecord;
use super::state::StopPhase;
use super::synchronization;
use crate::configuration::Timeline;
use crate::control::command::PlatformRequest;
use crate::control::event::PlatformResponse;
use crate::telemetry::metrics::metrics;

/// Interval at which a VM checks whether the timeline must be recorded as settled.
const SETTLED_CHECK_INTERVAL: Duration = Duration::from_secs(1);

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

/// Records that no lease of an earlier timeline is left, once this VM has waited for them.
pub async fn record_settled(node: Rc<Node>) {
    let store = &node.adapter.store;
    loop {
        let timeline = store.timeline();
        if is_due(&node, timeline) {
            write_settled(&node, timeline).await;
        }
        tokio::time::sleep(SETTLED_CHECK_INTERVAL).await;
    }
}

fn is_due(node: &Node, timeline: Timeline) -> bool {
    let state = node.state.borrow();
    let is_recorded = state.settled.timeline == timeline;
    let may_write = state.gateway && state.stop == StopPhase::Running;
    may_write && !is_recorded && node.timeline_age() >= node.settings.gateway_ttl
}

async fn write_settled(node: &Rc<Node>, timeline: Timeline) {
    let record = SettledTimelineRecord { timeline };
    let Ok(value) = serde_json::to_vec(&record) else {
        return;
    };
    let expected = node.state.borrow().settled_revision;
    let request = PlatformRequest::CompareAndSwap {
        key: keys::SETTLED_TIMELINE.to_owned(),
        expected,
        value: Some(value),
        lease: None,
    };
    match node.call(request).await {
        Ok(PlatformResponse::Swapped { revision }) => {
            let mut state = node.state.borrow_mut();
            state.settled = record;
            state.settled_revision = revision;
            log::info!("event=store_timeline_settled timeline={}", timeline.0);
        }
        Ok(PlatformResponse::Conflict {
            current: Some(current),
        }) => synchronization::apply(node, current),
        response => log::info!("event=store_timeline_unwritten answer={response:?}"),
    }
}
