use proptest::prelude::*;

use super::*;
use crate::control::membership::VmState;
use crate::control::tests::cell::{Service, TestCell, index, vm};

fn started(vms: usize, databases: usize) -> TestCell {
    let mut cell = TestCell::new(vms, databases);
    for index in 1..=vms {
        cell.start(index);
    }
    cell.run_until_served(2_000);
    cell
}

fn longest_gap(cell: &TestCell) -> Duration {
    cell.longest_gap.values().copied().max().unwrap_or_default()
}

#[test]
fn a_cell_without_a_record_spreads_all_homes_within_a_second() {
    for vms in 1..=8 {
        let mut cell = TestCell::new(vms, 3);
        for index in 1..=vms {
            cell.start(index);
        }
        cell.run_until_served(1_000);
        cell.run(500);
        let homes = cell.served();
        let mut by_vm: BTreeMap<_, usize> = BTreeMap::new();
        for home in homes.values() {
            *by_vm.entry(home.clone()).or_default() += 1;
        }
        let most = by_vm.values().max().copied().unwrap();
        assert!(most <= 3_usize.div_ceil(vms), "{vms} VMs: {homes:?}");
        for index in 1..=vms {
            let known: BTreeMap<_, _> = cell
                .board(index)
                .homes
                .homes
                .iter()
                .map(|(d, h)| (d.clone(), h.vm.clone()))
                .collect();
            assert_eq!(known, homes, "table of vm-{index}");
        }
        assert_eq!(cell.serving(), vms);
    }
}

#[test]
fn a_killed_home_is_replaced_after_its_lease_expires() {
    let mut cell = started(8, 3);
    let leader = cell.leader().unwrap();
    let home = cell
        .served()
        .into_values()
        .find(|vm| *vm != leader)
        .unwrap();
    cell.run(3_000);
    cell.kill(index(&home));
    cell.run_until_served(5_000);
    assert!(
        longest_gap(&cell) <= Duration::from_secs(4),
        "{:?}",
        longest_gap(&cell)
    );
    assert!(cell.served().values().all(|vm| *vm != home));
}

#[test]
fn a_killed_leader_is_replaced_before_other_vms_lose_their_leases() {
    let mut cell = started(8, 8);
    let leader = cell.leader().unwrap();
    cell.run(5_000);
    cell.kill(index(&leader));
    cell.run_until_served(5_000);
    let gap = longest_gap(&cell);
    assert!(gap <= Duration::from_secs(4), "{gap:?}");
    let kept = cell
        .longest_gap
        .values()
        .filter(|gap| gap.is_zero() || **gap <= Duration::from_millis(5));
    assert_eq!(kept.count(), 7, "{:?}", cell.longest_gap);
}

#[test]
fn a_leader_without_the_table_rebuilds_it_from_the_holders() {
    let mut cell = started(3, 6);
    let leader = cell.leader().unwrap();
    let indexes = 1..=3;
    for index in indexes.clone() {
        if vm(index) == leader {
            cell.kill(index);
        } else {
            cell.board_mut(index).homes.homes = std::sync::Arc::default();
        }
    }
    cell.run(10_000);
    assert_eq!(cell.served().len(), 6);
    for index in indexes.filter(|index| cell.is_running(*index)) {
        let board = cell.board(index);
        for (database, holder) in cell.served() {
            let known = board.homes.homes.get(&database).map(|view| &view.vm);
            assert_eq!(known, Some(&holder), "{database} at {}", vm(index));
        }
    }
}

#[test]
fn homes_stay_served_while_the_service_is_down() {
    let mut cell = started(8, 3);
    cell.run(1_000);
    cell.service = Service::Down;
    cell.run(60_000);
    assert!(
        longest_gap(&cell) <= Duration::from_millis(5),
        "{:?}",
        cell.longest_gap
    );
    let leader = cell.leader().unwrap();
    let home = cell
        .served()
        .into_values()
        .find(|vm| *vm != leader)
        .unwrap();
    cell.kill(index(&home));
    cell.run_until_served(5_000);
}

#[test]
fn no_leader_is_elected_while_the_service_is_down() {
    let mut cell = started(5, 3);
    cell.run(5_000);
    cell.service = Service::Down;
    let leader = cell.leader().unwrap();
    cell.kill(index(&leader));
    cell.run(30_000);
    assert_eq!(cell.leader(), None);
    assert!(cell.served().is_empty());
    cell.service = Service::Up;
    cell.run_until_served(6_000);
    assert!(cell.leader().is_some());
}

#[test]
fn a_leader_whose_replies_are_lost_is_replaced_and_steps_down() {
    let mut cell = started(5, 5);
    cell.run(5_000);
    let leader = cell.leader().unwrap();
    for other in (1..=5).map(vm).filter(|vm| *vm != leader) {
        cell.lost_links.insert((leader.clone(), other));
    }
    cell.run(8_000);
    assert!(
        cell.served().values().all(|vm| *vm != leader),
        "{:?}",
        cell.served()
    );
    assert_eq!(cell.served().len(), 5);
    cell.lost_links.clear();
    cell.run(5_000);
    assert!(cell.leader().is_some_and(|now| now != leader));
}

