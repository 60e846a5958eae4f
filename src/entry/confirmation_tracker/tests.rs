use super::ConfirmationTracker;
use crate::name::{DatabaseName, VmName};

#[test]
fn confirmations_are_recorded_only_for_a_replacement_in_progress() {
    let tracker = ConfirmationTracker::default();
    let database = DatabaseName::from("canopy-1");
    let (running, former) = ((database.clone(), 8), (database, 7));
    let vm = VmName::from("vm-1");
    assert!(!tracker.record_confirmation(&running, vm.clone()));
    tracker.begin(running.clone());
    assert!(!tracker.record_confirmation(&former, vm.clone()));
    assert!(!tracker.has_confirmed(&running, &vm));
    assert!(tracker.record_confirmation(&running, vm.clone()));
    assert!(tracker.has_confirmed(&running, &vm));
    tracker.end(&running);
    assert!(!tracker.has_confirmed(&running, &vm));
}
