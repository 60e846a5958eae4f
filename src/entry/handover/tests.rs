use super::Handover;
use crate::name::{DatabaseName, VmName};

#[test]
fn confirmations_are_recorded_only_for_a_replacement_in_progress() {
    let handover = Handover::default();
    let database = DatabaseName::from("canopy-1");
    let (running, former) = ((database.clone(), 8), (database, 7));
    let vm = VmName::from("vm-1");
    assert!(!handover.record_confirmation(&running, vm.clone()));
    handover.begin(running.clone());
    assert!(!handover.record_confirmation(&former, vm.clone()));
    assert!(!handover.has_confirmed(&running, &vm));
    assert!(handover.record_confirmation(&running, vm.clone()));
    assert!(handover.has_confirmed(&running, &vm));
    handover.end(&running);
    assert!(!handover.has_confirmed(&running, &vm));
}