#[test]
fn a_member_that_receives_nothing_from_a_leader_does_not_replace_it_while_others_follow() {
    let mut cell = started(5, 5);
    cell.run(2_000);
    let leader = cell.leader().unwrap();
    let isolated = (1..=5).map(vm).find(|vm| *vm != leader).unwrap();
    cell.lost_links.insert((leader.clone(), isolated.clone()));
    cell.run(20_000);
    assert_eq!(cell.leader(), Some(leader));
    assert!(cell.served().values().all(|vm| *vm != isolated));
    assert_eq!(cell.served().len(), 5);
}

#[test]
fn a_cell_of_two_serves_all_homes_after_losing_either_member() {
    for loses_leader in [false, true] {
        let mut cell = started(2, 3);
        cell.run(5_000);
        let leader = cell.leader().unwrap();
        let other = (1..=2).map(vm).find(|vm| *vm != leader).unwrap();
        cell.kill(index(if loses_leader { &leader } else { &other }));
        cell.run_until_served(10_000);
        cell.run(20_000);
        assert_eq!(cell.served().len(), 3);
    }
}

#[test]
fn homes_of_a_restarted_member_are_reassigned_within_a_second() {
    let mut cell = started(4, 8);
    cell.run(3_000);
    let leader = cell.leader().unwrap();
    let home = (1..=4).find(|vm_index| vm(*vm_index) != leader).unwrap();
    cell.kill(home);
    cell.run(50);
    cell.start(home);
    let took = cell.run_until_served(5_000);
    assert!(took <= Duration::from_secs(1), "{took:?}");
}

#[test]
fn homes_are_served_soon_after_the_leader_restarts() {
    let mut cell = started(4, 8);
    cell.run(3_000);
    let leader = cell.leader().unwrap();
    cell.kill(index(&leader));
    cell.run(50);
    cell.start(index(&leader));
    let took = cell.run_until_served(5_000);
    assert!(took <= Duration::from_millis(2_500), "{took:?}");
}

#[test]
fn a_resumed_vm_does_not_use_leases_that_expired_while_it_was_paused() {
    let mut cell = started(4, 4);
    cell.run(2_000);
    for paused in 1..=4 {
        cell.pause(paused, true);
        cell.run(6_000);
        cell.pause(paused, false);
        cell.run(6_000);
        assert_eq!(cell.served().len(), 4);
    }
}

#[test]
fn a_rolling_restart_moves_homes_without_waiting_for_leases_to_expire() {
    let mut cell = started(8, 6);
    cell.run(3_000);
    for vm_index in 1..=8 {
        cell.shut_down(vm_index);
        let start = cell.now;
        while !cell.is_drained(vm_index) {
            cell.run(5);
            assert!(
                cell.now.since(start) < Duration::from_secs(5),
                "vm-{vm_index} does not drain"
            );
        }
        cell.kill(vm_index);
        cell.run(500);
        cell.start(vm_index);
        cell.run(3_000);
    }
    let gap = longest_gap(&cell);
    assert!(gap <= Duration::from_millis(200), "{:?}", cell.longest_gap);
}

#[test]
fn a_leaving_vm_hands_over_its_homes_before_it_stops() {
    let mut cell = started(4, 4);
    cell.run(2_000);
    let leaving = cell.served().into_values().next().unwrap();
    cell.list(index(&leaving), VmState::Leaving);
    cell.run(5_000);
    assert!(cell.served().values().all(|vm| *vm != leaving));
    assert!(
        longest_gap(&cell) <= Duration::from_millis(200),
        "{:?}",
        cell.longest_gap
    );
}

#[test]
fn joining_vms_take_only_their_share_of_homes() {
    let mut cell = TestCell::new(6, 12);
    for index in 1..=2 {
        cell.start(index);
    }
    cell.run_until_served(2_000);
    cell.run(2_000);
    let before = cell.served();
    for index in 3..=6 {
        cell.start(index);
    }
    cell.run(30_000);
    let after = cell.served();
    let moved = before
        .iter()
        .filter(|(database, vm)| after[*database] != **vm)
        .count();
    assert_eq!(moved, 8, "{before:?} to {after:?}");
    assert!(
        longest_gap(&cell) <= Duration::from_millis(200),
        "{:?}",
        cell.longest_gap
    );
}

#[test]
fn service_calls_do_not_grow_with_the_number_of_vms() {
    let calls = |vms: usize| {
        let mut cell = started(vms, 3);
        cell.run(10_000);
        let before = cell.service_calls;
        cell.run(60_000);
        cell.service_calls - before
    };
    let (few, many) = (calls(4), calls(8));
    assert!(
        many <= few + 5,
        "{few} calls a minute for 4 VMs, {many} for 8"
    );
}

