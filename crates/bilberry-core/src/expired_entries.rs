//! Servers that are missing from the platform's list after an outage of its store.
//!
//! Entries expire when they are not renewed, including those of running servers that
//! could not reach the store. Removing such servers at once would cost capacity under
//! full load; keeping them too long would send requests to servers that have shut down.

use std::collections::BTreeMap;

use crate::Name;
use crate::UnixMs;

/// How long a missing server is still used after the store has recovered.
///
/// Running servers have re-registered within about two seconds of the recovery. A process
/// detects the recovery up to a second late, and must have removed the servers that shut
/// down within three seconds of it.
pub(crate) const RECOVERY_GRACE_MS: u64 = 1_900;

/// The minimum length in heartbeat intervals of an outage in which an entry may expire.
///
/// An entry expires after three missed heartbeats, and the first of these may have been
/// due when the outage began. After a shorter outage, a missing server has shut down or
/// was late for a different reason.
const MIN_OUTAGE_HEARTBEATS: u64 = 2;

/// The minimum number of consecutive calls without a response that count as an outage.
///
/// A watch on a stalled connection times out only after more than two heartbeat
/// intervals, and the next call succeeds, so a single failed watch is not an outage.
pub(crate) const MIN_OUTAGE_CALLS: u32 = 2;

/// When a server that is no longer listed is removed.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Removal {
    /// Immediately, because it has deregistered.
    Immediate,
    /// At this time unless it is listed again, because its entry may have expired in an
    /// outage.
    Deferred(UnixMs),
}

/// The servers whose entries may have expired during an outage.
#[derive(Debug)]
pub struct ExpiredEntries {
    min_outage_ms: u64,
    outage_began_at: Option<UnixMs>,
    failed_calls: u32,
    recovered_at: Option<UnixMs>,
    missing: BTreeMap<Name, UnixMs>,
}

impl ExpiredEntries {
    /// Creates an empty set for servers that renew their entries every `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            min_outage_ms: heartbeat_ms * MIN_OUTAGE_HEARTBEATS,
            outage_began_at: None,
            failed_calls: 0,
            recovered_at: None,
            missing: BTreeMap::new(),
        }
    }

    /// Records that a call to the store made at `requested_at` got no response.
    pub fn record_failed_call(&mut self, requested_at: UnixMs) {
        self.outage_began_at.get_or_insert(requested_at);
        self.failed_calls += 1;
    }

    /// Records that the store responded.
    ///
    /// After another outage the grace period of all missing servers restarts, because no
    /// server could renew its entry meanwhile. A single failed call does not count as an
    /// outage: otherwise a store that interrupts a watch every three seconds would keep a
    /// server that shut down in use forever.
    pub fn record_response(&mut self, now: UnixMs) {
        let failed_calls = std::mem::take(&mut self.failed_calls);
        let Some(outage_began_at) = self.outage_began_at.take() else { return };
        if failed_calls >= MIN_OUTAGE_CALLS
            && now.ms_since(outage_began_at) >= self.min_outage_ms
        {
            self.start_grace_period(now);
        }
    }

    /// Records that the store was restored from an older backup, which may lack running
    /// servers regardless of the length of the outage.
    pub fn record_restore(&mut self, now: UnixMs) {
        self.failed_calls = 0;
        self.outage_began_at = None;
        self.start_grace_period(now);
    }

    fn start_grace_period(&mut self, now: UnixMs) {
        self.recovered_at = Some(now);
        let until = now.plus_ms(RECOVERY_GRACE_MS);
        self.missing.values_mut().for_each(|due| *due = until);
    }

    /// Decides when a server that is no longer listed is removed.
    ///
    /// Further calls for a server that is already missing do not extend its grace period.
    pub fn mark_missing(&mut self, id: &Name, now: UnixMs) -> Removal {
        if let Some(&until) = self.missing.get(id) {
            return Removal::Deferred(until);
        }
        let until =
            self.recovered_at.map(|recovered_at| recovered_at.plus_ms(RECOVERY_GRACE_MS));
        match until.filter(|until| !until.has_passed_at(now)) {
            Some(until) => {
                self.missing.insert(id.clone(), until);
                Removal::Deferred(until)
            }
            None => Removal::Immediate,
        }
    }

    /// Records that a server is listed and returns whether it was missing.
    pub fn mark_listed(&mut self, id: &str) -> bool {
        self.missing.remove(id).is_some()
    }

    /// Removes and returns the servers whose grace period has ended, with the end of
    /// each.
    pub fn take_expired(&mut self, now: UnixMs) -> Vec<(Name, UnixMs)> {
        self.missing.extract_if(.., |_, until| until.has_passed_at(now)).collect()
    }

    /// Returns when the next grace period ends.
    pub fn next_expiry(&self) -> Option<UnixMs> {
        self.missing.values().min().copied()
    }

    /// Returns the number of missing servers.
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }
}
