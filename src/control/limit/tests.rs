use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::configuration::{Limits, Record, Workspace};
use crate::control::allowance::{Admission, Allowance};
use crate::control::bucket::TRANSFER_HOLD;
use crate::control::command::TrafficRequest;
use crate::control::tests::cell::{Service, TestCell, database, index};
use crate::name::VmName;

const RATE_PER_S: f64 = 100.0;
const BURST: f64 = 60.0;

fn workspace(databases: std::ops::RangeInclusive<usize>) -> Workspace {
    Workspace {
        name: "workspace".into(),
        salt: String::new(),
        iterations: 4_096,
        keys: Vec::new(),
        databases: databases.map(|index| database(index).name).collect(),
        limits: Limits {
            rate_per_s: RATE_PER_S,
            burst: BURST,
            weight: 1,
        },
    }
}

/// Allowance of a database's home, with the epoch of the home.
struct HomeAllowance {
    epoch: u64,
    allowance: Allowance,
}

/// Request that waits for tokens from other homes.
struct Waiting {
    home: VmName,
    database: DatabaseName,
    since: Timestamp,
}

/// Simulates admission by the traffic threads of the homes.
struct Simulation {
    cell: TestCell,
    homes: BTreeMap<(VmName, DatabaseName), HomeAllowance>,
    waiting: Vec<Waiting>,
    admitted: Vec<Timestamp>,
    refused: usize,
    without_home: usize,
}

impl Simulation {
    fn start(vms: usize, databases: usize) -> Self {
        let mut cell = TestCell::new(vms, databases);
        cell.put_record(&Record::Workspace(workspace(1..=databases)));
        for index in 1..=vms {
            cell.start(index);
        }
        cell.run_until_served(2_000);
        let mut simulation = Self {
            cell,
            homes: BTreeMap::new(),
            waiting: Vec::new(),
            admitted: Vec::new(),
            refused: 0,
            without_home: 0,
        };
        simulation.run(2_000);
        simulation
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 5 {
            self.step();
        }
    }

    fn step(&mut self) {
        self.cell.run(5);
        self.refresh();
        for (vm, request) in std::mem::take(&mut self.cell.traffic) {
            self.carry_out(&vm, &request);
        }
        self.serve_waiting();
    }

    /// Updates the allowances from the leases and shares of every running VM.
    fn refresh(&mut self) {
        let served = self.cell.served();
        for (database, vm) in served {
            let board = self.cell.board_of(&vm).unwrap();
            let now = self.cell.local_time(&vm).unwrap();
            let epoch = board.homes.leases[&database].epoch;
            let shares = board.limits.views();
            let table = shares.get(&database);
            let share = table.and_then(|table| table.get("workspace")).copied();
            let share = share.unwrap_or_default();
            let key = (vm.clone(), database.clone());
            let home = self.homes.entry(key).or_insert_with(|| HomeAllowance {
                epoch: 0,
                allowance: Allowance::new(share, now),
            });
            if home.epoch != epoch {
                home.epoch = epoch;
                home.allowance = Allowance::new(share, now + TRANSFER_HOLD);
            }
            home.allowance.set_share(share, now);
        }
    }

    fn carry_out(&mut self, vm: &VmName, request: &TrafficRequest) {
        let Some(now) = self.cell.local_time(vm) else {
            return;
        };
        match request.clone() {
            TrafficRequest::Withdraw {
                transfer,
                database,
                workspace,
                tokens,
            } => {
                let home = self.homes.get_mut(&(vm.clone(), database.clone()));
                let tokens = home.map_or(0.0, |home| home.allowance.withdraw(tokens, now));
                let event = TrafficEvent::TokensWithdrawn {
                    transfer,
                    database,
                    workspace,
                    tokens,
                };
                self.cell.post(vm, Event::Traffic(event), Duration::ZERO);
            }
            TrafficRequest::Deposit {
                database,
                tokens,
                until,
                ..
            } => {
                if let Some(home) = self.homes.get_mut(&(vm.clone(), database)) {
                    home.allowance.deposit(tokens, until, now);
                }
            }
            TrafficRequest::TransfersEnded { database, .. } => {
                if let Some(home) = self.homes.get_mut(&(vm.clone(), database)) {
                    home.allowance.transfers_ended(now);
                }
            }
            _ => {}
        }
    }

