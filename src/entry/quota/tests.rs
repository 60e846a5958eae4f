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

/// Simulation of VMs that serve one workspace and exchange their demands every 250 ms.
struct Simulation<'a> {
    demand_per_s: &'a [f64],
    steps: u32,
    /// Group of each VM: after a third of the steps, VMs of different groups receive no demands
    /// from each other.
    groups: Option<&'a [u32]>,
    /// Factor by which the demand changes after a third of the steps.
    surge: f64,
}

impl Simulation<'_> {
    /// Returns the number of requests admitted in each step.
    fn run(&self) -> Vec<u32> {
        let workspace = workspace();
        let count = self.demand_per_s.len();
        let names: Vec<VmName> = (0..count).map(vm_name).collect();
        let mut vms: Vec<Quota> = names.iter().map(|_| Quota::default()).collect();
        let mut pending = vec![0.0; count];
        let mut now = Timestamp::from_millis(1_000);
        let mut admitted = Vec::new();
        for step in 0..self.steps {
            let is_late = step > self.steps / 3;
            if step % ROUND_STEPS == 0 {
                exchange(&mut vms, self.groups.filter(|_| is_late), now);
                for vm in &mut vms {
                    vm.divide([&workspace].into_iter(), names.iter(), true, now);
                }
            }
            let factor = if is_late { self.surge } else { 1.0 };
            let mut sum = 0;
            for (index, vm) in vms.iter_mut().enumerate() {
                pending[index] += factor * self.demand_per_s[index] * STEP.as_secs_f64();
                while pending[index] >= 1.0 {
                    pending[index] -= 1.0;
                    sum += u32::from(vm.admit(&workspace, now).is_ok());
                }
            }
            admitted.push(sum);
            now = now + STEP;
        }
        admitted
    }
}

fn vms(count: usize) -> Vec<VmName> {
    (0..count).map(vm_name).collect()
}

fn vm_name(index: usize) -> VmName {
    VmName::from(format!("vm-{index}"))
}

fn exchange(vms: &mut [Quota], groups: Option<&[u32]>, now: Timestamp) {
    let demands: Vec<_> = vms.iter_mut().map(|vm| vm.measure(now)).collect();
    let are_connected =
        |to: usize, from: usize| groups.is_none_or(|groups| groups[to] == groups[from]);
    for (to, vm) in vms.iter_mut().enumerate() {
        for (from, demand) in demands.iter().enumerate() {
            if from != to && are_connected(to, from) {
                vm.record_demand(vm_name(from), demand.clone(), false, now);
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
fn load_above_the_rate_is_limited_to_rate_and_burst_over_all_vms() {
    let simulation = Simulation {
        demand_per_s: &[300.0, 50.0, 200.0, 10.0],
        steps: 1_500,
        groups: None,
        surge: 1.0,
    };
    let admitted = simulation.run();
    let limit = 5.0 * RATE_PER_S + RATE_PER_S;
    assert!(
        worst_window(&admitted) <= limit,
        "{}",
        worst_window(&admitted)
    );
}

#[test]
fn partitioned_vms_stay_within_the_tolerance_of_the_limit() {
    struct Case {
        demand_per_s: &'static [f64],
        groups: &'static [u32],
        surge: f64,
    }
    let cases = [
        Case {
            demand_per_s: &[300.0, 50.0, 200.0, 10.0],
            groups: &[0, 1, 1, 1],
            surge: 1.0,
        },
        Case {
            demand_per_s: &[20.0, 20.0, 20.0, 20.0, 20.0, 20.0, 20.0],
            groups: &[0, 0, 0, 0, 1, 1, 1],
            surge: 10.0,
        },
        Case {
            demand_per_s: &[10.0, 90.0, 5.0, 40.0, 1.0, 0.0, 3.0],
            groups: &[0, 1, 2, 2, 1, 0, 2],
            surge: 30.0,
        },
    ];
    for case in cases {
        let simulation = Simulation {
            demand_per_s: case.demand_per_s,
            steps: 3_000,
            groups: Some(case.groups),
            surge: case.surge,
        };
        let worst = worst_window(&simulation.run());
        let limit = (5.0 * RATE_PER_S + RATE_PER_S) * 1.1 + 20.0;
        assert!(worst <= limit, "{worst} of {limit} with {:?}", case.groups);
    }
}

#[test]
fn uneven_demand_below_the_rate_is_admitted() {
    let simulation = Simulation {
        demand_per_s: &[50.0, 5.0, 2.0, 0.0],
        steps: 1_000,
        groups: None,
        surge: 1.0,
    };
    let admitted = simulation.run();
    let after_start: u32 = admitted[300..].iter().sum();
    assert!(f64::from(after_start) >= 0.99 * 57.0 * 7.0, "{after_start}");
}

#[test]
fn lent_tokens_are_deducted_from_the_lender() {
    let workspace = workspace();
    let start = Timestamp::from_millis(1_000);
    let now = start + Duration::from_secs(1);
    let started = || {
        let mut quota = Quota::default();
        quota.divide([&workspace].into_iter(), vms(2).iter(), true, start);
        quota
    };
    let spend = |quota: &mut Quota| {
        let mut count = 0.0;
        while quota.admit(&workspace, now).is_ok() {
            count += 1.0;
        }
        count
    };
    let mut lender = started();
    let mut given = 0.0;
    loop {
        let lent = lender.lend(&workspace.name, now);
        if lent <= 0.0 {
            break;
        }
        given += lent;
    }
    assert!(given > 40.0, "{given}");
    let owned: f64 = spend(&mut started());
    let kept: f64 = spend(&mut lender);
    assert!(given + kept <= owned, "{given} and {kept} of {owned}");
}

#[test]
fn borrowed_tokens_beyond_the_burst_expire_when_the_hold_ends() {
    let workspace = Workspace {
        rate_per_s: 0.0,
        burst: 0.0,
        ..workspace()
    };
    let mut quota = Quota::default();
    let requested_at = Timestamp::from_millis(1_000);
    quota.divide([&workspace].into_iter(), vms(1).iter(), true, requested_at);
    while quota.admit(&workspace, requested_at).is_ok() {}
    quota.deposit(&workspace.name, 9.0, requested_at, requested_at);
    assert!(quota.admit(&workspace, requested_at).is_ok());
    let later = requested_at + Duration::from_secs(3);
    let kept = (0..9).filter(|_| quota.admit(&workspace, later).is_ok());
    assert_eq!(
        kept.count(),
        2,
        "only what fits into the VM's own burst is kept"
    );
}

#[test]
fn continued_demand_announcements_are_merged_and_a_new_one_replaces_them() {
    let now = Timestamp::from_millis(1_000);
    let names = ["council-1", "council-2"].map(WorkspaceName::from);
    let demand = |index: usize| [(names[index].clone(), RATE_PER_S)].into_iter().collect();
    let other = VmName::from("vm-1");
    let mut vm = Quota::default();
    vm.record_demand(other.clone(), demand(0), false, now);
    vm.record_demand(other.clone(), demand(1), true, now);
    assert_eq!(vm.peers[&other].demand.len(), 2);
    vm.record_demand(other.clone(), demand(0), false, now);
    assert_eq!(vm.peers[&other].demand.len(), 1);
}
