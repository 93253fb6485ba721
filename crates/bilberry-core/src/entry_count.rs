//! How many entries share what is divided among them.
//!
//! The load pattern: sidecars, which count the entries, end and start together while
//! requests fail over. A sidecar that has just started has heard of one entry, and
//! entries that believed it would overdraw together what they share.

use crate::UnixMs;

/// For how long fewer entries have to be told before they count.
///
/// Entries come back to a sidecar within a second of its start.
const SETTLE_MS: u64 = 3_000;

/// The longest pause between two words that belong together; a sidecar repeats its
/// word three times as often.
const PAUSE_MS: u64 = 1_500;

/// The number of entries, as sidecars told it last.
///
/// Kept while nobody tells. An entry that starts meanwhile knows no number and takes
/// a small share, so the sum stays within what is shared.
#[derive(Debug, Default)]
pub struct EntryCount {
    last: Option<usize>,
    heard_at: UnixMs,
    fewer_since: Option<UnixMs>,
}

impl EntryCount {
    /// Returns the number that counts; `None` if none was ever told.
    pub fn get(&self) -> Option<usize> {
        self.last
    }

    /// Takes over the number that one sidecar tells.
    ///
    /// The highest counts, as a sidecar may not reach all entries.
    pub fn hear(&mut self, now: UnixMs, told: usize) {
        let is_fewer = self.last.is_some_and(|last| told < last);
        let paused = now.ms_since(self.heard_at) >= PAUSE_MS;
        self.heard_at = now;
        match self.fewer_since {
            _ if !is_fewer => self.take(told),
            Some(since) if !paused && now.ms_since(since) >= SETTLE_MS => self.take(told),
            Some(_) if !paused => {}
            _ => self.fewer_since = Some(now),
        }
    }

    fn take(&mut self, told: usize) {
        self.last = Some(told);
        self.fewer_since = None;
    }
}
