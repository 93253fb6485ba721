//! The schedule by which the servers of a service load new weights.
//!
//! New weights may be announced every few seconds under full traffic. A loading server
//! serves no requests, concurrent loads slow each other down, and answers from older
//! weights lose value after a second or two.

use crate::UnixMs;

/// The divisor of a service's server count that gives the number of concurrent loads.
///
/// With more concurrent loads, each takes longer and too few servers keep serving.
const WAVE_DIVISOR: usize = 5;

/// The assumed duration of a load until one has been measured.
const DEFAULT_LOAD_MS: u64 = 500;

/// The time added to the duration of the last load to get the length of a wave.
const WAVE_SLACK_MS: u64 = 30;

/// The longest load duration used to schedule waves.
///
/// The measured load of a straggler must not delay all later servers.
const MAX_LOAD_MS: u64 = 900;

/// The divisor of the bound on older weights that limits the start of the last wave.
///
/// The other half of the bound is reserved for loads that are slow or ordered twice.
/// Without the limit, a rollout over 44 servers of which 15 are down takes 38 s, and
/// most of the running servers are excluded for their older weights meanwhile.
const BOUND_DIVISOR: u64 = 2;

/// The position of a server among those of its service.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct RolloutPlace {
    /// Its position in the agreed order.
    pub position: usize,
    /// The number of servers.
    pub servers: usize,
    /// The number of servers that are down.
    pub down: usize,
}

/// The waves in which the servers of a service load new weights.
#[derive(Debug, Copy, Clone)]
pub struct Rollout {
    load_ms: u64,
    last_start_ms: Option<u64>,
}

impl Rollout {
    /// Creates a schedule without a measured load; no request may start on older
    /// weights after `bound_ms`.
    pub fn new(bound_ms: Option<u64>) -> Self {
        let last_start_ms = bound_ms.map(|bound_ms| bound_ms / BOUND_DIVISOR);
        Self { load_ms: DEFAULT_LOAD_MS, last_start_ms }
    }

    /// Records the duration of a load.
    pub fn record_load(&mut self, load_ms: u64) {
        self.load_ms = load_ms.min(MAX_LOAD_MS);
    }

    /// Returns when a server starts to load weights announced at `announced_at`.
    ///
    /// Waves depend only on the agreed order and the clock. A server that is down or
    /// partitioned delays no other, and no message is needed while the platform may be
    /// unavailable for seconds.
    pub fn starts_at(&self, announced_at: UnixMs, place: RolloutPlace) -> UnixMs {
        let wave_ms = self.load_ms + WAVE_SLACK_MS;
        let wave = (place.position / self.wave_size(place, wave_ms)) as u64;
        announced_at.plus_ms(wave * wave_ms)
    }

    fn wave_size(&self, place: RolloutPlace, wave_ms: u64) -> usize {
        // Servers that are down already reduce capacity. With a third of them down and
        // a full wave loading as well, the memory of the others fills up immediately.
        let full_wave = place.servers.div_ceil(WAVE_DIVISOR);
        let affordable = full_wave.saturating_sub(place.down);
        // The rollout must still meet the bound, because servers that load too late
        // are excluded entirely.
        let required = self.last_start_ms.map_or(1, |last_start_ms| {
            let waves = (last_start_ms / wave_ms).max(1);
            place.servers.div_ceil(waves as usize)
        });
        affordable.max(required).max(1)
    }
}

/// The longest time that a server drains its queue after its turn to load has come.
///
/// A load rejects all queued requests. Their callers have waited in vain and retry at
/// the remaining servers, which are already full.
const MAX_DRAIN_MS: u64 = 1_000;

/// Reports whether a server whose turn came at `turn_at` may start to load while
/// `queued` requests are queued at it.
///
/// From its turn on the server gets no new requests and works through its queue, so it
/// is not idle meanwhile.
pub fn may_start_load(turn_at: UnixMs, queued: u64, now: UnixMs) -> bool {
    queued == 0 || turn_at.plus_ms(MAX_DRAIN_MS).has_passed_at(now)
}
