//! Confirmation that the instance that served a read was still the primary when the read began.

use tokio::time::{Instant, timeout_at};

use super::choose::Target;
use super::database::Home;
use crate::control::quorum;
use crate::time::Timestamp;
use crate::traffic::RefusalReason;
use crate::traffic::instance::InstanceQuery;

/// Requests a report from every other instance, to learn which term it has adopted. Called when the
/// read begins.
pub(super) fn request_reports(home: &Home, target: &Target) {
    for (name, instance) in home.instances().iter() {
        if *name != target.instance.name {
            instance.send(InstanceQuery::probe());
        }
    }
}

/// Waits until enough instances have reported, in response to requests sent since the read began,
/// that the primary's term is the one they have adopted.
///
/// # Errors
///
/// Fails when another term has started, or when too few instances respond before the deadline.
pub(super) async fn confirmed(
    home: &Home,
    target: &Target,
    began_at: Timestamp,
    deadline: Instant,
) -> Result<(), RefusalReason> {
    let mut changes = home.changes();
    loop {
        changes.mark_unchanged();
        if is_confirmed(home, target, began_at)? {
            return Ok(());
        }
        if timeout_at(deadline, changes.changed()).await.is_err() {
            return Err(RefusalReason::AnswerLost);
        }
    }
}

fn is_confirmed(home: &Home, target: &Target, began_at: Timestamp) -> Result<bool, RefusalReason> {
    let instances = home.instances();
    let others = instances
        .keys()
        .filter(|name| **name != target.instance.name);
    home.with_state(|state| {
        let mut confirming = 1;
        for latest in others.filter_map(|name| state.latest_report(name)) {
            let adopted = Some(&latest.report.adopted);
            if adopted > target.term.as_ref() {
                return Err(RefusalReason::TermChanged);
            }
            if adopted == target.term.as_ref() && latest.requested_at >= began_at {
                confirming += 1;
            }
        }
        Ok(confirming >= quorum::copies(instances.len()))
    })
}
