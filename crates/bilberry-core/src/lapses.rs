//! Servers that the platform's list no longer names after an outage of its store.
//!
//! The load pattern: entries of the list lapse when they are not renewed, also those
//! of servers that live and merely could not reach the store. Given up at once, they
//! would be missed under full load; kept too long, work goes to servers that left.

use std::collections::BTreeMap;

use crate::Name;
use crate::UnixMs;

/// For how long after the store's return a missing server is still used.
///
/// Entries of servers that live are back within about two seconds of it. A process
/// notices the return up to a second late, and is to have given up what left within
/// three seconds of it.
pub(crate) const BACK_WITHIN_MS: u64 = 1_900;

/// How many heartbeats of a server an outage covers before its entry may lapse.
///
/// An entry lapses after three intervals of silence, and the last heartbeat before
/// the outage may have been due as it began. What is missing after a shorter one has
/// left, or was late by itself.
const HEARTBEATS_TO_LAPSE: u64 = 2;

/// How many calls in a row an outage leaves unanswered at least.
///
/// A watch on a connection that fell silent is given up after longer than two
/// heartbeats, and the next call is answered: one lost watch is no outage.
pub(crate) const CALLS_TO_LAPSE: u32 = 2;

/// What becomes of a server that is no longer listed.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Removal {
    /// It has left.
    Now,
    /// Its entry may have lapsed; it is given up at this time unless it is listed.
    At(UnixMs),
}

/// The servers whose entries may have lapsed.
#[derive(Debug)]
pub struct Lapses {
    lapse_ms: u64,
    lost_at: Option<UnixMs>,
    lost_calls: u32,
    back_at: Option<UnixMs>,
    missing: BTreeMap<Name, UnixMs>,
}

impl Lapses {
    /// Knows no outage yet; servers renew their entries every `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            lapse_ms: heartbeat_ms * HEARTBEATS_TO_LAPSE,
            lost_at: None,
            lost_calls: 0,
            back_at: None,
            missing: BTreeMap::new(),
        }
    }

    /// Notes that a call to the store, made at `asked_at`, was not answered.
    pub fn note_lost(&mut self, asked_at: UnixMs) {
        self.lost_at.get_or_insert(asked_at);
        self.lost_calls += 1;
    }

    /// Notes that the store answers.
    ///
    /// After another outage all that is missing has its time anew, as no server could
    /// renew its entry meanwhile. A single call that failed is no outage: a store that
    /// cuts a watch in each three seconds would keep a server that left for ever.
    pub fn note_answer(&mut self, now: UnixMs) {
        let lost_calls = std::mem::take(&mut self.lost_calls);
        let Some(lost_at) = self.lost_at.take() else { return };
        if lost_calls >= CALLS_TO_LAPSE && now.ms_since(lost_at) >= self.lapse_ms {
            self.note_back(now);
        }
    }

    /// Notes that the store came back from an older copy, which may lack servers that
    /// live, however short it was away.
    pub fn note_restored(&mut self, now: UnixMs) {
        self.lost_calls = 0;
        self.lost_at = None;
        self.note_back(now);
    }

    fn note_back(&mut self, now: UnixMs) {
        self.back_at = Some(now);
        let until = now.plus_ms(BACK_WITHIN_MS);
        self.missing.values_mut().for_each(|due| *due = until);
    }

    /// Says what becomes of a server that is no longer listed.
    ///
    /// One that is missing already keeps its time, however often it is looked for.
    pub fn remove(&mut self, id: &Name, now: UnixMs) -> Removal {
        if let Some(&until) = self.missing.get(id) {
            return Removal::At(until);
        }
        let until = self.back_at.map(|back_at| back_at.plus_ms(BACK_WITHIN_MS));
        match until.filter(|until| !until.has_passed_at(now)) {
            Some(until) => {
                self.missing.insert(id.clone(), until);
                Removal::At(until)
            }
            None => Removal::Now,
        }
    }

    /// Notes that a server is listed; returns whether it was missing.
    pub fn list(&mut self, id: &str) -> bool {
        self.missing.remove(id).is_some()
    }

    /// Takes out the servers that did not come back, with the time of each.
    pub fn take_overdue(&mut self, now: UnixMs) -> Vec<(Name, UnixMs)> {
        self.missing.extract_if(.., |_, until| until.has_passed_at(now)).collect()
    }

    /// Returns when the next missing server is to be given up.
    pub fn next_due(&self) -> Option<UnixMs> {
        self.missing.values().min().copied()
    }

    /// Returns how many servers are missing.
    pub fn missing(&self) -> usize {
        self.missing.len()
    }
}
