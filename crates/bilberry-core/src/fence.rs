//! Fencing tokens of orders to engines.
//!
//! Engines, or whoever watches them, refuse a token below one that was seen. A token
//! therefore rises with the version of the weights, which only grows, and within a
//! version from one holder of orders to the next. All of it fits into the whole numbers
//! that every writer of JSON keeps exact.

/// How many bits tell one holder from the next within an era.
const TERM_BITS: u32 = 16;

/// How many bits tell the eras of the platform's store apart.
const ERA_BITS: u32 = 10;

/// The largest term that a token tells from the one before.
const MAX_TERM: u64 = (1 << TERM_BITS) - 2;

/// The largest era that a token tells from the one before.
const MAX_ERA: u64 = (1 << ERA_BITS) - 1;

/// Where a holder's right comes from: a term of the claim, in an era of the store.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tenure {
    /// How often the store came back from an older copy; terms are given out again.
    pub era: u64,
    /// How often the claim has changed hands.
    pub term: u64,
}

impl Tenure {
    /// Returns the token with which this holder orders a version of weights.
    pub fn fence(self, version: u64) -> u64 {
        let within = self.era.min(MAX_ERA) << TERM_BITS | self.term.min(MAX_TERM);
        first_of(version) | within
    }
}

/// Returns the token with which an engine's own sidecar orders a version of weights.
///
/// Above that of every other holder for this version, as a sidecar may start while
/// another one orders, and below those for the next version.
pub fn sidecar_fence(version: u64) -> u64 {
    first_of(version + 1) - 1
}

fn first_of(version: u64) -> u64 {
    version << (ERA_BITS + TERM_BITS)
}