    fn request(&mut self, database: usize) {
        let name = crate::control::tests::cell::database(database).name;
        let Some(vm) = self.cell.served().get(&name).cloned() else {
            self.without_home += 1;
            return;
        };
        let now = self.cell.local_time(&vm).unwrap();
        let key = (vm.clone(), name.clone());
        let Some(home) = self.homes.get_mut(&key) else {
            self.without_home += 1;
            return;
        };
        match home.allowance.admit(1.0, now) {
            Admission::Granted => self.admitted.push(self.cell.now),
            Admission::Refused { .. } => self.refused += 1,
            Admission::AwaitingTransfer => self.waiting.push(Waiting {
                home: vm.clone(),
                database: name.clone(),
                since: self.cell.now,
            }),
        }
        self.request_tokens(&key, now);
    }

    fn request_tokens(&mut self, key: &(VmName, DatabaseName), now: Timestamp) {
        let (vm, database) = key;
        let requested = self
            .homes
            .get_mut(key)
            .and_then(|home| home.allowance.tokens_to_request(now));
        let Some(tokens) = requested else {
            return;
        };
        let event = TrafficEvent::TokensRequested {
            database: database.clone(),
            workspace: "workspace".into(),
            tokens,
        };
        self.cell.post(vm, Event::Traffic(event), Duration::ZERO);
    }

    fn serve_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let key = (waiting.home.clone(), waiting.database.clone());
            let now = self.cell.local_time(&waiting.home);
            let (Some(home), Some(now)) = (self.homes.get_mut(&key), now) else {
                self.without_home += 1;
                continue;
            };
            let is_late = self.cell.now.since(waiting.since) >= Duration::from_millis(50);
            match home.allowance.admit_after_transfer(1.0, now) {
                Admission::Granted => self.admitted.push(self.cell.now),
                Admission::Refused { .. } => self.refused += 1,
                Admission::AwaitingTransfer if is_late => self.refused += 1,
                Admission::AwaitingTransfer => {
                    self.waiting.push(waiting);
                    self.request_tokens(&key, now);
                    continue;
                }
            }
            home.allowance.stop_waiting(1.0);
            self.request_tokens(&key, now);
        }
    }

    /// Checks that no time window admits more than rate and burst.
    fn check(&self) {
        for (first, from) in self.admitted.iter().enumerate() {
            for (count, to) in self.admitted[first..].iter().enumerate().step_by(7) {
                let bound = BURST + RATE_PER_S * to.since(*from).as_secs_f64();
                let sum = (count + 1) as f64;
                assert!(sum <= bound + 1e-6, "{sum} above {bound} in {from}..{to}");
            }
        }
    }
}

#[test]
fn load_within_the_rate_is_admitted_wherever_it_arrives() {
    let mut simulation = Simulation::start(8, 3);
    for database in [1, 2, 3, 1] {
        for _ in 0..500 {
            simulation.request(database);
            simulation.run(10);
        }
    }
    simulation.run(100);
    simulation.check();
    assert_eq!((simulation.refused, simulation.without_home), (0, 0));
}

#[test]
fn a_whole_burst_is_admitted_at_one_home() {
    let mut simulation = Simulation::start(8, 3);
    for _ in 0..BURST as usize {
        simulation.request(2);
    }
    simulation.run(100);
    simulation.check();
    assert_eq!(
        simulation.refused,
        0,
        "{} admitted",
        simulation.admitted.len()
    );
}

#[test]
fn eight_times_the_rate_is_admitted_at_the_rate() {
    let mut simulation = Simulation::start(8, 3);
    for _ in 0..500 {
        for database in [1, 1, 2, 3] {
            simulation.request(database);
        }
        simulation.run(5);
    }
    simulation.run(100);
    simulation.check();
    let admitted = simulation.admitted.len();
    // Rate and burst allow 60 + 100 * 2.6 requests.
    assert!(
        (300..=320).contains(&admitted),
        "{admitted} of 2000 in 2.6 s"
    );
}

