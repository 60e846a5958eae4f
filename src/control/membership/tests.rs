use super::*;
use crate::control::tests::cell::{TestCell, vm};

#[test]
fn a_relayed_list_is_split_into_chunks_of_eight_vms() {
    struct Case {
        vms: usize,
        chunks: usize,
    }
    let cases = [
        Case { vms: 1, chunks: 1 },
        Case { vms: 8, chunks: 1 },
        Case { vms: 9, chunks: 2 },
        Case { vms: 33, chunks: 5 },
    ];
    for case in cases {
        let mut cell = TestCell::new(case.vms, 1);
        cell.start(1);
        cell.run(200);
        let relayed = cell.board(1).membership.relay(&vm(2));
        assert_eq!(relayed.len(), case.chunks, "{} VMs", case.vms);
    }
}

#[test]
fn a_change_of_the_list_reaches_members_through_the_leader() {
    let mut cell = TestCell::new(5, 1);
    for index in 1..=5 {
        cell.start(index);
    }
    cell.run_until_served(2_000);
    cell.run(1_000);
    cell.list(6, VmState::Live);
    cell.run(1_600);
    for index in 1..=5 {
        let known = &cell.board(index).membership.vms;
        assert!(
            known.contains_key(&vm(6)),
            "vm-{index} knows {:?}",
            known.keys()
        );
    }
}

#[test]
fn a_greater_incarnation_replaces_a_smaller_one() {
    let mut cell = TestCell::new(2, 1);
    cell.start(1);
    cell.start(2);
    cell.run_until_served(2_000);
    let before = cell.board(1).membership.incarnations[&vm(2)];
    cell.kill(2);
    cell.start(2);
    cell.run(3_000);
    assert!(cell.board(1).membership.incarnations[&vm(2)] > before);
}

#[test]
fn a_vm_that_is_listed_late_joins_without_interrupting_homes() {
    let mut cell = TestCell::new(2, 3);
    for index in 1..=3 {
        cell.start(index);
    }
    cell.run(60);
    cell.list(3, VmState::Live);
    cell.run_until_served(2_000);
    cell.run(4_000);
    let leader = cell.leader().unwrap();
    assert_eq!(cell.board_of(&leader).unwrap().homes.followers().len(), 2);
    let gap = cell.longest_gap.values().max().copied();
    assert!(gap <= Some(Duration::from_millis(200)), "{gap:?}");
}
