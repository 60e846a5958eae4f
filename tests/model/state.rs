//! State of the model, in a compact form: the exploration holds millions of states.

pub const INSTANCES: usize = 3;
pub const VMS: usize = 2;
pub const SAVES: usize = 2;
/// Capacity of a log, in entries.
const LOG_CAPACITY: usize = 4;

/// Term packed into a byte: twice the term's number, plus the index of the VM that promoted.
pub type TermId = u8;

/// Term of the group's initial primary.
pub const FIRST_TERM: TermId = 2;

/// Log entry. The two lowest bits are the number of the save, counted from 1, or 0 for the entry
/// that starts a term; the bits above them are the term. The value 0 means no entry.
type Entry = u8;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Log {
    entries: [Entry; LOG_CAPACITY],
}

/// End of a log: the term of its last entry and its length.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Last {
    pub term: TermId,
    pub len: u8,
}

impl Log {
    pub fn len(self) -> usize {
        self.entries.iter().take_while(|entry| **entry != 0).count()
    }

    pub fn is_full(self) -> bool {
        self.len() == LOG_CAPACITY
    }

    pub fn last(self) -> Last {
        match self.len() {
            0 => Last {
                term: FIRST_TERM,
                len: 0,
            },
            len => Last {
                term: self.entries[len - 1] >> 2,
                len: u8::try_from(len).unwrap(),
            },
        }
    }

    pub fn count(self, save: usize) -> usize {
        let id = u8::try_from(save).unwrap() + 1;
        self.entries
            .iter()
            .filter(|entry| **entry & 3 == id)
            .count()
    }

    pub fn append(&mut self, term: TermId, save: usize) {
        self.entries[self.len()] = term << 2 | (u8::try_from(save).unwrap() + 1);
    }

    pub fn start_term(&mut self, term: TermId) {
        self.entries[self.len()] = term << 2;
    }

    fn swap_saves(&mut self) {
        for entry in &mut self.entries {
            *entry = match *entry & 3 {
                1 => *entry + 1,
                2 => *entry - 1,
                _ => *entry,
            };
        }
    }

    /// Performs one step of replication: drops the entries that differ from `source`, or else
    /// copies its next entry.
    pub fn pull(&mut self, source: Self) {
        let same = |i: &usize| self.entries[*i] == source.entries[*i] && source.entries[*i] != 0;
        let common = (0..LOG_CAPACITY).take_while(same).count();
        if self.len() > common {
            self.entries[common..].fill(0);
        } else if common < LOG_CAPACITY {
            self.entries[common] = source.entries[common];
        }
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instance {
    pub adopted: TermId,
    pub is_primary: bool,
    /// Instance that this one replicates from, counted from 1 (0 for none), and that primary's
    /// term.
    pub source: (u8, TermId),
    pub log: Log,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vm {
    /// Primary in the local view of the VM.
    pub primary: u8,
    /// Term of that primary.
    pub term: TermId,
    /// Whether the VM has used its one attempt at a promotion.
    pub attempted: bool,
    /// Term of the promotion that the VM is performing, or 0 for none.
    pub promoting: TermId,
    /// Ends of the logs of the instances that responded to the promotion.
    pub responses: [Option<Last>; INSTANCES],
}

/// Save of one caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Save {
    #[default]
    New,
    /// The caller is not part of this exploration.
    Absent,
    /// Executed; the response waits at the answer gate.
    Waiting {
        at: Last,
        started_under: TermId,
        primary: u8,
        /// Whether a majority of the instances had adopted a newer term when it was executed.
        too_late: bool,
    },
    /// The caller got an error that leaves the outcome open.
    Unknown,
    Acknowledged {
        at: Last,
        too_late: bool,
    },
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    pub instances: [Instance; INSTANCES],
    pub vms: [Vm; VMS],
    pub saves: [Save; SAVES],
    /// Lost responses and restarts that may still happen.
    pub faults_left: u8,
    /// Retries of saves that may still happen.
    pub retries_left: u8,
}

/// Bounds of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Number of callers, each with one save.
    pub callers: usize,
    /// Total of lost instance responses and restarts.
    pub faults: u8,
    /// Saves that are retried after an unknown outcome.
    pub retries: u8,
}

impl State {
    pub fn initial(bounds: Bounds) -> Self {
        let mut state = Self {
            faults_left: bounds.faults,
            retries_left: bounds.retries,
            ..Self::default()
        };
        for save in &mut state.saves[bounds.callers..] {
            *save = Save::Absent;
        }
        for (i, instance) in state.instances.iter_mut().enumerate() {
            instance.adopted = FIRST_TERM;
            instance.is_primary = i == 0;
            instance.source = if i == 0 { (0, 0) } else { (1, FIRST_TERM) };
        }
        for vm in &mut state.vms {
            vm.term = FIRST_TERM;
        }
        state
    }

    /// Returns the state after both saves have run on the primary, without being replicated or
    /// reported to any VM.
    pub fn with_unreplicated_saves(bounds: Bounds) -> Self {
        let mut state = Self::initial(bounds);
        for save in 0..SAVES {
            state.instances[0].log.append(FIRST_TERM, save);
            state.saves[save] = Save::Unknown;
        }
        state.canonical()
    }

    /// Returns the canonical form of this state: the smallest of itself and its mirror images, in
    /// which instances 1 and 2 or the two callers are exchanged.
    pub fn canonical(self) -> Self {
        let images = [self, self.swap_replicas()];
        let images = images.map(|image| image.min(image.swap_saves()));
        images[0].min(images[1])
    }

    fn swap_replicas(mut self) -> Self {
        let other = |instance: u8| match instance {
            1 => 2,
            2 => 1,
            same => same,
        };
        self.instances.swap(1, 2);
        for instance in &mut self.instances {
            // Sources are counted from 1.
            if instance.source.0 > 0 {
                instance.source.0 = other(instance.source.0 - 1) + 1;
            }
        }
        for vm in &mut self.vms {
            vm.primary = other(vm.primary);
            vm.responses.swap(1, 2);
        }
        for save in &mut self.saves {
            if let Save::Waiting { primary, .. } = save {
                *primary = other(*primary);
            }
        }
        self
    }

    fn swap_saves(mut self) -> Self {
        self.saves.swap(0, 1);
        for instance in &mut self.instances {
            instance.log.swap_saves();
        }
        self
    }

    /// Returns the guarantee that the state violates, or `None` for a safe state.
    pub fn violation(&self) -> Option<&'static str> {
        for (number, save) in self.saves.iter().enumerate() {
            if self.instances.iter().any(|i| i.log.count(number) > 1) {
                return Some("a save ran twice");
            }
            let Save::Acknowledged { at, too_late } = *save else {
                continue;
            };
            if too_late {
                return Some("a replaced primary's save was acknowledged");
            }
            let lacks = |instance: &Instance| instance.log.count(number) == 0;
            let primary_lacks = |i: &Instance| i.is_primary && i.adopted >= at.term && lacks(i);
            if self.instances.iter().any(primary_lacks) {
                return Some("a primary lacks an acknowledged save");
            }
            let serves = |i: &Instance| i.log.last() >= at && i.log.last().term == i.adopted;
            if self.instances.iter().any(|i| serves(i) && lacks(i)) {
                return Some("a replica that counts as up to date lacks the session's save");
            }
        }
        let primaries = || self.instances.iter().filter(|i| i.is_primary);
        let shares_term = |a: &Instance| primaries().filter(|b| b.adopted == a.adopted).count() > 1;
        if primaries().any(shares_term) {
            return Some("two instances are primary of one term");
        }
        None
    }
}
