//! An entry's share of the bandwidth of a link that all entries use.
//!
//! When the active prompts fill the prompt store, the load on its single link can
//! exceed the bandwidth, and each transfer queues behind all earlier ones. Callers then
//! get their first event after half a second, while prefilling the same prompt takes a
//! tenth of that.

use crate::UnixMs;
use crate::entry_share::entry_share;

/// The burst capacity of a share, as the time over which it accumulates.
///
/// Callers are spread unevenly over entries and uncached prompts arrive in bursts, so a
/// smaller value leaves part of the link unused. With a larger value, the entries
/// together request over a seventh more than the link carries in the ten seconds after
/// an idle period.
const BURST_MS: f64 = 1_300.0;

/// The cost of a transfer between data centres relative to one within a data centre.
const CROSS_DATA_CENTRE_FACTOR: u64 = 2;

/// A token bucket that limits the prompt tokens that one entry moves over a shared link.
///
/// The bandwidth is divided by the number of entries, because no entry knows what the
/// others transfer. A transfer is admitted while the balance is positive and may
/// overdraw it, so that a prompt larger than the share can be moved at all. Later
/// transfers are refused until the refill has covered the deficit.
#[derive(Debug, Default)]
pub struct LinkBudget {
    balance_tokens: f64,
    refilled_at: UnixMs,
}

/// A transfer over a shared link.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The size, in prompt tokens.
    pub tokens: u64,
    /// Whether both ends are in the same data centre.
    pub same_data_centre: bool,
}

impl LinkBudget {
    /// Charges a transfer to the share of a link of `tokens_per_s`; returns false if
    /// the share is exhausted.
    pub fn try_take(
        &mut self,
        now: UnixMs,
        transfer: Transfer,
        tokens_per_s: f64,
        entries: Option<usize>,
    ) -> bool {
        let per_ms = entry_share(tokens_per_s / 1_000.0, entries);
        let refill = now.ms_since(self.refilled_at) as f64 * per_ms;
        self.balance_tokens = (self.balance_tokens + refill).min(BURST_MS * per_ms);
        self.refilled_at = self.refilled_at.max(now);
        let factor = if transfer.same_data_centre { 1 } else { CROSS_DATA_CENTRE_FACTOR };
        let allowed = self.balance_tokens > 0.0 || transfer.tokens == 0;
        if allowed {
            self.balance_tokens -= (transfer.tokens * factor) as f64;
        }
        allowed
    }
}
