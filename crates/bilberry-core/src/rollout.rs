//! In which order the servers of a service take new weights.
//!
//! The load pattern: new weights are named every few seconds under full traffic.
//! A server that loads serves nothing, loads slow one another down when many run
//! at once, and requests on older weights lose worth after a second or two.

use crate::UnixMs;

/// The part of a service's servers that load at once.
///
/// More at once take longer each and leave too few that serve.
const WAVE_DIVISOR: usize = 5;

/// How long a load is assumed to take before one was measured.
const FIRST_LOAD_MS: u64 = 500;

/// How much longer than the last load a wave is given.
const WAVE_SLACK_MS: u64 = 30;

/// The longest that one wave is waited for.
///
/// A load that was measured among stragglers must not delay all later servers.
const MOST_WAVE_MS: u64 = 900;

/// The part of the bound on older weights within which the last wave starts.
///
/// The other half is for loads that are slow or are ordered twice. Without it, 44
/// servers of which 15 are down take 38 s for a rollout, and most of those that live
/// are barred for older weights meanwhile.
const BOUND_PART: u64 = 2;

/// The place of one server among those of its service.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct RolloutPlace {
    /// Its position in the agreed order.
    pub position: usize,
    /// How many servers there are.
    pub servers: usize,
    /// How many of them are down.
    pub down: usize,
}

/// The waves in which a service takes new weights.
#[derive(Debug, Copy, Clone)]
pub struct Rollout {
    load_ms: u64,
    most_ms: Option<u64>,
}

impl Rollout {
    /// Creates a plan that has seen no load yet, where nothing may begin on older
    /// weights after `bound_ms`.
    pub fn new(bound_ms: Option<u64>) -> Self {
        let most_ms = bound_ms.map(|bound_ms| bound_ms / BOUND_PART);
        Self { load_ms: FIRST_LOAD_MS, most_ms }
    }

    /// Notes how long a load took.
    pub fn measure(&mut self, load_ms: u64) {
        self.load_ms = load_ms.min(MOST_WAVE_MS);
    }

    /// Returns when a server starts to load weights named at `named_at`.
    ///
    /// Waves follow from the agreed order and the clock alone. A server that is
    /// down or cut off delays nobody, and no message is needed in the seconds in
    /// which the platform may be away.
    pub fn starts_at(&self, named_at: UnixMs, place: RolloutPlace) -> UnixMs {
        let wave_ms = self.load_ms + WAVE_SLACK_MS;
        let wave = (place.position / self.width(place, wave_ms)) as u64;
        named_at.plus_ms(wave * wave_ms)
    }

    fn width(&self, place: RolloutPlace, wave_ms: u64) -> usize {
        // Servers that are down are missing already; where a third was lost and
        // a full wave loaded besides, the memory of the rest was full at once.
        let wanted = place.servers.div_ceil(WAVE_DIVISOR);
        let bearable = wanted.saturating_sub(place.down);
        // In time all the same: servers that are late serve nothing at all.
        let needed = self.most_ms.map_or(1, |most_ms| {
            let waves = (most_ms / wave_ms).max(1);
            place.servers.div_ceil(waves as usize)
        });
        bearable.max(needed).max(1)
    }
}

/// The longest that a server whose turn has come works off what waits there.
///
/// A load throws back whatever has not begun. Those callers waited in vain and come to
/// the servers that are left, which are full already.
const MOST_DRAIN_MS: u64 = 1_000;

/// Reports whether a server whose turn came at `turn_at` may begin to load, while
/// `waiting` requests wait there.
///
/// It gets no new work from its turn on and goes on with what waits, so nothing of it is
/// idle meanwhile.
pub fn may_begin_load(turn_at: UnixMs, waiting: u64, now: UnixMs) -> bool {
    waiting == 0 || turn_at.plus_ms(MOST_DRAIN_MS).has_passed_at(now)
}
