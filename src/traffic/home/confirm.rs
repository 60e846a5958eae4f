//! Confirmation that the primary of a read was still one when the read began.

use tokio::time::{Instant, timeout_at};

use super::choose::Place;
use super::database::Home;
use crate::control::quorum;
use crate::time::Timestamp;
use crate::traffic::RefusalReason;
use crate::traffic::instance::Question;

/// Asks the other instances which term they have adopted; sent when the read begins.
pub(super) fn ask(home: &Home, place: &Place) {
    for (name, instance) in home.instances().iter() {
        if *name != place.instance.name {
            instance.ask(Question::probe());
        }
    }
}

/// Waits until enough instances have said, since the read began, that the primary's term is the
/// one they have adopted.
///
/// # Errors
///
/// Fails when another term has started, or too few answer before the deadline.
pub(super) async fn confirmed(
    home: &Home,
    place: &Place,
    began_at: Timestamp,
    deadline: Instant,
) -> Result<(), RefusalReason> {
    let mut changes = home.changes();
    loop {
        changes.mark_unchanged();
        if is_confirmed(home, place, began_at)? {
            return Ok(());
        }
        if timeout_at(deadline, changes.changed()).await.is_err() {
            return Err(RefusalReason::AnswerLost);
        }
    }
}

fn is_confirmed(home: &Home, place: &Place, began_at: Timestamp) -> Result<bool, RefusalReason> {
    let instances = home.instances();
    let others = instances
        .keys()
        .filter(|name| **name != place.instance.name);
    home.with_state(|state| {
        let mut confirming = 1;
        for heard in others.filter_map(|name| state.report_of(name)) {
            let adopted = Some(&heard.report.adopted);
            if adopted > place.term.as_ref() {
                return Err(RefusalReason::TermChanged);
            }
            if adopted == place.term.as_ref() && heard.asked_at >= began_at {
                confirming += 1;
            }
        }
        Ok(confirming >= quorum::copies(instances.len()))
    })
}
