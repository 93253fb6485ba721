//! Services whose upstreams all ask for fewer requests, by a limit or a pause.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::UnixMs;
use bilberry_core::time_to_admit_ms;

use crate::Dialect;
use crate::Gateway;

/// The requests that wait for capacity, by service.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    counts: Mutex<HashMap<Name, usize>>,
}

/// Counts a request as waiting until it is dropped.
pub(crate) struct WaitingGuard<'a> {
    waiting: &'a WaitingRequests,
    pool: Name,
    /// The number of requests that waited before.
    pub(crate) ahead: usize,
}

impl WaitingRequests {
    /// Counts a request as waiting.
    pub(crate) fn enter(&self, pool: &Name) -> WaitingGuard<'_> {
        let mut counts = self.counts.lock().unwrap();
        let count = counts.entry(pool.clone()).or_default();
        let ahead = *count;
        *count += 1;
        WaitingGuard { waiting: self, pool: pool.clone(), ahead }
    }

    fn count(&self, pool: &str) -> usize {
        self.counts.lock().unwrap().get(pool).copied().unwrap_or_default()
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut counts = self.waiting.counts.lock().unwrap();
        if let Some(count) = counts.get_mut(&self.pool) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.pool);
            }
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Returns when a request may be sent, if all upstreams of a service are held back.
    ///
    /// It has waited since `since`, when there were `ahead` requests before it. Upstreams
    /// that are shutting down are ignored.
    pub(crate) fn held_back_until(
        &self,
        pool: &Name,
        ahead: usize,
        since: UnixMs,
        now: UnixMs,
    ) -> Option<UnixMs> {
        let upstreams = self.upstreams.of(pool);
        let not_leaving = upstreams.iter().filter(|upstream| !upstream.is_leaving());
        let ends: Option<Vec<UnixMs>> =
            not_leaving.clone().map(|upstream| upstream.held_back_until(now)).collect();
        let first = ends?.into_iter().min()?;
        let limits: Option<Vec<f64>> = not_leaving
            .map(|upstream| upstream.request_limit().map(|limit| limit.per_s()))
            .collect();
        let queue_ms = limits.map_or(0, |limits| {
            time_to_admit_ms(ahead, limits.iter().sum(), self.entries_sharing())
        });
        Some(first.max(since.plus_ms(queue_ms)))
    }

    /// Returns when a request that is refused now may return, if all upstreams of a
    /// service are held back.
    pub(crate) fn room_expected_at(&self, pool: &Name, now: UnixMs) -> Option<UnixMs> {
        self.held_back_until(pool, self.waiting.count(pool), now, now)
    }
}
