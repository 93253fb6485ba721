//! A circuit breaker for calls that may hang or fail for long.

use crate::UnixMs;

/// The number of consecutive failures that opens the breaker.
const FAILURE_THRESHOLD: u32 = 3;

/// How long other calls are refused after a half-open breaker admits a trial call.
const TRIAL_TIMEOUT_MS: u64 = 2_000;

/// Whether a call may be made.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum BreakerState {
    /// Calls are admitted.
    Closed,
    /// Calls are refused until the retry time.
    Open,
    /// One trial call is admitted to test whether the remote side has recovered.
    HalfOpen,
}

/// Counts consecutive failures and refuses calls while the remote side is down.
///
/// A step of the clock ends a refusal: if it went back, nobody knows how much of it is left.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    consecutive_failures: u32,
    open_from: UnixMs,
    open_until: UnixMs,
}

impl Breaker {
    /// Creates a closed breaker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state at `now`.
    pub fn state(&self, now: UnixMs) -> BreakerState {
        match self.consecutive_failures {
            n if n < FAILURE_THRESHOLD => BreakerState::Closed,
            _ if (self.open_from..self.open_until).contains(&now) => BreakerState::Open,
            _ => BreakerState::HalfOpen,
        }
    }

    /// Reports whether a call may be made; a half-open breaker admits only one.
    pub fn try_acquire(&mut self, now: UnixMs) -> bool {
        match self.state(now) {
            BreakerState::Closed => true,
            BreakerState::Open => false,
            BreakerState::HalfOpen => {
                // An abandoned trial call never reports its result. A deadline
                // admits another trial later, whereas a flag would stay set and
                // keep the breaker open forever.
                self.refuse(now, TRIAL_TIMEOUT_MS);
                true
            }
        }
    }

    /// Records a successful call and closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed call; an open breaker refuses calls for `open_ms`.
    pub fn record_failure(&mut self, now: UnixMs, open_ms: u64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.refuse(now, open_ms);
    }

    fn refuse(&mut self, now: UnixMs, open_ms: u64) {
        self.open_from = now;
        self.open_until = now.plus_ms(open_ms);
    }
}
