use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use super::{distance, is_chosen, near};
use crate::entry::catalog::{Catalog, Database};
use crate::entry::record::VmRecord;
use crate::entry::settings::EntrySettings;
use crate::entry::state::State;
use crate::name::{DatabaseName, VmName, WorkspaceName, ZoneName};

/// VMs of one zone and size.
#[derive(Clone, Copy)]
struct Part {
    zone: &'static str,
    count: usize,
    cpu_share: f64,
}

const fn part(zone: &'static str, count: usize, cpu_share: f64) -> Part {
    Part {
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

fn fleet(parts: &[Part]) -> BTreeMap<VmName, VmRecord> {
    let vms = parts.iter().flat_map(|part| {
        (0..part.count).map(|index| {
            let name = format!("vm-{}-{}-{index}", part.zone, part.cpu_share);
            (VmName::from(name), record(part.zone, part.cpu_share))
        })
    });
    vms.collect()
}

fn chosen(vms: &BTreeMap<VmName, VmRecord>, connections: usize) -> Vec<VmName> {
    let state = State {
        catalog: Some(Rc::new(catalog(connections))),
        entries: vms.clone(),
        ..State::default()
    };
    let is_chosen = |vm: &VmName, record: &VmRecord| {
        let own = EntrySettings {
            vm: vm.clone(),
            availability_zone: record.availability_zone.clone(),
            cpu_share: record.cpu_share,
            ..EntrySettings::default()
        };
        is_chosen(&own, &state)
    };
    let chosen = vms.iter().filter(|(vm, record)| is_chosen(vm, record));
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
fn the_vms_with_the_most_capacity_are_gateways_where_not_all_can_be() {
    struct Case {
        parts: Vec<Part>,
        connections: usize,
        /// Prefixes of names, with how many such VMs are gateways.
        expected: Vec<(&'static str, usize)>,
    }
    let grown = |large: usize| {
        let zones = ["a", "b", "c", "d"];
        let parts = zones.map(|zone| [part(zone, large, 0.5), part(zone, 20, 0.12)]);
        parts.concat()
    };
    let cases = [
        // Few: each serves its own callers.
        Case {
            parts: vec![part("a", 2, 0.25), part("b", 2, 0.25), part("c", 3, 0.12)],
            connections: 21,
            expected: vec![("vm-a-0.25", 2), ("vm-b-0.25", 2), ("vm-c-0.12", 3)],
        },
        // Small ones next to large ones aren't, however many connections there are.
        Case {
            parts: grown(2),
            connections: 285,
            expected: vec![
                ("vm-a-0.5", 2),
                ("vm-b-0.5", 2),
                ("vm-c-0.5", 2),
                ("vm-d-0.5", 2),
            ],
        },
        // Without large ones, some of the small ones are.
        Case {
            parts: grown(0),
            connections: 82,
            expected: vec![
                ("vm-a-0.12", 2),
                ("vm-b-0.12", 2),
                ("vm-c-0.12", 2),
                ("vm-d-0.12", 2),
            ],
        },
        Case {
            parts: vec![part("a", 100, 0.25), part("b", 100, 0.25)],
            connections: 200,
            expected: vec![("vm-a-0.25", 10), ("vm-b-0.25", 10)],
        },
    ];
    for case in cases {
        let chosen = chosen(&fleet(&case.parts), case.connections);
        for (prefix, count) in &case.expected {
            let found = chosen.iter().filter(|vm| vm.starts_with(prefix)).count();
            assert_eq!(found, *count, "{prefix} of {chosen:?}");
        }
        let expected: usize = case.expected.iter().map(|(_, count)| count).sum();
        assert_eq!(chosen.len(), expected, "{chosen:?}");
    }
}

#[test]
fn another_vm_takes_the_place_of_a_gateway_that_left() {
    let mut vms = fleet(&[part("a", 20, 0.25), part("b", 20, 0.25)]);
    let before = chosen(&vms, 80);
    vms.remove(&before[0]);
    let after = chosen(&vms, 80);
    assert_eq!(after.len(), before.len());
    let kept = before.iter().filter(|vm| after.contains(vm)).count();
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn vms_that_start_together_wait_for_each_other() {
    let own = EntrySettings {
        vm: VmName::from("vm-new"),
        ..EntrySettings::default()
    };
    let vms = |name: &str| BTreeMap::from([(VmName::from(name), record("a", 0.25))]);
    let mut state = State::default();
    assert!(!is_chosen(&own, &state));
    state.entries = vms("vm-1");
    assert!(!is_chosen(&own, &state));
    state.entries = vms("vm-new");
    assert!(is_chosen(&own, &state));
    state.entries = BTreeMap::new();
    state.gateways = vms("vm-1");
    assert!(is_chosen(&own, &state));
}

#[test]
fn gateways_serve_workspaces_in_proportion_to_their_capacity() {
    let vms = fleet(&[part("a", 1, 0.5), part("a", 1, 0.25)]);
    let mut served = BTreeMap::new();
    for index in 0..3_000 {
        let workspace = WorkspaceName::from(format!("council-{index}"));
        let nearest = vms.iter().min_by(|(a, x), (b, y)| {
            let first = distance(a, x, &workspace);
            first.total_cmp(&distance(b, y, &workspace))
        });
        *served.entry(nearest.unwrap().0.clone()).or_insert(0) += 1;
    }
    let large = served[&VmName::from("vm-a-0.5-0")];
    assert!((1_850..2_150).contains(&large), "{served:?}");
}

#[test]
fn gateways_of_the_own_zone_are_asked_where_there_are_any() {
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
        assert_eq!(near(&state, &own), expected, "zone {zone}");
    }
}
