//! Estimates of the engines' prefill and decode speed, as observed by an entry.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::Name;

/// The decode time per token assumed before the first complete response, in microseconds.
///
/// One decode step of a large model that serves some dozen requests.
const DEFAULT_TOKEN_US: u64 = 8_000;

/// The window of the exponential moving averages, in samples.
///
/// An entry relays sixteen responses in about a second, so the estimate follows the load
/// within that time and no single response moves it much.
const MEAN_WINDOW: u64 = 16;

/// The prefill time per token assumed before the first sample, in microseconds.
///
/// Typical of a large model on one current engine. Measured times replace it after a few
/// responses.
const DEFAULT_READ_US: u64 = 25;

/// The shortest prefill that is used as a sample, in tokens.
///
/// For shorter ones, network latency and one decode step make up most of the time to the
/// first event.
const MIN_READ_TOKENS: u64 = 1_000;

/// The estimated prefill and decode time per token of each service's engines.
#[derive(Debug, Default)]
pub struct SpeedEstimates {
    token_us: Mutex<HashMap<Name, u64>>,
    read_us: Mutex<HashMap<Name, u64>>,
}

impl SpeedEstimates {
    /// Records a complete response: the time from its first to its last event, and the
    /// maximum number of tokens that it was allowed.
    ///
    /// The time is divided by the allowed rather than the generated tokens, as only the
    /// former are known when a request is placed.
    pub fn record_response(&self, pool: &Name, took_ms: u64, max_tokens: u64) {
        if max_tokens == 0 {
            return;
        }
        let mut means = self.token_us.lock().unwrap();
        let mean = means.entry(pool.clone()).or_insert(DEFAULT_TOKEN_US);
        let sample_us = took_ms * 1_000 / max_tokens;
        *mean = (*mean * (MEAN_WINDOW - 1) + sample_us) / MEAN_WINDOW;
    }

    /// Records that an engine took `took_ms` for the prefill of this many tokens.
    pub fn record_prefill(&self, pool: &Name, tokens: u64, took_ms: u64) {
        if tokens < MIN_READ_TOKENS {
            return;
        }
        let mut means = self.read_us.lock().unwrap();
        let mean = means.entry(pool.clone()).or_insert(DEFAULT_READ_US);
        let sample_us = took_ms * 1_000 / tokens;
        *mean = (*mean * (MEAN_WINDOW - 1) + sample_us).div_ceil(MEAN_WINDOW);
    }

    /// Returns the estimated prefill time of this many tokens, in milliseconds.
    pub fn prefill_ms(&self, pool: &str, tokens: u64) -> u64 {
        let read_us = self.read_us.lock().unwrap().get(pool).copied();
        tokens * read_us.unwrap_or(DEFAULT_READ_US) / 1_000
    }

    /// Returns the estimated decode time per token, in microseconds.
    pub fn token_us(&self, pool: &str) -> u64 {
        self.token_us.lock().unwrap().get(pool).copied().unwrap_or(DEFAULT_TOKEN_US)
    }
}
