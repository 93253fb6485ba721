//! An entry's share of a link that all entries have to share.
//!
//! The load pattern: prompts in use fill the store of kept prompts, and more is
//! asked of its one link than it carries. Each transfer then waits for all before
//! it. Callers got their first event after half a second, while reading the same
//! prompt would have taken a tenth of that.

use crate::UnixMs;
use crate::entry_share::entry_share;

/// For how long an unused share is saved up.
///
/// Callers fall unevenly on entries and cold prompts come in rows, so with less, part of
/// the link stays unused: 0.004 of the callers' worth more than with 800 ms, mean of 24
/// paired plays of four days on three deployments, a calm one at full load among them.
/// With more, entries together ask for over a seventh more than the link carries in the
/// ten seconds after a rest.
const SAVED_MS: f64 = 1_300.0;

/// What a transfer costs between data centres, against one within.
const CROSSING_FACTOR: u64 = 2;

/// The tokens that one entry may have moved over a shared link.
///
/// Divided by the number of entries, as no entry knows what the others move. A
/// transfer is let through while anything is left and may overdraw the share, so
/// that a prompt larger than the share can be moved at all; what is overdrawn is
/// waited for.
#[derive(Debug, Default)]
pub struct LinkShare {
    left_tokens: f64,
    at: UnixMs,
}

/// A transfer over a shared link.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Its size.
    pub tokens: u64,
    /// Whether both ends stand in one data centre.
    pub same_place: bool,
}

impl LinkShare {
    /// Takes a transfer out of the share of a link of `tokens_per_s`; returns false
    /// if the share is used up.
    pub fn take(
        &mut self,
        now: UnixMs,
        transfer: Transfer,
        tokens_per_s: f64,
        entries: Option<usize>,
    ) -> bool {
        let per_ms = entry_share(tokens_per_s / 1_000.0, entries);
        let earned = now.ms_since(self.at) as f64 * per_ms;
        self.left_tokens = (self.left_tokens + earned).min(SAVED_MS * per_ms);
        self.at = self.at.max(now);
        let factor = if transfer.same_place { 1 } else { CROSSING_FACTOR };
        let allowed = self.left_tokens > 0.0 || transfer.tokens == 0;
        if allowed {
            self.left_tokens -= (transfer.tokens * factor) as f64;
        }
        allowed
    }
}
