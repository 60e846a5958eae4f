use super::*;

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        vm: format!("vm-{index}").into(),
        availability_zone: format!("zone-{}", index % 4).into(),
    };
    (0..count).map(candidate).collect()
}

fn place(vms: usize, databases: usize) -> BTreeMap<DatabaseName, VmName> {
    let mut placement = Placement::new(candidates(vms), []);
    let name = |index| DatabaseName::from(format!("database-{index}"));
    (0..databases)
        .map(name)
        .filter_map(|database| Some((database.clone(), placement.choose(&database)?)))
        .collect()
}

#[test]
fn homes_spread_over_vms_and_zones() {
    struct Case {
        vms: usize,
        databases: usize,
        most_by_vm: usize,
        most_by_zone: usize,
    }
    let cases = [
        Case {
            vms: 1,
            databases: 3,
            most_by_vm: 3,
            most_by_zone: 3,
        },
        Case {
            vms: 8,
            databases: 3,
            most_by_vm: 1,
            most_by_zone: 1,
        },
        Case {
            vms: 8,
            databases: 4,
            most_by_vm: 1,
            most_by_zone: 1,
        },
        Case {
            vms: 32,
            databases: 250,
            most_by_vm: 8,
            most_by_zone: 64,
        },
    ];
    for case in cases {
        let homes = place(case.vms, case.databases);
        let mut by_vm: BTreeMap<&str, usize> = BTreeMap::new();
        let mut by_zone: BTreeMap<usize, usize> = BTreeMap::new();
        for vm in homes.values() {
            *by_vm.entry(vm).or_default() += 1;
            let index: usize = vm.trim_start_matches("vm-").parse().unwrap();
            *by_zone.entry(index % 4).or_default() += 1;
        }
        assert_eq!(homes.len(), case.databases);
        assert!(
            by_vm.values().all(|homes| *homes <= case.most_by_vm),
            "{by_vm:?}"
        );
        assert!(
            by_zone.values().all(|homes| *homes <= case.most_by_zone),
            "{by_zone:?}"
        );
    }
}

#[test]
fn a_home_moves_only_if_another_vm_has_two_homes_fewer() {
    let homes = place(4, 8);
    let balanced = Placement::new(candidates(4), homes.values());
    assert_eq!(balanced.rebalance(homes.iter()), None);
    let joined = Placement::new(candidates(5), homes.values());
    let moved = joined.rebalance(homes.iter()).unwrap();
    assert_eq!(homes[&moved.database], moved.from);
}
