//! Sizes of the sets of instances that a save and a promotion need, so that any two of them meet.

/// Returns how many of a group's `instances` must hold a save before it is acknowledged.
pub const fn copies(instances: usize) -> usize {
    instances / 2 + 1
}

/// Returns how many of a group's `instances` must adopt a term and report their position before
/// one of them is promoted.
///
/// They meet every set of [`copies`], so that the highest of their positions covers every
/// acknowledged save, and too few remain to acknowledge another one under an older term.
pub const fn promotion(instances: usize) -> usize {
    instances + 1 - copies(instances)
}

#[cfg(test)]
mod tests;
