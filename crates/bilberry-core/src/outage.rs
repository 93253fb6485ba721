//! Retry advice for callers of a service with no running upstream.
//!
//! When all upstreams of a service lose power together for many seconds, callers keep
//! sending requests, and each retries once or twice before its deadline. With a retry
//! delay of less than a second, which suits a service that is merely overloaded, callers
//! use up their retries long before the first upstream is back.

use crate::UnixMs;

/// The minimum retry delay.
const MIN_DELAY_MS: u64 = 100;

/// The maximum retry delay, as a percentage of the caller's remaining time.
///
/// Callers follow the advice only up to a third of their remaining time, which is
/// slightly less than the entry assumes.
const MAX_DELAY_PERCENT: u64 = 32;

/// The divisor for the part of the retry delay over which callers are spread.
///
/// Callers that were queued together are rejected together; spreading them over a fifth
/// of a few seconds keeps them from retrying simultaneously.
const SPREAD_DIVISOR: u64 = 5;

/// Tracks since when a service has had no running upstream.
#[derive(Debug, Default)]
pub struct Outage {
    since: Option<UnixMs>,
}

impl Outage {
    /// Records whether any upstream of the service is running.
    pub fn record(&mut self, now: UnixMs, any_running: bool) {
        self.since = match any_running {
            true => None,
            false => self.since.or(Some(now)),
        };
    }

    /// Returns the minimum and maximum retry delay for a caller with `left_ms` remaining,
    /// or `None` while an upstream is running.
    ///
    /// The duration of an outage is unknown. An outage is expected to last as long again
    /// as it has lasted so far, so callers retry early at first and as late as possible
    /// once the outage has lasted for seconds.
    pub fn retry_delay_ms(&self, now: UnixMs, left_ms: u64) -> Option<(u64, u64)> {
        let lasted_ms = now.ms_since(self.since?);
        let max_ms = (left_ms * MAX_DELAY_PERCENT / 100).max(MIN_DELAY_MS);
        let delay_ms = lasted_ms.clamp(MIN_DELAY_MS, max_ms);
        Some((delay_ms - delay_ms / SPREAD_DIVISOR, delay_ms))
    }
}
