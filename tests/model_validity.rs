//! Exhaustive model of the right to read by a record: validity leases, subleases and revocations.
//!
//! The primaries of two databases are replaced, by holders of which one may end at any step. A
//! reader may be cut off from everybody for any time; another gateway grants it subleases, may
//! be restarted and may leave its role. Clocks run at the same speed. When a new primary takes saves, the reader must
//! not be able to send reads to the former one.

use pathfinding::directed::bfs::{bfs, bfs_reach};

const DATABASES: usize = 2;
/// Number of times that the reader registers, each time under another lease.
const REGISTRATIONS: usize = 2;
/// Ticks for which the store keeps a registration after a renewal.
const TTL: i8 = 2;
/// Ticks for which the reader relies on a renewal; shorter because of its safety margin.
const VALIDITY: i8 = TTL - 1;
/// Longest sublease, in ticks.
const MAX_SUBLEASE: i8 = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A registration is revoked without a record of it.
    NoRecord,
    /// The record is written after the revocation.
    RecordAfterRevocation,
    /// The revocations are read before the registrations.
    RevocationsReadFirst,
    /// A VM that refuses connections counts as stopped.
    RefusalCountsAsStop,
    /// The record is deleted when its holder no longer waits for the reader, or ends.
    RecordDeletedEarly,
    /// The reader relies on a lease for as long as the store granted, which may be longer than asked.
    GrantedLeaseIsNotLimited,
    /// A restarted gateway confirms although its former process may have granted subleases.
    RestartedGrantorConfirms,
    /// A gateway leaves its role although subleases that it granted go on.
    GrantorLeavesAtOnce,
}

/// How far a replacement is with one registration of the reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Wait {
    /// It isn't waited for: the reader has confirmed, or had no right to read by it when the replacement
    /// began.
    Over,
    /// The reader is registered by it and hasn't confirmed.
    Confirmation,
    /// The store revoked it this many ticks ago; `None` while the call is under way.
    Revoked(Option<i8>),
}

type Waits = [Wait; REGISTRATIONS];

/// Replacement that a holder carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Replacement {
    Idle,
    /// The record says "moving"; the registrations, or the revocations, have been read.
    Reading {
        listed: [bool; REGISTRATIONS],
    },
    Waiting {
        waits: Waits,
        awaits_grantor: bool,
    },
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    replacements: [Replacement; DATABASES],
    /// Whether the record in the store says that the primary is being or was replaced.
    is_moving: [bool; DATABASES],
    has_holder_ended: bool,
    /// Ticks left of the reader's registration at the store; 0 when it isn't registered.
    registration_left: i8,
    /// Which of its registrations that is.
    registration: usize,
    /// Whether a revocation of each registration is recorded.
    is_recorded: [bool; REGISTRATIONS],
    /// Whether a revocation of each may still be carried out although its holder has ended.
    is_revocation_late: [bool; REGISTRATIONS],
    /// Ticks left of the reader's own validity lease, and of its sublease.
    validity: i8,
    sublease: i8,
    /// Whether the reader knows that the primary is being replaced.
    reader_knows: [bool; DATABASES],
    grantor_knows: [bool; DATABASES],
    is_grantor_registered: bool,
    /// Ticks for which the grantor confirms nothing, because of subleases.
    grantor_waits: i8,
}

impl State {
    fn start() -> Self {
        Self {
            replacements: [Replacement::Idle; DATABASES],
            is_moving: [false; DATABASES],
            has_holder_ended: false,
            registration_left: TTL,
            registration: 0,
            is_recorded: [false; REGISTRATIONS],
            is_revocation_late: [false; REGISTRATIONS],
            validity: VALIDITY,
            sublease: 0,
            reader_knows: [false; DATABASES],
            grantor_knows: [false; DATABASES],
            is_grantor_registered: true,
            grantor_waits: 0,
        }
    }

    /// Returns whether the reader may send reads to a primary whose replacement takes saves.
    fn reads_stale(&self) -> bool {
        let may_read = self.validity > 0 || self.sublease > 0;
        let replaced = self.replacements.iter().zip(self.reader_knows);
        let mut misled =
            replaced.filter(|(replacement, knows)| **replacement == Replacement::Done && !knows);
        may_read && misled.next().is_some()
    }

