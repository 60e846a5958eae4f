//! Exhaustive model of the lead's office and of the home leases.
//!
//! Three VMs share one database. Clocks run at one speed; any VM may be silent for any time, and any
//! message may be late or lost. The platform's service makes leads, and otherwise keeps none in
//! office, as in an outage. At no time may two VMs hold a valid lease.

use std::collections::BTreeSet;

use pathfinding::directed::bfs::{bfs, bfs_reach};

const VMS: usize = 3;
const LEASE: i8 = 2;
const LAPSE: i8 = LEASE + 1;
const PROMISE: i8 = 1;
const BLOCKING: usize = 2;
const MAJORITY: usize = 2;

/// How far the model is explored.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    leads: u8,
    heartbeats: u8,
}

const ONE_LEAD: Bounds = Bounds {
    leads: 1,
    heartbeats: 3,
};

const TWO_LEADS: Bounds = Bounds {
    leads: 2,
    heartbeats: 2,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A lease counts from when the answer arrives.
    LeaseFromArrival,
    /// A new lead grants at once what the former one may have granted.
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
        holds: bool,
    },
    Answer {
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
                (*age <= LAPSE).then_some(message)
            }
            Self::Answer {
                age, heartbeat_age, ..
            } => {
                *age += 1;
                *heartbeat_age += 1;
                (*age <= LAPSE).then_some(message)
            }
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Vm {
    follows: u8,
    lease: i8,
    /// Time for which promises to earlier leads bind this VM.
    bound: i8,
    promise: i8,
    /// Age of the last answer of the lead that is followed.
    answer_age: Option<i8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lead {
    epoch: u8,
    vm: usize,
    is_active: bool,
    /// Time until grants of earlier leads have run out.
    wait: i8,
    promises: [i8; VMS],
    free: [bool; VMS],
    reported: [bool; VMS],
    holder: Option<usize>,
    lapse: i8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    vms: [Vm; VMS],
    leads: Vec<Lead>,
    network: BTreeSet<Message>,
    heartbeats: u8,
}

impl State {
    /// VM 0 leads, all follow it, and VM 1 has just been granted the home.
    fn start() -> Self {
        let vm = |index: usize| Vm {
            follows: 1,
            lease: if index == 1 { LEASE } else { 0 },
            bound: 0,
            promise: PROMISE,
            answer_age: Some(0),
        };
        let lead = Lead {
            epoch: 1,
            vm: 0,
            is_active: true,
            wait: 0,
            promises: [PROMISE; VMS],
            free: [true; VMS],
            reported: [true; VMS],
            holder: Some(1),
            lapse: LAPSE,
        };
        Self {
            vms: [vm(0), vm(1), vm(2)],
            leads: vec![lead],
            network: BTreeSet::new(),
            heartbeats: 0,
        }
    }

    fn homes(&self) -> usize {
        self.vms.iter().filter(|vm| vm.lease > 0).count()
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut state = self.clone();
        change(&mut state);
        state
    }

    fn next(&self, bounds: Bounds, defect: Defect) -> Vec<Self> {
        if self.homes() > 1 {
            return Vec::new();
        }
        let mut next = vec![self.with(Self::tick)];
        for index in 0..VMS {
            next.extend(self.steps_of(index, bounds));
        }
        for lead in 0..self.leads.len() {
            next.extend(self.steps_of_lead(lead, defect));
        }
        for message in &self.network {
            // A message that is never delivered is a lost one.
            next.push(self.with(|state| {
                state.network.remove(message);
                state.deliver(message, defect);
            }));
        }
        next
    }

    fn tick(&mut self) {
        let down = |left: &mut i8| *left = (*left - 1).max(0);
        for vm in &mut self.vms {
            down(&mut vm.lease);
            down(&mut vm.bound);
            down(&mut vm.promise);
            vm.answer_age = vm.answer_age.map(|age| (age + 1).min(LAPSE + 1));
        }
        for lead in &mut self.leads {
            down(&mut lead.wait);
            down(&mut lead.lapse);
            lead.promises.iter_mut().for_each(down);
        }
        self.network = self.network.iter().filter_map(Message::tick).collect();
    }

    fn steps_of(&self, index: usize, bounds: Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        let vm = &self.vms[index];
        let newest = self.leads[self.leads.len() - 1].epoch;
        // The service decides between those who want to lead; it grants an epoch once.
        if newest < bounds.leads && vm.promise == 0 {
            next.push(self.with(|state| state.take_office(index, newest + 1)));
        }
        if vm.follows < newest {
            next.push(self.with(|state| state.follow(index, newest)));
        }
        let is_leading = self
            .leads
            .iter()
            .any(|lead| lead.vm == index && lead.epoch == vm.follows);
        if !is_leading && self.heartbeats < bounds.heartbeats {
            next.push(self.with(|state| state.send_heartbeat(index)));
        }
        next
    }

    fn follow(&mut self, index: usize, epoch: u8) {
        let vm = &mut self.vms[index];
        vm.bound = vm.bound.max(vm.promise);
        vm.promise = 0;
        vm.answer_age = None;
        vm.follows = epoch;
    }

    fn take_office(&mut self, index: usize, epoch: u8) {
        self.follow(index, epoch);
        let holds = self.vms[index].lease > 0;
        let mut reported = [false; VMS];
        reported[index] = true;
        self.leads.push(Lead {
            epoch,
            vm: index,
            is_active: false,
            wait: 0,
            promises: [0; VMS],
            free: [false; VMS],
            reported,
            holder: holds.then_some(index),
            lapse: if holds { LAPSE } else { 0 },
        });
    }

    fn send_heartbeat(&mut self, index: usize) {
        self.heartbeats += 1;
        let vm = &self.vms[index];
        let message = Message::Heartbeat {
            from: index,
            epoch: vm.follows,
            age: 0,
            echo_age: vm.answer_age,
            is_free: vm.bound == 0,
            holds: vm.lease > 0,
        };
        self.network.insert(message);
    }

    /// Returns until when a majority has promised to follow no other lead.
    fn office(&self, lead: &Lead) -> i8 {
        let promise = |vm: usize| {
            if vm == lead.vm {
                LEASE
            } else {
                lead.promises[vm]
            }
        };
        let mut promises: Vec<_> = (0..VMS).map(promise).collect();
        promises.sort_unstable();
        // A VM that follows a later lead has left its own office.
        if self.vms[lead.vm].follows > lead.epoch {
            return 0;
        }
        promises[VMS - MAJORITY]
    }

    fn steps_of_lead(&self, index: usize, defect: Defect) -> Vec<Self> {
        let lead = &self.leads[index];
        let own_free = self.vms[lead.vm].bound == 0;
        let is_free = |vm: &usize| lead.free[*vm] || (*vm == lead.vm && own_free);
        let free = (0..VMS).filter(is_free).count();
        let mut next = Vec::new();
        if !lead.is_active && free >= BLOCKING {
            next.push(self.with(|state| {
                let lead = &mut state.leads[index];
                lead.is_active = true;
                lead.wait = if defect == Defect::NoWait { 0 } else { LAPSE };
            }));
        }
        let former = self
            .leads
            .iter()
            .rev()
            .find(|other| other.epoch + 1 == lead.epoch);
        let is_accounted = |vm: usize| lead.reported[vm] || former.is_some_and(|f| f.vm == vm);
        if lead.is_active && lead.wait > 0 && (0..VMS).all(is_accounted) {
            next.push(self.with(|state| state.leads[index].wait = 0));
        }
        // The lead may be the home itself, for as long as its office is certain.
        let office = self.office(lead);
        let is_own = lead.holder == Some(lead.vm);
        let is_vacant = lead.wait == 0 && (lead.holder.is_none() || lead.lapse == 0);
        if lead.is_active && office > 0 && (is_own || is_vacant) {
            next.push(self.with(|state| {
                let lead = &mut state.leads[index];
                lead.holder = Some(lead.vm);
                lead.lapse = LAPSE;
                let vm = &mut state.vms[lead.vm];
                vm.lease = vm.lease.max(office.min(LEASE));
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
                holds,
            } => {
                let Some(index) = self.leads.iter().position(|lead| lead.epoch == epoch) else {
                    return;
                };
                let lead = &mut self.leads[index];
                if let Some(echo_age) = echo_age {
                    lead.promises[from] = lead.promises[from].max(PROMISE - echo_age);
                }
                lead.free[from] |= is_free;
                lead.reported[from] = true;
                let is_open = !lead.is_active || lead.wait > 0;
                if holds && is_open && lead.holder.is_none() {
                    lead.holder = Some(from);
                    lead.lapse = LAPSE;
                }
                self.answer(index, from, age);
            }
            Message::Answer {
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
                vm.answer_age = Some(vm.answer_age.map_or(age, |known| known.min(age)));
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

    fn answer(&mut self, index: usize, to: usize, heartbeat_age: i8) {
        let office = self.office(&self.leads[index]);
        let lead = &mut self.leads[index];
        let is_hearing = lead.promises[to] > 0;
        let can_grant = lead.is_active && office > 0 && is_hearing;
        let is_vacant = lead.wait == 0 && (lead.holder.is_none() || lead.lapse == 0);
        let grants = can_grant && (lead.holder == Some(to) || is_vacant);
        if grants {
            lead.holder = Some(to);
            lead.lapse = LAPSE;
        }
        self.network.insert(Message::Answer {
            to,
            epoch: lead.epoch,
            heartbeat_age,
            age: 0,
            grants,
        });
    }
}

#[test]
fn no_database_has_two_homes() {
    for bounds in [ONE_LEAD, TWO_LEADS] {
        let mut states = 0_usize;
        for state in bfs_reach(State::start(), |state| state.next(bounds, Defect::None)) {
            assert!(state.homes() <= 1, "{state:#?}");
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
            bounds: ONE_LEAD,
        },
        Case {
            defect: Defect::NoWait,
            bounds: TWO_LEADS,
        },
    ];
    for Case { defect, bounds } in cases {
        let path = bfs(
            &State::start(),
            |state| state.next(bounds, defect),
            |state| state.homes() > 1,
        );
        let path = path.unwrap_or_else(|| panic!("{defect:?} is not caught"));
        println!("{defect:?}: {} steps", path.len() - 1);
        for state in &path {
            println!("  {state:?}");
        }
    }
}
