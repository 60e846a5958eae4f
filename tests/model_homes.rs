//! Exhaustive model of the leadership of a cell and of the home leases.
//!
//! Three VMs share one database. Their clocks run at the same speed; any VM may stop sending for
//! any time, and any message may be late or lost. The platform's service only decides who becomes
//! leader: leadership is never renewed through it, as during an outage. Two VMs must never hold a
//! valid lease at the same time.

use std::collections::BTreeSet;

use pathfinding::directed::bfs::{bfs, bfs_reach};

const VMS: usize = 3;
/// Duration of a home lease, in ticks.
const LEASE: i8 = 2;
/// Ticks after which a leader considers an unrenewed grant expired; longer than the lease itself.
/// Messages are dropped at the same age.
const GRANT_EXPIRY: i8 = LEASE + 1;
/// Ticks for which a VM that got a response promises to follow no other leader.
const PROMISE: i8 = 1;
/// Number of VMs that must not be bound by a promise to an earlier leader before a new leader is
/// active. The other VMs are then no majority for an earlier leader.
const BLOCKING: usize = 2;
const MAJORITY: usize = 2;

/// Bounds of an exploration.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    leaders: u8,
    heartbeats: u8,
}

const ONE_LEADER: Bounds = Bounds {
    leaders: 1,
    heartbeats: 3,
};

const TWO_LEADERS: Bounds = Bounds {
    leaders: 2,
    heartbeats: 2,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A lease starts when the response arrives instead of when the heartbeat was sent.
    LeaseFromArrival,
    /// A new leader grants the home without waiting for grants of the previous leader to expire.
    NoWait,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Heartbeat {
        from: usize,
        epoch: u8,
        age: i8,
        echo_age: Option<i8>,
        is_free: bool,
        holds_lease: bool,
    },
    Response {
        to: usize,
        epoch: u8,
        heartbeat_age: i8,
        age: i8,
        grants: bool,
    },
}