    fn next(&self, defect: Defect) -> Vec<Self> {
        let mut next = vec![self.tick()];
        next.extend(self.reader_steps(defect));
        next.extend(self.grantor_steps(defect));
        for database in 0..DATABASES {
            next.extend(self.replacement_steps(database, defect));
        }
        if !self.has_holder_ended {
            next.push(self.end_holder(defect));
        }
        for registration in 0..REGISTRATIONS {
            if self.is_revocation_late[registration] {
                next.push(self.changed(|state| {
                    state.is_revocation_late[registration] = false;
                    state.revoke(registration);
                }));
            }
        }
        next
    }

    fn changed(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut state = self.clone();
        change(&mut state);
        state
    }

    fn tick(&self) -> Self {
        self.changed(|state| {
            let counters = [
                &mut state.registration_left,
                &mut state.validity,
                &mut state.sublease,
                &mut state.grantor_waits,
            ];
            for counter in counters {
                *counter = (*counter - 1).max(0);
            }
            for replacement in &mut state.replacements {
                let Replacement::Waiting { waits, .. } = replacement else {
                    continue;
                };
                for wait in waits {
                    if let Wait::Revoked(Some(ticks)) = wait {
                        *ticks = (*ticks + 1).min(TTL);
                    }
                }
            }
        })
    }

    fn revoke(&mut self, registration: usize) {
        if self.registration == registration {
            self.registration_left = 0;
        }
    }

    /// Returns which registrations of the reader the store holds.
    fn registered(&self) -> [bool; REGISTRATIONS] {
        std::array::from_fn(|index| index == self.registration && self.registration_left > 0)
    }

    fn reader_steps(&self, defect: Defect) -> Vec<Self> {
        let mut next = Vec::new();
        let granted = if defect == Defect::GrantedLeaseIsNotLimited {
            TTL + 1
        } else {
            VALIDITY
        };
        if self.registration_left > 0 {
            next.push(self.changed(|state| {
                state.registration_left = TTL.max(granted);
                state.validity = granted;
            }));
        } else if self.registration + 1 < REGISTRATIONS {
            next.push(self.changed(|state| {
                state.registration_left = TTL.max(granted);
                state.registration += 1;
                state.validity = granted;
                state.reader_knows = state.is_moving;
            }));
        }
        for database in 0..DATABASES {
            if self.is_moving[database] {
                next.push(self.changed(|state| state.reader_knows[database] = true));
            }
        }
        next
    }

    fn grantor_steps(&self, defect: Defect) -> Vec<Self> {
        if !self.is_grantor_registered {
            return Vec::new();
        }
        let grant = self.changed(|state| {
            state.sublease = MAX_SUBLEASE;
            state.grantor_waits = MAX_SUBLEASE;
            for database in 0..DATABASES {
                state.reader_knows[database] |= state.grantor_knows[database];
            }
        });
        let restart = self.changed(|state| {
            state.grantor_knows = state.is_moving;
            state.grantor_waits = if defect == Defect::RestartedGrantorConfirms {
                0
            } else {
                MAX_SUBLEASE
            };
        });
        let learn = self.changed(|state| state.grantor_knows = state.is_moving);
        let mut next = vec![grant, restart, learn];
        if self.grantor_waits == 0 || defect == Defect::GrantorLeavesAtOnce {
            next.push(self.changed(|state| state.is_grantor_registered = false));
        }
        next
    }

    fn end_holder(&self, defect: Defect) -> Self {
        self.changed(|state| {
            state.has_holder_ended = true;
            for replacement in &mut state.replacements {
                if let Replacement::Waiting { waits, .. } = replacement {
                    for (late, wait) in state.is_revocation_late.iter_mut().zip(waits) {
                        *late |= *wait == Wait::Revoked(None);
                    }
                }
                if *replacement != Replacement::Done {
                    *replacement = Replacement::Idle;
                }
            }
            if defect == Defect::RecordDeletedEarly {
                state.is_recorded = [false; REGISTRATIONS];
            }
        })
    }

    fn replacement_steps(&self, database: usize, defect: Defect) -> Vec<Self> {
        match self.replacements[database] {
            Replacement::Idle => vec![self.changed(|state| {
                state.is_moving[database] = true;
                let listed = if defect == Defect::RevocationsReadFirst {
                    state.is_recorded
                } else {
                    state.registered()
                };
                state.replacements[database] = Replacement::Reading { listed };
            })],
            Replacement::Reading { listed } => vec![self.read_rest(database, listed, defect)],
            Replacement::Waiting {
                waits,
                awaits_grantor,
            } => self.waiting_steps(database, waits, awaits_grantor, defect),
            Replacement::Done => Vec::new(),
        }
    }

