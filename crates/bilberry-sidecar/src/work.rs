//! The resource requirements of a request.

use bilberry_core::Name;
use bilberry_core::UnixMs;

/// The resource requirements of a request.
#[derive(Debug, Clone)]
pub struct Work {
    /// The customer.
    pub customer: Name,
    /// The customer's weight in fair queueing.
    pub weight: u64,
    /// The customer's priority.
    pub priority: u8,
    /// The number of prompt tokens to compute.
    pub prefill_tokens: u64,
    /// The maximum number of output tokens.
    pub output_tokens: u64,
    /// The deadline of the request.
    pub deadline: UnixMs,
}

impl Work {
    /// Returns the cost of the request in fair queueing.
    pub fn cost(&self) -> u64 {
        self.prefill_tokens + self.output_tokens + 1
    }
}