impl Message {
    fn tick(&self) -> Option<Self> {
        let mut message = self.clone();
        match &mut message {
            Self::Heartbeat { age, echo_age, .. } => {
                *age += 1;
                if let Some(echo_age) = echo_age.as_mut() {
                    *echo_age += 1;
                }
                (*age <= GRANT_EXPIRY).then_some(message)
            }
            Self::Response {
                age, heartbeat_age, ..
            } => {
                *age += 1;
                *heartbeat_age += 1;
                (*age <= GRANT_EXPIRY).then_some(message)
            }
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Vm {
    follows: u8,
    lease: i8,
    /// Ticks for which promises to earlier leaders still bind this VM.
    bound: i8,
    /// Ticks for which the promise to the current leader lasts.
    promise: i8,
    /// Age of the newest response from the current leader.
    response_age: Option<i8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leader {
    epoch: u8,
    vm: usize,
    is_active: bool,
    /// Ticks until the grants of earlier leaders have expired.
    wait: i8,
    /// Ticks for which the promise of each VM to this leader lasts, as known to the leader.
    promises: [i8; VMS],
    /// Whether each VM is known not to be bound by a promise to an earlier leader.
    free: [bool; VMS],
    /// Whether each VM has sent a heartbeat in this epoch.
    reported: [bool; VMS],
    /// VM that holds the home, as known to the leader.
    holder: Option<usize>,
    /// Ticks until the grant to the holder has expired.
    grant_left: i8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    vms: [Vm; VMS],
    leaders: Vec<Leader>,
    network: BTreeSet<Message>,
    heartbeats: u8,
}

impl State {
    /// Returns the initial state: VM 0 is leader, all VMs follow it, and VM 1 has just been granted
    /// the home.
    fn start() -> Self {
        let vm = |index: usize| Vm {
            follows: 1,
            lease: if index == 1 { LEASE } else { 0 },
            bound: 0,
            promise: PROMISE,
            response_age: Some(0),
        };
        let leader = Leader {
            epoch: 1,
            vm: 0,
            is_active: true,
            wait: 0,
            promises: [PROMISE; VMS],
            free: [true; VMS],
            reported: [true; VMS],
            holder: Some(1),
            grant_left: GRANT_EXPIRY,
        };
        Self {
            vms: [vm(0), vm(1), vm(2)],
            leaders: vec![leader],
            network: BTreeSet::new(),
            heartbeats: 0,
        }
    }

    fn home_count(&self) -> usize {
        self.vms.iter().filter(|vm| vm.lease > 0).count()
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut state = self.clone();
        change(&mut state);
        state
    }

    fn next(&self, bounds: Bounds, defect: Defect) -> Vec<Self> {
        if self.home_count() > 1 {
            return Vec::new();
        }
        let mut next = vec![self.with(Self::tick)];
        for index in 0..VMS {
            next.extend(self.steps_of_vm(index, bounds));
        }
        for leader in 0..self.leaders.len() {
            next.extend(self.steps_of_leader(leader, defect));
        }
        for message in &self.network {
            // Lost messages need no step of their own: they are those never delivered.
            next.push(self.with(|state| {
                state.network.remove(message);
                state.deliver(message, defect);
            }));
        }
        next
    }

    fn tick(&mut self) {
        let count_down = |left: &mut i8| *left = (*left - 1).max(0);
        for vm in &mut self.vms {
            count_down(&mut vm.lease);
            count_down(&mut vm.bound);
            count_down(&mut vm.promise);
            vm.response_age = vm.response_age.map(|age| (age + 1).min(GRANT_EXPIRY + 1));
        }
        for leader in &mut self.leaders {
            count_down(&mut leader.wait);
            count_down(&mut leader.grant_left);
            leader.promises.iter_mut().for_each(count_down);
        }
        self.network = self.network.iter().filter_map(Message::tick).collect();
    }

    fn steps_of_vm(&self, index: usize, bounds: Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        let vm = &self.vms[index];
        let newest = self.leaders[self.leaders.len() - 1].epoch;
        // The service chooses among the VMs that try to become leader; it grants each epoch once.
        if newest < bounds.leaders && vm.promise == 0 {
            next.push(self.with(|state| state.become_leader(index, newest + 1)));
        }
        if vm.follows < newest {
            next.push(self.with(|state| state.follow(index, newest)));
        }
        let is_leading = self
            .leaders
            .iter()
            .any(|leader| leader.vm == index && leader.epoch == vm.follows);
        if !is_leading && self.heartbeats < bounds.heartbeats {
            next.push(self.with(|state| state.send_heartbeat(index)));
        }
        next
    }

    fn follow(&mut self, index: usize, epoch: u8) {
        let vm = &mut self.vms[index];
        vm.bound = vm.bound.max(vm.promise);
        vm.promise = 0;
        vm.response_age = None;
        vm.follows = epoch;
    }

    fn become_leader(&mut self, index: usize, epoch: u8) {
        self.follow(index, epoch);
        let holds_lease = self.vms[index].lease > 0;
        let mut reported = [false; VMS];
        reported[index] = true;
        self.leaders.push(Leader {
            epoch,
            vm: index,
            is_active: false,
            wait: 0,
            promises: [0; VMS],
            free: [false; VMS],
            reported,
            holder: holds_lease.then_some(index),
            grant_left: if holds_lease { GRANT_EXPIRY } else { 0 },
        });
    }

    fn send_heartbeat(&mut self, index: usize) {
        self.heartbeats += 1;
        let vm = &self.vms[index];
        let message = Message::Heartbeat {
            from: index,
            epoch: vm.follows,
            age: 0,
            echo_age: vm.response_age,
            is_free: vm.bound == 0,
            holds_lease: vm.lease > 0,
        };
        self.network.insert(message);
    }

    /// Returns the ticks for which a majority has promised to follow no other leader.
    fn leadership_left(&self, leader: &Leader) -> i8 {
        let promise = |vm: usize| {
            if vm == leader.vm {
                LEASE
            } else {
                leader.promises[vm]
            }
        };
        let mut promises: Vec<_> = (0..VMS).map(promise).collect();
        promises.sort_unstable();
        // A VM that follows a later leader is no longer leader itself.
        if self.vms[leader.vm].follows > leader.epoch {
            return 0;
        }
        promises[VMS - MAJORITY]
    }

    fn steps_of_leader(&self, index: usize, defect: Defect) -> Vec<Self> {
        let leader = &self.leaders[index];
        let own_free = self.vms[leader.vm].bound == 0;
        let is_free = |vm: &usize| leader.free[*vm] || (*vm == leader.vm && own_free);
        let free = (0..VMS).filter(is_free).count();
        let mut next = Vec::new();
        if !leader.is_active && free >= BLOCKING {
            next.push(self.with(|state| {
                let leader = &mut state.leaders[index];
                leader.is_active = true;
                leader.wait = if defect == Defect::NoWait {
                    0
                } else {
                    GRANT_EXPIRY
                };
            }));
        }
        let previous = self
            .leaders
            .iter()
            .rev()
            .find(|other| other.epoch + 1 == leader.epoch);
        let is_accounted_for =
            |vm: usize| leader.reported[vm] || previous.is_some_and(|f| f.vm == vm);
        if leader.is_active && leader.wait > 0 && (0..VMS).all(is_accounted_for) {
            next.push(self.with(|state| state.leaders[index].wait = 0));
        }
        // The leader may be the home itself, for as long as its leadership is certain.
        let leadership_left = self.leadership_left(leader);
        let is_own = leader.holder == Some(leader.vm);
        let is_vacant = leader.wait == 0 && (leader.holder.is_none() || leader.grant_left == 0);
        if leader.is_active && leadership_left > 0 && (is_own || is_vacant) {
            next.push(self.with(|state| {
                let leader = &mut state.leaders[index];
                leader.holder = Some(leader.vm);
                leader.grant_left = GRANT_EXPIRY;
                let vm = &mut state.vms[leader.vm];
                vm.lease = vm.lease.max(leadership_left.min(LEASE));
            }));
        }
        next
    }

    fn deliver(&mut self, message: &Message, defect: Defect) {
        match *message {
            Message::Heartbeat {
                from,
                epoch,
                age,
                echo_age,
                is_free,
                holds_lease,
            } => {
                let Some(index) = self.leaders.iter().position(|leader| leader.epoch == epoch)
                else {
                    return;
                };
                let leader = &mut self.leaders[index];
                if let Some(echo_age) = echo_age {
                    leader.promises[from] = leader.promises[from].max(PROMISE - echo_age);
                }
                leader.free[from] |= is_free;
                leader.reported[from] = true;
                let accepts_holders = !leader.is_active || leader.wait > 0;
                if holds_lease && accepts_holders && leader.holder.is_none() {
                    leader.holder = Some(from);
                    leader.grant_left = GRANT_EXPIRY;
                }
                self.respond(index, from, age);
            }
            Message::Response {
                to,
                epoch,
                heartbeat_age,
                age,
                grants,
            } => {
                let vm = &mut self.vms[to];
                if vm.follows != epoch {
                    return;
                }
                vm.response_age = Some(vm.response_age.map_or(age, |known| known.min(age)));
                vm.promise = PROMISE;
                if grants {
                    let lease = match defect {
                        Defect::LeaseFromArrival => LEASE,
                        _ => LEASE - heartbeat_age,
                    };
                    vm.lease = vm.lease.max(lease);
                }
            }
        }
    }

    fn respond(&mut self, index: usize, to: usize, heartbeat_age: i8) {
        let leadership_left = self.leadership_left(&self.leaders[index]);
        let leader = &mut self.leaders[index];
        let has_promise = leader.promises[to] > 0;
        let can_grant = leader.is_active && leadership_left > 0 && has_promise;
        let is_vacant = leader.wait == 0 && (leader.holder.is_none() || leader.grant_left == 0);
        let grants = can_grant && (leader.holder == Some(to) || is_vacant);
        if grants {
            leader.holder = Some(to);
            leader.grant_left = GRANT_EXPIRY;
        }
        self.network.insert(Message::Response {
            to,
            epoch: leader.epoch,
            heartbeat_age,
            age: 0,
            grants,
        });
    }
}

#[test]
fn no_database_has_two_homes() {
    for bounds in [ONE_LEADER, TWO_LEADERS] {
        let mut states = 0_usize;
        for state in bfs_reach(State::start(), |state| state.next(bounds, Defect::None)) {
            assert!(state.home_count() <= 1, "{state:#?}");
            states += 1;
        }
        println!("{bounds:?}: {states} states");
        assert!(states > 10_000);
    }
}

#[test]
fn seeded_defects_are_caught() {
    struct Case {
        defect: Defect,
        bounds: Bounds,
    }
    let cases = [
        Case {
            defect: Defect::LeaseFromArrival,
            bounds: ONE_LEADER,
        },
        Case {
            defect: Defect::NoWait,
            bounds: TWO_LEADERS,
        },
    ];
    for Case { defect, bounds } in cases {
        let path = bfs(
            &State::start(),
            |state| state.next(bounds, defect),
            |state| state.home_count() > 1,
        );
        let path = path.unwrap_or_else(|| panic!("{defect:?} is not caught"));
        println!("{defect:?}: {} steps", path.len() - 1);
        for state in &path {
            println!("  {state:?}");
        }
    }
}
