//! The possible causes of crashes that have been shown to be harmless lately.

use std::collections::HashMap;

use crate::CrashCause;
use crate::UnixMs;

/// How long after its completion a request is not blamed for a crash.
const SERVED_RETENTION_MS: u64 = 10_000;

/// The maximum number of causes in a generation, in some megabytes of memory.
const MAX_PER_GENERATION: usize = 50_000;

/// The causes that servers have completed recently.
///
/// Kept in two generations, so that old entries are dropped without a scan. A generation
/// that is full ends early; causes in steady use are recorded again at once.
#[derive(Debug, Default)]
pub struct CompletedRequests {
    current: HashMap<CrashCause, UnixMs>,
    previous: HashMap<CrashCause, UnixMs>,
    since: UnixMs,
}

impl CompletedRequests {
    /// Records that a request has completed.
    pub fn record(&mut self, request: CrashCause, now: UnixMs) {
        let is_full = self.current.len() >= MAX_PER_GENERATION;
        if is_full || now.ms_since(self.since) >= SERVED_RETENTION_MS {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(request, now);
    }

    /// Returns whether a request completed within the last `SERVED_RETENTION_MS`.
    pub fn contains(&self, request: CrashCause, now: UnixMs) -> bool {
        let served_at = self.current.get(&request).or(self.previous.get(&request));
        served_at.is_some_and(|at| now.ms_since(*at) < SERVED_RETENTION_MS)
    }
}
