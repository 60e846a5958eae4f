//! Share of an instance's connections that one VM may open and keep.

/// Number of an instance's connections for each VM that are left free while nothing fails. After a
/// power failure an instance still counts the lost connections for 3 s, and each VM needs others in
/// this time.
const RETURN_CONNECTIONS: usize = 2;

/// Fraction of the connections to a primary that is reserved for statements that need the primary:
/// one in `RESERVED_DIVISOR`.
const RESERVED_DIVISOR: usize = 4;

/// Connections that a VM in an instance's zone gets for each one of a VM in another zone. Reads go
/// to instances in the own zone, and statements that need the primary to the VMs in its zone.
const NEAR_WEIGHT: usize = 3;

/// Smallest equal share for which the VMs in an instance's zone get more than the others. Smaller
/// ones would leave the others without a connection to keep.
const MIN_UNEQUAL_SHARE: usize = 5;

/// Gateways that share the connections of one instance, and where this VM is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharing {
    /// Number of gateways in the instance's zone.
    pub near: usize,
    /// Number of gateways in other zones.
    pub far: usize,
    /// Whether this VM is in the instance's zone.
    pub is_near: bool,
}

impl Sharing {
    /// Returns this VM's share of `max_connections`.
    fn share(&self, max_connections: usize) -> usize {
        let equal = max_connections / (self.near + self.far).max(1);
        if equal < MIN_UNEQUAL_SHARE || self.near == 0 {
            return equal;
        }
        let weight = if self.is_near { NEAR_WEIGHT } else { 1 };
        max_connections * weight / (self.near * NEAR_WEIGHT + self.far)
    }
}

/// Limits on the connections of a VM to one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub max_open: usize,
    /// Number of open connections above which a returned connection isn't kept, if `min_idle` others
    /// are idle.
    pub max_kept: usize,
    /// Number of idle connections that are kept whatever the number in use.
    pub min_idle: usize,
}

impl Limits {
    /// Divides an instance's connections among gateways. A VM may open more than its share, because
    /// the others rarely use all of theirs, but keeps `RETURN_CONNECTIONS` of its share closed. What
    /// the VMs need after a power failure depends on their number and not on the size of the share,
    /// so that a larger share is kept almost whole.
    pub fn divide(max_connections: usize, sharing: Sharing) -> Self {
        let share = sharing.share(max_connections);
        let min_idle = (share / 2).max(1);
        Self {
            max_open: (share * 2).clamp(1, max_connections.max(1)),
            max_kept: share.saturating_sub(RETURN_CONNECTIONS).max(min_idle),
            min_idle,
        }
    }

    /// Returns the number of idle connections to keep beside `in_use` others. While the instance is
    /// `crowded`, only as many are kept as it has for every VM.
    pub fn max_idle(&self, in_use: usize, crowded: bool) -> usize {
        if crowded {
            return self.min_idle.min(RETURN_CONNECTIONS);
        }
        self.max_kept.saturating_sub(in_use).max(self.min_idle)
    }

    /// Returns the number of connections that may be open when one is opened for a statement. A
    /// part is reserved at a primary for statements that can't run elsewhere.
    pub const fn max_open_for(&self, claim: Claim) -> usize {
        match claim {
            Claim::Full => self.max_open,
            Claim::Unreserved => self.max_open - self.max_open / RESERVED_DIVISOR,
        }
    }
}

/// Part of an instance's connections that a statement may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// All of them.
    Full,
    /// Those that aren't reserved for statements that need the primary: the statement runs on the
    /// primary, but may run on a replica.
    Unreserved,
}

#[cfg(test)]
mod tests;