    /// Reads what hasn't been read yet: the revocations, or the registrations.
    fn read_rest(&self, database: usize, listed: [bool; REGISTRATIONS], defect: Defect) -> Self {
        let (registered, recorded) = if defect == Defect::RevocationsReadFirst {
            (self.registered(), listed)
        } else {
            (listed, self.is_recorded)
        };
        let waits = std::array::from_fn(|index| match (recorded[index], registered[index]) {
            (true, _) => Wait::Revoked(None),
            (false, true) => Wait::Confirmation,
            (false, false) => Wait::Over,
        });
        self.changed(|state| {
            state.replacements[database] = Replacement::Waiting {
                waits,
                awaits_grantor: state.is_grantor_registered,
            };
        })
    }

    fn waiting_steps(
        &self,
        database: usize,
        waits: Waits,
        awaits_grantor: bool,
        defect: Defect,
    ) -> Vec<Self> {
        let wait = |state: &Self, waits, awaits_grantor| {
            state.changed(|state| {
                state.replacements[database] = Replacement::Waiting {
                    waits,
                    awaits_grantor,
                };
            })
        };
        let mut next = Vec::new();
        let may_grantor_confirm = self.grantor_knows[database] && self.grantor_waits == 0;
        if awaits_grantor && (may_grantor_confirm || !self.is_grantor_registered) {
            next.push(wait(self, waits, false));
        }
        let is_over = waits == [Wait::Over; REGISTRATIONS];
        if !is_over && self.reader_knows[database] {
            next.push(wait(self, [Wait::Over; REGISTRATIONS], awaits_grantor));
        }
        if is_over && !awaits_grantor {
            next.push(self.changed(|state| {
                state.replacements[database] = Replacement::Done;
                if defect == Defect::RecordDeletedEarly {
                    state.is_recorded = [false; REGISTRATIONS];
                }
            }));
        }
        for registration in 0..REGISTRATIONS {
            for (state, after) in self.revocation_steps(registration, waits[registration], defect) {
                let mut waits = waits;
                waits[registration] = after;
                next.push(wait(&state, waits, awaits_grantor));
            }
        }
        next
    }

    /// Returns what the holder may do about one registration, with the wait that remains.
    fn revocation_steps(
        &self,
        registration: usize,
        wait: Wait,
        defect: Defect,
    ) -> Vec<(Self, Wait)> {
        match wait {
            Wait::Confirmation => {
                let begun = self.changed(|state| match defect {
                    Defect::NoRecord => {}
                    Defect::RecordAfterRevocation => state.revoke(registration),
                    _ => state.is_recorded[registration] = true,
                });
                let mut next = vec![(begun, Wait::Revoked(None))];
                if defect == Defect::RefusalCountsAsStop {
                    next.push((self.clone(), Wait::Over));
                }
                next
            }
            Wait::Revoked(None) => {
                let revoked = self.changed(|state| {
                    state.revoke(registration);
                    state.is_recorded[registration] |= defect == Defect::RecordAfterRevocation;
                });
                vec![(revoked, Wait::Revoked(Some(0)))]
            }
            Wait::Revoked(Some(TTL)) => {
                let deleted = self.changed(|state| state.is_recorded[registration] = false);
                vec![(deleted, Wait::Over)]
            }
            Wait::Over | Wait::Revoked(Some(_)) => Vec::new(),
        }
    }
}

#[test]
fn no_read_goes_to_a_former_primary_after_its_replacement_takes_saves() {
    let mut states = 0_usize;
    for state in bfs_reach(State::start(), |state| state.next(Defect::None)) {
        assert!(!state.reads_stale(), "{state:#?}");
        states += 1;
    }
    println!("{states} states");
    assert!(states > 10_000);
}

#[test]
fn seeded_defects_of_the_right_to_read_are_caught() {
    let defects = [
        Defect::NoRecord,
        Defect::RecordAfterRevocation,
        Defect::RevocationsReadFirst,
        Defect::RefusalCountsAsStop,
        Defect::RecordDeletedEarly,
        Defect::GrantedLeaseIsNotLimited,
        Defect::RestartedGrantorConfirms,
        Defect::GrantorLeavesAtOnce,
    ];
    for defect in defects {
        let path = bfs(
            &State::start(),
            |state| state.next(defect),
            State::reads_stale,
        );
        let path = path.unwrap_or_else(|| panic!("{defect:?} is not caught"));
        println!("{defect:?}: {} steps", path.len() - 1);
    }
}
