use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Ranked, nearest_addresses, rank, rendezvous_score};
use crate::entry::record::VmRecord;
use crate::entry::settings::EntrySettings;
use crate::entry::state::State;
use crate::name::{VmName, WorkspaceName, ZoneName};

fn record(zone: &str, cpu_share: f64) -> VmRecord {
    VmRecord {
        lease: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        availability_zone: ZoneName::from(zone),
        cpu_share,
    }
}

#[test]
fn gateways_serve_workspaces_in_proportion_to_their_capacity() {
    let vms = [0.5, 0.25].map(|cpu_share| {
        let name = VmName::from(format!("vm-a-{cpu_share}-0"));
        (name, record("a", cpu_share))
    });
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

struct RankCase {
    name: &'static str,
    primary_zone: Option<&'static str>,
    /// Zone of each gateway in the order of their hashes, and whether it accepts tasks.
    gateways: Vec<(&'static str, bool)>,
    expected: Vec<usize>,
}

/// Guards against every gateway opening connections to every primary for the same workspaces: with
/// the own zone first, the callers of each zone used another gateway.
#[test]
fn tasks_that_need_the_primary_go_to_the_gateways_in_its_zone() {
    let cases = [
        RankCase {
            name: "without a primary's zone, the own zone is first",
            primary_zone: None,
            gateways: vec![("b", true), ("a", true), ("c", true)],
            expected: vec![1, 0, 2],
        },
        RankCase {
            name: "the primary's zone is first, then the own one",
            primary_zone: Some("c"),
            gateways: vec![("b", true), ("a", true), ("c", true)],
            expected: vec![2, 1, 0],
        },
        RankCase {
            name: "at most two in the primary's zone come before the own one",
            primary_zone: Some("c"),
            gateways: vec![("c", true), ("c", true), ("c", true), ("a", true)],
            expected: vec![0, 1, 3, 2],
        },
        RankCase {
            name: "one that declines is last",
            primary_zone: Some("c"),
            gateways: vec![("c", false), ("b", true), ("a", true)],
            expected: vec![2, 1, 0],
        },
        RankCase {
            name: "a zone without gateways changes nothing",
            primary_zone: Some("d"),
            gateways: vec![("b", true), ("a", true)],
            expected: vec![1, 0],
        },
    ];
    for case in cases {
        let gateways = case.gateways.iter().enumerate();
        let gateways = gateways.map(|(index, (zone, accepts_tasks))| Ranked {
            accepts_tasks: *accepts_tasks,
            availability_zone: ZoneName::from(*zone),
            score: index as f64,
            gateway: index,
        });
        let primary_zone = case.primary_zone.map(ZoneName::from);
        let own_zone = ZoneName::from("a");
        let ranked = rank(gateways.collect(), &own_zone, primary_zone.as_ref());
        assert_eq!(ranked, case.expected, "{}", case.name);
    }
}
