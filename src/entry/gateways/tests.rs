use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{nearest_addresses, rendezvous_score};
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
