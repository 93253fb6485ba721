//! Estimates which prompt parts a prompt store holds.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;

use bilberry_core::Name;
use bilberry_core::UnixMs;
use bilberry_wire::CacheChange;

/// How long a part is assumed to stay in the store after it was written.
///
/// The store evicts the least recently used parts without notification. After this time
/// the part is sent again, which transfers nothing unless it has to be prefilled. With
/// a much shorter time, more tokens are prefilled again.
const ASSUMED_KEPT_MS: u64 = 16_000;

/// The number of recorded writes above which expired ones are pruned.
const PRUNE_THRESHOLD: usize = 50_000;

/// How long a written part is assumed to be in the store before the store reports it.
///
/// Store events arrive a few hundred milliseconds late. Without this, each prompt that is
/// requested twice within that time would be written twice.
const EVENT_DELAY_MS: u64 = 500;

/// The parts that one prompt store is assumed to hold.
///
/// A sidecar that follows the store reports its contents. While none does, each upstream
/// that prefills a part under a new salt is assumed to have written it to the store.
#[derive(Debug, Default)]
pub struct StoreContents {
    writes: Mutex<HashMap<u64, Write>>,
    /// The store's contents, by the sidecar that reports them.
    reported: Mutex<HashMap<Name, HashSet<u64>>>,
}

/// The write of a part to the store.
#[derive(Debug)]
struct Write {
    /// The upstream that prefilled the part.
    writer: Name,
    at: UnixMs,
}

impl StoreContents {
    /// Records that an upstream writes a part to the store; a write that has not expired
    /// keeps its time.
    pub fn record_write(&self, writer: &Name, key: u64, now: UnixMs) {
        let mut writes = self.writes.lock().unwrap();
        if writes.len() > PRUNE_THRESHOLD {
            writes.retain(|_, write| now.ms_since(write.at) < ASSUMED_KEPT_MS);
        }
        let new = || Write { writer: writer.clone(), at: now };
        let known = writes.entry(key).or_insert_with(new);
        if now.ms_since(known.at) >= ASSUMED_KEPT_MS {
            *known = new();
        }
    }

    /// Discards the writes of an upstream that has restarted.
    ///
    /// Parts that it had not sent yet are lost. If they still counted as kept, no
    /// upstream would send them again for many seconds, and every engine would prefill
    /// them itself.
    pub fn forget_writer(&self, writer: &str) {
        self.writes.lock().unwrap().retain(|_, write| write.writer != writer);
    }

    /// Applies a change of the store's contents that a sidecar reports.
    pub fn apply_report(&self, reporter: &Name, change: &CacheChange) {
        let mut reported = self.reported.lock().unwrap();
        let held = reported.entry(reporter.clone()).or_default();
        if change.reset {
            held.clear();
        }
        change.removed.iter().for_each(|key| {
            held.remove(key);
        });
        held.extend(&change.added);
    }

    /// Discards the reports of a sidecar that no longer follows the store.
    pub fn forget_reporter(&self, reporter: &str) {
        self.reported.lock().unwrap().remove(reporter);
    }

    /// Reports whether the store is assumed to hold a part.
    pub fn has(&self, key: u64, now: UnixMs) -> bool {
        let reported = self.reported.lock().unwrap();
        let within_ms = match reported.is_empty() {
            true => ASSUMED_KEPT_MS,
            false if reported.values().any(|held| held.contains(&key)) => return true,
            false => EVENT_DELAY_MS,
        };
        let writes = self.writes.lock().unwrap();
        writes.get(&key).is_some_and(|write| now.ms_since(write.at) < within_ms)
    }

    /// Discards all writes, for a store that comes back empty.
    pub fn clear(&self) {
        self.writes.lock().unwrap().clear();
    }
}
