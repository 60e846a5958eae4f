use proptest::prelude::*;

use super::*;
use crate::configuration::{PresetInForce, Route, RoutePolicy};
use crate::control::snapshot::Standing;
use crate::control::tests::cell::{Service, TestCell, vm};

/// Number of VMs in the test cell.
const VMS: usize = 8;

fn preset_in_force(version: u64) -> Record {
    let preset = format!("preset-{version}").into();
    Record::InForce(PresetInForce {
        preset,
        version,
        operation: "op".into(),
    })
}

fn started() -> TestCell {
    let mut cell = TestCell::new(VMS, 3);
    cell.put_record(&preset_in_force(1));
    for index in 1..=VMS {
        cell.start(index);
    }
    cell.run(3_000);
    assert_eq!(versions(&cell), [1; VMS]);
    cell
}

fn version(cell: &TestCell, index: usize) -> u64 {
    cell.board(index).configuration.current.preset_version()
}

fn versions(cell: &TestCell) -> Vec<u64> {
    (1..=VMS).map(|index| version(cell, index)).collect()
}

#[test]
fn a_change_of_preset_reaches_every_vm_through_two_watchers() {
    let mut cell = started();
    assert_eq!(cell.watchers().len(), 2);
    let calls = cell.service_calls;
    cell.put_record(&preset_in_force(2));
    cell.run(50);
    assert_eq!(versions(&cell), [2; VMS]);
    cell.run(60_000);
    let calls_a_minute = cell.service_calls - calls;
    // Leases and reads of the VM list cause the calls of the whole cell; the configuration adds
    // only the two watches.
    assert!(calls_a_minute < 150, "{calls_a_minute} calls in a minute");
}

#[test]
fn a_vm_that_missed_a_change_gets_it_by_the_next_digest() {
    let mut cell = started();
    cell.isolate(5, VMS);
    cell.put_record(&preset_in_force(2));
    cell.run(500);
    assert_eq!(version(&cell, 5), 1);
    cell.lost_links.clear();
    cell.run(2_000);
    assert_eq!(versions(&cell), [2; VMS]);
}

#[test]
fn a_change_reaches_every_vm_within_three_seconds_despite_lost_messages() {
    let mut cell = started();
    cell.lose_every = 3;
    for version in 2..12 {
        cell.put_record(&preset_in_force(version));
        cell.run(3_000);
        assert_eq!(versions(&cell), [version; VMS]);
    }
}

#[test]
fn dead_watchers_are_replaced() {
    let mut cell = started();
    for name in cell.watchers() {
        let index = (1..=VMS).find(|index| vm(*index) == name).unwrap();
        cell.kill(index);
    }
    cell.run(10_000);
    cell.put_record(&preset_in_force(2));
    cell.run(3_000);
    let running: Vec<_> = (1..=VMS).filter(|index| cell.is_running(*index)).collect();
    assert_eq!(running.len(), VMS - 2);
    for index in running {
        assert_eq!(version(&cell, index), 2, "{}", vm(index));
    }
}

#[test]
fn a_vm_that_starts_during_an_outage_takes_the_configuration_from_peers() {
    let mut cell = started();
    cell.kill(4);
    cell.service = Service::Down;
    cell.run(1_000);
    cell.start_with_list(4);
    cell.run(3_000);
    assert_eq!(version(&cell, 4), 1);
    assert_eq!(cell.board(4).standing, Standing::Serving);
}

#[test]
fn vms_keep_serving_during_a_service_outage_and_get_missed_changes_afterwards() {
    let mut cell = started();
    cell.service = Service::Down;
    cell.run(60_000);
    assert_eq!(cell.serving(), VMS);
    cell.put_record(&preset_in_force(2));
    cell.service = Service::Up;
    cell.run(3_000);
    assert_eq!(versions(&cell), [2; VMS]);
}

#[test]
fn an_isolated_vm_stops_serving_until_it_is_reconnected() {
    let mut cell = started();
    cell.isolate(6, VMS);
    cell.cut_from_service(6);
    let limit_ms = cell.board(6).settings.isolation_limit_ms;
    cell.run(limit_ms + 500);
    assert_eq!(cell.board(6).standing, Standing::Isolated);
    assert_eq!(cell.serving(), VMS - 1);
    cell.lost_links.clear();
    cell.restore_service(6);
    cell.run(3_000);
    assert_eq!(cell.board(6).standing, Standing::Serving);
}

#[test]
fn a_vm_without_the_service_receives_changes_from_its_peers() {
    let mut cell = started();
    for index in 1..=VMS {
        if !cell.watchers().contains(&vm(index)) {
            cell.cut_from_service(index);
        }
    }
    cell.put_record(&preset_in_force(2));
    cell.run(1_000);
    assert_eq!(versions(&cell), [2; VMS]);
}

#[test]
fn the_relay_tree_reaches_every_vm_once() {
    for count in [1, 2, 4, 8, 13, 32, 64] {
        let members: Vec<_> = (1..=count).map(vm).collect();
        for revision in 1..20 {
            let mut reached = vec![vm(1)];
            let mut next = 0;
            while next < reached.len() {
                let own = reached[next].clone();
                let revision = Revision(revision);
                reached.extend(relay::children(members.clone(), &vm(1), &own, revision));
                next += 1;
            }
            reached.sort();
            let mut expected = members.clone();
            expected.sort();
            assert_eq!(reached, expected, "{count} VMs at revision {revision}");
        }
    }
}

fn change(revision: u64) -> ConfigurationChange {
    let name = format!("route-{}", revision % 3);
    let policy = RoutePolicy {
        max_staleness_ms: revision as u32,
        ..RoutePolicy::default()
    };
    ConfigurationChange {
        revision: Revision(revision),
        path: crate::configuration::RecordPath::Route(name.as_str().into()),
        record: Some(Record::Route(Route {
            name: name.as_str().into(),
            policy,
        })),
    }
}

fn configuration_at(revision: u64) -> Configuration {
    let mut configuration = Configuration::default();
    configuration.apply_batch((1..=revision).map(change).collect(), Revision(revision));
    configuration
}

proptest! {
    /// Batches and whole configurations may arrive in any order, repeatedly, and from any revision.
    #[test]
    fn a_vm_never_goes_back_and_never_mixes_revisions(
        messages in proptest::collection::vec((1_u64..30, 0_u64..30, any::<bool>()), 1..60),
    ) {
        let mut cell = TestCell::new(1, 0);
        cell.start(1);
        let board = cell.board_mut(1);
        let mut last = 0;
        for (upto, after, is_whole) in messages {
            let message = if is_whole {
                ConfigurationMessage::Full { configuration: Arc::new(configuration_at(upto)) }
            } else {
                let after = after.min(upto);
                let changes = (after + 1..=upto).map(change).collect();
                let (after, upto) = (Revision(after), Revision(upto));
                ConfigurationMessage::Changes { origin: None, after, upto, changes }
            };
            let event = Event::Peer {
                from: vm(2),
                incarnation: crate::control::blackboard::Incarnation(1),
                message: PeerMessage::Configuration(message),
            };
            handle(board, &event, Timestamp::from_millis(1));
            let revision = board.configuration.current.revision.0;
            prop_assert!(revision >= last);
            last = revision;
            prop_assert_eq!(&*board.configuration.current, &configuration_at(revision));
        }
    }
}
