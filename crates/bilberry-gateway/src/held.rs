//! Which shared prompts the store of kept prompts should have.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::UnixMs;

/// For how long a part is taken to be in the store after it was given to it.
///
/// The store drops what was used least, and nobody is told. After this time the
/// part is offered again, which moves nothing unless it has to be read. With 4 s
/// in place of 16 s, a fifth more tokens are read again.
const KEPT_MS: u64 = 16_000;

/// How many parts are remembered before those out of date are cleared away.
const CLEAR_ABOVE: usize = 50_000;

/// The parts that the store of kept prompts was given.
///
/// Each upstream that reads a part under a new salt sends it to the store. What
/// any upstream holds has therefore been given to the store, and needn't be
/// again: the store's one link carries every copy.
#[derive(Debug, Default)]
pub struct KeptParts {
    given: Mutex<HashMap<u64, UnixMs>>,
}

impl KeptParts {
    /// Notes that the store was given a part; one that it was given lately keeps
    /// its time.
    pub fn note(&self, key: u64, now: UnixMs) {
        let mut given = self.given.lock().unwrap();
        if given.len() > CLEAR_ABOVE {
            given.retain(|_, at| now.ms_since(*at) < KEPT_MS);
        }
        let at = given.entry(key).or_insert(now);
        if now.ms_since(*at) >= KEPT_MS {
            *at = now;
        }
    }

    /// Reports whether the store should have a part.
    pub fn has(&self, key: u64, now: UnixMs) -> bool {
        let given = self.given.lock().unwrap();
        given.get(&key).is_some_and(|at| now.ms_since(*at) < KEPT_MS)
    }

    /// Forgets everything, as the store has come back empty.
    pub fn clear(&self) {
        self.given.lock().unwrap().clear();
    }
}
