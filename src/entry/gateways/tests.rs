use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use super::{nearest_addresses, rendezvous_score, should_be_gateway};
use crate::entry::catalog::{Catalog, Database};
use crate::entry::record::VmRecord;
use crate::entry::settings::EntrySettings;
use crate::entry::state::State;
use crate::name::{DatabaseName, VmName, WorkspaceName, ZoneName};

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

fn chosen(vms: &BTreeMap<VmName, VmRecord>, connections: usize) -> Vec<VmName> {
    let state = State {
        catalog: Some(Rc::new(catalog(connections))),
        forwarders: vms.clone(),
        ..State::default()
    };
    let should_be_gateway = |vm: &VmName, record: &VmRecord| {
        let own = EntrySettings {
            vm: vm.clone(),
            availability_zone: record.availability_zone.clone(),
            cpu_share: record.cpu_share,
            ..EntrySettings::default()
        };
        should_be_gateway(&own, &state)
    };
    let chosen = vms
        .iter()
        .filter(|(vm, record)| should_be_gateway(vm, record));
    chosen.map(|(vm, _)| vm.clone()).collect()
}

fn catalog(max_connections: usize) -> Catalog {
    let name = DatabaseName::from("db");
    let database = Database {
        name: name.clone(),
        max_connections,
        synchronous_replicas: 1,
    };
    Catalog {
        databases: [(name, Arc::new(database))].into_iter().collect(),
        ..Catalog::default()
    }
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
fn removing_a_gateway_makes_exactly_one_other_vm_a_gateway() {
    let mut vms = fleet(&[group("a", 20, 0.25), group("b", 20, 0.25)]);
    let before = chosen(&vms, 80);
    vms.remove(&before[0]);
    let after = chosen(&vms, 80);
    assert_eq!(after.len(), before.len());
    let kept = before.iter().filter(|vm| after.contains(vm)).count();
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn a_vm_becomes_a_gateway_only_once_it_or_another_gateway_is_registered() {
    let own = EntrySettings {
        vm: VmName::from("vm-new"),
        ..EntrySettings::default()
    };
    let vms = |name: &str| BTreeMap::from([(VmName::from(name), record("a", 0.25))]);
    let mut state = State::default();
    assert!(!should_be_gateway(&own, &state));
    state.forwarders = vms("vm-1");
    assert!(!should_be_gateway(&own, &state));
    state.forwarders = vms("vm-new");
    assert!(should_be_gateway(&own, &state));
    state.forwarders = BTreeMap::new();
    state.gateways = vms("vm-1");
    assert!(should_be_gateway(&own, &state));
}

#[test]
fn gateways_serve_workspaces_in_proportion_to_their_capacity() {
    let vms = fleet(&[group("a", 1, 0.5), group("a", 1, 0.25)]);
    let mut served = BTreeMap::new();
    for index in 0..3_000 {
        let workspace = WorkspaceName::from(format!("council-{index}"));
        let preferred = vms.iter().min_by(|(a, x), (b, y)| {
            let first = rendezvous_score(a, x, &workspace);
            first.total_cmp(&rendezvous_score(b, y, &workspace))
        });
        *served.entry(preferred.unwrap().0.clone()).or_insert(0) += 1;
    }
    let large = served[&VmName::from("vm-a-0.5-0")];
    assert!((1_850..2_150).contains(&large), "{served:?}");
}

#[test]
fn nearest_gateways_are_those_of_the_own_zone_or_else_all() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let gateway = |name: &str, zone: &str, port: u16| {
        let record = VmRecord {
            peer_address: address(port),
            ..record(zone, 0.5)
        };
        (VmName::from(name), record)
    };
    let vms = [gateway("vm-1", "a", 1), gateway("vm-2", "b", 2)];
    let state = State {
        gateways: vms.into_iter().collect(),
        ..State::default()
    };
    let cases = [("a", vec![1]), ("b", vec![2]), ("c", vec![1, 2])];
    for (zone, expected) in cases {
        let own = EntrySettings {
            availability_zone: ZoneName::from(zone),
            ..EntrySettings::default()
        };
        let expected: Vec<_> = expected.into_iter().map(address).collect();
        assert_eq!(nearest_addresses(&state, &own), expected, "zone {zone}");
    }
}
