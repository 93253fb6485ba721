//! Shared prompt parts that upstreams are currently prefilling.
//!
//! New weights, a crash or a hot key can leave a shared part in no cache. Before the
//! first request for it is answered, a dozen others arrive at several entries and go to
//! as many engines, and each engine prefills the same part. Instead, they wait for the
//! first prefill and fetch its result.

use std::collections::HashMap;

use crate::Name;
use crate::UnixMs;

/// The longest wait for another engine's prefill, in multiples of the own prefill time.
///
/// An engine with a long backlog may not start the part's prefill for a long time.
const MAX_WAIT_PREFILLS: u64 = 2;

/// The divisor of a request's latency target that limits its wait for parts.
///
/// After a longer wait the answer would be late, because the rest of the prompt still
/// has to be prefilled.
const TARGET_WAIT_DIVISOR: u64 = 3;

/// The number of tracked parts above which expired ones are removed.
const EXPIRED_CLEANUP_THRESHOLD: usize = 10_000;

/// Returns the longest time that a request waits for parts prefilled by others.
pub fn max_part_wait_ms(target_ms: u64) -> u64 {
    target_ms / TARGET_WAIT_DIVISOR
}

/// The shared parts being prefilled, with the upstream that prefills each.
#[derive(Debug, Default)]
pub struct PrefillsInProgress {
    by_part: HashMap<u64, PrefillInProgress>,
}

/// The prefill of one part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillInProgress {
    /// The upstream that prefills the part.
    pub upstream: Name,
    /// The expected completion time, after which requests no longer wait for it.
    pub expected_end: UnixMs,
}

impl PrefillsInProgress {
    /// Records that an upstream starts to prefill a part, unless an unexpired prefill of
    /// the part is already known.
    pub fn begin(&mut self, part: u64, prefill: PrefillInProgress, now: UnixMs) {
        if self.by_part.len() > EXPIRED_CLEANUP_THRESHOLD {
            self.by_part.retain(|_, prefill| !prefill.expected_end.has_passed_at(now));
        }
        let known = self.by_part.entry(part).or_insert_with(|| prefill.clone());
        if known.expected_end.has_passed_at(now) {
            *known = prefill;
        }
    }

    /// Records that a part has been prefilled.
    pub fn end(&mut self, part: u64) {
        self.by_part.remove(&part);
    }

    /// Returns the current prefill of a part if it is worth waiting for, given that the
    /// request's own engine would need `prefill_ms`.
    pub fn prefill_to_await(
        &self,
        part: u64,
        prefill_ms: u64,
        now: UnixMs,
    ) -> Option<&PrefillInProgress> {
        let wait_until = now.plus_ms(prefill_ms * MAX_WAIT_PREFILLS);
        self.current(part, now).filter(|prefill| prefill.expected_end <= wait_until)
    }

    /// Returns the current prefill of a part, if there is one.
    pub fn current(&self, part: u64, now: UnixMs) -> Option<&PrefillInProgress> {
        self.by_part.get(&part).filter(|prefill| !prefill.expected_end.has_passed_at(now))
    }
}
