//! Quorum sizes of saves and promotions, chosen so that any save quorum and any promotion quorum
//! overlap.

/// Returns how many of a group's `instances` must hold a save before it is acknowledged; always a
/// majority.
pub const fn copies(instances: usize) -> usize {
    instances / 2 + 1
}

/// Returns how many of a group's `instances` must adopt a term and report their position before
/// one of them is promoted.
///
/// Any set of that many instances overlaps with any set of [`copies`] instances, so the highest of
/// its positions covers every acknowledged save, and too few other instances remain to acknowledge
/// a save under an older term.
pub const fn promotion(instances: usize) -> usize {
    instances + 1 - copies(instances)
}

#[cfg(test)]
mod tests;
