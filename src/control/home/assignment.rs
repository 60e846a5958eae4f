//! Assignment of databases to home VMs.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::{DatabaseName, VmName, ZoneName};

/// VM that is eligible to become the home of a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The VM.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub availability_zone: ZoneName,
}

/// Proposal to move the home of one database to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Database whose home moves.
    pub database: DatabaseName,
    /// VM that is the home at present.
    pub from: VmName,
}

/// Candidates and the number of homes that each has.
#[derive(Debug, Clone, Default)]
pub struct Placement {
    candidates: Vec<Candidate>,
    by_vm: BTreeMap<VmName, usize>,
    by_zone: BTreeMap<ZoneName, usize>,
}

impl Placement {
    /// Counts the homes of each candidate; `holders` has one entry per home.
    pub fn new<'a>(
        candidates: Vec<Candidate>,
        holders: impl IntoIterator<Item = &'a VmName>,
    ) -> Self {
        let mut placement = Self {
            candidates,
            ..Self::default()
        };
        for holder in holders {
            placement.count(holder);
        }
        placement
    }

    /// Chooses the home of a database: the candidate with the fewest homes, then the one in the
    /// availability zone with the fewest homes, then the one with the greatest rendezvous weight.
    ///
    /// Returns `None` when there are no candidates.
    pub fn choose(&mut self, database: &DatabaseName) -> Option<VmName> {
        let rank = |candidate: &&Candidate| {
            let homes = self.homes_of(&candidate.vm);
            let in_zone = self.by_zone.get(&candidate.availability_zone);
            let preference = u64::MAX - weight(database, &candidate.vm);
            (homes, in_zone.copied().unwrap_or(0), preference)
        };
        let chosen = self.candidates.iter().min_by_key(rank)?.vm.clone();
        self.count(&chosen);
        Some(chosen)
    }

    /// Proposes one move from the candidate with the most homes, if another has at least two fewer.
    ///
    /// The home with the smallest weight at its present VM is moved, so that repeated joins and
    /// leaves converge to the same placement.
    pub fn rebalance<'a>(
        &self,
        homes: impl Iterator<Item = (&'a DatabaseName, &'a VmName)>,
    ) -> Option<Move> {
        let counts = || {
            self.candidates
                .iter()
                .map(|c| (self.homes_of(&c.vm), &c.vm))
        };
        let (most, from) = counts().max()?;
        let (fewest, _) = counts().min()?;
        if most < fewest + 2 {
            return None;
        }
        let movable = homes.filter(|(_, holder)| *holder == from);
        let (database, _) = movable.min_by_key(|(database, vm)| weight(database, vm))?;
        Some(Move {
            database: database.clone(),
            from: from.clone(),
        })
    }

    fn homes_of(&self, vm: &VmName) -> usize {
        self.by_vm.get(vm).copied().unwrap_or(0)
    }

    fn count(&mut self, vm: &VmName) {
        let Some(candidate) = self.candidates.iter().find(|c| c.vm == *vm) else {
            return;
        };
        let zone = candidate.availability_zone.clone();
        *self.by_vm.entry(vm.clone()).or_default() += 1;
        *self.by_zone.entry(zone).or_default() += 1;
    }
}

/// Returns the rendezvous weight of a VM for a database; the VM with the greatest weight is
/// preferred.
pub fn weight(database: &DatabaseName, vm: &VmName) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), xxh3_64_with_seed(database.as_bytes(), 0))
}

#[cfg(test)]
mod tests;
