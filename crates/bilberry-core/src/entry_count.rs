//! The number of entries among which shared limits are divided.
//!
//! Sidecars count the entries, and may all restart at once while requests fail over.
//! A sidecar that has just started knows only one entry. If entries trusted that
//! count, together they would exceed the limits that they share.

use crate::UnixMs;

/// How long a lower count must be reported before it is adopted.
///
/// Entries reconnect to a sidecar within a second of its start.
const DECREASE_CONFIRM_MS: u64 = 3_000;

/// The longest gap between two reports of one series.
///
/// A sidecar repeats its report three times as often.
const MAX_REPORT_GAP_MS: u64 = 1_500;

/// The number of entries, as last reported by sidecars.
///
/// The count is kept while no sidecar reports. An entry that starts meanwhile has no
/// count and takes a small share, so the sum of all shares stays within the limit.
#[derive(Debug, Default)]
pub struct EntryCount {
    current: Option<usize>,
    reported_at: UnixMs,
    lower_since: Option<UnixMs>,
}

impl EntryCount {
    /// Returns the current count; `None` if none was ever reported.
    pub fn current(&self) -> Option<usize> {
        self.current
    }

    /// Processes the count that one sidecar reports.
    ///
    /// The highest count wins, because a sidecar may not be connected to all entries.
    pub fn record_report(&mut self, now: UnixMs, reported: usize) {
        let is_lower = self.current.is_some_and(|current| reported < current);
        let gap_exceeded = now.ms_since(self.reported_at) >= MAX_REPORT_GAP_MS;
        self.reported_at = now;
        match self.lower_since {
            _ if !is_lower => self.set(reported),
            Some(since)
                if !gap_exceeded && now.ms_since(since) >= DECREASE_CONFIRM_MS =>
            {
                self.set(reported)
            }
            Some(_) if !gap_exceeded => {}
            _ => self.lower_since = Some(now),
        }
    }

    fn set(&mut self, reported: usize) {
        self.current = Some(reported);
        self.lower_since = None;
    }
}