#[derive(Debug, Clone)]
enum Fault {
    Run(u64),
    Kill(usize),
    Start(usize),
    Pause(usize, bool),
    ShutDown(usize),
    Isolate(usize),
    CutOneWay(usize, usize),
    RestoreLinks,
    Service(Service),
    DropEvery(u64),
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let vm = 1_usize..=4;
    let service = prop_oneof![
        Just(Service::Up),
        Just(Service::Down),
        Just(Service::ResponsesLost)
    ];
    let fault = prop_oneof![
        6 => (50_u64..4_000).prop_map(Fault::Run),
        2 => vm.clone().prop_map(Fault::Kill),
        3 => vm.clone().prop_map(Fault::Start),
        2 => (vm.clone(), any::<bool>()).prop_map(|(vm, paused)| Fault::Pause(vm, paused)),
        1 => vm.clone().prop_map(Fault::ShutDown),
        1 => vm.clone().prop_map(Fault::Isolate),
        1 => (vm.clone(), vm).prop_map(|(from, to)| Fault::CutOneWay(from, to)),
        2 => Just(Fault::RestoreLinks),
        2 => service.prop_map(Fault::Service),
        1 => (0_u64..6).prop_map(Fault::DropEvery),
    ];
    prop::collection::vec(fault, 1..40)
}

fn inject(cell: &mut TestCell, fault: &Fault) {
    match *fault {
        Fault::Run(millis) => cell.run(millis),
        Fault::Kill(index) => cell.kill(index),
        Fault::Start(index) => cell.start(index),
        Fault::Pause(index, is_paused) => cell.pause(index, is_paused),
        Fault::ShutDown(index) => cell.shut_down(index),
        Fault::Isolate(index) => cell.isolate(index, 4),
        Fault::CutOneWay(from, to) => {
            cell.lost_links.insert((vm(from), vm(to)));
        }
        Fault::RestoreLinks => cell.lost_links.clear(),
        Fault::Service(service) => cell.service = service,
        Fault::DropEvery(every) => cell.lose_every = every,
    }
}

/// Sequences of faults that once gave a database two homes.
#[test]
fn known_fault_sequences_leave_at_most_one_home_per_database() {
    use Fault::{CutOneWay, DropEvery, Isolate, Kill, Run, ShutDown, Start};
    struct Case {
        name: &'static str,
        faults: Vec<Fault>,
    }
    let cases = [
        Case {
            name: "an isolated leader that relies on the record alone must not remove members",
            faults: vec![
                Fault::Service(Service::ResponsesLost),
                Isolate(1),
                Run(721),
                DropEvery(2),
                Run(3_251),
                Fault::Service(Service::Up),
                Run(2_031),
                Run(3_911),
                Run(3_601),
            ],
        },
        Case {
            name: "promises to a deposed leader stay valid while it still uses its homes",
            faults: vec![
                Kill(1),
                Run(86),
                Start(2),
                Run(1_706),
                Start(4),
                CutOneWay(3, 4),
                ShutDown(4),
                Run(2_456),
                CutOneWay(2, 3),
                Start(1),
                Run(1_651),
            ],
        },
    ];
    for case in cases {
        println!("{}", case.name);
        let mut cell = started(4, 3);
        for fault in &case.faults {
            inject(&mut cell, fault);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Under any sequence of faults no database ever has two homes (checked at every step), and
    /// once the faults are over every database has one.
    #[test]
    fn homes_stay_exclusive_and_recover_after_faults(faults in faults()) {
        let mut cell = started(4, 3);
        for fault in &faults {
            inject(&mut cell, fault);
        }
        cell.lost_links.clear();
        cell.lose_every = 0;
        cell.service = Service::Up;
        for index in 1..=4 {
            cell.start(index);
        }
        cell.run_until_served(15_000);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// VMs are listed and started one at a time, as a platform does.
    #[test]
    fn every_vm_of_a_growing_cell_knows_every_home(
        pauses_ms in proptest::collection::vec(
            prop_oneof![0_u64..60, 0_u64..1_500],
            2..5,
        ),
        start_ms in 0_u64..60,
    ) {
        let mut cell = TestCell::new(0, 3);
        let vms = pauses_ms.len() + 1;
        for index in 1..=vms {
            cell.start(index);
            cell.run(start_ms);
            cell.list(index, VmState::Live);
            cell.run(pauses_ms.get(index - 1).copied().unwrap_or(15_000));
        }
        let served = cell.served();
        prop_assert_eq!(served.len(), 3);
        for index in 1..=vms {
            let homes = &cell.board(index).homes.homes;
            for (database, holder) in &served {
                let known = homes.get(database).map(|view| &view.vm);
                prop_assert_eq!(known, Some(holder), "{} at {}", database, vm(index));
            }
        }
    }
}
