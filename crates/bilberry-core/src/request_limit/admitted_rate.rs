//! The rate at which one entry's requests are admitted.

use crate::UnixMs;

/// The length of a counted interval.
const INTERVAL_MS: u64 = 1_000;

/// Counts the requests that an entry had admitted in the last interval.
#[derive(Debug, Copy, Clone, Default)]
pub struct AdmittedRate {
    since: UnixMs,
    current: u64,
    previous: u64,
}

impl AdmittedRate {
    /// Records an admitted request.
    pub fn record(&mut self, now: UnixMs) {
        self.advance(now);
        self.current += 1;
    }

    /// Returns the requests admitted per second in the last complete interval.
    pub fn per_s(&mut self, now: UnixMs) -> f64 {
        self.advance(now);
        self.previous as f64 * 1_000.0 / INTERVAL_MS as f64
    }

    fn advance(&mut self, now: UnixMs) {
        let passed_ms = now.ms_since(self.since);
        if passed_ms < INTERVAL_MS {
            return;
        }
        self.previous = if passed_ms < 2 * INTERVAL_MS { self.current } else { 0 };
        self.current = 0;
        self.since = now;
    }
}
