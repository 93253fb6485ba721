//! Which shared prompts a store of kept prompts should have.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;

use bilberry_core::Name;
use bilberry_core::UnixMs;
use bilberry_wire::CacheChange;

/// For how long a part is taken to be in the store after it was given to it.
///
/// The store drops what was used least, and nobody is told. After this time the
/// part is offered again, which moves nothing unless it has to be read. With 4 s
/// in place of 16 s, a fifth more tokens are read again.
const KEPT_MS: u64 = 16_000;

/// How many parts are remembered before those out of date are cleared away.
const CLEAR_ABOVE: usize = 50_000;

/// For how long a part that was given is taken to be kept before it is told so.
///
/// Events of a store come some hundred milliseconds late. Without this, each
/// prompt that is asked for twice within that time would be given twice.
const TOLD_WITHIN_MS: u64 = 500;

/// What one store of kept prompts should have.
///
/// A sidecar that follows the store tells what it holds. While none does, each
/// upstream that reads a part under a new salt is taken to have sent it there.
#[derive(Debug, Default)]
pub struct KeptParts {
    given: Mutex<HashMap<u64, Given>>,
    told: Mutex<HashMap<Name, HashSet<u64>>>,
}

/// A part that the store was given.
#[derive(Debug)]
struct Given {
    /// The upstream that read it.
    by: Name,
    at: UnixMs,
}

impl KeptParts {
    /// Notes that an upstream gives the store a part; one that it was given lately
    /// keeps its time.
    pub fn note(&self, giver: &Name, key: u64, now: UnixMs) {
        let mut given = self.given.lock().unwrap();
        if given.len() > CLEAR_ABOVE {
            given.retain(|_, given| now.ms_since(given.at) < KEPT_MS);
        }
        let fresh = || Given { by: giver.clone(), at: now };
        let known = given.entry(key).or_insert_with(fresh);
        if now.ms_since(known.at) >= KEPT_MS {
            *known = fresh();
        }
    }

    /// Forgets what an upstream was to give, as it has started again.
    ///
    /// What had not left it is lost. Taken to be kept, it would be offered again by
    /// nobody for many seconds, and every engine would read it itself.
    pub fn forget_giver(&self, giver: &str) {
        self.given.lock().unwrap().retain(|_, given| given.by != giver);
    }

    /// Takes over what a sidecar tells of the store.
    pub fn tell(&self, teller: &Name, change: &CacheChange) {
        let mut told = self.told.lock().unwrap();
        let held = told.entry(teller.clone()).or_default();
        if change.reset {
            held.clear();
        }
        change.removed.iter().for_each(|key| {
            held.remove(key);
        });
        held.extend(&change.added);
    }

    /// Forgets what a sidecar told, as it no longer follows the store.
    pub fn forget_teller(&self, teller: &str) {
        self.told.lock().unwrap().remove(teller);
    }

    /// Reports whether the store should have a part.
    pub fn has(&self, key: u64, now: UnixMs) -> bool {
        let told = self.told.lock().unwrap();
        let within_ms = match told.is_empty() {
            true => KEPT_MS,
            false if told.values().any(|held| held.contains(&key)) => return true,
            false => TOLD_WITHIN_MS,
        };
        let given = self.given.lock().unwrap();
        given.get(&key).is_some_and(|given| now.ms_since(given.at) < within_ms)
    }

    /// Forgets everything, as the store has come back empty.
    pub fn clear(&self) {
        self.given.lock().unwrap().clear();
    }
}
