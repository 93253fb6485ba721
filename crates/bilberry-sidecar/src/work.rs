//! The work that one request brings.

use bilberry_core::Name;
use bilberry_core::UnixMs;

/// The work that one request brings.
#[derive(Debug, Clone)]
pub struct Work {
    /// The customer.
    pub customer: Name,
    /// The customer's weight.
    pub weight: u64,
    /// The customer's priority.
    pub priority: u8,
    /// The prompt tokens that have to be computed.
    pub prefill_tokens: u64,
    /// The tokens of the answer.
    pub output_tokens: u64,
    /// When the caller has no more use for an answer.
    pub deadline: UnixMs,
}

impl Work {
    /// Returns the cost by which the upstream is shared.
    pub fn cost(&self) -> u64 {
        self.prefill_tokens + self.output_tokens + 1
    }
}
