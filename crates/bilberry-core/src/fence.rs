//! Fencing tokens for orders to engines.
//!
//! Engines, or the processes that supervise them, reject a token lower than one already
//! seen. Tokens therefore increase with the version of the weights, which never
//! decreases, and within a version from one lease holder to the next. Tokens stay within
//! the range of integers that every JSON implementation represents exactly.

/// The number of bits for the term, which distinguishes holders within an era.
const TERM_BITS: u32 = 16;

/// The number of bits for the era of the platform's store.
const ERA_BITS: u32 = 10;

/// The largest term that a token can represent; greater ones are clamped to it.
///
/// The value above it is reserved for the token of the sidecar.
const MAX_TERM: u64 = (1 << TERM_BITS) - 2;

/// The largest era that a token can represent; greater ones are clamped to it.
const MAX_ERA: u64 = (1 << ERA_BITS) - 1;

/// The largest version that a token can represent; greater ones are clamped to it.
const MAX_VERSION: u64 = (1 << (53 - ERA_BITS - TERM_BITS)) - 1;

/// The era of the store and the term of the claim under which a holder gives orders.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tenure {
    /// The number of times the store was restored from an older backup. Terms may be
    /// reused in a later era.
    pub era: u64,
    /// The number of times the claim has changed holders.
    pub term: u64,
}

impl Tenure {
    /// Returns the fencing token for this holder's orders of a version of the weights.
    pub fn fencing_token(self, version: u64) -> u64 {
        let era_and_term = self.era.min(MAX_ERA) << TERM_BITS | self.term.min(MAX_TERM);
        first_token(version) | era_and_term
    }
}

/// Returns the fencing token for the orders of an engine's own sidecar.
///
/// It is above the tokens of all other holders for this version, because a sidecar may
/// start while another holder gives orders, and below all tokens for the next version.
pub fn sidecar_fencing_token(version: u64) -> u64 {
    first_token(version) | ((1 << (ERA_BITS + TERM_BITS)) - 1)
}

fn first_token(version: u64) -> u64 {
    version.min(MAX_VERSION) << (ERA_BITS + TERM_BITS)
}
