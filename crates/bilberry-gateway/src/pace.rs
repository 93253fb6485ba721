//! How fast engines generate, as an entry sees it.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::Name;

/// The time of one token until an answer was seen whole, in microseconds.
///
/// A step of a large model that serves some dozen requests.
const FIRST_TOKEN_US: u64 = 8_000;

/// How much one answer counts against those before it.
///
/// Sixteen answers pass in about a second at an entry, so the pace follows the
/// load within that time and no single answer moves it.
const ANSWERS_IN_MEAN: u64 = 16;

/// The time in which a prompt token is read until a prompt was seen read, in
/// microseconds.
///
/// A large model on one engine of today; a few answers later the engines' own counts.
const FIRST_READ_US: u64 = 25;

/// The fewest tokens read by which the time of one is judged.
///
/// Below, the time to the first event is mostly that of the way and of a step.
const LEAST_READ_TOKENS: u64 = 1_000;

/// The time that a token takes at the engines of each service.
#[derive(Debug, Default)]
pub struct Pace {
    token_us: Mutex<HashMap<Name, u64>>,
    read_us: Mutex<HashMap<Name, u64>>,
}

impl Pace {
    /// Notes a whole answer: how long it took from its first to its last event, and
    /// the most tokens that it was allowed.
    ///
    /// Measured against what was allowed, not what came, since only that is known
    /// of a request that is to be placed.
    pub fn note_answer(&self, pool: &Name, took_ms: u64, most_tokens: u64) {
        if most_tokens == 0 {
            return;
        }
        let mut paces = self.token_us.lock().unwrap();
        let mean = paces.entry(pool.clone()).or_insert(FIRST_TOKEN_US);
        let seen_us = took_ms * 1_000 / most_tokens;
        *mean = (*mean * (ANSWERS_IN_MEAN - 1) + seen_us) / ANSWERS_IN_MEAN;
    }

    /// Notes that an engine took `took_ms` to read this many tokens of prompts.
    pub fn note_read(&self, pool: &Name, tokens: u64, took_ms: u64) {
        if tokens < LEAST_READ_TOKENS {
            return;
        }
        let mut paces = self.read_us.lock().unwrap();
        let mean = paces.entry(pool.clone()).or_insert(FIRST_READ_US);
        let seen_us = took_ms * 1_000 / tokens;
        *mean = (*mean * (ANSWERS_IN_MEAN - 1) + seen_us).div_ceil(ANSWERS_IN_MEAN);
    }

    /// Returns how long an engine takes to read this many tokens.
    pub fn read_ms(&self, pool: &str, tokens: u64) -> u64 {
        let read_us = self.read_us.lock().unwrap().get(pool).copied();
        tokens * read_us.unwrap_or(FIRST_READ_US) / 1_000
    }

    /// Returns how long a token takes, in microseconds.
    pub fn token_us(&self, pool: &str) -> u64 {
        self.token_us.lock().unwrap().get(pool).copied().unwrap_or(FIRST_TOKEN_US)
    }
}
