//! Retry budgets, backoff and retry-after times.

/// The credit that a request adds to the retry budget, in thousandths of a retry.
const CREDIT_PER_REQUEST_MILLI: u64 = 100;

/// The cost of a retry, in thousandths of a retry.
const COST_PER_RETRY_MILLI: u64 = 1_000;

/// The maximum balance, in thousandths of a retry.
const MAX_BALANCE_MILLI: u64 = 10_000;

/// The balance of an entry that starts, in thousandths of a retry.
///
/// It can't know what its predecessor has spent, so entries that are started in series add
/// little to the tenth of the traffic.
const INITIAL_BALANCE_MILLI: u64 = 2_000;

/// The shortest retry delay that a refused caller is advised.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// A budget that limits retries to a tenth of the traffic.
///
/// Without it every refusal by an overloaded upstream would cause a call to the next
/// one, multiplying the overload by the number of attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance_milli: u64,
}

impl RetryBudget {
    /// Creates the budget of an entry that starts.
    pub fn new() -> Self {
        Self { balance_milli: INITIAL_BALANCE_MILLI }
    }

    /// Adds the credit of one first attempt.
    pub fn add_credit(&mut self) {
        self.balance_milli =
            (self.balance_milli + CREDIT_PER_REQUEST_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Spends one retry; returns false if the balance is too low.
    pub fn spend(&mut self) -> bool {
        match self.balance_milli.checked_sub(COST_PER_RETRY_MILLI) {
            Some(left) => {
                self.balance_milli = left;
                true
            }
            None => false,
        }
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the delay before attempt `attempt`, with exponential growth and full jitter.
///
/// `random` is a random number in 0..1. Jitter covers the full range, because clients
/// that failed together would otherwise retry together.
pub fn backoff_ms(attempt: u32, base_ms: u64, max_ms: u64, random: f64) -> u64 {
    let ceiling = base_ms.saturating_mul(1 << attempt.min(16)).min(max_ms);
    (ceiling as f64 * random) as u64
}

/// Returns the time after which a refused caller should retry.
///
/// Retries are spread over one to two times the current wait, so that callers refused
/// together do not return at the same time. `random` is a random number in 0..1.
pub fn retry_after_ms(wait_ms: u64, random: f64) -> u64 {
    let base_ms = wait_ms.max(MIN_RETRY_AFTER_MS);
    base_ms + (base_ms as f64 * random) as u64
}
