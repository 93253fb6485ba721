//! Shared parts that an upstream reads at this moment.
//!
//! The load pattern: new weights, a crash or a hot key leave a shared part in no
//! cache. Before the first request for it has been answered, a dozen others arrive at
//! several entries, go to as many engines, and each engine reads the same part. With
//! this they wait for the first and fetch from it: 0.012 more of the callers' worth on
//! days of crashes, new weights and bursts, mean of twelve paired plays on three
//! deployments, and 0.001 on quiet ones.

use std::collections::HashMap;

use crate::Name;
use crate::UnixMs;

/// How many times the reading of a part is waited for in place of reading it.
///
/// An engine with much before it may not come to the part for long.
const WAIT_READINGS: u64 = 2;

/// The part of its target for which a request waits for parts at most.
///
/// A caller that waited longer would get its answer late, as the rest of its prompt is
/// still to be read.
const WAIT_PART: u64 = 3;

/// How many parts are remembered before those out of date are cleared away.
const CLEAR_ABOVE: usize = 10_000;

/// Returns for how long a request waits for parts that others read, at most.
pub fn most_wait_for_parts_ms(target_ms: u64) -> u64 {
    target_ms / WAIT_PART
}

/// Shared parts that are read at this moment, and by whom.
#[derive(Debug, Default)]
pub struct Readings {
    by_part: HashMap<u64, Reading>,
}

/// One part that is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading {
    /// The upstream that reads it.
    pub upstream: Name,
    /// When it should have been read; it is no longer waited for then.
    pub done_by: UnixMs,
}

impl Readings {
    /// Notes that an upstream begins to read a part; a reading that is known already
    /// and not out of date stays.
    pub fn begin(&mut self, part: u64, reading: Reading, now: UnixMs) {
        if self.by_part.len() > CLEAR_ABOVE {
            self.by_part.retain(|_, reading| !reading.done_by.has_passed_at(now));
        }
        let known = self.by_part.entry(part).or_insert_with(|| reading.clone());
        if known.done_by.has_passed_at(now) {
            *known = reading;
        }
    }

    /// Notes that a part has been read.
    pub fn end(&mut self, part: u64) {
        self.by_part.remove(&part);
    }

    /// Returns who reads a part now, if that is worth waiting for by a request that
    /// would take `read_ms` to read it itself.
    pub fn worth_awaiting(
        &self,
        part: u64,
        read_ms: u64,
        now: UnixMs,
    ) -> Option<&Reading> {
        let soon = now.plus_ms(read_ms * WAIT_READINGS);
        self.of(part, now).filter(|reading| reading.done_by <= soon)
    }

    /// Returns who reads a part now, if anybody does.
    pub fn of(&self, part: u64, now: UnixMs) -> Option<&Reading> {
        self.by_part.get(&part).filter(|reading| !reading.done_by.has_passed_at(now))
    }
}
