//! How much memory and how many slots urgent requests are about to need.

use crate::UnixMs;
use crate::engine_queue::engine_room::EngineCapacity;

/// The time over which the demand is averaged.
///
/// Callers with the shortest target come in bursts of less than a second.
const WINDOW_MS: f64 = 1_000.0;

/// The largest part of memory and slots that is kept for them: one in this many.
///
/// Callers that yield get most of the engine however many urgent requests there are.
const MAX_PART: u64 = 4;

/// The demand of urgent requests in the last second.
#[derive(Debug, Default)]
pub(super) struct UrgentDemand {
    requests: f64,
    memory_tokens: f64,
    updated_at: UnixMs,
}

/// Memory and slots that requests that yield leave free.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub(super) struct Headroom {
    pub(super) slots: u64,
    pub(super) memory_tokens: u64,
}

impl UrgentDemand {
    /// Records an urgent request.
    pub(super) fn record(&mut self, memory_tokens: u64, now: UnixMs) {
        let kept = self.kept_part(now);
        self.requests = self.requests * kept + 1.0;
        self.memory_tokens = self.memory_tokens * kept + memory_tokens as f64;
        self.updated_at = now;
    }

    /// Returns what urgent requests are expected to need within `time_ms`.
    pub(super) fn headroom(
        &self,
        capacity: EngineCapacity,
        time_ms: u64,
        now: UnixMs,
    ) -> Headroom {
        let part = self.kept_part(now) * (time_ms as f64 / WINDOW_MS).min(1.0);
        let slots = (self.requests * part) as u64;
        let memory_tokens = (self.memory_tokens * part) as u64;
        Headroom {
            slots: slots.min(capacity.slots / MAX_PART),
            memory_tokens: memory_tokens.min(capacity.total_tokens / MAX_PART),
        }
    }

    fn kept_part(&self, now: UnixMs) -> f64 {
        (-(now.ms_since(self.updated_at) as f64) / WINDOW_MS).exp()
    }
}
