//! The longest time that recent answers took.

use crate::UnixMs;

/// The length of a window, in milliseconds; the last one and the current one count.
const WINDOW_MS: u64 = 15_000;

/// The longest time that answers took lately.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct AnswerTimes {
    current_ms: Option<u64>,
    last_ms: Option<u64>,
    window_ends_at: UnixMs,
}

impl AnswerTimes {
    /// Records the time that an answer took until its end.
    pub fn record(&mut self, took_ms: u64, now: UnixMs) {
        *self = self.at(now);
        self.current_ms = self.current_ms.max(Some(took_ms));
    }

    /// Returns the longest time, if there were answers lately.
    pub fn longest_ms(&self, now: UnixMs) -> Option<u64> {
        let Self { current_ms, last_ms, .. } = self.at(now);
        current_ms.max(last_ms)
    }

    /// Returns the times as of the window that includes `now`.
    fn at(self, now: UnixMs) -> Self {
        let window_ends_at = now.plus_ms(WINDOW_MS);
        match now.ms_since(self.window_ends_at) {
            _ if !self.window_ends_at.has_passed_at(now) => self,
            past_ms if past_ms < WINDOW_MS => {
                Self { current_ms: None, last_ms: self.current_ms, window_ends_at }
            }
            _ => Self { current_ms: None, last_ms: None, window_ends_at },
        }
    }
}
