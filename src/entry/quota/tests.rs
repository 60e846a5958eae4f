use std::time::Duration;

use super::Quota;
use crate::entry::catalog::Workspace;
use crate::name::{VmName, WorkspaceName};
use crate::time::Timestamp;

const RATE_PER_S: f64 = 100.0;
const STEP: Duration = Duration::from_millis(10);
const ROUND_STEPS: u32 = 25;

fn workspace() -> Workspace {
    Workspace {
        name: WorkspaceName::from("council-1"),
        rate_per_s: RATE_PER_S,
        burst: RATE_PER_S,
    }
}

/// Lets VMs serve a workspace and exchange their demands every quarter of a second; returns what
/// each step admitted.
fn play(demand_per_s: &[f64], steps: u32, cut_off: Option<usize>) -> Vec<u32> {
    let workspace = workspace();
    let mut vms: Vec<Quota> = demand_per_s.iter().map(|_| Quota::default()).collect();
    let mut owed = vec![0.0; vms.len()];
    let mut now = Timestamp::from_millis(1_000);
    let mut admitted = Vec::new();
    for step in 0..steps {
        if step % ROUND_STEPS == 0 {
            exchange(&mut vms, cut_off.filter(|_| step > steps / 3), now);
            for vm in &mut vms {
                vm.divide([&workspace].into_iter(), demand_per_s.len(), now);
            }
        }
        let mut count = 0;
        for (index, vm) in vms.iter_mut().enumerate() {
            owed[index] += demand_per_s[index] * STEP.as_secs_f64();
            while owed[index] >= 1.0 {
                owed[index] -= 1.0;
                count += u32::from(vm.admit(&workspace, now).is_ok());
            }
        }
        admitted.push(count);
        now = now + STEP;
    }
    admitted
}

fn exchange(vms: &mut [Quota], cut_off: Option<usize>, now: Timestamp) {
    let demands: Vec<_> = vms.iter_mut().map(|vm| vm.measure(now)).collect();
    for (index, vm) in vms.iter_mut().enumerate() {
        for (from, demand) in demands.iter().enumerate() {
            if from != index && cut_off != Some(from) && cut_off != Some(index) {
                vm.heard(
                    VmName::from(format!("vm-{from}")),
                    demand.clone(),
                    false,
                    now,
                );
            }
        }
    }
}

fn worst_window(admitted: &[u32]) -> f64 {
    let window = 500;
    let sums = admitted
        .windows(window)
        .map(|steps| steps.iter().sum::<u32>());
    f64::from(sums.max().unwrap_or_default())
}

#[test]
fn a_flood_stays_within_rate_and_burst_over_all_vms() {
    let admitted = play(&[300.0, 50.0, 200.0, 10.0], 1_500, None);
    let limit = 5.0 * RATE_PER_S + RATE_PER_S;
    assert!(
        worst_window(&admitted) <= limit,
        "{}",
        worst_window(&admitted)
    );
}

#[test]
fn a_vm_cut_off_from_the_others_stays_within_the_tolerance() {
    let admitted = play(&[300.0, 50.0, 200.0, 10.0], 3_000, Some(0));
    let limit = (5.0 * RATE_PER_S + RATE_PER_S) * 1.1 + 20.0;
    assert!(
        worst_window(&admitted) <= limit,
        "{}",
        worst_window(&admitted)
    );
}

#[test]
fn uneven_demand_below_the_rate_is_admitted() {
    let admitted = play(&[50.0, 5.0, 2.0, 0.0], 1_000, None);
    let after_start: u32 = admitted[300..].iter().sum();
    assert!(f64::from(after_start) >= 0.99 * 57.0 * 7.0, "{after_start}");
}

#[test]
fn tokens_lent_are_gone_for_the_lender() {
    let workspace = workspace();
    let mut lender = Quota::default();
    let start = Timestamp::from_millis(1_000);
    lender.divide([&workspace].into_iter(), 2, start);
    let now = start + Duration::from_secs(1);
    let mut spendable = 0;
    let mut given = 0.0;
    loop {
        let lent = lender.lend(&workspace.name, now);
        if lent <= 0.0 {
            break;
        }
        given += lent;
    }
    while lender.admit(&workspace, now).is_ok() {
        spendable += 1;
    }
    assert!(given > 40.0, "{given}");
    assert!(
        given + f64::from(spendable) <= 0.5 * RATE_PER_S + 1.0,
        "{given} and {spendable}"
    );
}

#[test]
fn borrowed_tokens_admit_until_the_hold_ends() {
    let workspace = Workspace {
        rate_per_s: 0.0,
        burst: 0.0,
        ..workspace()
    };
    let mut quota = Quota::default();
    let asked_at = Timestamp::from_millis(1_000);
    quota.divide([&workspace].into_iter(), 1, asked_at);
    while quota.admit(&workspace, asked_at).is_ok() {}
    quota.deposit(&workspace.name, 9.0, asked_at, asked_at);
    assert!(quota.admit(&workspace, asked_at).is_ok());
    let later = asked_at + Duration::from_secs(3);
    let kept = (0..9).filter(|_| quota.admit(&workspace, later).is_ok());
    assert_eq!(
        kept.count(),
        2,
        "only what fits into the VM's own burst is kept"
    );
}

#[test]
fn a_demand_told_in_parts_counts_whole_and_a_new_one_replaces_it() {
    let now = Timestamp::from_millis(1_000);
    let names = ["council-1", "council-2"].map(WorkspaceName::from);
    let demand = |index: usize| [(names[index].clone(), RATE_PER_S)].into_iter().collect();
    let other = VmName::from("vm-1");
    let mut vm = Quota::default();
    vm.heard(other.clone(), demand(0), false, now);
    vm.heard(other.clone(), demand(1), true, now);
    assert_eq!(vm.peers[&other].demand.len(), 2);
    vm.heard(other.clone(), demand(0), false, now);
    assert_eq!(vm.peers[&other].demand.len(), 1);
}
