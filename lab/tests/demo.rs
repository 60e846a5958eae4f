//! The demo: saves through every VM are read through all VMs.

use std::time::Duration;

use currantlb_lab::demo;
use currantlb_lab::deployment::bagmati;
use currantlb_lab::fleet::FleetSettings;
use currantlb_lab::stand_ins::StandInSettings;

#[tokio::test(flavor = "multi_thread")]
async fn a_save_through_each_vm_is_read_through_every_vm() {
    let settings = FleetSettings::default();
    let report = demo::check(settings)
        .await
        .unwrap_or_else(|error| panic!("{error}"));
    assert_eq!((report.saves, report.reads), (9, 27));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_save_is_read_through_other_vms_while_replicas_lag() {
    let stand_ins = StandInSettings {
        deployment: bagmati(),
        replication_lag: Duration::from_millis(150),
        ..StandInSettings::default()
    };
    let settings = FleetSettings {
        stand_ins,
        vms: 2,
        ..FleetSettings::default()
    };
    let report = demo::check(settings)
        .await
        .unwrap_or_else(|error| panic!("{error}"));
    assert_eq!((report.saves, report.reads), (6, 12));
}
