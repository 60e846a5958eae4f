use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::{change_delay, should_be_gateway};
use crate::entry::catalog::{Catalog, Database};
use crate::entry::record::VmRecord;
use crate::entry::settings::EntrySettings;
use crate::entry::state::State;
use crate::name::{DatabaseName, VmName, ZoneName};

/// Number of role changes after which a fleet must have settled.
const MAX_CHANGES: usize = 1_000;

/// VMs with the same zone and capacity.
#[derive(Clone, Copy)]
struct VmGroup {
    zone: &'static str,
    count: usize,
    cpu_share: f64,
}

const fn group(zone: &'static str, count: usize, cpu_share: f64) -> VmGroup {
    VmGroup {
        zone,
        count,
        cpu_share,
    }
}

fn record(zone: &str, cpu_share: f64) -> VmRecord {
    VmRecord {
        lease: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        availability_zone: ZoneName::from(zone),
        cpu_share,
    }
}

fn fleet(groups: &[VmGroup]) -> BTreeMap<VmName, VmRecord> {
    let vms = groups.iter().flat_map(|group| {
        (0..group.count).map(|index| {
            let name = format!("vm-{}-{}-{index}", group.zone, group.cpu_share);
            (VmName::from(name), record(group.zone, group.cpu_share))
        })
    });
    vms.collect()
}

fn catalog(max_connections: usize) -> Catalog {
    let name = DatabaseName::from("db");
    let database = Database {
        name: name.clone(),
        max_connections,
        synchronous_replicas: 1,
        cold_per_s: 0.0,
    };
    Catalog {
        databases: [(name, Arc::new(database))].into_iter().collect(),
        ..Catalog::default()
    }
}

/// Fleet in which VMs change their roles one after the other, those with the shortest delay first.
struct Fleet {
    vms: BTreeMap<VmName, VmRecord>,
    state: State,
}

impl Fleet {
    fn new(vms: BTreeMap<VmName, VmRecord>, connections: usize) -> Self {
        let state = State {
            catalog: Some(Rc::new(catalog(connections))),
            ..State::default()
        };
        Self { vms, state }
    }

    fn settings(&self, vm: &VmName) -> EntrySettings {
        let record = &self.vms[vm];
        EntrySettings {
            vm: vm.clone(),
            availability_zone: record.availability_zone.clone(),
            cpu_share: record.cpu_share,
            ..EntrySettings::default()
        }
    }

    /// Returns the VM that changes its role next; `None` when each is in the right one.
    fn next_change(&mut self) -> Option<VmName> {
        let mut due: Option<(Duration, VmName)> = None;
        for vm in self.vms.keys().cloned().collect::<Vec<_>>() {
            let own = self.settings(&vm);
            self.state.gateway = self.state.gateways.contains_key(&vm);
            if should_be_gateway(&own, &self.state) != self.state.gateway {
                let delay = change_delay(&own, &self.state);
                if due.as_ref().is_none_or(|(earliest, _)| delay < *earliest) {
                    due = Some((delay, vm));
                }
            }
        }
        due.map(|(_, vm)| vm)
    }

    /// Changes roles until each VM is in the right one; returns the number of changes.
    fn settle(&mut self) -> usize {
        for changes in 0..MAX_CHANGES {
            let Some(vm) = self.next_change() else {
                return changes;
            };
            if self.state.gateways.remove(&vm).is_none() {
                self.state
                    .gateways
                    .insert(vm.clone(), self.vms[&vm].clone());
            }
        }
        panic!("the fleet doesn't settle: {:?}", self.state.gateways.keys());
    }

    fn gateways(&self) -> Vec<VmName> {
        self.state.gateways.keys().cloned().collect()
    }
}

fn chosen(vms: &BTreeMap<VmName, VmRecord>, connections: usize) -> Vec<VmName> {
    let mut fleet = Fleet::new(vms.clone(), connections);
    fleet.settle();
    fleet.gateways()
}

