use super::Handover;
use crate::name::{DatabaseName, VmName};

#[test]
fn only_confirmations_of_the_running_replacement_count() {
    let handover = Handover::default();
    let database = DatabaseName::from("canopy-1");
    let (running, former) = ((database.clone(), 8), (database, 7));
    let vm = VmName::from("vm-1");
    assert!(!handover.hear(&running, vm.clone()));
    handover.begin(running.clone());
    assert!(!handover.hear(&former, vm.clone()));
    assert!(!handover.has_heard(&running, &vm));
    assert!(handover.hear(&running, vm.clone()));
    assert!(handover.has_heard(&running, &vm));
    handover.end(&running);
    assert!(!handover.has_heard(&running, &vm));
}
