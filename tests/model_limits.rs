//! Exhaustive model of token transfers and of the division of limits over databases.
//!
//! Every admitted token is also taken from one reference bucket with the workspace's whole rate and
//! burst. The limits hold in every window exactly when the reference never runs out.

use std::collections::{BTreeSet, VecDeque};

use pathfinding::directed::bfs::{bfs, bfs_reach};

const HOMES: usize = 2;
const HOLD_TICKS: i8 = 2;
const RATE: i8 = 1;
const CAPACITY: i8 = 2;
const MAX_TICKS: u8 = 3;
const MAX_ASKS: u8 = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// The giver sends tokens and deducts them in a later step.
    DeductAfterSend,
    /// The giver's capacity is not reduced while tokens are under way.
    NoHold,
    /// The receiver doesn't look whether it has taken an answer already.
    TakenTwice,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Loan {
    ticks_left: i8,
    tokens: i8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Home {
    tokens: i8,
    loans: Vec<Loan>,
    /// Request that is waited for, with its age.
    open: Option<(u8, i8)>,
    asks: u8,
    /// Requests that were answered.
    seen: BTreeSet<u8>,
    /// Tokens sent and not yet deducted, with the defect only.
    owed: i8,
}

impl Home {
    fn clamp(&mut self) {
        let on_loan: i8 = self.loans.iter().map(|loan| loan.tokens).sum();
        self.tokens = self.tokens.clamp(0, (CAPACITY + on_loan).max(0));
    }

    fn tick(&mut self) {
        self.tokens += RATE;
        self.clamp();
        for loan in &mut self.loans {
            loan.ticks_left -= 1;
        }
        self.loans.retain(|loan| loan.ticks_left > 0);
        self.clamp();
        if let Some((_, age)) = self.open.as_mut() {
            *age += 1;
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Wanted {
        asker: usize,
        request: u8,
    },
    Given {
        asker: usize,
        request: u8,
        tokens: i8,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    homes: [Home; HOMES],
    network: BTreeSet<Message>,
    reference: i8,
    ticks: u8,
}

impl State {
    fn start() -> Self {
        let home = || Home {
            tokens: CAPACITY,
            ..Home::default()
        };
        Self {
            homes: [home(), home()],
            network: BTreeSet::new(),
            reference: CAPACITY * HOMES as i8,
            ticks: 0,
        }
    }

    fn next(&self, defect: Defect) -> Vec<Self> {
        if self.reference < 0 {
            return Vec::new();
        }
        let mut next = Vec::new();
        if self.ticks < MAX_TICKS {
            next.push(self.with(|state| {
                state.ticks += 1;
                state.reference = (state.reference + 2 * RATE).min(2 * CAPACITY);
                state.homes.iter_mut().for_each(Home::tick);
            }));
        }
        for home in 0..HOMES {
            next.extend(self.steps_of(home));
        }
        for message in &self.network {
            next.push(self.with(|state| {
                state.network.remove(message);
            }));
            // A doubled message stays in the network after it was delivered.
            for is_doubled in [false, true] {
                next.push(self.with(|state| {
                    if !is_doubled {
                        state.network.remove(message);
                    }
                    state.deliver(message, defect);
                }));
            }
        }
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut state = self.clone();
        change(&mut state);
        state
    }

    fn steps_of(&self, home: usize) -> Vec<Self> {
        let mut next = Vec::new();
        if self.homes[home].tokens > 0 {
            next.push(self.with(|state| {
                state.homes[home].tokens -= 1;
                state.reference -= 1;
            }));
        }
        if self.homes[home].asks < MAX_ASKS {
            next.push(self.with(|state| {
                let own = &mut state.homes[home];
                own.asks += 1;
                own.open = Some((own.asks, 0));
                let request = own.asks;
                state.network.insert(Message::Wanted {
                    asker: home,
                    request,
                });
            }));
        }
        if self.homes[home].owed > 0 {
            next.push(self.with(|state| {
                let own = &mut state.homes[home];
                own.tokens = (own.tokens - own.owed).max(0);
                own.loans.push(Loan {
                    ticks_left: HOLD_TICKS,
                    tokens: -own.owed,
                });
                own.owed = 0;
            }));
        }
        next
    }

    fn deliver(&mut self, message: &Message, defect: Defect) {
        match *message {
            Message::Wanted { asker, request } => self.give(asker, request, defect),
            Message::Given {
                asker,
                request,
                tokens,
            } => self.receive(asker, request, tokens, defect),
        }
    }

    fn give(&mut self, asker: usize, request: u8, defect: Defect) {
        let giver = &mut self.homes[1 - asker];
        if !giver.seen.insert(request) || giver.tokens == 0 {
            return;
        }
        let tokens = giver.tokens;
        match defect {
            Defect::DeductAfterSend => giver.owed += tokens,
            Defect::NoHold => giver.tokens = 0,
            Defect::None | Defect::TakenTwice => {
                giver.tokens = 0;
                giver.loans.push(Loan {
                    ticks_left: HOLD_TICKS,
                    tokens: -tokens,
                });
                giver.loans.sort();
            }
        }
        self.network.insert(Message::Given {
            asker,
            request,
            tokens,
        });
    }

    fn receive(&mut self, asker: usize, request: u8, tokens: i8, defect: Defect) {
        let home = &mut self.homes[asker];
        let Some((open, age)) = home.open else {
            return;
        };
        if open != request || age >= HOLD_TICKS {
            return;
        }
        if defect != Defect::TakenTwice {
            home.open = None;
        }
        home.tokens += tokens;
        home.loans.push(Loan {
            ticks_left: HOLD_TICKS - age,
            tokens,
        });
        home.loans.sort();
        home.clamp();
    }
}

#[test]
fn transfers_never_exceed_rate_and_burst() {
    let mut states = 0_usize;
    for state in bfs_reach(State::start(), |state| state.next(Defect::None)) {
        assert!(state.reference >= 0, "{state:#?}");
        states += 1;
    }
    println!("transfers: {states} states");
    assert!(states > 10_000);
}

#[test]
fn seeded_defects_of_transfers_are_caught() {
    for defect in [Defect::DeductAfterSend, Defect::NoHold, Defect::TakenTwice] {
        let path = bfs(
            &State::start(),
            |state| state.next(defect),
            |state| state.reference < 0,
        );
        let path = path.unwrap_or_else(|| panic!("{defect:?} is not caught"));
        println!("{defect:?}: {} steps", path.len() - 1);
        for state in &path {
            println!("  {state:?}");
        }
    }
}

/// Division of the limits: a workspace with two databases gets a third.
mod division {
    use super::{VecDeque, bfs, bfs_reach};

    /// Tokens by home, in the old and in the new division; both sum up to the burst.
    const PARTS: [[i8; 3]; 2] = [[3, 3, 0], [2, 2, 2]];
    const BURST: i8 = 6;
    const MAX_TICKS: u8 = 2;

    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub(super) enum Defect {
        None,
        /// A home uses the new part as soon as it knows it.
        ActiveAtOnce,
    }

    #[derive(Debug, Clone, PartialEq, Eq, Hash)]
    struct Home {
        /// Divisions that the home takes the smallest part of, the newest last.
        divisions: Vec<usize>,
        tokens: i8,
        /// Reports of the newest division that are on their way or arrived last.
        reported: usize,
        reports: VecDeque<usize>,
        /// Agreements on their way.
        agreements: VecDeque<usize>,
    }

    #[derive(Debug, Clone, PartialEq, Eq, Hash)]
    pub(super) struct State {
        homes: [Home; 3],
        pub(super) reference: i8,
        ticks: u8,
    }

    impl State {
        pub(super) fn start() -> Self {
            let home = |home: usize| Home {
                divisions: vec![0],
                tokens: PARTS[0][home],
                reported: 0,
                reports: VecDeque::new(),
                agreements: VecDeque::new(),
            };
            Self {
                homes: [home(0), home(1), home(2)],
                reference: BURST,
                ticks: 0,
            }
        }

        pub(super) fn next(&self, defect: Defect) -> Vec<Self> {
            if self.reference < 0 {
                return Vec::new();
            }
            let mut next = Vec::new();
            if self.ticks < MAX_TICKS {
                next.push(self.with(|state| state.tick(defect)));
            }
            for home in 0..3 {
                next.extend(self.steps_of(home, defect));
            }
            next
        }

        fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
            let mut state = self.clone();
            change(&mut state);
            state
        }

        fn part(&self, home: usize, defect: Defect) -> i8 {
            let divisions = &self.homes[home].divisions;
            let part = |division: &usize| PARTS[division % 2][home];
            if defect == Defect::ActiveAtOnce {
                return divisions.last().map_or(0, part);
            }
            divisions.iter().map(part).min().unwrap_or(0)
        }

        fn tick(&mut self, defect: Defect) {
            self.ticks += 1;
            self.reference = BURST;
            for home in 0..3 {
                self.homes[home].tokens = self.part(home, defect);
            }
        }

        fn steps_of(&self, home: usize, defect: Defect) -> Vec<Self> {
            let mut next = Vec::new();
            let own = &self.homes[home];
            let newest = own.divisions[own.divisions.len() - 1];
            if own.tokens > 0 {
                next.push(self.with(|state| {
                    state.homes[home].tokens -= 1;
                    state.reference -= 1;
                }));
            }
            if newest < 2 {
                next.push(self.with(|state| {
                    state.homes[home].divisions.push(newest + 1);
                    let part = state.part(home, defect);
                    let own = &mut state.homes[home];
                    own.tokens = own.tokens.min(part);
                }));
            }
            if own.reports.is_empty() && own.reported != newest {
                next.push(self.with(|state| state.homes[home].reports.push_back(newest)));
            }
            if let Some(report) = own.reports.front().copied() {
                next.push(self.with(|state| state.report(home, report)));
            }
            if let Some(agreed) = own.agreements.front().copied() {
                next.push(self.with(|state| {
                    let own = &mut state.homes[home];
                    own.agreements.pop_front();
                    // Divisions 0 and 2 have one digest; the time of the report tells them apart.
                    let is_current = agreed == newest;
                    if is_current {
                        own.divisions = vec![newest];
                    }
                }));
            }
            next
        }

        /// Lets the lead hear a report; it answers whether all homes have the same digest.
        fn report(&mut self, home: usize, report: usize) {
            self.homes[home].reports.pop_front();
            self.homes[home].reported = report;
            let is_agreed = self.homes.iter().all(|h| h.reported % 2 == report % 2);
            if is_agreed && self.homes[home].agreements.is_empty() {
                self.homes[home].agreements.push_back(report);
            }
        }
    }

    #[test]
    fn a_new_division_never_adds_to_the_old_one() {
        let mut states = 0_usize;
        for state in bfs_reach(State::start(), |state| state.next(Defect::None)) {
            assert!(state.reference >= 0, "{state:#?}");
            states += 1;
        }
        println!("divisions: {states} states");
        assert!(states > 10_000);
    }

    #[test]
    fn a_division_that_is_active_at_once_is_caught() {
        let path = bfs(
            &State::start(),
            |state| state.next(Defect::ActiveAtOnce),
            |state| state.reference < 0,
        );
        let path = path.expect("a part that is active at once is not caught");
        println!("ActiveAtOnce: {} steps", path.len() - 1);
        for state in &path {
            println!("  {state:?}");
        }
    }
}