#[test]
fn the_largest_vms_of_each_zone_become_gateways_when_not_all_can() {
    struct Case {
        groups: Vec<VmGroup>,
        connections: usize,
        /// Prefixes of VM names, with the number of gateways among these VMs.
        expected: Vec<(&'static str, usize)>,
    }
    let with_large_vms = |large: usize| {
        let zones = ["a", "b", "c", "d"];
        let groups = zones.map(|zone| [group(zone, large, 0.5), group(zone, 20, 0.12)]);
        groups.concat()
    };
    let cases = [
        // With few VMs, each is a gateway.
        Case {
            groups: vec![
                group("a", 2, 0.25),
                group("b", 2, 0.25),
                group("c", 3, 0.12),
            ],
            connections: 21,
            expected: vec![("vm-a-0.25", 2), ("vm-b-0.25", 2), ("vm-c-0.12", 3)],
        },
        // Small VMs beside large ones aren't gateways, however many connections there are.
        Case {
            groups: with_large_vms(2),
            connections: 285,
            expected: vec![
                ("vm-a-0.5", 2),
                ("vm-b-0.5", 2),
                ("vm-c-0.5", 2),
                ("vm-d-0.5", 2),
            ],
        },
        // Without large VMs, some of the small ones are gateways.
        Case {
            groups: with_large_vms(0),
            connections: 82,
            expected: vec![
                ("vm-a-0.12", 2),
                ("vm-b-0.12", 2),
                ("vm-c-0.12", 2),
                ("vm-d-0.12", 2),
            ],
        },
        Case {
            groups: vec![group("a", 100, 0.25), group("b", 100, 0.25)],
            connections: 200,
            expected: vec![("vm-a-0.25", 10), ("vm-b-0.25", 10)],
        },
    ];
    for case in cases {
        let chosen = chosen(&fleet(&case.groups), case.connections);
        for (prefix, count) in &case.expected {
            let found = chosen.iter().filter(|vm| vm.starts_with(prefix)).count();
            assert_eq!(found, *count, "{prefix} of {chosen:?}");
        }
        let expected: usize = case.expected.iter().map(|(_, count)| count).sum();
        assert_eq!(chosen.len(), expected, "{chosen:?}");
    }
}

#[test]
fn large_vms_register_first_and_no_other_registers_before_they_are_enough() {
    let mut vms = fleet(&[group("a", 5, 0.5), group("b", 5, 0.5)]);
    vms.extend(fleet(&[group("a", 140, 0.12), group("b", 140, 0.12)]));
    let mut fleet = Fleet::new(vms, 216);
    assert_eq!(fleet.settle(), 10);
    assert!(fleet.gateways().iter().all(|vm| vm.contains("0.5")));
}

#[test]
fn a_missing_gateway_is_replaced_by_exactly_one_vm_and_the_others_stay() {
    let mut fleet = Fleet::new(fleet(&[group("a", 20, 0.25), group("b", 20, 0.25)]), 80);
    fleet.settle();
    let before = fleet.gateways();
    fleet.vms.remove(&before[0]);
    fleet.state.gateways.remove(&before[0]);
    assert_eq!(fleet.settle(), 1);
    let after = fleet.gateways();
    assert_eq!(after.len(), before.len());
    let kept = before.iter().filter(|vm| after.contains(vm)).count();
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn gateways_too_many_leave_and_the_others_stay() {
    let vms = fleet(&[group("a", 12, 0.25), group("b", 12, 0.25)]);
    let mut fleet = Fleet::new(vms, 80);
    fleet.state.gateways = fleet.vms.clone();
    assert_eq!(fleet.settle(), 16);
    assert_eq!(fleet.gateways().len(), 8);
}

/// VM with the registrations that it knows, and the range of its delay.
struct DelayCase {
    name: &'static str,
    cpu_share: f64,
    registered: &'static [&'static str],
    is_gateway: bool,
    expected_ms: std::ops::Range<u128>,
}

const ENOUGH: &[&str] = &["1", "2", "3", "4", "5", "6", "7", "8"];

const DELAY_CASES: [DelayCase; 5] = [
    DelayCase {
        name: "restarts while its registration stands",
        cpu_share: 0.25,
        registered: &["vm-own", "vm-1"],
        is_gateway: false,
        expected_ms: 0..1,
    },
    DelayCase {
        name: "starts in a fleet without gateways",
        cpu_share: 0.25,
        registered: &[],
        is_gateway: false,
        expected_ms: 200..301,
    },
    DelayCase {
        name: "a larger one starts in a fleet without gateways",
        cpu_share: 1.0,
        registered: &[],
        is_gateway: false,
        expected_ms: 0..101,
    },
    DelayCase {
        name: "replaces a missing gateway",
        cpu_share: 1.0,
        registered: ENOUGH,
        is_gateway: false,
        expected_ms: 1_500..1_601,
    },
    DelayCase {
        name: "leaves",
        cpu_share: 1.0,
        registered: &["vm-own", "vm-1"],
        is_gateway: true,
        expected_ms: 1_500..1_501,
    },
];

#[test]
fn a_vm_that_restarts_returns_to_its_role_at_once_and_a_new_one_waits() {
    for case in DELAY_CASES {
        let own = EntrySettings {
            vm: VmName::from("vm-own"),
            cpu_share: case.cpu_share,
            ..EntrySettings::default()
        };
        let registered = case.registered.iter().copied();
        let state = State {
            gateway: case.is_gateway,
            gateways: registered
                .map(|vm| (VmName::from(vm), record("a", 0.25)))
                .collect(),
            ..State::default()
        };
        let delay_ms = change_delay(&own, &state).as_millis();
        assert!(
            case.expected_ms.contains(&delay_ms),
            "{}: {delay_ms}",
            case.name
        );
    }
}

/// Replays the loss of two of eight large gateways in a fleet of 65 VMs. Seven small VMs registered within
/// 30 ms, before they saw each other, and five of them left again after 2 s.
#[test]
fn few_small_vms_stand_in_for_missing_gateways() {
    const SEEN_AFTER: Duration = Duration::from_millis(30);
    let large = (0..8).map(|index| (format!("vm-large-{index}"), 0.5));
    let small = (0..57).map(|index| (format!("vm-small-{index}"), 0.12));
    let zones = ["a", "b", "c", "d"];
    let vms = large.chain(small).zip(zones.iter().cycle());
    let vms = vms.map(|((vm, cpu_share), zone)| (VmName::from(vm), record(zone, cpu_share)));
    let mut fleet = Fleet::new(vms.collect(), 73);
    fleet.settle();
    for lost in ["vm-large-0", "vm-large-1"].map(VmName::from) {
        fleet.vms.remove(&lost);
        fleet.state.gateways.remove(&lost);
    }
    fleet.state.gateway = false;
    let waiting = fleet.vms.keys().map(|vm| fleet.settings(vm));
    let waiting = waiting.filter(|own| !fleet.state.gateways.contains_key(&own.vm));
    let waiting = waiting.filter(|own| should_be_gateway(own, &fleet.state));
    let delays: Vec<_> = waiting
        .map(|own| change_delay(&own, &fleet.state))
        .collect();
    let first = delays.iter().min().expect("VMs stand in");
    let unseen = delays.iter().filter(|delay| **delay < *first + SEEN_AFTER);
    assert!(unseen.count() <= 4, "{delays:?}");
}
