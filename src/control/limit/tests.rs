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

/// Bucket as the home of a database keeps it, by the home's epoch.
struct HomeAllowance {
    epoch: u64,
    allowance: Allowance,
}

/// Request that waits for tokens of other homes.
struct Waiting {
    home: VmName,
    database: DatabaseName,
    since: Timestamp,
}

/// Admission at the homes, as the traffic threads do it.
struct Front {
    cell: TestCell,
    homes: BTreeMap<(VmName, DatabaseName), HomeAllowance>,
    waiting: Vec<Waiting>,
    admitted: Vec<Timestamp>,
    refused: usize,
    unserved: usize,
}

impl Front {
    fn start(vms: usize, databases: usize) -> Self {
        let mut cell = TestCell::new(vms, databases);
        cell.put_record(&Record::Workspace(workspace(1..=databases)));
        for index in 1..=vms {
            cell.start(index);
        }
        cell.run_until_served(2_000);
        let mut front = Self {
            cell,
            homes: BTreeMap::new(),
            waiting: Vec::new(),
            admitted: Vec::new(),
            refused: 0,
            unserved: 0,
        };
        front.run(2_000);
        front
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

    /// Follows the leases and shares of every running VM.
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
                    home.allowance.round_ended(now);
                }
            }
            _ => {}
        }
    }

    fn request(&mut self, database: usize) {
        let name = crate::control::tests::cell::database(database).name;
        let Some(vm) = self.cell.served().get(&name).cloned() else {
            self.unserved += 1;
            return;
        };
        let now = self.cell.local_time(&vm).unwrap();
        let key = (vm.clone(), name.clone());
        let Some(home) = self.homes.get_mut(&key) else {
            self.unserved += 1;
            return;
        };
        match home.allowance.admit(1.0, now) {
            Admission::Granted => self.admitted.push(self.cell.now),
            Admission::Refused { .. } => self.refused += 1,
            Admission::Asked => self.waiting.push(Waiting {
                home: vm.clone(),
                database: name.clone(),
                since: self.cell.now,
            }),
        }
        self.ask(&key, now);
    }

    fn ask(&mut self, key: &(VmName, DatabaseName), now: Timestamp) {
        let (vm, database) = key;
        let wanted = self
            .homes
            .get_mut(key)
            .and_then(|home| home.allowance.wanted(now));
        let Some(tokens) = wanted else {
            return;
        };
        let event = TrafficEvent::TokensWanted {
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
                self.unserved += 1;
                continue;
            };
            let is_late = self.cell.now.since(waiting.since) >= Duration::from_millis(50);
            match home.allowance.try_again(1.0, now) {
                Admission::Granted => self.admitted.push(self.cell.now),
                Admission::Refused { .. } => self.refused += 1,
                Admission::Asked if is_late => self.refused += 1,
                Admission::Asked => {
                    self.waiting.push(waiting);
                    self.ask(&key, now);
                    continue;
                }
            }
            home.allowance.stop_waiting(1.0);
            self.ask(&key, now);
        }
    }

    /// Checks that no window holds more than rate and burst.
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
    let mut front = Front::start(8, 3);
    for database in [1, 2, 3, 1] {
        for _ in 0..500 {
            front.request(database);
            front.run(10);
        }
    }
    front.run(100);
    front.check();
    assert_eq!((front.refused, front.unserved), (0, 0));
}

#[test]
fn a_whole_burst_is_admitted_at_one_home() {
    let mut front = Front::start(8, 3);
    for _ in 0..BURST as usize {
        front.request(2);
    }
    front.run(100);
    front.check();
    assert_eq!(front.refused, 0, "{} admitted", front.admitted.len());
}

#[test]
fn eight_times_the_rate_is_admitted_at_the_rate() {
    let mut front = Front::start(8, 3);
    for _ in 0..500 {
        for database in [1, 1, 2, 3] {
            front.request(database);
        }
        front.run(5);
    }
    front.run(100);
    front.check();
    let admitted = front.admitted.len();
    // Rate and burst allow 60 + 100 * 2.6.
    assert!(
        (300..=320).contains(&admitted),
        "{admitted} of 2000 in 2.6 s"
    );
}

#[test]
fn messages_about_tokens_are_few() {
    let mut front = Front::start(8, 3);
    front.run(5_000);
    let before = front.cell.messages;
    front.run(5_000);
    let idle = front.cell.messages - before;
    for _ in 0..500 {
        front.request(1);
        front.run(10);
    }
    let busy = front.cell.messages - before - 2 * idle;
    assert!(busy <= 5 * 4 * 20, "{busy} messages in 5 s");
}

#[test]
fn a_new_division_never_adds_to_the_old_one() {
    let mut front = Front::start(4, 4);
    let narrow = workspace(1..=2);
    let wide = workspace(1..=4);
    for record in [narrow, wide] {
        front.cell.put_record(&Record::Workspace(record));
        for index in 1..=4 {
            // Each VM learns of the change at another time.
            front.cell.start(index);
            for step in 0..400 {
                front.request(step % 4 + 1);
                front.run(5);
            }
        }
    }
    front.check();
    assert!(front.admitted.len() > 500, "{}", front.admitted.len());
}

/// The dead home's share is lost until its lease has run out; two of three parts remain.
#[test]
fn at_most_a_thousandth_is_refused_while_a_home_dies() {
    let mut front = Front::start(8, 3);
    front.cell.service = Service::Down;
    let lead = front.cell.lead().unwrap();
    let homes = front.cell.served();
    let (_, dying) = homes.iter().find(|(_, vm)| **vm != lead).unwrap();
    let dying = dying.clone();
    for request in 0..2_000 {
        if request == 500 {
            front.cell.kill(index(&dying));
        }
        let alive = (1..=3).find(|index| homes[&database(*index).name] != dying);
        front.request(alive.unwrap());
        front.run(if request % 2 == 0 { 15 } else { 20 });
    }
    front.check();
    assert!(front.refused <= 2, "{} of 2000 refused", front.refused);
}

#[derive(Debug, Clone)]
enum Step {
    Load { database: usize, requests: usize },
    Kill(usize),
    Start(usize),
    Pause(usize, bool),
    ShutDown(usize),
    Isolate(usize),
    Heal,
    Lose(u64),
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
        1 => Just(Step::Heal),
        1 => (0_u64..5).prop_map(Step::Lose),
        1 => service.prop_map(Step::Service),
    ];
    prop::collection::vec(step, 1..25)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Whatever fails, no window admits more than rate and burst over all VMs together.
    #[test]
    fn no_failure_adds_a_token(steps in steps()) {
        let mut front = Front::start(4, 3);
        for step in steps {
            match step {
                Step::Load { database, requests } => {
                    for request in 0..requests {
                        front.request(database);
                        front.run(if request % 3 == 0 { 10 } else { 0 });
                    }
                }
                Step::Kill(index) => front.cell.kill(index),
                Step::Start(index) => front.cell.start(index),
                Step::Pause(index, is_paused) => front.cell.pause(index, is_paused),
                Step::ShutDown(index) => front.cell.shut_down(index),
                Step::Isolate(index) => front.cell.isolate(index, 4),
                Step::Heal => front.cell.cut.clear(),
                Step::Lose(every) => front.cell.lose_every = every,
                Step::Service(service) => front.cell.service = service,
            }
            front.run(300);
        }
        front.check();
    }
}
