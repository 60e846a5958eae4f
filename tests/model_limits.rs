//! Exhaustive model of token transfers and of the division of limits among databases.
//!
//! Every admitted request also takes a token from one reference bucket that has the full rate and
//! burst of the workspace. The limits hold in every time window exactly when the reference bucket
//! never becomes negative.

use std::collections::{BTreeSet, VecDeque};

use pathfinding::directed::bfs::{bfs, bfs_reach};

const HOMES: usize = 2;
/// Ticks for which a transfer changes the capacity of both homes. A grant is not accepted when its
/// request is this old.
const HOLD_TICKS: i8 = 2;
const RATE: i8 = 1;
const CAPACITY: i8 = 2;
const MAX_TICKS: u8 = 3;
const MAX_REQUESTS: u8 = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// The sender deducts the tokens in a later step than the one that sends them.
    DeductAfterSend,
    /// The capacity of the sender is not reduced while its tokens are in transit.
    NoHold,
    /// The receiver accepts a grant a second time when it is duplicated.
    AcceptTwice,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Loan {
    /// Ticks until the loan no longer changes the capacity of the home.
    ticks_left: i8,
    /// Tokens received, or negative for tokens sent.
    tokens: i8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Home {
    tokens: i8,
    loans: Vec<Loan>,
    /// Number and age, in ticks, of the pending request.
    pending: Option<(u8, i8)>,
    /// Requests sent so far.
    sent_requests: u8,
    /// Requests of the other home that were handled.
    handled_requests: BTreeSet<u8>,
    /// Tokens sent and not yet deducted; used only with [`Defect::DeductAfterSend`].
    pending_deduction: i8,
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
        if let Some((_, age)) = self.pending.as_mut() {
            *age += 1;
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    TokenRequest {
        requester: usize,
        request: u8,
    },
    TokenGrant {
        requester: usize,
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
            // A duplicated message stays in the network after its delivery.
            for is_duplicated in [false, true] {
                next.push(self.with(|state| {
                    if !is_duplicated {
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
        if self.homes[home].sent_requests < MAX_REQUESTS {
            next.push(self.with(|state| {
                let own = &mut state.homes[home];
                own.sent_requests += 1;
                own.pending = Some((own.sent_requests, 0));
                let request = own.sent_requests;
                state.network.insert(Message::TokenRequest {
                    requester: home,
                    request,
                });
            }));
        }
        if self.homes[home].pending_deduction > 0 {
            next.push(self.with(|state| {
                let own = &mut state.homes[home];
                own.tokens = (own.tokens - own.pending_deduction).max(0);
                own.loans.push(Loan {
                    ticks_left: HOLD_TICKS,
                    tokens: -own.pending_deduction,
                });
                own.pending_deduction = 0;
            }));
        }
        next
    }

    fn deliver(&mut self, message: &Message, defect: Defect) {
        match *message {
            Message::TokenRequest { requester, request } => self.grant(requester, request, defect),
            Message::TokenGrant {
                requester,
                request,
                tokens,
            } => self.receive(requester, request, tokens, defect),
        }
    }

    fn grant(&mut self, requester: usize, request: u8, defect: Defect) {
        let sender = &mut self.homes[1 - requester];
        if !sender.handled_requests.insert(request) || sender.tokens == 0 {
            return;
        }
        let tokens = sender.tokens;
        match defect {
            Defect::DeductAfterSend => sender.pending_deduction += tokens,
            Defect::NoHold => sender.tokens = 0,
            Defect::None | Defect::AcceptTwice => {
                sender.tokens = 0;
                sender.loans.push(Loan {
                    ticks_left: HOLD_TICKS,
                    tokens: -tokens,
                });
                sender.loans.sort();
            }
        }
        self.network.insert(Message::TokenGrant {
            requester,
            request,
            tokens,
        });
    }

    fn receive(&mut self, requester: usize, request: u8, tokens: i8, defect: Defect) {
        let home = &mut self.homes[requester];
        let Some((pending, age)) = home.pending else {
            return;
        };
        if pending != request || age >= HOLD_TICKS {
            return;
        }
        if defect != Defect::AcceptTwice {
            home.pending = None;
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
    for defect in [Defect::DeductAfterSend, Defect::NoHold, Defect::AcceptTwice] {
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

/// Model of a change of the division of limits, when a workspace with two databases gets a third
/// one.
mod division {
    use super::{VecDeque, bfs, bfs_reach};

    /// Shares of the homes in the old and in the new division, in tokens; each division adds up to
    /// the burst.
    const SHARES: [[i8; 3]; 2] = [[3, 3, 0], [2, 2, 2]];
    const BURST: i8 = 6;
    const MAX_TICKS: u8 = 2;

    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub(super) enum Defect {
        None,
        /// A home uses its new share as soon as it knows of the new division.
        ActiveAtOnce,
    }

    #[derive(Debug, Clone, PartialEq, Eq, Hash)]
    struct Home {
        /// Divisions of which the home uses the smallest share, the newest last.
        divisions: Vec<usize>,
        tokens: i8,
        /// Division in the last report that reached the leader.
        reported: usize,
        /// Reports of the newest division in transit.
        reports: VecDeque<usize>,
        /// Confirmations from the leader in transit.
        confirmations: VecDeque<usize>,
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
                tokens: SHARES[0][home],
                reported: 0,
                reports: VecDeque::new(),
                confirmations: VecDeque::new(),
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

        fn share(&self, home: usize, defect: Defect) -> i8 {
            let divisions = &self.homes[home].divisions;
            let share = |division: &usize| SHARES[division % 2][home];
            if defect == Defect::ActiveAtOnce {
                return divisions.last().map_or(0, share);
            }
            divisions.iter().map(share).min().unwrap_or(0)
        }

        fn tick(&mut self, defect: Defect) {
            self.ticks += 1;
            self.reference = BURST;
            for home in 0..3 {
                self.homes[home].tokens = self.share(home, defect);
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
                    let share = state.share(home, defect);
                    let own = &mut state.homes[home];
                    own.tokens = own.tokens.min(share);
                }));
            }
            if own.reports.is_empty() && own.reported != newest {
                next.push(self.with(|state| state.homes[home].reports.push_back(newest)));
            }
            if let Some(report) = own.reports.front().copied() {
                next.push(self.with(|state| state.deliver_report(home, report)));
            }
            if let Some(confirmed) = own.confirmations.front().copied() {
                next.push(self.with(|state| {
                    let own = &mut state.homes[home];
                    own.confirmations.pop_front();
                    // Divisions 0 and 2 have the same digest; the time of the report distinguishes
                    // them.
                    let is_current = confirmed == newest;
                    if is_current {
                        own.divisions = vec![newest];
                    }
                }));
            }
            next
        }

        /// Delivers a report to the leader, which confirms the division when all homes have
        /// reported the same digest.
        fn deliver_report(&mut self, home: usize, report: usize) {
            self.homes[home].reports.pop_front();
            self.homes[home].reported = report;
            let is_confirmed = self.homes.iter().all(|h| h.reported % 2 == report % 2);
            if is_confirmed && self.homes[home].confirmations.is_empty() {
                self.homes[home].confirmations.push_back(report);
            }
        }
    }

    #[test]
    fn old_and_new_division_together_never_exceed_the_burst() {
        let mut states = 0_usize;
        for state in bfs_reach(State::start(), |state| state.next(Defect::None)) {
            assert!(state.reference >= 0, "{state:#?}");
            states += 1;
        }
        println!("divisions: {states} states");
        assert!(states > 10_000);
    }

    #[test]
    fn activating_a_division_before_confirmation_is_caught() {
        let path = bfs(
            &State::start(),
            |state| state.next(Defect::ActiveAtOnce),
            |state| state.reference < 0,
        );
        let path = path.expect("a share that is active at once is not caught");
        println!("ActiveAtOnce: {} steps", path.len() - 1);
        for state in &path {
            println!("  {state:?}");
        }
    }
}
