//! The times at which denied requests of a customer will be admitted.

use std::collections::HashMap;

use crate::RequestKey;
use crate::UnixMs;

/// How long a denied request keeps its turn after its `Retry-After` has passed.
const GRACE_MS: u64 = 500;

/// The largest number of turns of one customer.
const MAX_TURNS: usize = 256;

/// The weight of one caller in the estimate of how many return.
const RETURN_WEIGHT: f64 = 0.1;

/// The turns of one customer's denied requests.
#[derive(Debug)]
pub(super) struct Turns {
    by_key: HashMap<RequestKey, Turn>,
    /// The estimated fraction of callers that return when told.
    return_ratio: f64,
}

#[derive(Debug, Copy, Clone)]
struct Turn {
    /// The units set aside; zero if the caller returned early and lost the turn.
    cost: f64,
    due_at: UnixMs,
}

/// How a caller returns.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub(super) enum CallerReturn {
    /// It has no turn.
    New,
    /// It did not wait as told.
    Early,
    /// Its turn is due since this time.
    Due(UnixMs),
}

impl Turns {
    /// Creates an empty set.
    pub(super) fn new() -> Self {
        Self { by_key: HashMap::new(), return_ratio: 1.0 }
    }

    /// Reports whether there are no turns.
    pub(super) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Removes the turns of callers that have not returned.
    pub(super) fn expire(&mut self, now: UnixMs) {
        let Self { by_key, return_ratio } = self;
        by_key.retain(|_, turn| {
            let is_expired = turn.due_at.plus_ms(GRACE_MS).has_passed_at(now);
            if is_expired && turn.cost > 0.0 {
                *return_ratio -= *return_ratio * RETURN_WEIGHT;
            }
            !is_expired
        });
    }

    /// Ends the turn of a request and returns how its caller returns.
    pub(super) fn end(&mut self, key: RequestKey, now: UnixMs) -> CallerReturn {
        match self.by_key.get_mut(&key) {
            None => CallerReturn::New,
            Some(turn) if !turn.due_at.has_passed_at(now) => {
                turn.cost = 0.0;
                CallerReturn::Early
            }
            Some(&mut Turn { cost, due_at }) => {
                self.by_key.remove(&key);
                self.return_ratio += (1.0 - self.return_ratio) * RETURN_WEIGHT;
                if cost > 0.0 { CallerReturn::Due(due_at) } else { CallerReturn::New }
            }
        }
    }

    /// Gives a request a turn, if there is room.
    pub(super) fn insert(&mut self, key: RequestKey, cost: f64, due_at: UnixMs) {
        if self.by_key.len() < MAX_TURNS {
            self.by_key.insert(key, Turn { cost, due_at });
        }
    }

    /// Returns the units that callers are expected to use at turns due before `until`.
    pub(super) fn set_aside(&self, until: UnixMs) -> f64 {
        let earlier = self.by_key.values().filter(|turn| turn.due_at < until);
        earlier.map(|turn| turn.cost).sum::<f64>() * self.return_ratio
    }

    /// Returns how much of `level` can be used now so that all turns are still met.
    pub(super) fn spare(&self, level: f64, rate_per_s: f64, now: UnixMs) -> f64 {
        let mut turns: Vec<&Turn> = self.by_key.values().collect();
        turns.sort_unstable_by_key(|turn| turn.due_at);
        let mut set_aside = 0.0;
        let left = turns.into_iter().map(|turn| {
            set_aside += turn.cost * self.return_ratio;
            let refill = turn.due_at.ms_since(now) as f64 / 1_000.0 * rate_per_s;
            level + refill - set_aside
        });
        left.fold(level, f64::min)
    }
}
