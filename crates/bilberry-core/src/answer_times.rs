//! How long recent answers took.

use crate::UnixMs;

/// The length of a window, in milliseconds; the last one and the current one count.
const WINDOW_MS: u64 = 15_000;

/// The number of buckets per doubling of the time, so that one spans 19%.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// The number of buckets; the last one begins at 15 minutes.
const BUCKETS: usize = 80;

/// How long recent answers took, by share.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct AnswerTimes {
    current: [u32; BUCKETS],
    last: [u32; BUCKETS],
    window_ends_at: UnixMs,
}

impl Default for AnswerTimes {
    fn default() -> Self {
        let window_ends_at = UnixMs::default();
        Self { current: [0; BUCKETS], last: [0; BUCKETS], window_ends_at }
    }
}

impl AnswerTimes {
    /// Records the time that an answer took until its end.
    pub fn record(&mut self, took_ms: u64, now: UnixMs) {
        *self = self.at(now);
        let count = &mut self.current[bucket(took_ms)];
        *count = count.saturating_add(1);
    }

    /// Returns a time within which this share of the recent answers ended, at most 19% longer
    /// than the longest of them; `None` if there were no answers lately.
    pub fn quantile_ms(&self, share: f64, now: UnixMs) -> Option<u64> {
        let Self { current, last, .. } = self.at(now);
        let counts =
            current.iter().zip(last).map(|(&count, last)| count.saturating_add(last));
        let total: u64 = counts.clone().map(u64::from).sum();
        let needed = (total as f64 * share).ceil() as u64;
        let mut reached = 0;
        let bucket = counts.map(u64::from).position(|count| {
            reached += count;
            count > 0 && reached >= needed
        });
        bucket.map(end_ms)
    }

    /// Returns whether there were answers lately.
    pub fn has_recent(&self, now: UnixMs) -> bool {
        self.quantile_ms(1.0, now).is_some()
    }

    /// Returns the times as of the window that includes `now`.
    fn at(self, now: UnixMs) -> Self {
        let window_ends_at = now.plus_ms(WINDOW_MS);
        match now.ms_since(self.window_ends_at) {
            _ if !self.window_ends_at.has_passed_at(now) => self,
            past_ms if past_ms < WINDOW_MS => {
                Self { current: [0; BUCKETS], last: self.current, window_ends_at }
            }
            _ => Self { window_ends_at, ..Self::default() },
        }
    }
}

/// Returns the bucket of a time.
fn bucket(took_ms: u64) -> usize {
    let bucket = (took_ms.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
    (bucket as usize).min(BUCKETS - 1)
}

/// Returns the end of a bucket.
fn end_ms(bucket: usize) -> u64 {
    ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2().ceil() as u64
}