#[test]
fn token_transfers_send_few_messages() {
    let mut simulation = Simulation::start(8, 3);
    simulation.run(5_000);
    let before = simulation.cell.messages;
    simulation.run(5_000);
    let idle = simulation.cell.messages - before;
    for _ in 0..500 {
        simulation.request(1);
        simulation.run(10);
    }
    let busy = simulation.cell.messages - before - 2 * idle;
    assert!(busy <= 5 * 4 * 20, "{busy} messages in 5 s");
}

#[test]
fn a_change_of_databases_adds_no_tokens() {
    let mut simulation = Simulation::start(4, 4);
    let narrow = workspace(1..=2);
    let wide = workspace(1..=4);
    for record in [narrow, wide] {
        simulation.cell.put_record(&Record::Workspace(record));
        for index in 1..=4 {
            // Each VM receives the change at a different time.
            simulation.cell.start(index);
            for step in 0..400 {
                simulation.request(step % 4 + 1);
                simulation.run(5);
            }
        }
    }
    simulation.check();
    assert!(
        simulation.admitted.len() > 500,
        "{}",
        simulation.admitted.len()
    );
}

/// The share of the failed home is unavailable until its lease expires; two of three shares remain.
#[test]
fn at_most_a_thousandth_is_refused_when_a_home_fails() {
    let mut simulation = Simulation::start(8, 3);
    simulation.cell.service = Service::Down;
    let leader = simulation.cell.leader().unwrap();
    let homes = simulation.cell.served();
    let (_, failing) = homes.iter().find(|(_, vm)| **vm != leader).unwrap();
    let failing = failing.clone();
    for request in 0..2_000 {
        if request == 500 {
            simulation.cell.kill(index(&failing));
        }
        let alive = (1..=3).find(|index| homes[&database(*index).name] != failing);
        simulation.request(alive.unwrap());
        simulation.run(if request % 2 == 0 { 15 } else { 20 });
    }
    simulation.check();
    assert!(
        simulation.refused <= 2,
        "{} of 2000 refused",
        simulation.refused
    );
}

#[derive(Debug, Clone)]
enum Step {
    Load { database: usize, requests: usize },
    Kill(usize),
    Start(usize),
    Pause(usize, bool),
    ShutDown(usize),
    Isolate(usize),
    RestoreLinks,
    DropEvery(u64),
    Service(Service),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 1_usize..=4;
    let service = prop_oneof![Just(Service::Up), Just(Service::Down)];
    let step = prop_oneof![
        6 => (1_usize..=3, 1_usize..80)
            .prop_map(|(database, requests)| Step::Load { database, requests }),
        1 => vm.clone().prop_map(Step::Kill),
        2 => vm.clone().prop_map(Step::Start),
        1 => (vm.clone(), any::<bool>()).prop_map(|(vm, paused)| Step::Pause(vm, paused)),
        1 => vm.clone().prop_map(Step::ShutDown),
        1 => vm.prop_map(Step::Isolate),
        1 => Just(Step::RestoreLinks),
        1 => (0_u64..5).prop_map(Step::DropEvery),
        1 => service.prop_map(Step::Service),
    ];
    prop::collection::vec(step, 1..25)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Under any sequence of faults, no window admits more than rate and burst over all VMs
    /// together.
    #[test]
    fn no_fault_adds_a_token(steps in steps()) {
        let mut simulation = Simulation::start(4, 3);
        for step in steps {
            match step {
                Step::Load { database, requests } => {
                    for request in 0..requests {
                        simulation.request(database);
                        simulation.run(if request % 3 == 0 { 10 } else { 0 });
                    }
                }
                Step::Kill(index) => simulation.cell.kill(index),
                Step::Start(index) => simulation.cell.start(index),
                Step::Pause(index, is_paused) => simulation.cell.pause(index, is_paused),
                Step::ShutDown(index) => simulation.cell.shut_down(index),
                Step::Isolate(index) => simulation.cell.isolate(index, 4),
                Step::RestoreLinks => simulation.cell.lost_links.clear(),
                Step::DropEvery(every) => simulation.cell.lose_every = every,
                Step::Service(service) => simulation.cell.service = service,
            }
            simulation.run(300);
        }
        simulation.check();
    }
}
